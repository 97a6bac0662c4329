#include "mulberryvalve/core/scheduler/preemption.h"

#include <algorithm>
#include <tuple>

namespace mulberryvalve {
namespace {

struct Victim
{
  const TaskEntry* mTask = nullptr;
  Milliseconds mUnsavedProgress{ 0 };
};

bool IsPreemptible(const PreemptionView& aView,
                   const TaskEntry& aVictim,
                   Priority aPriority)
{
  return aVictim.mState == TaskState::kRunning &&
         aVictim.mDemand->mKind == TaskKind::kBatch &&
         aView.mColocation.BasePriority(*aVictim.mDemand) > aPriority &&
         !aVictim.mCancelRequested && !aView.mHasPendingAction(aVictim.mId);
}

// Returns the tasks of aWorker that may be preempted, in the order in which
// they are to be stopped.
std::vector<Victim> PreemptionCandidates(const PreemptionView& aView,
                                         const PooledWorker& aWorker,
                                         Priority aPriority)
{
  std::vector<Victim> victims;
  for (const TaskEntry* entry : aWorker.mTasks) {
    if (IsPreemptible(aView, *entry, aPriority)) {
      victims.push_back(
        { entry,
          aView.mColocation.UnsavedProgressOf(aWorker.mSpec.mId, entry->mId) });
    }
  }
  std::sort(victims.begin(),
            victims.end(),
            [](const Victim& aLeft, const Victim& aRight) {
              return std::make_tuple(aRight.mTask->mDemand->mPriority,
                                     aLeft.mUnsavedProgress,
                                     aLeft.mTask->mId) <
                     std::make_tuple(aLeft.mTask->mDemand->mPriority,
                                     aRight.mUnsavedProgress,
                                     aRight.mTask->mId);
            });
  return victims;
}

} // namespace

std::vector<const TaskEntry*> FindPreemptionVictims(const PreemptionView& aView,
                                                    const TaskEntry& aTask)
{
  const Priority priority = aView.mColocation.BasePriority(*aTask.mDemand);
  std::vector<const TaskEntry*> best;
  Milliseconds bestLoss{ 0 };
  for (const PooledWorker& worker : aView.mPool.All()) {
    if (!worker.Accepts() ||
        !aTask.mDemand->mResources.FitsIn(worker.Allocatable())) {
      continue;
    }
    Resources free = worker.Free();
    Milliseconds loss{ 0 };
    std::vector<const TaskEntry*> chosen;
    for (const Victim& victim : PreemptionCandidates(aView, worker, priority)) {
      if (aTask.mDemand->mResources.FitsIn(free)) {
        break;
      }
      free += victim.mTask->mDemand->mResources;
      loss += victim.mUnsavedProgress;
      chosen.push_back(victim.mTask);
    }
    if (!aTask.mDemand->mResources.FitsIn(free)) {
      continue;
    }
    if (best.empty() || std::make_pair(chosen.size(), loss) <
                          std::make_pair(best.size(), bestLoss)) {
      best = std::move(chosen);
      bestLoss = loss;
    }
  }
  return best;
}

} // namespace mulberryvalve
