// EndedOwnerships: the ownerships of a shard that this process held and that
// have ended, for the successors that ask.
#ifndef MULBERRYVALVE_CORE_JOBS_ENDED_OWNERSHIPS_H_
#define MULBERRYVALVE_CORE_JOBS_ENDED_OWNERSHIPS_H_

#include "mulberryvalve/core/base/time.h"
#include "mulberryvalve/core/jobs/ownership_summary.h"
#include "mulberryvalve/core/model/ids.h"

#include <cstddef>
#include <map>
#include <memory>
#include <utility>

namespace mulberryvalve {

// OwnershipEnd is an ownership that sent nothing after mEndedAt, and what it
// did.
struct OwnershipEnd
{
  Epoch mEpoch;
  MonotonicTime mEndedAt;
  OwnershipSummary mSummary;
};

// Not thread-safe.
class EndedOwnerships
{
public:
  // The oldest epochs above this number are dropped.
  static constexpr size_t kMaxEpochs = 8;

  // Keeps an end. Does nothing if its epoch has one. Precondition: not null.
  void Add(std::shared_ptr<const OwnershipEnd> aEnd)
  {
    const Epoch epoch = aEnd->mEpoch;
    mEnds.emplace(epoch, std::move(aEnd));
    if (mEnds.size() > kMaxEpochs) {
      mEnds.erase(mEnds.begin());
    }
  }

  // Returns the end of an epoch, or null if it is not kept.
  std::shared_ptr<const OwnershipEnd> Find(Epoch aEpoch) const
  {
    const auto found = mEnds.find(aEpoch);
    return found == mEnds.end() ? nullptr : found->second;
  }

private:
  std::map<Epoch, std::shared_ptr<const OwnershipEnd>> mEnds;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_ENDED_OWNERSHIPS_H_
