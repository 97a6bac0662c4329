#include "mulberryvalve/app/jobs/group_append.h"

#include <string>
#include <utility>

namespace mulberryvalve {

Result<void> GroupAppend::Append(const KeyedEntry& aEntry)
{
  const KeyedLogLimits limits = mLog.Limits();
  if (!FitsRecord(aEntry, limits)) {
    return Fail(FailureKind::kTooLarge,
                aEntry.mKey,
                std::to_string(RecordBytes(aEntry)) + " bytes");
  }
  const size_t bytes = RecordBytes(aEntry) + kRecordOverhead;
  std::shared_ptr<Group> group;
  {
    MutexLock lock(mMutex);
    // A full group goes first.
    while (mNext != nullptr && mNext->mBytes + bytes > limits.mRequestBytes) {
      mCond.Wait(mMutex);
    }
    if (mNext == nullptr) {
      mNext = std::make_shared<Group>();
    }
    group = mNext;
    group->mEntries.push_back(aEntry);
    group->mBytes += bytes;
    while (mUnderWay && !group->mDone) {
      mCond.Wait(mMutex);
    }
    if (group->mDone) {
      return group->mOutcome;
    }
    // The first of the group to come here makes the call for all of it.
    mUnderWay = true;
    mNext.reset();
    mCond.NotifyAll();
  }
  Result<void> outcome = mLog.Append(mPlace, group->mEntries);
  MutexLock lock(mMutex);
  group->mOutcome = std::move(outcome);
  group->mDone = true;
  mUnderWay = false;
  mCond.NotifyAll();
  return group->mOutcome;
}

} // namespace mulberryvalve
