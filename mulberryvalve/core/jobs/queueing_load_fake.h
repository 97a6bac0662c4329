// Simulated loads of more jobs than there is capacity, by name, for tests and
// benchmarks of queueing policies.
#ifndef MULBERRYVALVE_CORE_JOBS_QUEUEING_LOAD_FAKE_H_
#define MULBERRYVALVE_CORE_JOBS_QUEUEING_LOAD_FAKE_H_

#include "mulberryvalve/core/base/enum_table.h"
#include "mulberryvalve/core/base/time.h"
#include "mulberryvalve/core/jobs/queueing_policy.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace mulberryvalve {

enum class QueueingLoad
{
  kBatchBurst,
  kCounterBurst,
  kBacklogPastUse,
  kLargeBehindSmall,
  kHopelessJobs,
  kDomainGone,
  kAccountFlood,
  kFloodWithoutAccounts,
  kTwoPriorities,
};

inline constexpr EnumTable<QueueingLoad, 9> kQueueingLoadNames{ {
  { { QueueingLoad::kBatchBurst, "burst_of_batch" },
    { QueueingLoad::kCounterBurst, "burst_of_counter_jobs" },
    { QueueingLoad::kBacklogPastUse, "backlog_past_use" },
    { QueueingLoad::kLargeBehindSmall, "large_behind_small" },
    { QueueingLoad::kHopelessJobs, "hopeless_jobs" },
    { QueueingLoad::kDomainGone, "half_of_workers_gone" },
    { QueueingLoad::kAccountFlood, "flood_of_one_account" },
    { QueueingLoad::kFloodWithoutAccounts, "flood_without_accounts" },
    { QueueingLoad::kTwoPriorities, "two_priorities" } },
} };

// The size of a job by its actual work among all jobs of the load.
enum class JobSize
{
  kLargestTenth,
  kNextFifth,
  kRest,
};

inline constexpr EnumTable<JobSize, 3> kJobSizeNames{ {
  { { JobSize::kLargestTenth, "largest_tenth" },
    { JobSize::kNextFifth, "next_fifth" },
    { JobSize::kRest, "rest" } },
} };

// JobOutcomes counts jobs by when they ended: up to their objective, up to
// three times that, or later or not at all.
struct JobOutcomes
{
  int mInTime = 0;
  int mLate = 0;
  int mLost = 0;

  int Total() const { return mInTime + mLate + mLost; }

  // Worth returns what the callers have of the jobs, 1 for each in time.
  double Worth() const;
};

struct QueueingResult
{
  JobOutcomes mAll;
  std::map<std::string, JobOutcomes> mByKind;
  std::map<JobSize, JobOutcomes> mBySize;
  // The longest time from acceptance to the end of a job, or to the end of the
  // simulation for one that had not ended by then.
  std::map<std::string, Milliseconds> mLongestByKind;
  // Jobs that had not ended when the simulation did.
  std::map<std::string, int> mUnfinishedByKind;
  size_t mViolations = 0;
};

// SimulateLoad plays a load under aOrder, wrapped by FairSharePolicy as in an
// instance, and sums the results of aSeeds seeds from aFirstSeed on. The same
// seed gives the same jobs under every order.
QueueingResult SimulateLoad(QueueingLoad aLoad,
                            const QueueingPolicy& aOrder,
                            uint32_t aFirstSeed,
                            uint32_t aSeeds);

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_QUEUEING_LOAD_FAKE_H_
