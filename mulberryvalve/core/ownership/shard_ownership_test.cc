#include "mulberryvalve/core/ownership/shard_ownership.h"

#include "CppUTest/TestHarness.h"

using namespace mulberryvalve;

namespace {

const WriterId kSelf{ InstanceId("i"), Incarnation(2) };
const WriterId kFormerIncarnation{ InstanceId("i"), Incarnation(1) };
const WriterId kPeer{ InstanceId("j"), Incarnation(1) };

using O = OwnershipStep;

// Claims are processed at 0 ms. With the default options the wait after a
// takeover is 1800 ms.
struct Row
{
  const char* mName;
  ShardClaim mClaim;
  int mNowMs;
  int mHeadValidMs;
  bool mIsPreferredOwner;
  bool mOwnerAlive;
  bool mStopping;
  OwnershipStep mStep;
};

const Row kRows[] = {
  { "vacant", {}, 10, 100, true, false, false, O::kClaim },
  { "vacant, not preferred", {}, 10, 100, false, false, false, O::kIdle },
  { "vacant, stopping", {}, 10, 100, true, false, true, O::kIdle },
  { "vacant, head unconfirmed", {}, 100, 100, true, false, false, O::kIdle },
  { "peer alive", { kPeer, Epoch(3) }, 10, 100, true, true, false, O::kIdle },
  { "peer dead", { kPeer, Epoch(3) }, 10, 100, true, false, false, O::kClaim },
  { "own former life",
    { kFormerIncarnation, Epoch(3) },
    10,
    100,
    true,
    false,
    false,
    O::kClaim },
  { "peer released",
    { kPeer, Epoch(3), true },
    10,
    100,
    true,
    true,
    false,
    O::kClaim },
  { "take-over waits",
    { kSelf, Epoch(3) },
    1799,
    9000,
    true,
    true,
    false,
    O::kAwaitTakeover },
  { "take-over over",
    { kSelf, Epoch(3) },
    1800,
    9000,
    true,
    true,
    false,
    O::kActAsOwner },
  { "after a release",
    { kSelf, Epoch(3), false, true },
    0,
    9000,
    true,
    true,
    false,
    O::kActAsOwner },
  { "not preferred any more",
    { kSelf, Epoch(3) },
    1800,
    9000,
    false,
    true,
    false,
    O::kActAsOwner },
  { "paused holder",
    { kSelf, Epoch(3) },
    9000,
    9000,
    true,
    true,
    false,
    O::kIdle },
  { "stopping holder",
    { kSelf, Epoch(3) },
    1800,
    9000,
    true,
    true,
    true,
    O::kRelease },
};

} // namespace

TEST_GROUP(ShardOwnership){};

TEST(ShardOwnership, DecidesTheExpectedStep)
{
  for (const Row& row : kRows) {
    ShardOwnership ownership(kSelf, OwnershipOptions());
    ownership.OnClaim(row.mClaim, MonotonicTime());
    OwnershipView view;
    view.mNow = MonotonicTime(Milliseconds(row.mNowMs));
    view.mHeadValidUntil = MonotonicTime(Milliseconds(row.mHeadValidMs));
    view.mIsPreferredOwner = row.mIsPreferredOwner;
    view.mOwnerAlive = row.mOwnerAlive;
    view.mStopping = row.mStopping;
    STRCMP_EQUAL_TEXT(
      std::string(kOwnershipStepNames.Name(row.mStep)).c_str(),
      std::string(kOwnershipStepNames.Name(ownership.Decide(view))).c_str(),
      row.mName);
  }
}

namespace {

// PartitionResult counts the claims and active rounds of two instances that
// reach the log but not each other, over ten minutes in rounds of 100 ms.
struct PartitionResult
{
  int mClaims = 0;
  int mActiveRounds = 0;
};

constexpr int kRounds = 6000;
constexpr int kRoundMs = 100;

PartitionResult SimulatePartition(const OwnershipOptions& aOptions)
{
  ShardOwnership first(kSelf, aOptions);
  ShardOwnership second(kPeer, aOptions);
  PartitionResult result;
  for (int round = 0; round < kRounds; round++) {
    OwnershipView view;
    view.mNow = MonotonicTime(Milliseconds(round * kRoundMs));
    view.mHeadValidUntil = view.mNow + aOptions.mHeadStaleness;
    view.mIsPreferredOwner = true;
    for (const auto& [instance, writer] :
         { std::pair(&first, kSelf), std::pair(&second, kPeer) }) {
      const OwnershipStep step = instance->Decide(view);
      result.mActiveRounds += step == OwnershipStep::kActAsOwner ? 1 : 0;
      if (step == OwnershipStep::kClaim) {
        result.mClaims++;
        const ShardClaim claim{ writer, Epoch(result.mClaims) };
        first.OnClaim(claim, view.mNow);
        second.OnClaim(claim, view.mNow);
      }
    }
  }
  return result;
}

} // namespace

TEST(ShardOwnership, PartitionedInstancesDoNotAlternateOwnershipForever)
{
  OwnershipOptions noBackoff;
  noBackoff.mReclaimBackoff = Milliseconds(0);
  LONGS_EQUAL(0, SimulatePartition(noBackoff).mActiveRounds);

  const PartitionResult withBackoff = SimulatePartition(OwnershipOptions());
  CHECK(withBackoff.mClaims <= 30);
  CHECK(withBackoff.mActiveRounds * 100 >= kRounds * 85);
}
