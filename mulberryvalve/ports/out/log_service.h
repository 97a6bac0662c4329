// LogService: the platform's append-only log, the only durable storage.
#ifndef MULBERRYVALVE_PORTS_OUT_LOG_SERVICE_H_
#define MULBERRYVALVE_PORTS_OUT_LOG_SERVICE_H_

#include "mulberryvalve/core/base/failure.h"
#include "mulberryvalve/core/base/time.h"
#include "mulberryvalve/core/records/record.h"

#include <cstdint>
#include <vector>

namespace mulberryvalve {

// LogPage is the result of a read. mOldest is the oldest retained offset and
// mNext the offset of the next append. An entry that is not a valid record is
// returned as an UnreadableRecord.
struct LogPage
{
  Offset mOldest;
  Offset mNext;
  std::vector<StoredRecord> mRecords;
};

// AppendedRange is the contiguous offset range [mFirst, mNext) of one append.
struct AppendedRange
{
  Offset mFirst;
  Offset mNext;
};

// LogService appends to and reads from named streams. Implementations are
// thread-safe and block until a response, a failure or their own timeout.
class LogService
{
public:
  virtual ~LogService() = default;

  // Append appends aRecords in order, all or none. Errors: with kLogRateLimited
  // and kTooLarge nothing was appended; with kLogUnavailable and kLogAnswerLost
  // the outcome is unknown, and the caller must read the stream to learn it.
  virtual Result<AppendedRange> Append(
    const StreamName& aStream,
    const std::vector<LogRecord>& aRecords) = 0;

  // Read returns up to aLimit records from aFrom on and waits up to aWait for
  // the first one. Errors: kLogUnavailable if the service reports an outage,
  // kLogAnswerLost if there was no response, kOffsetExpired if aFrom is no
  // longer retained.
  virtual Result<LogPage> Read(const StreamName& aStream,
                               Offset aFrom,
                               uint32_t aLimit,
                               Milliseconds aWait) = 0;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_PORTS_OUT_LOG_SERVICE_H_
