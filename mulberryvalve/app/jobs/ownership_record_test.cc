// Tests of the owner's record that each of its appends carries, and of what a
// successor learns from it.
#include "mulberryvalve/app/jobs/faulty_log_fake.h"
#include "mulberryvalve/app/jobs/jobs_instance_fake.h"

#include "CppUTest/TestHarness.h"

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
  const std::vector<SeenAppend> seen = mLog.Await(5);
  CHECK(AgeIn(seen[0]).value() < Milliseconds(1000));
  for (size_t number = 1; number < seen.size(); number++) {
    const Milliseconds age = AgeIn(seen[number]).value();
    const Milliseconds before = AgeIn(seen[number - 1]).value();
    // Two appends within a millisecond tell the same age, which is rounded up.
    const bool isIdle = seen[number].mEntries.size() == 1;
    CHECK(isIdle ? age > before : age >= before);
  }
  CHECK_EQUAL(1U, seen[4].mEntries.size());
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
    CHECK(instance.Await(id.c_str(), JobPhase::kRunning));
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
