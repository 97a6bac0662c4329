// ShardScheduler: gangs, and steps whose tasks are to be on one rack.
#include "mulberryvalve/core/jobs/shard_scheduler.h"

#include <algorithm>
#include <utility>

namespace mulberryvalve {
namespace {

// How long a step waits for room on one rack. It may run on several, where it
// takes longer, but must not stand still beside idle workers.
constexpr Milliseconds kRackWait{ 1000 };
// The racks on which a gang is tried in one pass. More than one is needed only
// where the first members leave a worker too little for its services.
constexpr size_t kMaxRacksTried = 3;

bool HasWaitedForRack(const StepState& aStep, MonotonicTime aNow)
{
  return aStep.mWaitingSince != MonotonicTime() &&
         aNow >= aStep.mWaitingSince + kRackWait;
}

// Returns the racks to try for a gang, the best one first. A rack without a
// name stands for all workers.
std::vector<RackId> RacksForGang(WorkerSearch& aSearch,
                                 const PlacementQuery& aQuery,
                                 const StepState& aStep)
{
  const StepSpec& spec = aQuery.mStep;
  if (!spec.mSameRack) {
    return { RackId() };
  }
  std::vector<RackId> racks = aSearch.RacksWithRoom(aQuery, spec.mCount);
  racks.resize(std::min(racks.size(), kMaxRacksTried));
  if (racks.empty() && HasWaitedForRack(aStep, aQuery.mNow)) {
    racks.emplace_back();
  }
  return racks;
}

// Returns workers for the members of a gang, fewer than there are members if no
// more are found. Charges nothing.
std::vector<WorkerEntry*> ChooseForGang(WorkerSearch& aSearch,
                                        WorkerTable& aWorkers,
                                        const PlacementQuery& aQuery,
                                        const StepRef& aStep,
                                        std::map<WorkerId, uint32_t>& aPlaced)
{
  const StepSpec& spec = aQuery.mStep;
  std::vector<WorkerEntry*> chosen;
  for (uint32_t index = 0; index < spec.mCount; index++) {
    WorkerEntry* worker = aSearch.Choose(aQuery, aStep);
    if (worker == nullptr) {
      if (chosen.empty()) {
        aSearch.RememberRefusal(aQuery, aStep);
      }
      break;
    }
    aWorkers.Charge(*worker, TaskRef{ aStep, index }, spec);
    aPlaced[worker->mInfo.mId]++;
    chosen.push_back(worker);
  }
  for (uint32_t index = 0; index < chosen.size(); index++) {
    aWorkers.Release(*chosen[index], TaskRef{ aStep, index }, spec);
  }
  aPlaced.clear();
  return chosen;
}

} // namespace

// Starts all members of a gang or none, and only once no member of an earlier
// run can be left. The members of a lasting gang that has lost one are stopped
// for that: they work only together, and never end by themselves.
void ShardScheduler::PlaceGang(JobEntry& aJob,
                               const StepRef& aStep,
                               MonotonicTime aNow)
{
  const StepSpec& spec = mJobTable.SpecOf(aStep);
  StepState& step = mJobTable.StepOf(aStep);
  uint32_t placeable = 0;
  for (uint32_t index = 0; index < spec.mCount; index++) {
    placeable += CanPlace(aJob, TaskRef{ aStep, index }) ? 1 : 0;
  }
  if (placeable < spec.mCount) {
    if (spec.mLongRunning && placeable > 0) {
      StopGang(aStep);
    }
    return;
  }
  PlacementQuery query = MakePlacementQuery(aJob, aStep, aNow);
  std::vector<WorkerEntry*> chosen;
  for (const RackId& rack : RacksForGang(mSearch, query, step)) {
    query.mRequiredRack = rack;
    chosen =
      ChooseForGang(mSearch, mWorkers, query, aStep, step.mTasksPerWorker);
    ApplyWorkerChanges(aNow);
    if (chosen.size() == spec.mCount) {
      break;
    }
  }
  if (chosen.size() < spec.mCount) {
    step.mRefusedAt = aNow;
    return;
  }
  const RunNumber run = NextRunNumber(aJob);
  for (uint32_t index = 0; index < spec.mCount; index++) {
    OrderStart(aJob, TaskRef{ aStep, index }, *chosen[index], run, aNow);
  }
}

// Stops the members of a gang of which one is missing.
void ShardScheduler::StopGang(const StepRef& aStep)
{
  const std::vector<TaskProgress>& members = mJobTable.StepOf(aStep).mTasks;
  for (uint32_t index = 0; index < members.size(); index++) {
    if (members[index].mPhase == TaskPhase::kRunning) {
      OrderStop(TaskRef{ aStep, index }, "its gang is not whole");
    }
  }
}

// A lasting task that has waited for its rack may run on another one.
PlacementQuery ShardScheduler::MakePlacementQuery(const JobEntry& aJob,
                                                  const StepRef& aStep,
                                                  MonotonicTime aNow)
{
  const StepSpec& spec = mJobTable.SpecOf(aStep);
  const StepState& step = mJobTable.StepOf(aStep);
  const bool mayLeaveRack = spec.mLongRunning && HasWaitedForRack(step, aNow);
  RackId onlyRack;
  if (spec.mSameRack && !step.mTasksPerWorker.empty() && !mayLeaveRack) {
    const WorkerEntry* first =
      mWorkers.Find(step.mTasksPerWorker.begin()->first);
    onlyRack = first == nullptr ? RackId() : first->mInfo.mRack;
  }
  return PlacementQuery{ spec,
                         RulesOf(aJob).mService,
                         step.mTasksPerWorker,
                         mInterference,
                         mConfig.mExcludedDomains,
                         onlyRack,
                         WorkerId(),
                         HasWaitedTooLong(aJob, step, aNow),
                         aNow };
}

} // namespace mulberryvalve
