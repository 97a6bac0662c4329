// OwnerObservations: how long the owners of a shard had been active when they
// last answered this instance.
#ifndef MULBERRYVALVE_CORE_JOBS_OWNER_OBSERVATIONS_H_
#define MULBERRYVALVE_CORE_JOBS_OWNER_OBSERVATIONS_H_

#include "mulberryvalve/core/base/time.h"
#include "mulberryvalve/core/model/ids.h"

#include <map>
#include <optional>

namespace mulberryvalve {

// OwnerAge is how long an owner has been active, by its own clock.
struct OwnerAge
{
  Epoch mEpoch;
  Milliseconds mActiveFor{};
};

// Keeps the newest observation of each of the newest epochs. The clocks of this
// instance and of an owner may advance at rates that differ by 2%. Not
// thread-safe; copies are independent.
class OwnerObservations
{
public:
  // Records that an owner had been active for aAge or longer when its answer
  // arrived at aReceivedAt. An older age of the epoch has no effect.
  void Add(const OwnerAge& aAge, MonotonicTime aReceivedAt);

  // Returns by when the owner of aEpoch had been active for aActiveFor, or
  // nothing if the epoch was not observed.
  std::optional<MonotonicTime> WasActiveFor(Epoch aEpoch,
                                            Milliseconds aActiveFor) const;

  // Returns when the newest answer arrived, or nothing if none did.
  std::optional<MonotonicTime> LastReceivedAt() const;

  // Returns the number of epochs that were observed.
  size_t Size() const { return mNewest.size(); }

  // The oldest epochs above this number are dropped.
  static constexpr size_t kMaxEpochs = 8;

private:
  struct Observation
  {
    Milliseconds mActiveFor{};
    MonotonicTime mReceivedAt;
  };

  std::map<Epoch, Observation> mNewest;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_OWNER_OBSERVATIONS_H_
