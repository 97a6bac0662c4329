// Tests of the owner's record that each of its appends carries, and of what a
// successor learns from it.
#include "mulberryvalve/app/jobs/faulty_log_fake.h"
#include "mulberryvalve/app/jobs/jobs_instance_fake.h"

#include "CppUTest/TestHarness.h"

#include <algorithm>
#include <atomic>

namespace mulberryvalve {
namespace {

constexpr const char* kOwnerKey = "owner/64";

// One fenced append.
struct SeenAppend
{
  uint64_t mSequence = 0;
  std::vector<KeyedEntry> mEntries;
};

// Returns the age in the owner's record of an append, or nothing if there is
// none.
std::optional<Milliseconds> AgeIn(const SeenAppend& aAppend)
{
  const JobLogJson codec;
  for (const KeyedEntry& entry : aAppend.mEntries) {
    if (entry.mKey == kOwnerKey) {
      const auto item = codec.DecodeProgress(entry);
      return std::get<OwnershipRecord>(item.value()).mActiveFor;
    }
  }
  return std::nullopt;
}

// Keeps the fenced appends that reach it. Thread-safe.
class SeenLog : public FaultyLog
{
public:
  using FaultyLog::FaultyLog;

  Result<void> AppendFenced(const AppendFence& aProof,
                            const std::vector<KeyedEntry>& aEntries) override
  {
    {
      MutexLock lock(mSeenMutex);
      mSeen.push_back(SeenAppend{ aProof.mSequence, aEntries });
      mSeenCond.NotifyAll();
    }
    return FaultyLog::AppendFenced(aProof, aEntries);
  }

  // Blocks until aCount appends have been seen and returns them.
  std::vector<SeenAppend> Await(size_t aCount)
  {
    MutexLock lock(mSeenMutex);
    while (mSeen.size() < aCount) {
      mSeenCond.Wait(mSeenMutex);
    }
    return mSeen;
  }

  size_t Count() const
  {
    MutexLock lock(mSeenMutex);
    return mSeen.size();
  }

private:
  mutable Mutex mSeenMutex;
  CondVar mSeenCond;
  std::vector<SeenAppend> mSeen MV_GUARDED_BY(mSeenMutex);
};

// Runs ahead of the real clock once it was advanced. Thread-safe.
class AdvancedClock : public RealClock
{
public:
  void Advance(Milliseconds aBy) { mAheadMs += aBy.count(); }

  MonotonicTime Now() const override
  {
    return RealClock::Now() + Milliseconds(mAheadMs);
  }

private:
  std::atomic<int64_t> mAheadMs{ 0 };
};

// Applies each fenced append, but loses the answers once LoseAnswers was
// called, except for as many as AnswerOnce was called later. Thread-safe.
class AnswerLosingLog : public SeenLog
{
public:
  using SeenLog::SeenLog;

  void LoseAnswers() { mIsLosing = true; }
  void AnswerOnce() { mAnswers++; }
  bool HasAnswered() const { return mAnswers == 0; }

  Result<void> AppendFenced(const AppendFence& aProof,
                            const std::vector<KeyedEntry>& aEntries) override
  {
    Result<void> done = SeenLog::AppendFenced(aProof, aEntries);
    if (!mIsLosing) {
      return done;
    }
    if (mAnswers > 0) {
      mAnswers--;
      return done;
    }
    return Fail(FailureKind::kLogAnswerLost, "fake");
  }

private:
  std::atomic<bool> mIsLosing{ false };
  std::atomic<int> mAnswers{ 0 };
};

// Keeps the ends of the leases that it is asked for. Its clock stands still, so
// that an end tells the length of the lease. Thread-safe.
class LeaseRecorder : public ThreadedWorker
{
public:
  static constexpr int64_t kClockMs = 1000;

