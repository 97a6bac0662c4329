#include "mulberryvalve/core/placement/placement_policy.h"

namespace mulberryvalve {
namespace {

constexpr uint64_t kFnvBasis = 14695981039346656037ULL;
constexpr uint64_t kFnvPrime = 1099511628211ULL;

uint64_t Mix(uint64_t aValue)
{
  aValue ^= aValue >> 31;
  aValue *= 0x9E3779B97F4A7C15ULL;
  aValue ^= aValue >> 29;
  aValue *= 0xBF58476D1CE4E5B9ULL;
  return aValue ^ (aValue >> 32);
}

} // namespace

uint64_t PlacementSeed(const TaskEntry& aTask, uint64_t aSalt)
{
  uint64_t hash = kFnvBasis;
  for (const char letter : aTask.mId.Text()) {
    hash = (hash ^ static_cast<unsigned char>(letter)) * kFnvPrime;
  }
  return Mix(hash + aTask.mAttempt.Value() * kFnvPrime + aSalt);
}

} // namespace mulberryvalve
