// StorableOutcome: limits a request's outcome to what the log can store
// without altering it.
#ifndef MULBERRYVALVE_CORE_KEYS_STORABLE_OUTCOME_H_
#define MULBERRYVALVE_CORE_KEYS_STORABLE_OUTCOME_H_

#include "mulberryvalve/core/records/record.h"

#include <cstddef>
#include <string_view>

namespace mulberryvalve {

// kMaxStoredBodyBytes bounds the response body stored with an outcome.
inline constexpr size_t kMaxStoredBodyBytes = 16 * 1024;

// IsUtf8 returns whether aText is valid UTF-8, as log records require.
bool IsUtf8(std::string_view aText);

// StorableOutcome returns aOutcome unchanged, or with status kUnknown and no
// body when the body is too large or not UTF-8: a duplicate request must not
// receive an altered response.
KeySettled StorableOutcome(KeySettled aOutcome);

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_KEYS_STORABLE_OUTCOME_H_
