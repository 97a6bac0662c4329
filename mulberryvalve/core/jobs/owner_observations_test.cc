// Tests by when an owner had been active for a time, as its answers tell.
#include "mulberryvalve/core/jobs/owner_observations.h"

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

MonotonicTime At(int64_t aMilliseconds)
{
  return MonotonicTime(Milliseconds(aMilliseconds));
}

OwnerAge Age(uint64_t aEpoch, int64_t aMilliseconds)
{
  return OwnerAge{ Epoch(aEpoch), Milliseconds(aMilliseconds) };
}

} // namespace

TEST_GROUP(OwnerObservationsTest)
{
  OwnerObservations mObservations;

  void CheckActiveBy(int64_t aActiveFor, int64_t aBy)
  {
    const auto by =
      mObservations.WasActiveFor(Epoch(64), Milliseconds(aActiveFor));
    CHECK(by.has_value());
    LONGS_EQUAL(aBy, by->time_since_epoch().count() / 1000);
  }
};

// The owner's clock may be 2% slow after the observation and 2% fast before.
TEST(OwnerObservationsTest, ClocksMayDiffer)
{
  mObservations.Add(Age(64, 5000), At(90000));
  CheckActiveBy(5000, 90000);
  CheckActiveBy(5980, 91000);
  CheckActiveBy(5981, 91002);
  CheckActiveBy(4000, 90000 - 980);
  CheckActiveBy(4999, 90000);
  CheckActiveBy(0, 90000 - 4900);
}

TEST(OwnerObservationsTest, TheNewestObservationOfAnEpochCounts)
{
  mObservations.Add(Age(64, 5000), At(90000));
  mObservations.Add(Age(64, 7000), At(92100));
  CheckActiveBy(7000, 92100);
  // An answer that was overtaken.
  mObservations.Add(Age(64, 6000), At(92200));
  CheckActiveBy(7000, 92100);
  CHECK(At(92100) == mObservations.LastReceivedAt());
}

TEST(OwnerObservationsTest, EpochsAreKeptApart)
{
  mObservations.Add(Age(64, 5000), At(90000));
  mObservations.Add(Age(128, 100), At(95000));
  CheckActiveBy(5000, 90000);
  CHECK_FALSE(
    mObservations.WasActiveFor(Epoch(65), Milliseconds(0)).has_value());
  CHECK(At(95000) == mObservations.LastReceivedAt());
}

TEST(OwnerObservationsTest, OnlyTheNewestEpochsAreKept)
{
  CHECK_FALSE(mObservations.LastReceivedAt().has_value());
  const uint64_t epochs = OwnerObservations::kMaxEpochs + 3;
  for (uint64_t epoch = epochs; epoch > 0; epoch--) {
    mObservations.Add(Age(epoch, 10), At(90000));
  }
  CHECK_EQUAL(OwnerObservations::kMaxEpochs, mObservations.Size());
  CHECK(
    mObservations.WasActiveFor(Epoch(epochs), Milliseconds(10)).has_value());
  CHECK_FALSE(
    mObservations.WasActiveFor(Epoch(3), Milliseconds(10)).has_value());
}

} // namespace mulberryvalve
