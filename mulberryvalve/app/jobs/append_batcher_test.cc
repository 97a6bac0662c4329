#include "mulberryvalve/app/jobs/append_batcher.h"

#include <atomic>
#include <optional>
#include <thread>
#include <vector>

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

constexpr Milliseconds kOverdue = LogAvailability::kOverdueAfter;

// A clock that the test sets.
class ManualClock : public Clock
{
public:
  MonotonicTime Now() const override
  {
    return MonotonicTime(Microseconds(mMicroseconds));
  }
  WallTime WallNow() const override { return WallTime{ 1 }; }
  void Advance(Milliseconds aTime)
  {
    mMicroseconds += std::chrono::duration_cast<Microseconds>(aTime).count();
  }

private:
  std::atomic<int64_t> mMicroseconds{ 1'000'000 };
};

// A log that answers no append until EndCalls. Thread-safe.
class SilentLog : public KeyedLog
{
public:
  Result<KeyedPage> ReadLatest(const TopicPartition&) override
  {
    return KeyedPage{};
  }
  Result<KeyedPage> Read(const TopicPartition&, uint64_t, Milliseconds) override
  {
    return KeyedPage{};
  }
  Result<void> Append(const TopicPartition&,
                      const std::vector<KeyedEntry>&) override
  {
    MutexLock lock(mMutex);
    mCalls++;
    mCond.NotifyAll();
    while (!mOutcome) {
      mCond.Wait(mMutex);
    }
    return *mOutcome;
  }
  Result<void> AppendAt(const TopicPartition&,
                        uint64_t,
                        const std::vector<KeyedEntry>&) override
  {
    return Done();
  }
  Result<void> AppendFenced(const AppendFence&,
                            const std::vector<KeyedEntry>&) override
  {
    return Done();
  }

  void AwaitCalls(size_t aCalls)
  {
    MutexLock lock(mMutex);
    while (mCalls < aCalls) {
      mCond.Wait(mMutex);
    }
  }
  size_t Calls()
  {
    MutexLock lock(mMutex);
    return mCalls;
  }

  // Ends the calls in flight, and later ones at once, with aOutcome.
  void EndCalls(Result<void> aOutcome)
  {
    MutexLock lock(mMutex);
    mOutcome = std::move(aOutcome);
    mCond.NotifyAll();
  }

private:
  Mutex mMutex;
  CondVar mCond;
  size_t mCalls MV_GUARDED_BY(mMutex) = 0;
  std::optional<Result<void>> mOutcome MV_GUARDED_BY(mMutex);
};

} // namespace

TEST_GROUP(AppendBatcher)
{
  ManualClock mClock;
  SilentLog mLog;
  AppendBatcher mBatcher{ mLog,
                          mClock,
                          TopicPartition{ KeyedTopic::kIntake, 0 } };
  std::vector<std::thread> mCallers;

  Result<void> Append(MonotonicTime aHeardAt = MonotonicTime())
  {
    return mBatcher.Append(KeyedEntry{ "key", "value" },
                           AppendTerms{ aHeardAt, MonotonicTime::max() });
  }

  // Two calls that the log does not answer, the second beside the first once
  // that is overdue.
  void FillWithOverdueCalls()
  {
    for (size_t calls = 1; calls <= LogAvailability::kMaxCalls; calls++) {
      mCallers.emplace_back([this] { (void)Append(); });
      mLog.AwaitCalls(calls);
      mClock.Advance(kOverdue);
    }
  }
  void LoseCalls()
  {
    mLog.EndCalls(Fail(FailureKind::kLogAnswerLost));
    JoinCallers();
  }
  void JoinCallers()
  {
    for (std::thread& caller : mCallers) {
      caller.join();
    }
    mCallers.clear();
  }
};

// Guards against holding callers up to their deadline behind calls that a
// silent log does not answer: what was not sent is refused at once.
TEST(AppendBatcher, ACallerDoesNotWaitForASilentLog)
{
  FillWithOverdueCalls();
  const Result<void> refused = Append();
  CHECK(FailureKind::kLogUnavailable == refused.error().mKind);
  CHECK(refused.error().mRetryAt > mClock.Now());
  CHECK_EQUAL(2U, mLog.Calls());
  LoseCalls();
}

TEST(AppendBatcher, ASilentLogIsTriedAgainOnceItHasAnsweredOtherCalls)
{
  FillWithOverdueCalls();
  LoseCalls();
  mLog.EndCalls(Done());
  const Result<void> refused = Append();
  CHECK(FailureKind::kLogUnavailable == refused.error().mKind);
  CHECK(Append(mClock.Now()).has_value());
  CHECK(Append().has_value());
}

// Guards against a caller that gets its turn to send entries which another
// caller is sending already.
TEST(AppendBatcher, ABatchIsSentOnce)
{
  FillWithOverdueCalls();
  mLog.EndCalls(Done());
  JoinCallers();
  CHECK_EQUAL(2U, mLog.Calls());
  CHECK(Append().has_value());
  CHECK_EQUAL(3U, mLog.Calls());
}

// Guards against a copy of a job's record that is appended long after its
// caller has given up and cancelled the job, as the process stood still before
// it sent the entry (kin of review/11).
TEST(AppendBatcher, AnEntryIsNotSentOnceItsTimeIsOver)
{
  mLog.EndCalls(Done());
  const MonotonicTime sendBy = mClock.Now() + kOverdue;
  mClock.Advance(kOverdue);
  const Result<void> late =
    mBatcher.Append(KeyedEntry{ "key", "value" }, AppendTerms{ {}, sendBy });
  CHECK_FALSE(late.has_value());
  CHECK(FailureKind::kLogUnavailable == late.error().mKind);
  CHECK_EQUAL(0U, mLog.Calls());
}

// An entry that was not sent says nothing about the log.
TEST(AppendBatcher, AnEntryWhoseTimeIsOverDoesNotHoldUpTheNext)
{
  FillWithOverdueCalls();
  const MonotonicTime soon = mClock.Now() + kOverdue;
  mClock.Advance(kOverdue);
  mLog.EndCalls(Done());
  JoinCallers();
  const Result<void> late =
    mBatcher.Append(KeyedEntry{ "late", "v" }, AppendTerms{ {}, soon });
  const Result<void> inTime = Append();
  CHECK_FALSE(late.has_value());
  CHECK(FailureKind::kLogUnavailable == late.error().mKind);
  CHECK(inTime.has_value());
  CHECK_EQUAL(3U, mLog.Calls());
}

} // namespace mulberryvalve
