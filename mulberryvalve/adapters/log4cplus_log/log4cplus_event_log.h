// Log4cplusEventLog: the process log, written with log4cplus.
#ifndef MULBERRYVALVE_ADAPTERS_LOG4CPLUS_LOG_LOG4CPLUS_EVENT_LOG_H_
#define MULBERRYVALVE_ADAPTERS_LOG4CPLUS_LOG_LOG4CPLUS_EVENT_LOG_H_

#include "mulberryvalve/core/base/failure.h"
#include "mulberryvalve/ports/out/clock.h"
#include "mulberryvalve/ports/out/event_log.h"

#include <memory>
#include <string>

namespace mulberryvalve {

// LogStream is the output stream of a log without a file.
enum class LogStream
{
  kStandardError,
  kStandardOutput,
};

inline constexpr EnumTable<LogStream, 2> kLogStreamNames{ { {
  { LogStream::kStandardError, "standard_error" },
  { LogStream::kStandardOutput, "standard_output" },
} } };

// Log4cplusEventLog writes each event at or above its minimum level as one line
// (see FormatEventLine). Thread-safe; lines of different threads are not
// interleaved.
class Log4cplusEventLog
  : public EventLog
  , public EventBatchLog
{
public:
  // Open creates a log that appends to aFile, or writes to aStream when aFile
  // is empty. aClock must outlive it. Errors: kInvalidInput when aFile can't be
  // opened for appending.
  static Result<std::unique_ptr<Log4cplusEventLog>> Open(
    const Clock& aClock,
    EventLevel aMinLevel,
    const std::string& aFile,
    LogStream aStream = LogStream::kStandardError);

  ~Log4cplusEventLog() override;
  Log4cplusEventLog(const Log4cplusEventLog&) = delete;
  Log4cplusEventLog& operator=(const Log4cplusEventLog&) = delete;

  // Write logs one event and flushes. Drops events below the minimum level.
  void Write(EventLevel aLevel,
             std::string_view aName,
             const std::vector<EventField>& aFields) override;

  // WriteBatch logs the events at or above the minimum level, several lines per
  // write, and flushes each write. A write of more than one line is at most
  // PIPE_BUF bytes, so that it is atomic on a pipe.
  void WriteBatch(const std::vector<LoggedEvent>& aEvents) override;

private:
  class Sink;
  Log4cplusEventLog(const Clock& aClock,
                    EventLevel aMinLevel,
                    std::unique_ptr<Sink> aSink);
  void WriteLines(std::string& aLines);

  const Clock& mClock;
  const EventLevel mMinLevel;
  const std::unique_ptr<Sink> mSink;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_LOG4CPLUS_LOG_LOG4CPLUS_EVENT_LOG_H_
