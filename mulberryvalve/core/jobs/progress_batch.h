// ProgressBatch: what an owner appends to the log at a time.
#ifndef MULBERRYVALVE_CORE_JOBS_PROGRESS_BATCH_H_
#define MULBERRYVALVE_CORE_JOBS_PROGRESS_BATCH_H_

#include "mulberryvalve/core/base/enum_table.h"
#include "mulberryvalve/core/jobs/job_state.h"
#include "mulberryvalve/core/jobs/learned_record.h"
#include "mulberryvalve/core/jobs/used_worker_record.h"
#include "mulberryvalve/core/jobs/worker_move.h"

#include <optional>
#include <vector>

namespace mulberryvalve {

// AppendDemand is what waits for an append.
enum class AppendDemand
{
  kNone,
  kChanges, // changes of records, but no start
  kStarts,  // starts that are sent once their records are durable
};

inline constexpr EnumTable<AppendDemand, 3> kAppendDemandNames{ { {
  { AppendDemand::kNone, "none" },
  { AppendDemand::kChanges, "changes" },
  { AppendDemand::kStarts, "starts" },
} } };

// ProgressBatch is what to append to the log next. Pass it to OnDurable once it
// is durable.
struct ProgressBatch
{
  // The most jobs of one batch, and of those retired.
  static constexpr size_t kMaxJobs = 400;

  // AckedEnds is the number of the last task end of a worker that the batch
  // covers.
  struct AckedEnds
  {
    WorkerId mWorker;
    WorkerIncarnation mWorkerIncarnation;
    EndNumber mNumber;
  };

  std::vector<JobRecord> mJobs;
  std::vector<RetiredJob> mRetired;
  std::vector<UsedWorkerRecord> mWorkers;
  std::vector<WorkerId> mRemovedWorkers;
  // Workers that belong to other shards from then on.
  std::vector<WorkerMove> mMoves;
  // Former owners whose runs have all ended, so their claims are not needed.
  std::vector<Epoch> mEndedClaims;
  std::vector<AckedEnds> mAckedEnds;
  // Set at intervals, and only if the batch holds something else to append.
  std::optional<LearnedRecord> mLearned;

  // Returns whether there is nothing that needs an append.
  bool Empty() const
  {
    return mJobs.empty() && mRetired.empty() && mWorkers.empty() &&
           mRemovedWorkers.empty() && mMoves.empty() && mEndedClaims.empty();
  }
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_PROGRESS_BATCH_H_
