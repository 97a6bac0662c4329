#include "mulberryvalve/core/jobs/intake_relay.h"

#include <vector>

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

enum class Step
{
  kAnswered,
  kRefused,
  kLost,
  kOwner,
  kNoOwner,
  kOwnerSilent,
  kPending, // since mTook
  kNotPending,
};

// An event at mAt; mTook is the duration of an append, all in milliseconds.
struct Event
{
  int64_t mAt;
  Step mStep;
  int64_t mTook = 0;
  int64_t mHeardAt = 0;
};

MonotonicTime At(int64_t aMilliseconds)
{
  return MonotonicTime(Milliseconds(aMilliseconds));
}

IntakeRelay After(const std::vector<Event>& aEvents)
{
  IntakeRelay relay;
  for (const Event& event : aEvents) {
    const MonotonicTime now = At(event.mAt);
    const Milliseconds took(event.mTook);
    switch (event.mStep) {
      case Step::kAnswered:
        relay.OnOwnAppend(LogCallEnd::kAnswered, took, now);
        break;
      case Step::kRefused:
        relay.OnOwnAppend(LogCallEnd::kRefused, took, now);
        break;
      case Step::kLost:
        relay.OnOwnAppend(LogCallEnd::kLost, took, now);
        break;
      case Step::kOwner:
        relay.OnOwnerAnswer(took, At(event.mHeardAt), now);
        break;
      case Step::kPending:
        relay.OnPending(At(event.mTook), now);
        break;
      case Step::kNotPending:
        relay.OnPending(std::nullopt, now);
        break;
      case Step::kNoOwner:
        relay.OnNoOwner(now);
        break;
      case Step::kOwnerSilent:
        relay.OnOwnerSilent(now);
        break;
    }
  }
  return relay;
}

} // namespace

TEST_GROUP(IntakeRelay){};

// One row for each state of the log and of the owner. Guards against appends of
// 40 instances to a slow partition, refusals by an instance that lost the log,
// and relaying to an owner that cannot help.
TEST(IntakeRelay, ThePathFollowsTheLogAndTheOwner)
{
  struct Row
  {
    const char* mCase;
    std::vector<Event> mEvents;
    int64_t mNow;
    IntakePath mPath;
  };
  const IntakePath own = IntakePath::kOwnAppend;
  const IntakePath relay = IntakePath::kRelay;
  const std::vector<Row> rows{
    { "nothing known", {}, 0, own },
    { "usual", { { 100, Step::kAnswered, 4 } }, 101, own },
    { "at the limit", { { 100, Step::kAnswered, 60 } }, 101, own },
    { "slow", { { 100, Step::kAnswered, 61 } }, 101, relay },
    { "slow, owner too",
      { { 100, Step::kAnswered, 200 }, { 5000, Step::kOwner, 200 } },
      9000,
      relay },
    { "slow, owner neither fast nor slow",
      { { 100, Step::kAnswered, 200 }, { 200, Step::kOwner, 30 } },
      201,
      relay },
    { "slow, owner fast",
      { { 100, Step::kAnswered, 200 }, { 200, Step::kOwner, 29 } },
      201,
      own },
    { "slow, owner knows no append",
      { { 100, Step::kAnswered, 200 }, { 200, Step::kOwner, 0 } },
      201,
      relay },
    { "fast again", { { 1, Step::kLost }, { 9, Step::kAnswered, 4 } }, 9, own },
    { "turned away", { { 100, Step::kRefused } }, 101, relay },
    { "turned away lately, owner fast",
      { { 100, Step::kRefused }, { 2099, Step::kOwner, 4 } },
      2100,
      relay },
    { "turned away long ago, owner fast",
      { { 100, Step::kRefused }, { 2100, Step::kOwner, 4 } },
      2100,
      own },
    { "turned away long ago, owner slow",
      { { 100, Step::kRefused }, { 2100, Step::kOwner, 200 } },
      2100,
      relay },
    { "log lost, owner fast",
      { { 100, Step::kLost }, { 9000, Step::kOwner, 4, 100 } },
      9000,
      relay },
    { "log lost, heard again",
      { { 100, Step::kLost }, { 9000, Step::kOwner, 4, 101 } },
      9000,
      own },
    { "log lost, refused without a call",
      { { 100, Step::kLost },
        { 200, Step::kRefused },
        { 9000, Step::kOwner, 4, 100 } },
      9000,
      relay },
    { "in flight for the usual time",
      { { 160, Step::kPending, 100 } },
      160,
      own },
    { "in flight for long", { { 161, Step::kPending, 100 } }, 161, relay },
    { "in flight for long, owner fast",
      { { 161, Step::kPending, 100 }, { 170, Step::kOwner, 4 } },
      170,
      relay },
    { "no longer in flight, owner fast",
      { { 161, Step::kPending, 100 },
        { 165, Step::kNotPending },
        { 170, Step::kOwner, 4 } },
      170,
      own },
    { "no owner", { { 100, Step::kLost }, { 200, Step::kNoOwner } }, 201, own },
    { "owner silent, log slow again",
      { { 100, Step::kAnswered, 200 },
        { 200, Step::kOwnerSilent },
        { 500, Step::kAnswered, 200 } },
      2199,
      own },
    { "owner silent long ago, log slow again",
      { { 100, Step::kAnswered, 200 },
        { 200, Step::kOwnerSilent },
        { 500, Step::kAnswered, 200 } },
      2200,
      relay },
  };
  for (const Row& row : rows) {
    CHECK_TEXT(row.mPath == After(row.mEvents).NextPath(At(row.mNow)),
               row.mCase);
  }
}

