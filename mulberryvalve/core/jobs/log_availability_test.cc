#include "mulberryvalve/core/jobs/log_availability.h"

#include <vector>

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

MonotonicTime At(int64_t aMilliseconds)
{
  return MonotonicTime(Milliseconds(aMilliseconds));
}

// One call that was made before the question: when it began and ended, in
// milliseconds, and how. Without an end it is in flight.
struct PastCall
{
  int64_t mBegunAt;
  int64_t mEndedAt;
  std::optional<LogCallEnd> mEnd;
};

constexpr int64_t kInFlight = 0;

LogAvailability After(const std::vector<PastCall>& aCalls)
{
  LogAvailability log;
  for (const PastCall& call : aCalls) {
    log.OnCallBegan(At(call.mBegunAt));
  }
  for (const PastCall& call : aCalls) {
    if (call.mEnd) {
      log.OnCallEnded(At(call.mBegunAt), *call.mEnd, At(call.mEndedAt));
    }
  }
  return log;
}

} // namespace

TEST_GROUP(LogAvailability){};

// One row for each kind of outage, as a caller that comes at mNow meets it.
TEST(LogAvailability, CallersAreRefusedAtOnceOnlyIfTheLogIsSilent)
{
  struct Row
  {
    const char* mPattern;
    std::vector<PastCall> mCalls;
    int64_t mNow;
    AppendTurn mTurn;
  };
  using End = LogCallEnd;
  const Row rows[] = {
    { "sound, idle", { { 1, 5, End::kAnswered } }, 9, AppendTurn::kSend },
    { "sound, one in flight",
      { { 1, 5, End::kAnswered }, { 8, kInFlight, {} } },
      9,
      AppendTurn::kWait },
    { "slow: answers within 400 ms",
      { { 1, 400, End::kAnswered }, { 401, kInFlight, {} } },
      800,
      AppendTurn::kWait },
    { "one answer lost: a second call goes beside it",
      { { 1, 5, End::kAnswered }, { 10, kInFlight, {} } },
      510,
      AppendTurn::kSend },
    { "the second is given its time",
      { { 10, kInFlight, {} }, { 510, kInFlight, {} } },
      600,
      AppendTurn::kWait },
    { "the second was answered: the log is there",
      { { 10, kInFlight, {} }, { 510, 515, End::kAnswered } },
      520,
      AppendTurn::kSend },
    { "silent: both are overdue",
      { { 10, kInFlight, {} }, { 510, kInFlight, {} } },
      1010,
      AppendTurn::kRefuse },
    { "silent: the first was lost, the second is in flight",
      { { 10, 1510, End::kLost }, { 510, kInFlight, {} } },
      1511,
      AppendTurn::kRefuse },
    { "silent: nobody waits in vain again at once",
      { { 10, 1510, End::kLost }, { 510, 2010, End::kLost } },
      2020,
      AppendTurn::kRefuse },
    { "silent: one caller tries it after a while",
      { { 10, 1510, End::kLost }, { 510, 2010, End::kLost } },
      2510,
      AppendTurn::kSend },
    { "silent: the others don't wait for that one",
      { { 10, 1510, End::kLost }, { 2020, kInFlight, {} } },
      2021,
      AppendTurn::kRefuse },
    { "back: a later call was answered",
      { { 10, 1510, End::kLost },
        { 2020, 2025, End::kAnswered },
        { 2030, kInFlight, {} } },
      2031,
      AppendTurn::kWait },
    { "a lost answer of an older call says nothing",
      { { 10, 1510, End::kLost },
        { 510, 515, End::kAnswered },
        { 1520, kInFlight, {} } },
      1521,
      AppendTurn::kWait },
    { "busy: it refuses at once",
      { { 10, 14, End::kRefused }, { 20, kInFlight, {} } },
      21,
      AppendTurn::kWait },
    { "resets each connection at once: callers try one after another",
      { { 10, 11, End::kLost }, { 20, 21, End::kLost } },
      30,
      AppendTurn::kSend },
  };
  for (const Row& row : rows) {
    const AppendTurn turn = After(row.mCalls).NextTurn(At(row.mNow));
    STRCMP_EQUAL_TEXT(kAppendTurnNames.Name(row.mTurn).data(),
                      kAppendTurnNames.Name(turn).data(),
                      row.mPattern);
  }
}

// Guards against refusing callers for seconds after a single lost answer: looks
// at the groups go on, and tell that the log is there.
TEST(LogAvailability, AnAnswerToAnotherCallEndsTheSilence)
{
  LogAvailability log = After({ { 1000, 2500, LogCallEnd::kLost } });
  log.OnOtherAnswer(At(900));
  CHECK(AppendTurn::kRefuse == log.NextTurn(At(2510)));
  log.OnOtherAnswer(At(1400));
  CHECK(AppendTurn::kSend == log.NextTurn(At(2510)));
}

// Guards against callers that wait for a call in flight for ever.
TEST(LogAvailability, AWaitEndsWhenTheNewestCallIsOverdue)
{
  const LogAvailability log =
    After({ { 10, kInFlight, {} }, { 510, kInFlight, {} } });
  CHECK(At(1010) == log.WaitUntil());
}

// A caller has few tries, so the longer the log is away, the later it returns.
TEST(LogAvailability, CallersReturnLaterTheLongerTheLogIsAway)
{
  struct Row
  {
    int64_t mNow;
    int64_t mFirst;
    int64_t mLast;
  };
  const LogAvailability log = After({ { 1000, 1010, LogCallEnd::kRefused } });
  const Row rows[] = {
    { 1010, 2010, 2510 },
    { 3000, 5000, 6000 },
    { 9000, 12000, 13500 },
  };
  for (const Row& row : rows) {
    MonotonicTime first = MonotonicTime::max();
    MonotonicTime last = MonotonicTime::min();
    for (uint64_t spread = 0; spread < 10000; spread++) {
      first = std::min(first, log.RetryAt(At(row.mNow), spread));
      last = std::max(last, log.RetryAt(At(row.mNow), spread));
    }
    CHECK(At(row.mFirst) == first);
    CHECK(At(row.mLast) == last);
  }
}

TEST(LogAvailability, AnAnswerEndsTheOutage)
{
  const LogAvailability log = After({ { 1000, 1010, LogCallEnd::kRefused },
                                      { 9000, 9004, LogCallEnd::kAnswered },
                                      { 9500, 9510, LogCallEnd::kRefused } });
  CHECK(At(10510) == log.RetryAt(At(9510), 0));
}

} // namespace mulberryvalve
