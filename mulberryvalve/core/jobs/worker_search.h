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
  size_t Looks() const { return mLooks; }
  void CountLooks(size_t aLooks) { mLooks += aLooks; }

private:
  // Kind is what the refusals of steps depend on beside their demand. Steps
  // that depend on more are a kind of their own each.
  struct Kind
  {
    bool mHasWaited = false;
    bool mFills = false;
    bool mLasting = false;
    ImageNumber mImage = 0;
    ServiceId mService;
    StepRef mOnly;
    RackId mOnlyRack;

    friend bool operator<(const Kind& aLeft, const Kind& aRight)
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
      return {
        mHasWaited, mFills, mLasting, mImage, mService, mOnly, mOnlyRack
      };
    }
  };

  // Refusal is a step that no worker could run, but for those that changed
  // since.
  struct Refusal
  {
    StepSpec mStep;
    // Changes up to this one are taken in.
    size_t mSeen = 0;
    std::vector<WorkerRoom*> mCandidates;
  };

  // Refusals are those of one kind, none of which asks for as much as another.
  struct Refusals
  {
    std::vector<Refusal> mLeast;
    MonotonicTime mUsedAt;
  };

  // Offer is a worker that may run the step.
  struct Offer
  {
    int64_t mCost = 0;
    WorkerRoom* mWorker = nullptr;

    // IsBehind orders a heap with the best offer on top.
    static bool IsBehind(const Offer& aLeft, const Offer& aRight)
    {
      return std::tie(aRight.mCost, aRight.mWorker->mFacts.mId) <
             std::tie(aLeft.mCost, aLeft.mWorker->mFacts.mId);
    }
  };

  static Kind KindOf(const PlacementQuery& aQuery, const StepRef& aStep);
  static Refusal* Covering(Refusals& aRefusals, const StepSpec& aStep);
  void TakeChanges(Refusal& aRefusal, const PlacementQuery& aQuery);
  void Gather(const PlacementQuery& aQuery, const StepRef& aStep);
  void LookAgainAtChosen(const PlacementQuery& aQuery);
  void AddOffer(const PlacementQuery& aQuery, WorkerRoom& aWorker);
  std::optional<int64_t> Look(const PlacementQuery& aQuery,
                              const WorkerRoom& aWorker);

  const JobPlacement& mPlacement;
  WorkerTable& mWorkers;
  std::map<Kind, Refusals> mRefusals;
  // The workers that changed, in order.
  std::vector<WorkerRoom*> mChanges;
  uint64_t mRemovals = 0;
  MonotonicTime mNow;
  MonotonicTime mDropAt;
  // The offers for one step at a time, as a heap.
  bool mIsGathered = false;
  StepRef mStep;
  bool mHasWaited = false;
  RackId mOnlyRack;
  WorkerId mFailedAt;
  std::vector<Offer> mOffers;
  WorkerRoom* mChosen = nullptr;
  size_t mLooks = 0;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_WORKER_SEARCH_H_
