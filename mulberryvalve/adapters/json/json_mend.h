// MendJson: makes a JSON text readable that holds bytes or escapes which are no
// text, so that what stands beside them can be read.
#ifndef MULBERRYVALVE_ADAPTERS_JSON_JSON_MEND_H_
#define MULBERRYVALVE_ADAPTERS_JSON_JSON_MEND_H_

#include <string>
#include <string_view>

namespace mulberryvalve {

// What stands for a byte or an escape that could not be read: U+FFFD in UTF-8.
inline constexpr std::string_view kUnreadableMark = "\xef\xbf\xbd";

// MendJson returns aText with kUnreadableMark for each byte that is not UTF-8
// and for each half of a surrogate pair, and with control bytes in its texts
// escaped. Thread-safe.
std::string MendJson(std::string_view aText);

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_JSON_JSON_MEND_H_