  // Blocks until aCount more leases have been asked for and returns the longest
  // of them.
  Milliseconds LongestOfNext(size_t aCount)
  {
    MutexLock lock(mMutex);
    const size_t first = mLeases.size();
    while (mLeases.size() < first + aCount) {
      mCond.Wait(mMutex);
    }
    return *std::max_element(mLeases.begin() + static_cast<long>(first),
                             mLeases.end());
  }

private:
  OrderReply HandleOrder(const TaskOrder&) override { return OrderReply(); }

  RenewalReply HandleRenewal(const RenewalRequest& aOrder) override
  {
    std::this_thread::sleep_for(Milliseconds(5));
    MutexLock lock(mMutex);
    if (aOrder.mUntil) {
      mLeases.emplace_back(aOrder.mUntil->mMilliseconds - kClockMs);
      mCond.NotifyAll();
    }
    RenewalReply reply;
    reply.mOutcome = OrderOutcome::kAccepted;
    reply.mReading =
      ClockReading{ WorkerTime{ kClockMs }, WorkerIncarnation(1) };
    return reply;
  }

  Mutex mMutex;
  CondVar mCond;
  std::vector<Milliseconds> mLeases MV_GUARDED_BY(mMutex);
};

// An owner of one worker, with a clock and a log that tests control.
class OwnerOfRecorder
{
public:
  explicit OwnerOfRecorder(MemoryLog& aMemory)
    : mLog(aMemory)
    , mRuntime(OptionsOf(),
               ShardRuntimePorts{ mLog,
                                  mCodec,
                                  mWorker,
                                  mFeeds,
                                  mPeers,
                                  mConfig,
                                  SchedulingPolicies{ kLearned, mOrder },
                                  mClock,
                                  mMetrics,
                                  mHeldTasks,
                                  mAccountMetrics,
                                  mEvents })
  {
    ClusterConfig config;
    config.mVersion = 1;
    mConfig.Put(config);
    mRuntime.Start();
  }

  AdvancedClock mClock;
  AnswerLosingLog mLog;
  LeaseRecorder mWorker;

private:
  static ShardRuntimeOptions OptionsOf()
  {
    ShardRuntimeOptions options;
    options.mEpoch = Epoch(64);
    return options;
  }

