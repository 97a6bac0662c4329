#include "mulberryvalve/core/requests/slot_shares.h"

#include <string>

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

const InstanceId kFirst("e-0");
const InstanceId kSecond("e-1");
const InstanceId kThird("e-2");

std::vector<LiveInstance> ThreeInstances(bool aThirdFresh = true)
{
  return { { kFirst, true }, { kSecond, true }, { kThird, aThirdFresh } };
}

} // namespace

TEST_GROUP(SlotShares){};

TEST(SlotShares, SharesAddUpToTheSlots)
{
  for (uint32_t slots = 0; slots <= 64; slots++) {
    const WorkerId worker("w-" + std::to_string(slots));
    uint32_t sum = 0;
    for (const LiveInstance& member : ThreeInstances()) {
      sum += GuaranteedSlots(worker, slots, ThreeInstances(), member.mId);
    }
    UNSIGNED_LONGS_EQUAL(slots, sum);
  }
}

TEST(SlotShares, LimitDependsOnPeerUsageAndFreshness)
{
  struct Row
  {
    uint32_t mPeersInFlight;
    bool mThirdFresh;
    uint32_t mMinLimit;
    uint32_t mMaxLimit;
  };
  const Row rows[] = {
    { 0, true, 4, 4 }, // idle peers: borrows a third of the idle slots
    { 3, true, 3, 3 },  { 8, true, 2, 3 }, // full: keeps its share
    { 0, false, 3, 4 },                    // stale member: share stays reserved
    { 8, false, 2, 3 },
  };
  for (const Row& row : rows) {
    const uint32_t limit = SlotLimit({ WorkerId("w-1"), 8, row.mPeersInFlight },
                                     ThreeInstances(row.mThirdFresh),
                                     kFirst);
    CHECK(limit >= row.mMinLimit && limit <= row.mMaxLimit);
  }
}

TEST(SlotShares, SingleInstanceGetsAllSlots)
{
  UNSIGNED_LONGS_EQUAL(
    8, SlotLimit({ WorkerId("w-1"), 8, 0 }, { { kFirst, true } }, kFirst));
}

} // namespace mulberryvalve
