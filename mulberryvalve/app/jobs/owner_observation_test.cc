// Tests what an instance observes of an owner before it becomes owner itself.
#include "mulberryvalve/app/jobs/jobs_instance_fake.h"

#include "CppUTest/TestHarness.h"

#include <atomic>

namespace mulberryvalve {
namespace {

constexpr Epoch kFormerEpoch(3);
// How long the former owner had been active when it was observed, and at its
// newest append.
constexpr Milliseconds kObservedAge{ 4000 };
constexpr Milliseconds kRecordedAge{ 1000 };
const Endpoint kFormerPeer{ "10.0.0.9", 7380 };

// A group whose shard another instance owns until Release. Thread-safe.
class OwnedGroup : public SoleMemberGroup
{
public:
  OwnedGroup()
    : SoleMemberGroup(1)
  {
  }

  void Release() { mIsReleased = true; }

  Result<GroupView> View(ShardNumber aShard) override
  {
    if (mIsReleased) {
      return SoleMemberGroup::View(aShard);
    }
    GroupView view;
    view.mOwner = GroupMember{ kFormerPeer, kWholeCore };
    return view;
  }

private:
  std::atomic<bool> mIsReleased{ false };
};

// Answers as the former owner. Thread-safe.
class FormerOwnerPeer : public PeerQueryClient
{
public:
  Result<PeerQueryResult> Ask(const Endpoint& aPeer,
                              const PeerQuery& aQuery,
                              Milliseconds) override
  {
    MutexLock lock(mMutex);
    if (aQuery.mKind == PeerQueryKind::kWaitingJobs && aPeer == kFormerPeer) {
      mAsked++;
      mCond.NotifyAll();
    }
    PeerQueryResult result;
    result.mOwner = OwnerAge{ kFormerEpoch, kObservedAge };
    return result;
  }

  void AwaitAsked()
  {
    MutexLock lock(mMutex);
    while (mAsked == 0) {
      mCond.Wait(mMutex);
    }
  }

  size_t Asked() const
  {
    MutexLock lock(mMutex);
    return mAsked;
  }

private:
  mutable Mutex mMutex;
  CondVar mCond;
  size_t mAsked MV_GUARDED_BY(mMutex) = 0;
};

// Keeps the field "former_runs". Thread-safe.
class FormerRunsEvents : public EventLog
{
public:
  void Write(EventLevel,
             std::string_view,
             const std::vector<EventField>& aFields) override
  {
    MutexLock lock(mMutex);
    for (const EventField& field : aFields) {
      if (field.mKey == "former_runs") {
        mFormerRuns = field.mValue;
        mCond.NotifyAll();
      }
    }
  }

  std::string Await()
  {
    MutexLock lock(mMutex);
    while (!mFormerRuns) {
      mCond.Wait(mMutex);
    }
    return *mFormerRuns;
  }

private:
  Mutex mMutex;
  CondVar mCond;
  std::optional<std::string> mFormerRuns MV_GUARDED_BY(mMutex);
};

// An instance that looks at the shard of a former owner and takes it over.
class Successor
{
public:
  explicit Successor(MemoryLog& aLog)
    : mMemberships(JobsInstance::OptionsAt(1, 1),
                   mLayout,
                   mGroup,
                   mRandom,
                   ShardRuntimePorts{ aLog,
                                      mCodec,
                                      mWorkers,
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
    mLayout.Put(ClusterLayout{ kWholeCore });
  }

  RealClock mClock;
  NoMetrics mMetrics;
  HeldTaskMetrics mHeldTasks{ mMetrics };
  AccountMetrics mAccountMetrics;
  FormerRunsEvents mEvents;
  FormerOwnerPeer mPeers;
  JobLogJson mCodec;
  InstantWorker mWorkers;
  SingleWorkerFeedFactory mFeeds;
  LeastRemainingWorkPolicy mOrder;
  ConfigView mConfig;
  LayoutView mLayout;
  FixedRandom mRandom;
  OwnedGroup mGroup;
  ShardMembershipManager mMemberships;
};

// Appends the record of the former owner.
void RecordFormerOwner(MemoryLog& aLog, std::optional<Milliseconds> aActiveFor)
{
  const JobLogJson codec;
  OwnershipRecord record{ kFormerEpoch, "former", kFormerPeer };
  record.mActiveFor = aActiveFor;
  const AppendFence fence{ TopicPartition{ KeyedTopic::kProgress, 0 },
                           kFormerEpoch,
                           1 };
  CHECK(aLog.AppendFenced(fence, { codec.Encode(record) }).has_value());
}

} // namespace

TEST_GROUP(OwnerObservationTest)
{
  MemoryLog mLog;
};

// Guards against a wait that counts from the claim though the former owner had
// appended nothing for long before.
TEST(OwnerObservationTest, ASuccessorKnowsWhenAnObservedOwnerLastAppended)
{
  RecordFormerOwner(mLog, kRecordedAge);
  Successor successor(mLog);
  successor.mMemberships.Start();
  successor.mPeers.AwaitAsked();
  successor.mGroup.Release();
  const std::string runs = successor.mEvents.Await();
  const std::string prefix = "3:observed:";
  STRCMP_EQUAL(prefix.c_str(), runs.substr(0, prefix.size()).c_str());
  // 3000 ms before the observation, by a clock that is 2% fast.
  CHECK(std::stol(runs.substr(prefix.size())) <= 10043 - 2940);
  // The observation is recent for longer than this took.
  CHECK_EQUAL(1U, successor.mPeers.Asked());
}

TEST(OwnerObservationTest, AnOwnerThatWasNotObservedIsBoundedByTheClaim)
{
  RecordFormerOwner(mLog, kRecordedAge);
  Successor successor(mLog);
  successor.mGroup.Release();
  successor.mMemberships.Start();
  STRCMP_EQUAL("3:claim:10043", successor.mEvents.Await().c_str());
}

TEST(OwnerObservationTest, NothingBoundsAnOwnerOfAnEarlierVersion)
{
  RecordFormerOwner(mLog, std::nullopt);
  Successor successor(mLog);
  successor.mMemberships.Start();
  successor.mPeers.AwaitAsked();
  successor.mGroup.Release();
  STRCMP_EQUAL("3:none", successor.mEvents.Await().c_str());
}

} // namespace mulberryvalve
