// Tests submissions while the log is slow or away for some instances.
#include "mulberryvalve/app/jobs/intake_relaying_fake.h"

#include <algorithm>
#include <thread>
#include <vector>

namespace mulberryvalve {
namespace {

// 50 times the usual time of an append.
constexpr Milliseconds kSlowAppend{ 200 };
constexpr int kCallers = 40;

} // namespace

TEST_GROUP(IntakeRelaying)
{
  MemoryLog mLog;
  OwnerInstance mOwner{ mLog };
  RelayingInstance mInstance{ mLog, mOwner.mCommit };

  // Makes the instance relay: one append of its own is turned away.
  void StartRelaying()
  {
    mInstance.mLog.FailCalls(LogCall::kAppend, FailureKind::kLogUnavailable);
    CHECK(mInstance.Submit("first").has_value());
    mInstance.mLog.ClearFailures();
  }
  size_t Appends() const
  {
    return mLog.CountAppends(KeyedTopic::kIntake);
  }
  size_t OwnFailures() const
  {
    return mInstance.mLog.Failures(LogCall::kAppend);
  }
};

// Guards against one append per caller: at 200 ms each, 40 of them would take
// 8 s, longer than callers wait.
TEST(IntakeRelaying, EntriesThatArriveDuringASlowAppendShareTheNext)
{
  mLog.SetAppendTime(kSlowAppend);
  std::vector<std::thread> callers;
  std::atomic<int> done{ 0 };
  std::atomic<int> measured{ 0 };
  const MonotonicTime begin = mInstance.mClock.Now();
  for (int caller = 0; caller < kCallers; caller++) {
    callers.emplace_back([&, caller] {
      const IntakeResult result = mOwner.Relay(std::to_string(caller));
      done += result.mOutcome == IntakeOutcome::kDone ? 1 : 0;
      measured += result.mAppendTime >= kSlowAppend ? 1 : 0;
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  CHECK_EQUAL(kCallers, done.load());
  CHECK_EQUAL(kCallers, measured.load());
  CHECK(Appends() <= 3);
  CHECK(mInstance.mClock.Now() - begin < 5 * kSlowAppend);
}

// Guards against "done" or "refused" for what the owner does not know.
TEST(IntakeRelaying, TheOwnerTellsWhatBecameOfAnEntry)
{
  CHECK(IntakeOutcome::kDone == mOwner.Relay("a").mOutcome);
  mOwner.mLog.FailCalls(LogCall::kAppend, FailureKind::kLogUnavailable);
  const IntakeResult refused = mOwner.Relay("b");
  CHECK(IntakeOutcome::kRefused == refused.mOutcome);
  CHECK(refused.mRetryIn >= LogAvailability::kMinRetryDelay);
  mOwner.mLog.FailCalls(LogCall::kAppend, FailureKind::kLogAnswerLost);
  CHECK(IntakeOutcome::kUnknown == mOwner.Relay("c").mOutcome);
  mOwner.mLog.ClearFailures();
  mOwner.mOwners.mOwns = false; // superseded
  CHECK(IntakeOutcome::kRefused == mOwner.Relay("d").mOutcome);
  mOwner.mOwners.mOwns = true;
  mOwner.mCommit.BeginStop();
  CHECK(IntakeOutcome::kRefused == mOwner.Relay("e").mOutcome);
  CHECK_EQUAL(1U, Appends());
}

// Guards against an owner whose memory grows while the log is slow, and against
// entries that wait though their sender will not.
TEST(IntakeRelaying, TheOwnerRefusesAtOnceWhatItCannotAppendInTime)
{
  mLog.SetAppendTime(kSlowAppend);
  CHECK(IntakeOutcome::kDone == mOwner.Relay("first").mOutcome);
  PeerQuery query;
  query.mKind = PeerQueryKind::kAppendIntake;
  query.mRelayed =
    RelayedEntry{ { "key", std::string(32000, 'v') }, kTestTimeout };
  std::atomic<int> done{ 0 };
  std::atomic<int> refused{ 0 };
  const auto count = [&](const PeerQueryResult& aResult) {
    (aResult.mIntake->mOutcome == IntakeOutcome::kDone ? done : refused)++;
  };
  const int room = IntakeGroupCommit::kMaxBytesInFlight / 32000;
  for (int entry = 0; entry < room; entry++) {
    mOwner.mCommit.OnIntake(query, count);
  }
  const int refusedBefore = refused;
  CHECK(refusedBefore <= 2);
  mOwner.mCommit.OnIntake(query, count);
  CHECK_EQUAL(refusedBefore + 1, refused.load());
  query.mRelayed =
    RelayedEntry{ { "late", std::string("v") }, kSlowAppend / 2 };
  mOwner.mCommit.OnIntake(query, count);
  CHECK_EQUAL(refusedBefore + 2, refused.load());
  while (done + refused < room + 2) {
    std::this_thread::sleep_for(Milliseconds(10));
  }
  CHECK_FALSE(mLog.Holds(KeyedTopic::kIntake, "late"));
}

// Guards against an instance that refuses all calls while it alone lost the
// log, whether it is turned away or gets no answer.
TEST(IntakeRelaying, TheOwnerAppendsForAnInstanceThatLostTheLog)
{
  for (const FailureKind kind :
       { FailureKind::kLogUnavailable, FailureKind::kLogAnswerLost }) {
    RelayingInstance instance(mLog, mOwner.mCommit);
    instance.mLog.FailCalls(LogCall::kAppend, kind);
    CHECK(instance.Submit("one").has_value());
    CHECK(instance.Submit("two").has_value());
    CHECK_EQUAL(1U, instance.mLog.Failures(LogCall::kAppend));
    CHECK_EQUAL(2, instance.mLink.mQueries.load());
  }
}

// Guards against callers that wait for an append which has no answer yet: the
// next ones are relayed before it ends.
TEST(IntakeRelaying, CallersDoNotWaitBehindASlowAppend)
{
  MemoryLog slow;
  slow.SetAppendTime(Milliseconds(600));
  RelayingInstance instance(slow, mOwner.mCommit);
  std::atomic<bool> isFirstDone{ false };
  std::thread first(
    [&] { isFirstDone = instance.Submit("first").has_value(); });
  std::this_thread::sleep_for(2 * IntakeRelay::kSlowAppend);
  CHECK(instance.Submit("second").has_value());
  CHECK(instance.Submit("third").has_value());
  CHECK_FALSE(isFirstDone);
  first.join();
  CHECK(isFirstDone);
  CHECK_EQUAL(2, instance.mLink.mQueries.load());
}

// Guards against an instance that keeps appending to a slow log, and against
// one that keeps relaying once the log is fast.
TEST(IntakeRelaying, ASlowAppendIsFollowedByRelayingUntilTheOwnerIsFast)
{
  mLog.SetAppendTime(Milliseconds(80));
  CHECK(mInstance.Submit("slow").has_value());
  CHECK_EQUAL(0, mInstance.mLink.mQueries.load());
  CHECK(mInstance.Submit("relayed").has_value());
  mLog.SetAppendTime(Milliseconds(1));
  CHECK(mInstance.Submit("fast").has_value());
  CHECK_EQUAL(2, mInstance.mLink.mQueries.load());
  CHECK(mInstance.Submit("own").has_value());
  CHECK_EQUAL(2, mInstance.mLink.mQueries.load());
}

// The owner is killed with the record sent, the answer is lost, the link is
// cut, or the owner has lost the log itself. Guards against a call that fails
// though the instance reaches the log, and against a second record key.
TEST(IntakeRelaying, TheInstanceAppendsItselfIfTheOwnerFails)
{
  for (const LinkState state : { LinkState::kAnswerLost,
                                 LinkState::kCut,
                                 LinkState::kNoConnection,
                                 LinkState::kNotListening }) {
    RelayingInstance instance(mLog, mOwner.mCommit);
    instance.mLog.FailCalls(LogCall::kAppend, FailureKind::kLogUnavailable);
    CHECK(instance.Submit("first").has_value());
    instance.mLog.ClearFailures();
    instance.mLink.mState = state;
    CHECK(instance.Submit("second").has_value());
    CHECK(instance.Submit("third").has_value());
    CHECK_EQUAL(2, instance.mLink.mQueries.load());
    CHECK(instance.mOwners.mInvalidations > 0);
  }
  StartRelaying();
  mOwner.mLog.FailCalls(LogCall::kAppend, FailureKind::kLogUnavailable);
  CHECK(mInstance.Submit("owner without log").has_value());
  const KeyedPage page = mLog.ReadLatest({ KeyedTopic::kIntake, 0 }).value();
  CHECK_EQUAL(4U, page.mEntries.size());
}

// One row for each way in which both paths fail. Guards against "not accepted"
// for a job that may run, and against "unknown" for one that cannot.
TEST(IntakeRelaying, NotAcceptedIsToldOnlyIfNoPathCanHaveHadAnEffect)
{
  struct Row
  {
    FailureKind mOwnAppend;
    LinkState mLink;
    FailureKind mTold;
  };
  const FailureKind refused = FailureKind::kLogUnavailable;
  const FailureKind lost = FailureKind::kLogAnswerLost;
  const FailureKind unknown = FailureKind::kUnknownOutcome;
  const std::vector<Row> rows{
    { refused, LinkState::kNotListening, refused },
    { refused, LinkState::kNoConnection, refused },
    { refused, LinkState::kAnswerLost, unknown },
    { refused, LinkState::kCut, unknown },
    { lost, LinkState::kNotListening, unknown },
    { lost, LinkState::kAnswerLost, unknown },
  };
  for (const Row& row : rows) {
    RelayingInstance instance(mLog, mOwner.mCommit);
    instance.mLog.FailCalls(LogCall::kAppend, row.mOwnAppend);
    instance.mLink.mState = row.mLink;
    const Result<void> told = instance.Submit("job", Milliseconds(1000));
    CHECK(row.mTold == told.error().mKind);
    CHECK_EQUAL(row.mTold == refused, told.error().mRetryAt > MonotonicTime());
  }
}

// A new owner is not known yet, or this instance became the owner itself.
// Guards against queries to nobody and against relaying by an owner.
TEST(IntakeRelaying, NothingIsRelayedWithoutAnotherOwner)
{
  mInstance.mLog.FailCalls(LogCall::kAppend, FailureKind::kLogUnavailable);
  mInstance.mOwners.mIsOwnerKnown = false;
  CHECK_FALSE(mInstance.Submit("no owner").has_value());
  RelayingInstance owner(mLog, mOwner.mCommit);
  owner.mLog.FailCalls(LogCall::kAppend, FailureKind::kLogUnavailable);
  owner.mOwners.mOwns = true;
  const Result<void> refused = owner.Submit("owner");
  CHECK(FailureKind::kLogUnavailable == refused.error().mKind);
  CHECK(refused.error().mRetryAt > owner.mClock.Now());
  CHECK_EQUAL(0, mInstance.mLink.mQueries + owner.mLink.mQueries);
}

// Guards against two jobs where one was submitted: two instances relay the same
// id, and a third appends it.
TEST(IntakeRelaying, TheSameIdOnBothPathsIsOneRecord)
{
  StartRelaying();
  RelayingInstance other(mLog, mOwner.mCommit);
  CHECK(mInstance.Submit("first").has_value());
  CHECK(other.Submit("first").has_value());
  CHECK_EQUAL(3U, Appends());
  CHECK_EQUAL(
    1U, mLog.ReadLatest({ KeyedTopic::kIntake, 0 }).value().mEntries.size());
}

// Guards against waits beyond the caller's deadline.
TEST(IntakeRelaying, ACallerWithLessTimeThanAnAppendTakesIsRefusedAtOnce)
{
  mLog.SetAppendTime(kSlowAppend);
  CHECK(mInstance.Submit("own").has_value());
  CHECK(mInstance.Submit("relayed").has_value());
  const MonotonicTime begin = mInstance.mClock.Now();
  const Result<void> late = mInstance.Submit("late", kSlowAppend / 2);
  CHECK(FailureKind::kLogUnavailable == late.error().mKind);
  CHECK(late.error().mRetryAt > begin);
  CHECK(mInstance.mClock.Now() - begin < kSlowAppend / 2);
  CHECK_EQUAL(2U, Appends());
}

// Guards against frames that an owner cannot read.
TEST(IntakeRelaying, ALargeJobIsNotRelayed)
{
  StartRelaying();
  JobGraph job = SmallJob("large");
  job.mQueue = QueueId(std::string(kMaxRelayedBytes / 2, 'q'));
  job.mSpecification = std::string(kMaxRelayedBytes / 2, 's');
  const int before = mInstance.mLink.mQueries;
  const MonotonicTime until = mInstance.mClock.Now() + kTestTimeout;
  CHECK(mInstance.mJobs.Submit(job, until).has_value());
  CHECK_EQUAL(before, mInstance.mLink.mQueries.load());
  CHECK_EQUAL(1U, OwnFailures());
  CHECK_EQUAL(2U, Appends());
}

// Guards against a change of behaviour where relaying is not enabled.
TEST(IntakeRelaying, WithoutTheFlagNothingIsRelayed)
{
  JobGraphService jobs(1,
                       JobGraphServicePorts{ mInstance.mLog,
                                             mInstance.mCodec,
                                             mInstance.mLink,
                                             mInstance.mOwners,
                                             mInstance.mClock,
                                             mInstance.mMetrics,
                                             mInstance.mEvents });
  mInstance.mLog.FailCalls(LogCall::kAppend, FailureKind::kLogUnavailable);
  const MonotonicTime until = mInstance.mClock.Now() + kTestTimeout;
  CHECK(FailureKind::kLogUnavailable ==
        jobs.Submit(SmallJob("job"), until).error().mKind);
  CHECK_EQUAL(0, mInstance.mLink.mQueries.load());
}

} // namespace mulberryvalve
