// Decides which worker a task of a step is placed on.
#ifndef MULBERRYVALVE_CORE_JOBS_JOB_PLACEMENT_POLICY_H_
#define MULBERRYVALVE_CORE_JOBS_JOB_PLACEMENT_POLICY_H_

#include "mulberryvalve/core/jobs/pressure_limit.h"
#include "mulberryvalve/core/jobs/worker_table.h"

#include <map>
#include <optional>
#include <set>

namespace mulberryvalve {

// PlacementQuery describes one task to place. All references must outlive the
// call.
struct PlacementQuery
{
  const StepSpec& mStep;
  const ServiceId& mService;
  // How many tasks of the same step and occurrence each worker has.
  const std::map<WorkerId, uint32_t>& mTasksPerWorker;
  // How much images disturb each other, as learned so far.
  const InterferenceEstimator& mInterference;
  // Failure domains that get no new tasks.
  const std::set<DomainId>& mExcludedDomains;
  // Set if all tasks of the step must be in one rack and some are placed
  // already.
  RackId mRequiredRack;
  // The worker on which the task failed last; any other worker is preferred.
  WorkerId mLastFailedWorker;
  // The step has waited so long that it may be placed beside serving tasks that
  // it disturbs, at a pace that they tolerate.
  bool mHasWaitedLong = false;
  MonotonicTime mNow;
  // The task may be tried on workers that have been avoided for long.
  bool mMayRetryAvoided = false;
  // Set if only workers of this bucket are searched.
  std::optional<size_t> mBucket{};
};

// PlacementRefusal is why a worker cannot take a task.
enum class PlacementRefusal
{
  kNone,
  kLeaving,   // it is leaving, given away or not in the list of workers
  kUnsure,    // its state or runs are not known with certainty
  kAvoided,   // it refused or failed orders recently
  kDomainOut, // its failure domain gets no new tasks
  kUnsuited,  // the task requires another service, label or rack
  kSiblings,  // it has the most tasks of the step that are allowed
  kNoRoom,    // not enough free capacity
  kPressure,  // a serving task there would miss its latency target
  kAllUsed,   // its CPU is in use
};

inline constexpr EnumTable<PlacementRefusal, 10> kPlacementRefusalNames{ { {
  { PlacementRefusal::kNone, "none" },
  { PlacementRefusal::kLeaving, "leaving" },
  { PlacementRefusal::kUnsure, "unsure" },
  { PlacementRefusal::kAvoided, "avoided" },
  { PlacementRefusal::kDomainOut, "domain_out" },
  { PlacementRefusal::kUnsuited, "unsuited" },
  { PlacementRefusal::kSiblings, "siblings" },
  { PlacementRefusal::kNoRoom, "no_room" },
  { PlacementRefusal::kPressure, "pressure" },
  { PlacementRefusal::kAllUsed, "all_used" },
} } };

// IsEligible returns whether aWorker could take the task if it had enough
// capacity: it checks service, state, label, domain, rack and the limit of
// tasks per worker.
bool IsEligible(const PlacementQuery& aQuery, const WorkerEntry& aWorker);

// CanPlace returns whether aWorker is eligible and has the free capacity for
// the task.
bool CanPlace(const PlacementQuery& aQuery, const WorkerEntry& aWorker);

// CanPlaceAfterEviction returns the same, assuming that all best-effort tasks
// were stopped there.
bool CanPlaceAfterEviction(const PlacementQuery& aQuery,
                           const WorkerEntry& aWorker);

// TasksThatFit returns how many tasks of a step fit into the free capacity of a
// worker that can take one, at most aMost.
uint64_t TasksThatFit(const StepSpec& aStep,
                      const WorkerEntry& aWorker,
                      uint64_t aMost);

// EstimatedCpuUsage returns the thousandths of a core that are likely in use,
// with serving tasks at their usual load.
int64_t EstimatedCpuUsage(const WorkerEntry& aWorker);

// JobPlacementPolicy scores the workers that may run a task. Implementations
// hold no state that needs a lock.
//
// The result of CostOn depends on nothing but the worker, the step and the
// learned interference, and a larger demand is refused wherever a smaller one
// is. WorkerSearch relies on this.
class JobPlacementPolicy
{
public:
  virtual ~JobPlacementPolicy() = default;

  // CostOn returns the cost of the task on aWorker, or nothing if it cannot run
  // there. The worker with the lowest cost is chosen.
  virtual std::optional<int64_t> CostOn(const PlacementQuery& aQuery,
                                        const WorkerEntry& aWorker) const = 0;

  // RefusalOn returns why aWorker cannot take the task now, or kNone.
  virtual PlacementRefusal RefusalOn(const PlacementQuery& aQuery,
                                     const WorkerEntry& aWorker) const = 0;

  // NeedsExpectedLoad returns whether the results depend on
  // WorkerEntry::mTolerableSoon.
  virtual bool NeedsExpectedLoad() const { return false; }
};

// LearnedPlacementPolicy spreads tasks by estimated CPU usage and by learned
// interference between images: batch work uses what services leave unused,
// beside those that it hardly disturbs.
class LearnedPlacementPolicy : public JobPlacementPolicy
{
public:
  // aLimit must outlive this object.
  explicit LearnedPlacementPolicy(const PressureLimit& aLimit = kPeakLoadLimit)
    : mLimit(aLimit)
  {
  }

  std::optional<int64_t> CostOn(const PlacementQuery& aQuery,
                                const WorkerEntry& aWorker) const override;
  PlacementRefusal RefusalOn(const PlacementQuery& aQuery,
                             const WorkerEntry& aWorker) const override;
  bool NeedsExpectedLoad() const override { return mLimit.NeedsExpectedLoad(); }

private:
  const PressureLimit& mLimit;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_JOB_PLACEMENT_POLICY_H_
