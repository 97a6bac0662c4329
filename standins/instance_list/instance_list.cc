#include "standins/instance_list/instance_list.h"

#include <utility>

namespace mulberryvalve::standins {

InstanceList::InstanceList(Milliseconds aLag, const Clock& aClock)
  : mLag(aLag)
  , mClock(aClock)
{
}

void InstanceList::Register(const Instance& aInstance)
{
  std::lock_guard<std::mutex> lock(mMutex);
  mCurrent[aInstance.mId] = aInstance;
  QueueChange(aInstance.mId, aInstance);
}

bool InstanceList::ChangeState(const std::string& aId, InstanceState aState)
{
  std::lock_guard<std::mutex> lock(mMutex);
  const auto found = mCurrent.find(aId);
  if (found == mCurrent.end()) {
    return false;
  }
  if (aState == InstanceState::kGone) {
    mCurrent.erase(found);
    QueueChange(aId, std::nullopt);
  } else {
    found->second.mState = aState;
    QueueChange(aId, found->second);
  }
  return true;
}

std::vector<Instance> InstanceList::Visible()
{
  std::lock_guard<std::mutex> lock(mMutex);
  const SteadyTime now = mClock.Now();
  while (!mPending.empty() && mPending.front().mVisibleAt <= now) {
    Change& change = mPending.front();
    if (change.mInstance) {
      mVisible[change.mId] = std::move(*change.mInstance);
    } else {
      mVisible.erase(change.mId);
    }
    mPending.pop_front();
  }
  std::vector<Instance> instances;
  instances.reserve(mVisible.size());
  for (const auto& [id, instance] : mVisible) {
    instances.push_back(instance);
  }
  return instances;
}

void InstanceList::QueueChange(const std::string& aId,
                               std::optional<Instance> aInstance)
{
  mPending.push_back({ mClock.Now() + mLag, aId, std::move(aInstance) });
}

} // namespace mulberryvalve::standins
