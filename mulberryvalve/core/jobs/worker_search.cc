#include "mulberryvalve/core/jobs/worker_search.h"

#include <algorithm>
#include <utility>

namespace mulberryvalve {
namespace {

// Groups of refusals that were not queried for this long are dropped.
constexpr Milliseconds kUnusedGroupLifetime{ 2000 };
// After this many changes per worker, on average, all refusals are dropped and
// all workers are evaluated again.
constexpr size_t kMaxChangesPerWorker = 8;

// Returns whether the result for a worker will change without an event, when a
// time has passed.
bool ChangesWithTime(const WorkerEntry& aWorker, MonotonicTime aNow)
{
  return aNow < aWorker.mAvoidUntil ||
         aNow < aWorker.mReservedForLongRunningUntil;
}

} // namespace

WorkerSearch::WorkerSearch(const JobPlacementPolicy& aPlacement,
                           WorkerTable& aWorkers)
  : mPlacement(aPlacement)
  , mWorkers(aWorkers)
{
}

void WorkerSearch::BeginPass(const std::vector<WorkerEntry*>& aChanged,
                             MonotonicTime aNow)
{
  mNow = aNow;
  mHasCandidates = false;
  const size_t most = kMaxChangesPerWorker * mWorkers.All().size();
  if (mRemovals != mWorkers.Removals() || mChanges.size() > most) {
    mRemovals = mWorkers.Removals();
    ForgetRefusals();
  }
  mChanges.insert(mChanges.end(), aChanged.begin(), aChanged.end());
  for (WorkerEntry* worker : aChanged) {
    if (ChangesWithTime(*worker, aNow)) {
      mWorkers.MarkChanged(*worker);
    }
  }
  if (aNow < mNextCleanupAt) {
    return;
  }
  mNextCleanupAt = aNow + kUnusedGroupLifetime;
  for (auto entry = mRefusalGroups.begin(); entry != mRefusalGroups.end();) {
    const bool isUnused =
      entry->second.mLastUsedAt + kUnusedGroupLifetime < aNow;
    entry = isUnused ? mRefusalGroups.erase(entry) : std::next(entry);
  }
}

WorkerEntry* WorkerSearch::Choose(const PlacementQuery& aQuery,
                                  const StepRef& aStep)
{
  const bool isSame = mHasCandidates && mStep == aStep &&
                      mHasWaitedLong == aQuery.mHasWaitedLong &&
                      mRequiredRack == aQuery.mRequiredRack &&
                      mLastFailedWorker == aQuery.mLastFailedWorker &&
                      mBucket == aQuery.mBucket;
  if (isSame) {
    ReevaluateChosen(aQuery);
  } else {
    CollectCandidates(aQuery, aStep);
  }
  if (mScoredWorkers.empty()) {
    return nullptr;
  }
  std::pop_heap(
    mScoredWorkers.begin(), mScoredWorkers.end(), ScoredWorker::IsWorse);
  mLastChosen = mScoredWorkers.back().mWorker;
  mScoredWorkers.pop_back();
  return mLastChosen;
}

WorkerEntry* WorkerSearch::ChooseAvoided(PlacementQuery aQuery)
{
  aQuery.mMayRetryAvoided = true;
  WorkerEntry* best = nullptr;
  int64_t leastCost = 0;
  for (auto& [id, worker] : mWorkers.All()) {
    if (aQuery.mNow >= worker.mAvoidUntil) {
      continue;
    }
    const std::optional<int64_t> cost = Evaluate(aQuery, worker);
    if (cost && (best == nullptr || *cost < leastCost)) {
      best = &worker;
      leastCost = *cost;
    }
  }
  return best;
}

std::vector<RackId> WorkerSearch::RacksWithRoom(const PlacementQuery& aQuery,
                                                uint64_t aCount)
{
  std::map<RackId, RackRoom> rooms;
  for (const auto& [id, worker] : mWorkers.All()) {
    const std::optional<int64_t> cost = Evaluate(aQuery, worker);
    if (!cost) {
      continue;
    }
    const auto [found, isNew] =
      rooms.try_emplace(worker.mInfo.mRack, RackRoom{ 0, *cost });
    found->second.mTasks += TasksThatFit(aQuery.mStep, worker, aCount);
    found->second.mLeastCost = std::min(found->second.mLeastCost, *cost);
  }
  std::vector<std::pair<int64_t, RackId>> byCost;
  for (const auto& [rack, room] : rooms) {
    if (room.mTasks >= aCount) {
      byCost.emplace_back(room.mLeastCost, rack);
    }
  }
  std::sort(byCost.begin(), byCost.end());
  std::vector<RackId> racks;
  racks.reserve(byCost.size());
  for (auto& [cost, rack] : byCost) {
    racks.push_back(std::move(rack));
  }
  return racks;
}

void WorkerSearch::RememberRefusal(const PlacementQuery& aQuery,
                                   const StepRef& aStep)
{
  RefusalGroup& group = mRefusalGroups[KeyOf(aQuery, aStep)];
  group.mLastUsedAt = mNow;
  if (FindCovering(group, aQuery.mStep) != nullptr) {
    return;
  }
  std::vector<Refusal>& least = group.mMinimal;
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
  mRefusalGroups.clear();
  mChanges.clear();
}

void WorkerSearch::ForgetBestEffortRefusals()
{
  for (auto entry = mRefusalGroups.begin(); entry != mRefusalGroups.end();) {
    entry =
      entry->first.mBestEffort ? mRefusalGroups.erase(entry) : std::next(entry);
  }
}

WorkerSearch::RefusalKey WorkerSearch::KeyOf(const PlacementQuery& aQuery,
                                             const StepRef& aStep)
{
  const StepSpec& step = aQuery.mStep;
  RefusalKey key;
  key.mHasWaitedLong = aQuery.mHasWaitedLong;
  key.mBestEffort = step.mBestEffort;
  key.mLongRunning = step.mLongRunning;
  key.mImage = step.mImageNumber;
  key.mService = aQuery.mService;
  const bool isSpecial =
    !step.mRequiredLabel.Empty() || step.mMaxPerWorker > 0 || step.mSameRack;
  if (isSpecial) {
    key.mOnlyStep = aStep;
    key.mRequiredRack = aQuery.mRequiredRack;
  }
  return key;
}

WorkerSearch::Refusal* WorkerSearch::FindCovering(RefusalGroup& aGroup,
                                                  const StepSpec& aStep)
{
  for (Refusal& refusal : aGroup.mMinimal) {
    if (refusal.mStep.mDemand.FitsIn(aStep.mDemand)) {
      return &refusal;
    }
  }
  return nullptr;
}

void WorkerSearch::ApplyChanges(Refusal& aRefusal, const PlacementQuery& aQuery)
{
  const PlacementQuery least{
    aRefusal.mStep,       aQuery.mService,         aQuery.mTasksPerWorker,
    aQuery.mInterference, aQuery.mExcludedDomains, aQuery.mRequiredRack,
    WorkerId(),           aQuery.mHasWaitedLong,   aQuery.mNow
  };
  std::vector<WorkerEntry*>& candidates = aRefusal.mCandidates;
  for (; aRefusal.mAppliedChanges < mChanges.size();
       aRefusal.mAppliedChanges++) {
    WorkerEntry* worker = mChanges[aRefusal.mAppliedChanges];
    const auto known = std::find(candidates.begin(), candidates.end(), worker);
    const bool isPlaceable = Evaluate(least, *worker).has_value();
    if (isPlaceable && known == candidates.end()) {
      candidates.push_back(worker);
    } else if (!isPlaceable && known != candidates.end()) {
      candidates.erase(known);
    }
  }
}

void WorkerSearch::CollectCandidates(const PlacementQuery& aQuery,
                                     const StepRef& aStep)
{
  mHasCandidates = true;
  mStep = aStep;
  mHasWaitedLong = aQuery.mHasWaitedLong;
  mRequiredRack = aQuery.mRequiredRack;
  mLastFailedWorker = aQuery.mLastFailedWorker;
  mBucket = aQuery.mBucket;
  mScoredWorkers.clear();
  const auto group = mRefusalGroups.find(KeyOf(aQuery, aStep));
  Refusal* covering = nullptr;
  if (group != mRefusalGroups.end()) {
    group->second.mLastUsedAt = mNow;
    covering = FindCovering(group->second, aQuery.mStep);
  }
  if (covering == nullptr) {
    for (auto& [id, worker] : mWorkers.All()) {
      AddIfPlaceable(aQuery, worker);
    }
  } else {
    ApplyChanges(*covering, aQuery);
    for (WorkerEntry* worker : covering->mCandidates) {
      AddIfPlaceable(aQuery, *worker);
    }
  }
  std::make_heap(
    mScoredWorkers.begin(), mScoredWorkers.end(), ScoredWorker::IsWorse);
}

void WorkerSearch::ReevaluateChosen(const PlacementQuery& aQuery)
{
  const size_t before = mScoredWorkers.size();
  AddIfPlaceable(aQuery, *mLastChosen);
  if (mScoredWorkers.size() > before) {
    std::push_heap(
      mScoredWorkers.begin(), mScoredWorkers.end(), ScoredWorker::IsWorse);
  }
}

void WorkerSearch::AddIfPlaceable(const PlacementQuery& aQuery,
                                  WorkerEntry& aWorker)
{
  if (aQuery.mBucket && *aQuery.mBucket != aWorker.mBucket) {
    return;
  }
  const std::optional<int64_t> cost = Evaluate(aQuery, aWorker);
  if (cost) {
    mScoredWorkers.push_back(ScoredWorker{ *cost, &aWorker });
  }
}

std::optional<int64_t> WorkerSearch::Evaluate(const PlacementQuery& aQuery,
                                              const WorkerEntry& aWorker)
{
  mEvaluations++;
  return mPlacement.CostOn(aQuery, aWorker);
}

} // namespace mulberryvalve
