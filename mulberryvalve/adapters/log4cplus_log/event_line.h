// FormatEventLine: formats one event as a line of the process log.
#ifndef MULBERRYVALVE_ADAPTERS_LOG4CPLUS_LOG_EVENT_LINE_H_
#define MULBERRYVALVE_ADAPTERS_LOG4CPLUS_LOG_EVENT_LINE_H_

#include "mulberryvalve/core/base/time.h"
#include "mulberryvalve/ports/out/event_log.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace mulberryvalve {

// kMaxEventValueBytes limits a value before escaping, kMaxEventLineBytes the
// whole line. A truncated value ends in "...", and a line with omitted fields
// ends in "truncated=true".
inline constexpr size_t kMaxEventValueBytes = 1024;
inline constexpr size_t kMaxEventLineBytes = 8192;

// FormatEventLine formats `TIME LEVEL event=aName key=value ...` without a
// trailing newline; TIME is UTC with milliseconds. A value is quoted when it is
// empty or contains a space, quote, backslash, '=' or a byte that is not
// printable ASCII. Newlines are escaped as \n and other such bytes as \xNN, so
// a value cannot forge a log line. In names, bytes other than letters, digits,
// '_', '.' and '-' become '_'.
// Thread-safe.
std::string FormatEventLine(WallTime aTime,
                            EventLevel aLevel,
                            std::string_view aName,
                            const std::vector<EventField>& aFields);

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_LOG4CPLUS_LOG_EVENT_LINE_H_
