// OwnershipSummary: what an owner that has ended did on the workers of its
// shard, as it tells its successors.
#ifndef MULBERRYVALVE_CORE_JOBS_OWNERSHIP_SUMMARY_H_
#define MULBERRYVALVE_CORE_JOBS_OWNERSHIP_SUMMARY_H_

#include "mulberryvalve/core/base/time.h"
#include "mulberryvalve/core/jobs/unrecorded_start_list.h"
#include "mulberryvalve/core/model/ids.h"

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace mulberryvalve {

// ToldWorker is what a former owner tells of one worker: how long its leases
// there may last from the answer on, by its own clock, or that it never renewed
// or started anything there.
struct ToldWorker
{
  WorkerId mWorker;
  std::optional<Milliseconds> mLeasesLeft{};
};

// ToldUse is what a former owner that has ended tells of the workers that it
// was asked about and for which it can. mUnrecorded are all starts that it may
// have sent to these workers and that it does not know to be on the log; unset
// if it can't name all.
struct ToldUse
{
  std::vector<ToldWorker> mWorkers;
  std::optional<std::vector<UnrecordedStart>> mUnrecorded{};
};

// Bounds of a question and of its answer.
inline constexpr size_t kMaxToldWorkers = 64;
inline constexpr size_t kMaxToldStarts = 512;

// Take it only once the owner sends nothing any more. Immutable; copies are
// independent.
class OwnershipSummary
{
public:
  // The leases of a worker have certainly expired by the time; without one,
  // the worker was never used.
  using LeaseEnds = std::map<WorkerId, std::optional<MonotonicTime>>;

  // Of an owner that used no worker at all, as it loaded nothing.
  OwnershipSummary() = default;

  // Of an owner that tells nothing of workers that are not in aLeaseEnds.
  OwnershipSummary(LeaseEnds aLeaseEnds, UnrecordedStartList aStarts);

  // Returns what to tell of aWorkers, of the first kMaxToldWorkers at most, in
  // an answer at aNow.
  ToldUse TellOf(const std::vector<WorkerId>& aWorkers,
                 MonotonicTime aNow) const;

private:
  bool mHasLoaded = false;
  LeaseEnds mLeaseEnds;
  UnrecordedStartList mStarts;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_OWNERSHIP_SUMMARY_H_
