#include "mulberryvalve/adapters/system/seeded_random.h"

namespace mulberryvalve {
namespace {

constexpr int kDeviceBits = 32;

uint64_t SeedOrSystemSeed(uint64_t aSeed)
{
  if (aSeed != 0) {
    return aSeed;
  }
  std::random_device device;
  const uint64_t high = device();
  return (high << kDeviceBits) | device();
}

} // namespace

SeededRandom::SeededRandom(uint64_t aSeed)
  : mEngine(SeedOrSystemSeed(aSeed))
{
}

uint64_t SeededRandom::Below(uint64_t aBound)
{
  std::uniform_int_distribution<uint64_t> distribution(0, aBound - 1);
  MutexLock lock(mMutex);
  return distribution(mEngine);
}

} // namespace mulberryvalve
