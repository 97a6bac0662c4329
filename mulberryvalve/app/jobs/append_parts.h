// Appends that are split so that the log takes each part.
#ifndef MULBERRYVALVE_APP_JOBS_APPEND_PARTS_H_
#define MULBERRYVALVE_APP_JOBS_APPEND_PARTS_H_

#include "mulberryvalve/core/jobs/job_shard.h"
#include "mulberryvalve/ports/out/job_log_codec.h"
#include "mulberryvalve/ports/out/keyed_log.h"

#include <vector>

namespace mulberryvalve {

// SplitEntries splits aEntries, in their order, into calls within aLimits.
// Precondition: each entry is within the limit of a record.
std::vector<std::vector<KeyedEntry>> SplitEntries(
  std::vector<KeyedEntry> aEntries,
  const KeyedLogLimits& aLimits);

// ProgressAppend is one call of an owner and what is durable after it.
struct ProgressAppend
{
  ProgressBatch mBatch;
  std::vector<KeyedEntry> mEntries;
};

// ProgressAppends is a batch in calls, in their order.
struct ProgressAppends
{
  std::vector<ProgressAppend> mAppends;
  // Records above the limit of one, which no call carries.
  std::vector<Failure> mTooLarge;
};

// SplitBatch splits aBatch. Ends of workers count as durable with the last part
// only, since the records of all parts may rest on them. There is always a
// part.
ProgressAppends SplitBatch(const ProgressBatch& aBatch,
                           const JobLogCodec& aCodec,
                           const KeyedLogLimits& aLimits);

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_JOBS_APPEND_PARTS_H_
