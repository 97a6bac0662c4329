// Splits appends so that each one is within the limits of the log.
#ifndef MULBERRYVALVE_APP_JOBS_APPEND_SPLITTING_H_
#define MULBERRYVALVE_APP_JOBS_APPEND_SPLITTING_H_

#include "mulberryvalve/core/jobs/shard_scheduler.h"
#include "mulberryvalve/ports/out/job_log_codec.h"
#include "mulberryvalve/ports/out/keyed_log.h"

#include <vector>

namespace mulberryvalve {

// Splits aEntries, keeping their order, into appends within aLimits.
// Precondition: no entry is above the record limit.
std::vector<std::vector<KeyedEntry>> SplitEntries(
  std::vector<KeyedEntry> aEntries,
  const KeyedLogLimits& aLimits);

// One append of a shard owner and the part of the batch that it makes durable.
struct ProgressAppend
{
  ProgressBatch mBatch;
  std::vector<KeyedEntry> mEntries;
};

// A batch split into appends, in order.
struct ProgressAppends
{
  std::vector<ProgressAppend> mAppends;
  // Records above the record limit, which are in no append.
  std::vector<Failure> mTooLarge;
};

// Splits aBatch into at least one append. The end reports of workers are in the
// last one only, because they count as durable only with the records of all
// appends.
ProgressAppends SplitBatch(const ProgressBatch& aBatch,
                           const JobLogCodec& aCodec,
                           const KeyedLogLimits& aLimits);

// FitsRequest returns whether aEntries fit into one call. WithRoomFor returns
// the limits of calls to each of which aBytes are added later.
bool FitsRequest(const std::vector<KeyedEntry>& aEntries,
                 const KeyedLogLimits& aLimits);
KeyedLogLimits WithRoomFor(size_t aBytes, const KeyedLogLimits& aLimits);

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_JOBS_APPEND_SPLITTING_H_
