// Finds the workers for tasks while evaluating as few workers as possible.
#ifndef MULBERRYVALVE_CORE_JOBS_WORKER_SEARCH_H_
#define MULBERRYVALVE_CORE_JOBS_WORKER_SEARCH_H_

#include "mulberryvalve/core/jobs/job_placement_policy.h"

#include <map>
#include <optional>
#include <tuple>
#include <vector>

namespace mulberryvalve {

// WorkerSearch returns the same workers as an exhaustive scan. Not
// synchronised; both references must outlive it.
//
// The equal tasks of one step share one scan, as the cost of a worker changes
// only when a task is charged to it. For a class of steps that no worker could
// run, only workers that changed since are evaluated. This matters in a backlog
// beyond the cluster's capacity, where each end of a task lets one more start.
class WorkerSearch
{
public:
  WorkerSearch(const JobPlacementPolicy& aPlacement, WorkerTable& aWorkers);

  // BeginPass takes the workers that changed since the last call. Until the
  // next call, nothing may change except through placements on the chosen
  // workers.
  void BeginPass(const std::vector<WorkerEntry*>& aChanged, MonotonicTime aNow);

  // Choose returns the worker with the lowest cost, the first by id among
  // equals, or null if none can run a task of aStep.
  WorkerEntry* Choose(const PlacementQuery& aQuery, const StepRef& aStep);

  // ChooseAvoided returns the cheapest worker that can run a task if the query
  // lets it retry avoided workers, or null. Evaluates each worker.
  WorkerEntry* ChooseAvoided(PlacementQuery aQuery);

  // RacksWithRoom returns the racks whose workers together can take aCount
  // tasks of the step, that with the cheapest worker first. Evaluates each
  // worker once. aQuery must require no rack.
  std::vector<RackId> RacksWithRoom(const PlacementQuery& aQuery,
                                    uint64_t aCount);

  // RememberRefusal records that Choose has just returned null. No charge of
  // this pass may be released within the pass.
  void RememberRefusal(const PlacementQuery& aQuery, const StepRef& aStep);

  // ForgetRefusals must be called after a change other than of a worker that
  // may let a refused step start.
  void ForgetRefusals();

  // ForgetBestEffortRefusals must be called instead if nothing but the learned
  // interference changed.
  void ForgetBestEffortRefusals();

  // EvaluationCount returns the number of workers evaluated so far.
  size_t EvaluationCount() const { return mEvaluations; }
  void AddEvaluations(size_t aCount) { mEvaluations += aCount; }

private:
  // RefusalKey identifies steps that are refused alike except for their demand.
  // Steps with further constraints each have a key of their own.
  struct RefusalKey
  {
    bool mHasWaitedLong = false;
    bool mBestEffort = false;
    bool mLongRunning = false;
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
      return { mHasWaitedLong, mBestEffort, mLongRunning, mImage,
               mService,       mOnlyStep,   mRequiredRack };
    }
  };

  // Refusal is a step that no worker could run, except perhaps workers that
  // changed since.
  struct Refusal
  {
    StepSpec mStep;
    // How many entries of mChanges have been evaluated for mCandidates.
    size_t mAppliedChanges = 0;
    std::vector<WorkerEntry*> mCandidates;
  };

  // RefusalGroup holds the refusals with one key, none of which has a demand at
  // least as large as that of another.
  struct RefusalGroup
  {
    std::vector<Refusal> mMinimal;
    MonotonicTime mLastUsedAt;
  };

  // ScoredWorker is a worker that can run the step, with its cost.
  struct ScoredWorker
  {
    int64_t mCost = 0;
    WorkerEntry* mWorker = nullptr;

    // IsWorse orders a heap with the lowest cost on top.
    static bool IsWorse(const ScoredWorker& aLeft, const ScoredWorker& aRight)
    {
      return std::tie(aRight.mCost, aRight.mWorker->mInfo.mId) <
             std::tie(aLeft.mCost, aLeft.mWorker->mInfo.mId);
    }
  };

  // RackRoom is what a rack's workers can take.
  struct RackRoom
  {
    uint64_t mTasks = 0;
    int64_t mLeastCost = 0;
  };

  static RefusalKey KeyOf(const PlacementQuery& aQuery, const StepRef& aStep);
  static Refusal* FindCovering(RefusalGroup& aGroup, const StepSpec& aStep);
  void ApplyChanges(Refusal& aRefusal, const PlacementQuery& aQuery);
  void CollectCandidates(const PlacementQuery& aQuery, const StepRef& aStep);
  void ReevaluateChosen(const PlacementQuery& aQuery);
  void AddIfPlaceable(const PlacementQuery& aQuery, WorkerEntry& aWorker);
  std::optional<int64_t> Evaluate(const PlacementQuery& aQuery,
                                  const WorkerEntry& aWorker);

  const JobPlacementPolicy& mPlacement;
  WorkerTable& mWorkers;
  std::map<RefusalKey, RefusalGroup> mRefusalGroups;
  // The workers that changed, in order.
  std::vector<WorkerEntry*> mChanges;
  uint64_t mRemovals = 0;
  MonotonicTime mNow;
  MonotonicTime mNextCleanupAt;
  // The scored workers of the step searched last, as a heap.
  bool mHasCandidates = false;
  StepRef mStep;
  bool mHasWaitedLong = false;
  RackId mRequiredRack;
  WorkerId mLastFailedWorker;
  std::optional<size_t> mBucket;
  std::vector<ScoredWorker> mScoredWorkers;
  WorkerEntry* mLastChosen = nullptr;
  size_t mEvaluations = 0;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_WORKER_SEARCH_H_
