// JobPlacement: which worker a task of a step goes to.
#ifndef MULBERRYVALVE_CORE_JOBS_JOB_PLACEMENT_H_
#define MULBERRYVALVE_CORE_JOBS_JOB_PLACEMENT_H_

#include "mulberryvalve/core/jobs/worker_table.h"

#include <map>
#include <optional>
#include <set>

namespace mulberryvalve {

// PlacementQuery is one task to place. All references must outlive the call.
struct PlacementQuery
{
  const StepSpec& mStep;
  const ServiceId& mService;
  // How many tasks of the same step and occurrence each worker has.
  const std::map<WorkerId, uint32_t>& mSiblings;
  // What is known of how images disturb each other.
  const InterferenceBook& mInterference;
  // Failure domains that get nothing new.
  const std::set<DomainId>& mDomainsOut;
  // Set when all tasks of the step must be in one rack and some are.
  RackId mRequiredRack;
  // Where the task failed last; another worker is tried if there is one.
  WorkerId mFailedAt;
  // The step has waited so long that it may press on services, at the pace that
  // these bear.
  bool mHasWaitedLong = false;
  MonotonicTime mNow;
};

// PlacementRefusal is why a worker does not get a task.
enum class PlacementRefusal
{
  kNone,
  kLeaving,   // it leaves or is not listed
  kUnsure,    // what runs there is not known well enough
  kAvoided,   // it refused or failed lately
  kDomainOut, // its failure domain gets nothing new
  kUnsuited,  // another service, label or rack is asked for
  kSiblings,  // it has as many tasks of the step as it may
  kNoRoom,    // its room is committed
  kPressure,  // a service there would miss its target
  kAllUsed,   // its processors are in use
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

// RefusalOf returns why aWorker does not get the task now.
PlacementRefusal RefusalOf(const PlacementQuery& aQuery,
                           const WorkerRoom& aWorker);

// IsEligible tells whether aWorker may run the task but for its room: by its
// service, state, label, domain and the limit of tasks of one step.
bool IsEligible(const PlacementQuery& aQuery, const WorkerRoom& aWorker);

// MayPlace tells whether aWorker may run the task now.
bool MayPlace(const PlacementQuery& aQuery, const WorkerRoom& aWorker);

// MayPlaceWithoutFilling tells whether aWorker could run the task once the
// tasks that fill were stopped there.
bool MayPlaceWithoutFilling(const PlacementQuery& aQuery,
                            const WorkerRoom& aWorker);

// EstimatedCpuUsage returns the thousandths of a core that are likely in use,
// with the serving tasks at their usual load.
int64_t EstimatedCpuUsage(const WorkerRoom& aWorker);

// JobPlacement weighs the workers that may run a task. Implementations hold no
// state that needs a lock.
//
// What CostOn returns depends on the worker and the step alone, and on what is
// known of images; a task that asks for more is refused where one that asks for
// less is. WorkerSearch relies on this.
class JobPlacement
{
public:
  virtual ~JobPlacement() = default;

  // CostOn returns what the task costs on aWorker, or nothing when it may not
  // run there. The lowest cost wins.
  virtual std::optional<int64_t> CostOn(const PlacementQuery& aQuery,
                                        const WorkerRoom& aWorker) const = 0;
};

// LearnedPlacement spreads by what is likely in use and by how much the images
// that would meet disturb each other. It answers the pattern of batch work that
// takes what services leave unused, beside those whom it hardly disturbs.
class LearnedPlacement : public JobPlacement
{
public:
  std::optional<int64_t> CostOn(const PlacementQuery& aQuery,
                                const WorkerRoom& aWorker) const override;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_JOB_PLACEMENT_H_