  NoMetrics mMetrics;
  HeldTaskMetrics mHeldTasks{ mMetrics };
  AccountMetrics mAccountMetrics;
  SilentEvents mEvents;
  NoPeers mPeers;
  JobLogJson mCodec;
  SingleWorkerFeedFactory mFeeds;
  LeastRemainingWorkPolicy mOrder;
  ConfigView mConfig;
  ShardRuntime mRuntime;
};

} // namespace

TEST_GROUP(OwnershipRecordTest)
{
  MemoryLog mMemory;
  SeenLog mLog{ mMemory };
  InstantWorker mWorkers;
};

// Otherwise the leases of a shard in which nothing changes could not be
// renewed.
TEST(OwnershipRecordTest, AnIdleOwnerAppendsItsRecord)
{
  JobsInstance instance(mLog, mWorkers, 1);
  instance.Start();
  // The worker is recorded at once, and perhaps the learned data later.
  const std::vector<SeenAppend> seen = mLog.Await(8);
  CHECK(AgeIn(seen[0]).value() < Milliseconds(1000));
  size_t alone = 0;
  for (size_t number = 1; number < seen.size(); number++) {
    const Milliseconds since =
      AgeIn(seen[number]).value() - AgeIn(seen[number - 1]).value();
    const bool isAlone = seen[number].mEntries.size() == 1;
    alone += isAlone ? 1 : 0;
    CHECK(since >= Milliseconds(isAlone ? 299 : 0));
  }
  CHECK(alone >= 4);
}

// The log keeps the first try of an append, so a repetition that claimed to be
// newer would prove more than a successor can know.
TEST(OwnershipRecordTest, ARepeatedAppendCarriesTheRecordOfItsFirstTry)
{
  JobsInstance instance(mLog, mWorkers, 1);
  instance.Start();
  instance.Complete("a");
  mLog.FailCalls(LogCall::kAppendFenced, FailureKind::kLogUnavailable);
  const size_t before = mLog.Count();
  const std::vector<SeenAppend> seen = mLog.Await(before + 4);
  mLog.ClearFailures();
  const SeenAppend& first = seen[before + 1];
  const SeenAppend& last = seen[before + 3];
  CHECK_EQUAL(first.mSequence, last.mSequence);
  CHECK_EQUAL(first.mEntries.size(), last.mEntries.size());
  CHECK(AgeIn(first).has_value());
  CHECK(AgeIn(first) == AgeIn(last));
  instance.Complete("b");
}

// Guards against leases that outlast what a successor waits for: the answer to
// a repetition proves the ownership only as of the first try.
TEST(OwnershipRecordTest, ARepeatedAppendProvesNoMoreThanItsFirstTry)
{
  constexpr size_t kRenewals = 20;
  constexpr Milliseconds kAway{ 5000 };
  const LeaseTerms terms;
  OwnerOfRecorder owner(mMemory);
  CHECK(owner.mWorker.LongestOfNext(kRenewals) >= terms.mLength);
  owner.mLog.LoseAnswers();
  // The first of these may have been answered, the second was not.
  owner.mLog.Await(owner.mLog.Count() + 2);
  owner.mClock.Advance(kAway);
  // A renewal that was decided before may arrive after.
  owner.mWorker.LongestOfNext(2);
  const Milliseconds longest = terms.mMaxRunsAfterProof - kAway * 98 / 100;
  CHECK(owner.mWorker.LongestOfNext(kRenewals) <= longest);
  owner.mLog.AnswerOnce();
  Milliseconds after = owner.mWorker.LongestOfNext(kRenewals);
  while (!owner.mLog.HasAnswered()) {
    after = std::max(after, owner.mWorker.LongestOfNext(kRenewals));
  }
  after = std::max(after, owner.mWorker.LongestOfNext(2 * kRenewals));
  CHECK(after <= longest);
}

TEST(OwnershipRecordTest, EveryAppendOfALargeBatchHasARecordAndFits)
{
  // Two jobs' records don't fit into a call beside the owner's.
  constexpr KeyedLogLimits kSmallLimits{ 600, 700 };
  mLog.Limit(kSmallLimits);
  JobsInstance instance(mLog, mWorkers, 1);
  instance.Start();
  instance.Complete("first");
  mLog.FailCalls(LogCall::kAppendFenced, FailureKind::kLogUnavailable);
  std::vector<std::string> ids;
  for (size_t job = 0; job < 8; job++) {
    ids.push_back("job" + std::to_string(job));
    CHECK(
      instance.Jobs()
        .Submit(SmallJob(ids.back().c_str()), instance.TimeAfter(kTestTimeout))
        .has_value());
  }
  for (const std::string& id : ids) {
    CHECK(instance.AwaitKnown(id.c_str()));
  }
  mLog.ClearFailures();
  for (const std::string& id : ids) {
    CHECK(instance.Await(id.c_str(), JobPhase::kCompleted));
  }
  for (const SeenAppend& append : mLog.Await(1)) {
    CHECK(AgeIn(append).has_value());
    CHECK(FitsRequest(append.mEntries, kSmallLimits));
  }
}

TEST(OwnershipRecordTest, AnswersTellTheAgeOfTheOwner)
{
  JobsInstance instance(mLog, mWorkers, 1);
  instance.Start();
  instance.Complete("a");
  PeerQuery query;
  query.mKind = PeerQueryKind::kWaitingJobs;
  const OwnerAge first = instance.Ask(query).mOwner.value();
  CHECK(Epoch(64) == first.mEpoch);
  const std::vector<SeenAppend> seen = mLog.Await(mLog.Count() + 2);
  const OwnerAge second = instance.Ask(query).mOwner.value();
  CHECK(first.mActiveFor < second.mActiveFor);
  // Rounded down and up, so that the answer never claims more.
  CHECK(AgeIn(seen.back()).value() <= second.mActiveFor + Milliseconds(1));
}

} // namespace mulberryvalve
