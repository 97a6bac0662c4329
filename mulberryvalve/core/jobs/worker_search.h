// WorkerSearch: finds the workers that tasks go to, by looking at as few of
// them as it can.
#ifndef MULBERRYVALVE_CORE_JOBS_WORKER_SEARCH_H_
#define MULBERRYVALVE_CORE_JOBS_WORKER_SEARCH_H_

#include "mulberryvalve/core/jobs/job_placement.h"

#include <map>
#include <tuple>
#include <vector>

namespace mulberryvalve {

// WorkerSearch returns what a look at all workers would. It is not
// synchronised, and both references must outlive it.
//
// The equal tasks of one step share one look: a worker's cost changes only when
// a task is charged to it. A kind of step that no worker could run is looked
// for among the workers that have changed since. It answers the pattern of a
// backlog beyond the room, in which each end of a task lets one more start.
class WorkerSearch
{
public:
  WorkerSearch(const JobPlacement& aPlacement, WorkerTable& aWorkers);

  // BeginPass takes in the workers that changed since the last call; between it
  // and a call of Choose nothing changes but by what Choose led to.
  void BeginPass(const std::vector<WorkerRoom*>& aChanged, MonotonicTime aNow);

  // Choose returns the worker of the lowest cost, the first by id among equals,
  // or null when none may run a task of aStep.
  WorkerRoom* Choose(const PlacementQuery& aQuery, const StepRef& aStep);

  // RememberRefusal says that Choose has just returned null, and that nothing
  // that is charged will be taken back within the pass.
  void RememberRefusal(const PlacementQuery& aQuery, const StepRef& aStep);

  // ForgetRefusals is called when something else than a worker changed that may
  // let a step start that no worker could run.
  void ForgetRefusals();

  // ForgetPressure is called when only what is known of images did.
  void ForgetPressure();

  // Looks counts the workers looked at since the beginning.
  size_t Looks() const { return mEvaluations; }
  void CountLooks(size_t aCount) { mEvaluations += aCount; }

private:
  // RefusalKey is what the refusals of steps depend on beside their demand.
  // Steps that depend on more are a kind of their own each.
  struct RefusalKey
  {
    bool mHasWaitedLong = false;
    bool mFills = false;
    bool mLasting = false;
    ImageNumber mImage = 0;
    ServiceId mService;
    StepRef mOnlyStep;
    RackId mRequiredRack;

    friend bool operator<(const RefusalKey& aLeft, const RefusalKey& aRight)
    {
      return aLeft.Fields() < aRight.Fields();
    }

  private:
    std::tuple<bool,
               bool,
               bool,
               const ImageNumber&,
               const ServiceId&,
               const StepRef&,
               const RackId&>
    Fields() const
    {
      return { mHasWaitedLong, mFills,    mLasting,     mImage,
               mService,       mOnlyStep, mRequiredRack };
    }
  };

  // Refusal is a step that no worker could run, but for those that changed
  // since.
  struct Refusal
  {
    StepSpec mStep;
    // Changes up to this one are taken in.
    size_t mAppliedChanges = 0;
    std::vector<WorkerRoom*> mCandidates;
  };

  // RefusalGroup are those of one kind, none of which asks for as much as
  // another.
  struct RefusalGroup
  {
    std::vector<Refusal> mMinimal;
    MonotonicTime mLastUsedAt;
  };

  // ScoredWorker is a worker that may run the step.
  struct ScoredWorker
  {
    int64_t mCost = 0;
    WorkerRoom* mWorker = nullptr;

    // IsWorse orders a heap with the best offer on top.
    static bool IsWorse(const ScoredWorker& aLeft, const ScoredWorker& aRight)
    {
      return std::tie(aRight.mCost, aRight.mWorker->mFacts.mId) <
             std::tie(aLeft.mCost, aLeft.mWorker->mFacts.mId);
    }
  };

  static RefusalKey KeyOf(const PlacementQuery& aQuery, const StepRef& aStep);
  static Refusal* FindCovering(RefusalGroup& aGroup, const StepSpec& aStep);
  void ApplyChanges(Refusal& aRefusal, const PlacementQuery& aQuery);
  void CollectCandidates(const PlacementQuery& aQuery, const StepRef& aStep);
  void ReevaluateChosen(const PlacementQuery& aQuery);
  void AddIfPlaceable(const PlacementQuery& aQuery, WorkerRoom& aWorker);
  std::optional<int64_t> Evaluate(const PlacementQuery& aQuery,
                                  const WorkerRoom& aWorker);

  const JobPlacement& mPlacement;
  WorkerTable& mWorkers;
  std::map<RefusalKey, RefusalGroup> mRefusalGroups;
  // The workers that changed, in order.
  std::vector<WorkerRoom*> mChanges;
  uint64_t mRemovals = 0;
  MonotonicTime mNow;
  MonotonicTime mNextCleanupAt;
  // The offers for one step at a time, as a heap.
  bool mHasCandidates = false;
  StepRef mStep;
  bool mHasWaitedLong = false;
  RackId mRequiredRack;
  WorkerId mFailedAt;
  std::vector<ScoredWorker> mScoredWorkers;
  WorkerRoom* mLastChosen = nullptr;
  size_t mEvaluations = 0;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_WORKER_SEARCH_H_
