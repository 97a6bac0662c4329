#include "mulberryvalve/core/jobs/worker_search.h"

#include <algorithm>
#include <utility>

namespace mulberryvalve {
namespace {

// Refusals of kinds that nobody asked for are dropped after this.
constexpr Milliseconds kKeepUnused{ 2000 };
// All is looked at anew once this many changes a worker have come together.
constexpr size_t kChangesPerWorker = 8;

// Tells whether a worker's state changes by the mere passing of time.
bool ChangesWithTime(const WorkerRoom& aWorker, MonotonicTime aNow)
{
  return aNow < aWorker.mAvoidUntil || aNow < aWorker.mKeptForLastingUntil;
}

} // namespace

WorkerSearch::WorkerSearch(const JobPlacement& aPlacement,
                           WorkerTable& aWorkers)
  : mPlacement(aPlacement)
  , mWorkers(aWorkers)
{
}

void WorkerSearch::BeginPass(const std::vector<WorkerRoom*>& aChanged,
                             MonotonicTime aNow)
{
  mNow = aNow;
  mIsGathered = false;
  const size_t most = kChangesPerWorker * mWorkers.All().size();
  if (mRemovals != mWorkers.Removals() || mChanges.size() > most) {
    mRemovals = mWorkers.Removals();
    ForgetRefusals();
  }
  mChanges.insert(mChanges.end(), aChanged.begin(), aChanged.end());
  for (WorkerRoom* worker : aChanged) {
    if (ChangesWithTime(*worker, aNow)) {
      mWorkers.NoteChange(*worker);
    }
  }
  if (aNow < mDropAt) {
    return;
  }
  mDropAt = aNow + kKeepUnused;
  for (auto row = mRefusals.begin(); row != mRefusals.end();) {
    const bool isUnused = row->second.mUsedAt + kKeepUnused < aNow;
    row = isUnused ? mRefusals.erase(row) : std::next(row);
  }
}

WorkerRoom* WorkerSearch::Choose(const PlacementQuery& aQuery,
                                 const StepRef& aStep)
{
  const bool isSame =
    mIsGathered && mStep == aStep && mHasWaited == aQuery.mHasWaited &&
    mOnlyRack == aQuery.mOnlyRack && mFailedAt == aQuery.mFailedAt;
  if (isSame) {
    LookAgainAtChosen(aQuery);
  } else {
    Gather(aQuery, aStep);
  }
  if (mOffers.empty()) {
    return nullptr;
  }
  std::pop_heap(mOffers.begin(), mOffers.end(), Offer::IsBehind);
  mChosen = mOffers.back().mWorker;
  mOffers.pop_back();
  return mChosen;
}

void WorkerSearch::RememberRefusal(const PlacementQuery& aQuery,
                                   const StepRef& aStep)
{
  Refusals& refusals = mRefusals[KindOf(aQuery, aStep)];
  refusals.mUsedAt = mNow;
  if (Covering(refusals, aQuery.mStep) != nullptr) {
    return;
  }
  std::vector<Refusal>& least = refusals.mLeast;
  least.erase(std::remove_if(least.begin(),
                             least.end(),
                             [&](const Refusal& aRefusal) {
                               return aQuery.mStep.mDemand.FitsIn(
                                 aRefusal.mStep.mDemand);
                             }),
              least.end());
  least.push_back(Refusal{ aQuery.mStep, mChanges.size(), {} });
}

void WorkerSearch::ForgetRefusals()
{
  mRefusals.clear();
  mChanges.clear();
}

void WorkerSearch::ForgetPressure()
{
  for (auto row = mRefusals.begin(); row != mRefusals.end();) {
    row = row->first.mFills ? mRefusals.erase(row) : std::next(row);
  }
}

WorkerSearch::Kind WorkerSearch::KindOf(const PlacementQuery& aQuery,
                                        const StepRef& aStep)
{
  const StepSpec& step = aQuery.mStep;
  Kind kind;
  kind.mHasWaited = aQuery.mHasWaited;
  kind.mFills = step.mFills;
  kind.mLasting = step.mLasting;
  kind.mImage = step.mImageNumber;
  kind.mService = aQuery.mService;
  const bool isSpecial =
    !step.mRequiredLabel.Empty() || step.mMaxPerWorker > 0 || step.mSameRack;
  if (isSpecial) {
    kind.mOnly = aStep;
    kind.mOnlyRack = aQuery.mOnlyRack;
  }
  return kind;
}

WorkerSearch::Refusal* WorkerSearch::Covering(Refusals& aRefusals,
                                              const StepSpec& aStep)
{
  for (Refusal& refusal : aRefusals.mLeast) {
    if (refusal.mStep.mDemand.FitsIn(aStep.mDemand)) {
      return &refusal;
    }
  }
  return nullptr;
}

void WorkerSearch::TakeChanges(Refusal& aRefusal, const PlacementQuery& aQuery)
{
  const PlacementQuery least{ aRefusal.mStep,     aQuery.mService,
                              aQuery.mSiblings,   aQuery.mInterference,
                              aQuery.mDomainsOut, aQuery.mOnlyRack,
                              WorkerId(),         aQuery.mHasWaited,
                              aQuery.mNow };
  std::vector<WorkerRoom*>& candidates = aRefusal.mCandidates;
  for (; aRefusal.mSeen < mChanges.size(); aRefusal.mSeen++) {
    WorkerRoom* worker = mChanges[aRefusal.mSeen];
    const auto known = std::find(candidates.begin(), candidates.end(), worker);
    const bool isOffer = Look(least, *worker).has_value();
    if (isOffer && known == candidates.end()) {
      candidates.push_back(worker);
    } else if (!isOffer && known != candidates.end()) {
      candidates.erase(known);
    }
  }
}

void WorkerSearch::Gather(const PlacementQuery& aQuery, const StepRef& aStep)
{
  mIsGathered = true;
  mStep = aStep;
  mHasWaited = aQuery.mHasWaited;
  mOnlyRack = aQuery.mOnlyRack;
  mFailedAt = aQuery.mFailedAt;
  mOffers.clear();
  const auto refusals = mRefusals.find(KindOf(aQuery, aStep));
  Refusal* covering = nullptr;
  if (refusals != mRefusals.end()) {
    refusals->second.mUsedAt = mNow;
    covering = Covering(refusals->second, aQuery.mStep);
  }
  if (covering == nullptr) {
    for (auto& [id, worker] : mWorkers.All()) {
      AddOffer(aQuery, worker);
    }
  } else {
    TakeChanges(*covering, aQuery);
    for (WorkerRoom* worker : covering->mCandidates) {
      AddOffer(aQuery, *worker);
    }
  }
  std::make_heap(mOffers.begin(), mOffers.end(), Offer::IsBehind);
}

void WorkerSearch::LookAgainAtChosen(const PlacementQuery& aQuery)
{
  const size_t before = mOffers.size();
  AddOffer(aQuery, *mChosen);
  if (mOffers.size() > before) {
    std::push_heap(mOffers.begin(), mOffers.end(), Offer::IsBehind);
  }
}

void WorkerSearch::AddOffer(const PlacementQuery& aQuery, WorkerRoom& aWorker)
{
  const std::optional<int64_t> cost = Look(aQuery, aWorker);
  if (cost) {
    mOffers.push_back(Offer{ *cost, &aWorker });
  }
}

std::optional<int64_t> WorkerSearch::Look(const PlacementQuery& aQuery,
                                          const WorkerRoom& aWorker)
{
  mLooks++;
  return mPlacement.CostOn(aQuery, aWorker);
}

} // namespace mulberryvalve
