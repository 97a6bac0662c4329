// SanitizeJson: replaces invalid bytes and escapes in JSON text, so that the
// rest of the document can be parsed.
#ifndef MULBERRYVALVE_ADAPTERS_JSON_JSON_SANITIZER_H_
#define MULBERRYVALVE_ADAPTERS_JSON_JSON_SANITIZER_H_

#include <string>
#include <string_view>

namespace mulberryvalve {

// The replacement for an invalid byte or escape: U+FFFD in UTF-8.
inline constexpr std::string_view kReplacementCharacter = "\xef\xbf\xbd";

// SanitizeJson returns aText with each byte that is not UTF-8 and each escaped
// unpaired surrogate replaced by kReplacementCharacter, and with control
// characters in strings escaped. Thread-safe.
std::string SanitizeJson(std::string_view aText);

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_JSON_JSON_SANITIZER_H_
