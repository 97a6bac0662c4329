#include "mulberryvalve/adapters/log4cplus_log/log4cplus_event_log.h"

#include "mulberryvalve/adapters/log4cplus_log/event_line.h"

#include <climits>
#include <fstream>
#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/hierarchy.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <utility>

namespace mulberryvalve {
namespace {

constexpr bool kImmediateFlush = true;
// POSIX guarantees that a pipe write of up to PIPE_BUF bytes is atomic.
constexpr size_t kMaxWriteBytes = PIPE_BUF;
constexpr size_t kReservedNewlineBytes = 2;

log4cplus::LogLevel ToLog4cplusLevel(EventLevel aLevel)
{
  switch (aLevel) {
    case EventLevel::kDebug:
      return log4cplus::DEBUG_LOG_LEVEL;
    case EventLevel::kInfo:
      return log4cplus::INFO_LOG_LEVEL;
    case EventLevel::kWarn:
      return log4cplus::WARN_LOG_LEVEL;
    case EventLevel::kError:
      break;
  }
  return log4cplus::ERROR_LOG_LEVEL;
}

log4cplus::SharedAppenderPtr MakeAppender(const std::string& aFile,
                                          LogStream aStream)
{
  if (aFile.empty()) {
    const bool logToStandardError = aStream == LogStream::kStandardError;
    return log4cplus::SharedAppenderPtr(
      new log4cplus::ConsoleAppender(logToStandardError, kImmediateFlush));
  }
  return log4cplus::SharedAppenderPtr(new log4cplus::FileAppender(
    LOG4CPLUS_STRING_TO_TSTRING(aFile), std::ios_base::app, kImmediateFlush));
}

} // namespace

// Sink owns a log4cplus logger hierarchy of its own, so that several logs in a
// process do not share appenders.
class Log4cplusEventLog::Sink
{
public:
  Sink(EventLevel aMinLevel, const std::string& aFile, LogStream aStream)
    : mLogger(mHierarchy.getInstance(LOG4CPLUS_TEXT("mulberryvalve")))
  {
    auto appender = MakeAppender(aFile, aStream);
    appender->setLayout(
      std::make_unique<log4cplus::PatternLayout>(LOG4CPLUS_TEXT("%m%n")));
    mLogger.setLogLevel(ToLog4cplusLevel(aMinLevel));
    mLogger.addAppender(appender);
  }
  ~Sink() { mHierarchy.shutdown(); }
  Sink(const Sink&) = delete;
  Sink& operator=(const Sink&) = delete;

  void Write(EventLevel aLevel, const std::string& aLine)
  {
    mLogger.log(ToLog4cplusLevel(aLevel), LOG4CPLUS_STRING_TO_TSTRING(aLine));
  }

private:
  log4cplus::Initializer mInitializer;
  log4cplus::Hierarchy mHierarchy;
  log4cplus::Logger mLogger;
};

Result<std::unique_ptr<Log4cplusEventLog>> Log4cplusEventLog::Open(
  const Clock& aClock,
  EventLevel aMinLevel,
  const std::string& aFile,
  LogStream aStream)
{
  if (!aFile.empty() && !std::ofstream(aFile, std::ios_base::app)) {
    return Fail(FailureKind::kInvalidInput, "log-file", "cannot be opened");
  }
  auto sink = std::make_unique<Sink>(aMinLevel, aFile, aStream);
  return std::unique_ptr<Log4cplusEventLog>(
    new Log4cplusEventLog(aClock, aMinLevel, std::move(sink)));
}

Log4cplusEventLog::Log4cplusEventLog(const Clock& aClock,
                                     EventLevel aMinLevel,
                                     std::unique_ptr<Sink> aSink)
  : mClock(aClock)
  , mMinLevel(aMinLevel)
  , mSink(std::move(aSink))
{
}

Log4cplusEventLog::~Log4cplusEventLog() = default;

void Log4cplusEventLog::Write(EventLevel aLevel,
                              std::string_view aName,
                              const std::vector<EventField>& aFields)
{
  if (aLevel < mMinLevel) {
    return;
  }
  mSink->Write(aLevel,
               FormatEventLine(mClock.WallNow(), aLevel, aName, aFields));
}

void Log4cplusEventLog::WriteBatch(const std::vector<LoggedEvent>& aEvents)
{
  std::string lines;
  for (const LoggedEvent& event : aEvents) {
    if (event.mLevel < mMinLevel) {
      continue;
    }
    const std::string line =
      FormatEventLine(event.mAt, event.mLevel, event.mName, event.mFields);
    if (lines.size() + line.size() + kReservedNewlineBytes > kMaxWriteBytes) {
      WriteLines(lines);
    }
    lines += lines.empty() ? "" : "\n";
    lines += line;
  }
  WriteLines(lines);
}

void Log4cplusEventLog::WriteLines(std::string& aLines)
{
  if (!aLines.empty()) {
    // Each line already contains its level; this one only passes the filter.
    mSink->Write(mMinLevel, aLines);
    aLines.clear();
  }
}

} // namespace mulberryvalve
