// RecordAppender: an asynchronous append to one stream.
#ifndef MULBERRYVALVE_APP_STREAMS_RECORD_APPENDER_H_
#define MULBERRYVALVE_APP_STREAMS_RECORD_APPENDER_H_

#include "mulberryvalve/core/base/failure.h"
#include "mulberryvalve/core/records/record.h"

#include <functional>
#include <vector>

namespace mulberryvalve {

// AppendDone is called once with the offset of the first record, or with the
// failure.
using AppendDone = std::function<void(const Result<Offset>&)>;

// RecordAppender appends to one stream in the order given. Implementations are
// thread-safe.
class RecordAppender
{
public:
  virtual ~RecordAppender() = default;

  // Submit queues aRecords under aEpoch and does not block. aDone must not
  // block; it may be called within Submit when the records are refused. Errors
  // passed to it: kLogUnavailable (nothing was appended), kOverloaded,
  // kTooLarge, kShuttingDown, kUnknownOutcome.
  virtual void Submit(std::vector<Record> aRecords,
                      Epoch aEpoch,
                      AppendDone aDone) = 0;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_STREAMS_RECORD_APPENDER_H_
