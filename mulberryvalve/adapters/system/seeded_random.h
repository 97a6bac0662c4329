// SeededRandom: a pseudo-random generator with a reproducible seed.
#ifndef MULBERRYVALVE_ADAPTERS_SYSTEM_SEEDED_RANDOM_H_
#define MULBERRYVALVE_ADAPTERS_SYSTEM_SEEDED_RANDOM_H_

#include "mulberryvalve/core/base/mutex.h"
#include "mulberryvalve/ports/out/random_source.h"

#include <random>

namespace mulberryvalve {

// SeededRandom is thread-safe. With several calling threads, the number each
// one gets depends on the order of the calls.
class SeededRandom : public RandomSource
{
public:
  // If aSeed is 0, the seed comes from std::random_device.
  explicit SeededRandom(uint64_t aSeed);

  // Below returns a uniformly distributed number in [0, aBound). aBound must be
  // positive.
  uint64_t Below(uint64_t aBound) override;

private:
  Mutex mMutex;
  std::mt19937_64 mEngine MV_GUARDED_BY(mMutex);
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_SYSTEM_SEEDED_RANDOM_H_
