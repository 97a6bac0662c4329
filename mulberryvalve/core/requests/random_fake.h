// RandomFake: a seeded random number generator for tests.
#ifndef MULBERRYVALVE_CORE_REQUESTS_RANDOM_FAKE_H_
#define MULBERRYVALVE_CORE_REQUESTS_RANDOM_FAKE_H_

#include "mulberryvalve/core/base/mutex.h"
#include "mulberryvalve/ports/out/random_source.h"

#include <random>

namespace mulberryvalve {

// RandomFake is thread-safe.
class RandomFake : public RandomSource
{
public:
  explicit RandomFake(uint64_t aSeed)
    : mEngine(aSeed)
  {
  }

  uint64_t Below(uint64_t aBound) override
  {
    MutexLock lock(mMutex);
    return mEngine() % aBound;
  }

private:
  Mutex mMutex;
  std::mt19937_64 mEngine MV_GUARDED_BY(mMutex);
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_REQUESTS_RANDOM_FAKE_H_
