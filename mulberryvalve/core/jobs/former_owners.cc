#include "mulberryvalve/core/jobs/former_owners.h"

#include <algorithm>
#include <utility>

namespace mulberryvalve {

void FormerOwners::Add(FormerOwner aOwner)
{
  const Epoch epoch = aOwner.mEpoch;
  mOwners.emplace(epoch, Entry{ std::move(aOwner), std::nullopt });
}

void FormerOwners::OnEnded(Epoch aEpoch, MonotonicTime aEndedBy)
{
  const auto found = mOwners.find(aEpoch);
  if (found == mOwners.end()) {
    return;
  }
  std::optional<MonotonicTime>& endedBy = found->second.mEndedBy;
  endedBy = std::min(endedBy.value_or(aEndedBy), aEndedBy);
}

std::vector<FormerOwner> FormerOwners::Unsettled() const
{
  std::vector<FormerOwner> owners;
  for (const auto& [epoch, entry] : mOwners) {
    if (!entry.mEndedBy && !entry.mOwner.mPeer.mAddress.empty()) {
      owners.push_back(entry.mOwner);
    }
  }
  return owners;
}

std::optional<MonotonicTime> FormerOwners::AllEndedBy() const
{
  std::optional<MonotonicTime> last;
  for (const auto& [epoch, entry] : mOwners) {
    if (!entry.mEndedBy) {
      return std::nullopt;
    }
    last = std::max(last.value_or(*entry.mEndedBy), *entry.mEndedBy);
  }
  return last;
}

std::vector<Epoch> FormerOwners::TakeAll()
{
  std::vector<Epoch> epochs;
  for (const auto& [epoch, entry] : std::exchange(mOwners, {})) {
    epochs.push_back(epoch);
  }
  return epochs;
}

} // namespace mulberryvalve
