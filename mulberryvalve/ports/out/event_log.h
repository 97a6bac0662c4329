// EventLog: the structured process log, one line per event, with stable event
// and field names.
#ifndef MULBERRYVALVE_PORTS_OUT_EVENT_LOG_H_
#define MULBERRYVALVE_PORTS_OUT_EVENT_LOG_H_

#include "mulberryvalve/core/base/enum_table.h"
#include "mulberryvalve/core/base/time.h"

#include <string>
#include <string_view>
#include <vector>

namespace mulberryvalve {

enum class EventLevel
{
  kDebug,
  kInfo,
  kWarn,
  kError,
};

inline constexpr EnumTable<EventLevel, 4> kEventLevelNames{ { {
  { EventLevel::kDebug, "debug" },
  { EventLevel::kInfo, "info" },
  { EventLevel::kWarn, "warn" },
  { EventLevel::kError, "error" },
} } };

// EventField is one key-value pair of an event.
struct EventField
{
  std::string mKey;
  std::string mValue;
};

// LoggedEvent is an event with the time at which it occurred.
struct LoggedEvent
{
  WallTime mAt;
  EventLevel mLevel = EventLevel::kInfo;
  std::string mName;
  std::vector<EventField> mFields;
};

// EventLog writes events. Implementations are thread-safe.
class EventLog
{
public:
  virtual ~EventLog() = default;

  // Write logs one event, as `event=aName key=value ...`.
  virtual void Write(EventLevel aLevel,
                     std::string_view aName,
                     const std::vector<EventField>& aFields) = 0;
};

// EventBatchLog writes batches of events that were recorded earlier.
// Implementations are thread-safe.
class EventBatchLog
{
public:
  virtual ~EventBatchLog() = default;

  // WriteBatch logs aEvents in order, possibly with a single write.
  virtual void WriteBatch(const std::vector<LoggedEvent>& aEvents) = 0;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_PORTS_OUT_EVENT_LOG_H_
