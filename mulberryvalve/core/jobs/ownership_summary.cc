#include "mulberryvalve/core/jobs/ownership_summary.h"

#include "mulberryvalve/core/jobs/remaining_time.h"

#include <algorithm>
#include <set>
#include <utility>

namespace mulberryvalve {

OwnershipSummary::OwnershipSummary(LeaseEnds aLeaseEnds,
                                   UnrecordedStartList aStarts)
  : mHasLoaded(true)
  , mLeaseEnds(std::move(aLeaseEnds))
  , mStarts(std::move(aStarts))
{
}

ToldUse OwnershipSummary::TellOf(const std::vector<WorkerId>& aWorkers,
                                 MonotonicTime aNow) const
{
  ToldUse told;
  std::set<WorkerId> named;
  const size_t count = std::min(aWorkers.size(), kMaxToldWorkers);
  for (size_t number = 0; number < count; number++) {
    const WorkerId& worker = aWorkers[number];
    const auto found = mLeaseEnds.find(worker);
    const bool isKnown = !mHasLoaded || found != mLeaseEnds.end();
    if (!isKnown || !named.insert(worker).second) {
      continue;
    }
    ToldWorker entry{ worker };
    if (mHasLoaded && found->second) {
      entry.mLeasesLeft = RemainingUntil(*found->second, aNow);
    }
    told.mWorkers.push_back(std::move(entry));
  }
  told.mUnrecorded = mStarts.On(named);
  if (told.mUnrecorded && told.mUnrecorded->size() > kMaxToldStarts) {
    told.mUnrecorded.reset();
  }
  return told;
}

} // namespace mulberryvalve
