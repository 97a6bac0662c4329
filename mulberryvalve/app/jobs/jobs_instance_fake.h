// The job services of one instance, composed with fakes.
#ifndef MULBERRYVALVE_APP_JOBS_JOBS_INSTANCE_FAKE_H_
#define MULBERRYVALVE_APP_JOBS_JOBS_INSTANCE_FAKE_H_

#include "mulberryvalve/adapters/json/job_log_json.h"
#include "mulberryvalve/app/jobs/jobs_fake.h"

#include "CppUTest/TestHarness.h"

#include <memory>

namespace mulberryvalve {

inline constexpr Milliseconds kTestTimeout{ 20000 };
inline constexpr Milliseconds kKeepOver{ 1000 };
inline const LearnedPlacementPolicy kLearned;

inline JobGraph SmallJob(const char* aId)
{
  JobGraph job;
  job.mId = JobId(aId);
  job.mQueue = QueueId("queue");
  job.mRules.mService = ServiceId("service");
  StepSpec step;
  step.mCount = 2;
  step.mDemand = Resources{ 1000, 100, 0 };
  job.mSteps.push_back(step);
  return job;
}

// Thread-safe except for construction and destruction.
class JobsInstance
{
public:
  JobsInstance(KeyedLog& aLog, InstantWorker& aWorkers, uint64_t aGeneration)
    : JobsInstance(aLog,
                   aWorkers,
                   std::make_unique<SoleMemberGroup>(aGeneration))
  {
  }

  JobsInstance(KeyedLog& aLog,
               InstantWorker& aWorkers,
               std::unique_ptr<ShardGroup> aGroup,
               uint16_t aPort = 0,
               ShardNumber aShards = 1,
               const JobPlacementPolicy& aPlacement = kLearned)
    : JobsInstance(aLog,
                   aWorkers,
                   std::move(aGroup),
                   OptionsAt(aPort, aShards),
                   std::make_unique<FixedRandom>(),
                   aPlacement)
  {
  }

  JobsInstance(KeyedLog& aLog,
               InstantWorker& aWorkers,
               std::unique_ptr<ShardGroup> aGroup,
               const ShardMembershipOptions& aOptions,
               std::unique_ptr<RandomSource> aRandom,
               const JobPlacementPolicy& aPlacement = kLearned)
    : mRandom(std::move(aRandom))
    , mGroup(std::move(aGroup))
    , mMemberships(aOptions,
                   mLayout,
                   *mGroup,
                   *mRandom,
                   ShardRuntimePorts{ aLog,
                                      mCodec,
                                      aWorkers,
                                      mFeeds,
                                      mPeers,
                                      mConfig,
                                      SchedulingPolicies{ aPlacement, mOrder },
                                      mClock,
                                      mMetrics,
                                      mHeldTasks,
                                      mAccountMetrics,
                                      mEvents })
    , mJobs(aOptions.mOwner.mShards,
            JobGraphServicePorts{ aLog,
                                  mCodec,
                                  mPeers,
                                  mMemberships,
                                  mClock,
                                  mMetrics,
                                  mEvents })
  {
    ClusterConfig config;
    config.mVersion = 1;
    mConfig.Put(config);
    mLayout.Put(ClusterLayout{ kWholeCore });
  }

  void Start() { mMemberships.Start(); }
  JobGraphService& Jobs() { return mJobs; }
  MonotonicTime TimeAfter(Milliseconds aTime) const
  {
    return mClock.Now() + aTime;
  }

  // Passes a peer's query on.
  PeerQueryResult Ask(const PeerQuery& aQuery)
  {
    return mMemberships.OnQuery(aQuery);
  }

  // Polls until the job is in aPhase. Returns false on timeout.
  bool Await(const char* aJob, JobPhase aPhase)
  {
    const MonotonicTime until = TimeAfter(kTestTimeout);
    while (mClock.Now() < until) {
      const auto phase = mJobs.Phase(JobId(aJob), TimeAfter(Milliseconds(300)));
      if (phase && phase.value() == aPhase) {
        return true;
      }
    }
    return false;
  }

  // Returns whether the owner tells a phase of a job in time.
  bool AwaitKnown(const char* aJob)
  {
    const MonotonicTime until = TimeAfter(kTestTimeout);
    while (mClock.Now() < until) {
      if (mJobs.Phase(JobId(aJob), TimeAfter(Milliseconds(300)))) {
        return true;
      }
    }
    return false;
  }

  // Checks that a small job is accepted and completes.
  void Complete(const char* aJob)
  {
    CHECK(mJobs.Submit(SmallJob(aJob), TimeAfter(kTestTimeout)).has_value());
    CHECK(Await(aJob, JobPhase::kCompleted));
  }

  // Returns options with short intervals.
  static ShardMembershipOptions OptionsAt(uint16_t aPort, ShardNumber aShards)
  {
    ShardMembershipOptions options;
    options.mOwner.mShards = aShards;
    options.mJoinInterval = Milliseconds(20);
    options.mPollInterval = Milliseconds(20);
    options.mLowCapacityPollInterval = Milliseconds(40);
    options.mMemberTtl = Milliseconds(100);
    options.mSelf = GroupMember{ Endpoint{ "10.0.0.1", aPort }, kWholeCore };
    options.mOwner.mKeepOver = kKeepOver;
    options.mOwner.mMovesWorkers = true;
    return options;
  }

private:
  RealClock mClock;
  NoMetrics mMetrics;
  HeldTaskMetrics mHeldTasks{ mMetrics };
  AccountMetrics mAccountMetrics;
  SilentEvents mEvents;
  NoPeers mPeers;
  JobLogJson mCodec;
  SingleWorkerFeedFactory mFeeds;
  LeastRemainingWorkPolicy mOrder;
  ConfigView mConfig;
  LayoutView mLayout;
  std::unique_ptr<RandomSource> mRandom;
  std::unique_ptr<ShardGroup> mGroup;
  ShardMembershipManager mMemberships;
  JobGraphService mJobs;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_JOBS_JOBS_INSTANCE_FAKE_H_
