#include "mulberryvalve/app/jobs/group_append.h"

#include <utility>

namespace mulberryvalve {

Result<void> GroupAppend::Append(const KeyedEntry& aEntry)
{
  std::shared_ptr<Group> group;
  {
    MutexLock lock(mMutex);
    if (mNext == nullptr) {
      mNext = std::make_shared<Group>();
    }
    group = mNext;
    group->mEntries.push_back(aEntry);
    while (mUnderWay && !group->mDone) {
      mCond.Wait(mMutex);
    }
    if (group->mDone) {
      return group->mOutcome;
    }
    // The first of the group to come here makes the call for all of it.
    mUnderWay = true;
    mNext.reset();
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