// Guards against waits beyond a caller's deadline, and against refusing callers
// for good because of one slow append.
TEST(IntakeRelay, ARecentAppendTellsWhetherTheTimeLeftIsEnough)
{
  const IntakeRelay relay =
    After({ { 100, Step::kAnswered, 800 }, { 150, Step::kOwner, 300 } });
  const Milliseconds left(500);
  CHECK_FALSE(relay.IsInTime(IntakePath::kOwnAppend, left, At(200)));
  CHECK(relay.IsInTime(IntakePath::kOwnAppend, left, At(2100)));
  CHECK(relay.IsInTime(IntakePath::kRelay, left, At(200)));
  CHECK_FALSE(relay.IsInTime(IntakePath::kRelay, Milliseconds(299), At(200)));
}

// Guards against appends of 40 instances beside the owner's: each would make
// all others, and the owner, wait for longer than their calls may last.
TEST(IntakeRelay, AnInstanceWithoutAnswersSeldomAppendsWhatTheOwnerDidNot)
{
  CHECK(After({ { 100, Step::kAnswered, 200 } }).MayFallBack(At(101)));
  CHECK(After({ { 100, Step::kRefused } }).MayFallBack(At(101)));
  const IntakeRelay lost =
    After({ { 100, Step::kLost }, { 5000, Step::kRefused } });
  CHECK_FALSE(lost.MayFallBack(At(10099)));
  CHECK(lost.MayFallBack(At(10100)));
}

// Guards against taking an owner whose own append is slow for one that is away.
TEST(IntakeRelay, AnOwnerIsSilentIfItAnswersNothingForLong)
{
  IntakeRelay relay = After({ { 100, Step::kAnswered, 200 } });
  relay.OnOwnerTimeout(At(1000));
  relay.OnOwnerTimeout(At(2999));
  CHECK(IntakePath::kRelay == relay.NextPath(At(2999)));
  relay.OnOwnerAnswer(Milliseconds(0), MonotonicTime(), At(2999));
  relay.OnOwnerTimeout(At(3000));
  CHECK(IntakePath::kRelay == relay.NextPath(At(3000)));
  relay.OnOwnerTimeout(At(5000));
  CHECK(IntakePath::kOwnAppend == relay.NextPath(At(5000)));
}

TEST(IntakeRelay, TheCausesOfBeginningAndEndAreTold)
{
  IntakeRelay relay = After({ { 100, Step::kLost } });
  CHECK(RelayCause::kNoAnswer == relay.Cause());
  relay.OnOwnerSilent(At(200));
  CHECK_FALSE(relay.Cause().has_value());
  CHECK(RelayEnd::kOwnerSilent == relay.LastEnd());
}

} // namespace mulberryvalve
