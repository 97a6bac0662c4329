#include "mulberryvalve/core/jobs/inherited_workers.h"

#include <algorithm>
#include <utility>

namespace mulberryvalve {

void InheritedWorkers::Add(const WorkerId& aWorker, InheritedWorker aInherited)
{
  const auto [entry, isNew] = mWorkers.emplace(aWorker, std::move(aInherited));
  if (!isNew) {
    return;
  }
  const InheritedWorker& inherited = entry->second;
  mPendingWaits.emplace(inherited.mWaitUntil, aWorker);
  if (!inherited.mPossibleTasks) {
    BlockBucket(aWorker);
    return;
  }
  for (const TaskRef& task : *inherited.mPossibleTasks) {
    mBlockedTasks[task]++;
  }
}

bool InheritedWorkers::AddRecordedTask(const WorkerId& aWorker,
                                       const TaskRef& aTask)
{
  if (!MayRunTasks(aWorker)) {
    return false;
  }
  const auto& noted = mWorkers.at(aWorker).mPossibleTasks;
  if (noted && std::find(noted->begin(), noted->end(), aTask) == noted->end()) {
    return false;
  }
  mRecordedTasks[aWorker].push_back(aTask);
  if (!noted) {
    mBlockedTasks[aTask]++;
  }
  return true;
}

bool InheritedWorkers::OnStartsKnown(const WorkerId& aWorker,
                                     const std::vector<TaskRef>& aTasks)
{
  if (!MayRunTasks(aWorker)) {
    return false;
  }
  InheritedWorker& inherited = mWorkers.at(aWorker);
  if (!inherited.BlocksBucket() || inherited.mIsPostponed) {
    return false;
  }
  inherited.mAreStartsKnown = true;
  UnblockBucket(aWorker);
  std::vector<TaskRef>& recorded = mRecordedTasks[aWorker];
  for (const TaskRef& task : aTasks) {
    if (std::find(recorded.begin(), recorded.end(), task) == recorded.end()) {
      recorded.push_back(task);
      mBlockedTasks[task]++;
    }
  }
  return true;
}

void InheritedWorkers::Remove(const WorkerId& aWorker)
{
  MarkIdle(aWorker, MonotonicTime());
  mWorkers.erase(aWorker);
}

void InheritedWorkers::MarkIdle(const WorkerId& aWorker, MonotonicTime aNow)
{
  const auto entry = mWorkers.find(aWorker);
  if (entry == mWorkers.end()) {
    return;
  }
  InheritedWorker& inherited = entry->second;
  if (mPendingWaits.erase({ inherited.mWaitUntil, aWorker }) != 0) {
    Unblock(aWorker, inherited);
  }
  inherited.mWaitUntil = std::min(inherited.mWaitUntil, aNow);
  inherited.mPossibleTasks.emplace();
}

void InheritedWorkers::Postpone(const WorkerId& aWorker, MonotonicTime aUntil)
{
  if (!MayRunTasks(aWorker)) {
    return;
  }
  InheritedWorker& inherited = mWorkers.at(aWorker);
  SetWait(aWorker, inherited, std::max(inherited.mWaitUntil, aUntil));
  inherited.mIsAssumed = false;
  inherited.mIsPostponed = true;
  // An end that is not listed may be of any start that was not recorded.
  if (std::exchange(inherited.mAreStartsKnown, false)) {
    BlockBucket(aWorker);
  }
}

// Precondition: the wait has not ended.
void InheritedWorkers::SetWait(const WorkerId& aWorker,
                               InheritedWorker& aInherited,
                               MonotonicTime aUntil)
{
  mPendingWaits.erase({ aInherited.mWaitUntil, aWorker });
  aInherited.mWaitUntil = aUntil;
  mPendingWaits.emplace(aUntil, aWorker);
}

bool InheritedWorkers::ShortenWait(const WorkerId& aWorker,
                                   MonotonicTime aUntil)
{
  if (!MayRunTasks(aWorker)) {
    return false;
  }
  InheritedWorker& inherited = mWorkers.at(aWorker);
  if (inherited.mIsPostponed || inherited.mWaitUntil <= aUntil) {
    return false;
  }
  SetWait(aWorker, inherited, aUntil);
  return true;
}

bool InheritedWorkers::HasShortenableWaits() const
{
  return std::any_of(
    mPendingWaits.begin(), mPendingWaits.end(), [this](const auto& aWait) {
      return !mWorkers.at(aWait.second).mIsPostponed;
    });
}

const InheritedWorker* InheritedWorkers::Find(const WorkerId& aWorker) const
{
  const auto found = mWorkers.find(aWorker);
  return found == mWorkers.end() ? nullptr : &found->second;
}

void InheritedWorkers::ExpireWaits(MonotonicTime aProvedAt)
{
  while (!mPendingWaits.empty() && mPendingWaits.begin()->first <= aProvedAt) {
    const WorkerId worker = mPendingWaits.begin()->second;
    MarkIdle(worker, aProvedAt);
  }
}

bool InheritedWorkers::MayRunTasks(const WorkerId& aWorker) const
{
  const InheritedWorker* inherited = Find(aWorker);
  return inherited != nullptr &&
         mPendingWaits.count({ inherited->mWaitUntil, aWorker }) != 0;
}

bool InheritedWorkers::BlocksStep(const StepRef& aStep) const
{
  const auto first = mBlockedTasks.lower_bound(TaskRef{ aStep, 0 });
  return first != mBlockedTasks.end() && first->first.mStep == aStep;
}

std::vector<WorkerId> InheritedWorkers::PendingWorkers() const
{
  std::vector<WorkerId> workers;
  workers.reserve(mPendingWaits.size());
  for (const auto& [until, worker] : mPendingWaits) {
    workers.push_back(worker);
  }
  return workers;
}

MonotonicTime InheritedWorkers::LatestWaitEnd() const
{
  return mPendingWaits.empty() ? MonotonicTime()
                               : mPendingWaits.rbegin()->first;
}

std::vector<InheritedWorkers::RecordedTasks> InheritedWorkers::TakeSettled()
{
  return std::exchange(mSettled, {});
}

void InheritedWorkers::Unblock(const WorkerId& aWorker,
                               const InheritedWorker& aInherited)
{
  const auto found = mRecordedTasks.find(aWorker);
  std::vector<TaskRef> recorded;
  if (found != mRecordedTasks.end()) {
    recorded = std::move(found->second);
    mRecordedTasks.erase(found);
  }
  if (aInherited.BlocksBucket()) {
    UnblockBucket(aWorker);
  }
  const std::vector<TaskRef>& blocked =
    aInherited.mPossibleTasks ? *aInherited.mPossibleTasks : recorded;
  for (const TaskRef& task : blocked) {
    UnblockTask(task);
  }
  if (!recorded.empty()) {
    mSettled.emplace_back(aWorker, std::move(recorded));
  }
}

void InheritedWorkers::BlockBucket(const WorkerId& aWorker)
{
  mUnnotedCount++;
  mUnnotedByBucket[BucketOf(aWorker)]++;
}

void InheritedWorkers::UnblockBucket(const WorkerId& aWorker)
{
  mUnnotedCount--;
  mUnnotedByBucket[BucketOf(aWorker)]--;
}

void InheritedWorkers::UnblockTask(const TaskRef& aTask)
{
  const auto blocked = mBlockedTasks.find(aTask);
  if (--blocked->second == 0) {
    mBlockedTasks.erase(blocked);
  }
}

} // namespace mulberryvalve
