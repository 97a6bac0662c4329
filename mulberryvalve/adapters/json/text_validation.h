// Validation of names and reasons from external input.
#ifndef MULBERRYVALVE_ADAPTERS_JSON_TEXT_VALIDATION_H_
#define MULBERRYVALVE_ADAPTERS_JSON_TEXT_VALIDATION_H_

#include "mulberryvalve/core/base/failure.h"

#include <optional>
#include <string>

namespace mulberryvalve {

inline constexpr size_t kMaxNameBytes = 100;
inline constexpr size_t kMaxIdBytes = 256;
// The first ASCII code that is no control character.
inline constexpr unsigned char kFirstPrintable = 0x20;

// CheckPrintable returns kInvalidInput for aField when aText is longer than
// aMaxBytes, contains a control character or is not UTF-8. Thread-safe.
std::optional<Failure> CheckPrintable(const char* aField,
                                      const std::string& aText,
                                      size_t aMaxBytes);

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_JSON_TEXT_VALIDATION_H_
