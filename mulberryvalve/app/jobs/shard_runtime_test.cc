// Tests of one ownership of a shard: takeover, and the order in which a backlog
// is sent.
#include "mulberryvalve/adapters/json/job_log_json.h"
#include "mulberryvalve/app/jobs/faulty_log_fake.h"
#include "mulberryvalve/app/jobs/jobs_fake.h"
#include "mulberryvalve/app/jobs/shard_runtime_fake.h"

#include <atomic>
#include <map>

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

// Runs started tasks until they are stopped. Does not answer orders of the job
// "held" before Release. Thread-safe.
class UntilStoppedWorker : public ThreadedWorker
{
public:
  struct SentOrder
  {
    OrderKind mKind;
    JobId mJob;
  };

  // Blocks until aCount orders have been received and returns them.
  std::vector<SentOrder> AwaitSent(size_t aCount)
  {
    MutexLock lock(mMutex);
    while (mSent.size() < aCount) {
      mCond.Wait(mMutex);
    }
    return mSent;
  }

  void Release()
  {
    MutexLock lock(mMutex);
    mReleased = true;
    mCond.NotifyAll();
  }

private:
  OrderReply HandleOrder(const TaskOrder& aOrder) override
  {
    MutexLock lock(mMutex);
    const JobId& job = aOrder.mTask.mStep.mJob;
    mSent.push_back(SentOrder{ aOrder.mKind, job });
    mCond.NotifyAll();
    while (!mReleased && job == JobId("held")) {
      mCond.Wait(mMutex);
    }
    if (aOrder.mKind == OrderKind::kStart) {
      mRunning[aOrder.mTask] = aOrder.mRun;
    } else if (aOrder.mKind == OrderKind::kStop) {
      mRunning.erase(aOrder.mTask);
    }
    OrderReply reply;
    reply.mOutcome = OrderOutcome::kAccepted;
    reply.mReading = ClockReading{ WorkerTime{ 1000 }, WorkerIncarnation(1) };
    return reply;
  }

  RenewalReply HandleRenewal(const RenewalRequest&) override
  {
    constexpr Milliseconds kAnswersIn{ 10 };
    const auto until = std::chrono::steady_clock::now() + kAnswersIn;
    MutexLock lock(mMutex);
    while (mCond.WaitUntil(mMutex, until)) {
    }
    RenewalReply reply;
    reply.mOutcome = OrderOutcome::kAccepted;
    reply.mReading = ClockReading{ WorkerTime{ 1000 }, WorkerIncarnation(1) };
    for (const auto& [task, run] : mRunning) {
      RunReport row;
      row.mTask = task;
      row.mRun = run;
      row.mPercent = 100;
      reply.mRunning.push_back(row);
    }
    return reply;
  }

  Mutex mMutex;
  CondVar mCond;
  std::vector<SentOrder> mSent MV_GUARDED_BY(mMutex);
  std::map<TaskRef, RunNumber> mRunning MV_GUARDED_BY(mMutex);
  bool mReleased MV_GUARDED_BY(mMutex) = false;
};

// Answers nothing. Thread-safe.
class SilentWorker : public ThreadedWorker
{
private:
  OrderReply HandleOrder(const TaskOrder&) override { return OrderReply(); }
  RenewalReply HandleRenewal(const RenewalRequest&) override
  {
    std::this_thread::sleep_for(Milliseconds(10));
    return RenewalReply();
  }
};

// Tells that each former owner it is asked about has ended and used no worker.
// Thread-safe.
class EndedPeers : public PeerQueryClient
{
public:
  Result<PeerQueryResult> Ask(const Endpoint& aPeer,
                              const PeerQuery& aQuery,
                              Milliseconds) override
  {
    MutexLock lock(mMutex);
    mPeer = aPeer;
    mQuery = aQuery;
    PeerQueryResult result;
    result.mEndedFor = Milliseconds(100);
    result.mTold = OwnershipSummary().TellOf(aQuery.mWorkers, MonotonicTime());
    return result;
  }

  PeerQuery LastQuery() const
  {
    MutexLock lock(mMutex);
    return mQuery;
  }
  Endpoint LastPeer() const
  {
    MutexLock lock(mMutex);
    return mPeer;
  }

private:
  mutable Mutex mMutex;
  Endpoint mPeer MV_GUARDED_BY(mMutex);
  PeerQuery mQuery MV_GUARDED_BY(mMutex);
};

// Reports the end of one task from the tenth renewal on, until the owner
// confirms that it has seen the report. Thread-safe.
class LateEndWorker : public ThreadedWorker
{
public:
  void AwaitEndSeen()
  {
    MutexLock lock(mMutex);
    while (!mSeen) {
      mCond.Wait(mMutex);
    }
  }

private:
  OrderReply HandleOrder(const TaskOrder&) override { return OrderReply(); }

  RenewalReply HandleRenewal(const RenewalRequest& aOrder) override
  {
    constexpr size_t kListedFrom = 10;
    constexpr Milliseconds kAnswersIn{ 10 };
    const auto until = std::chrono::steady_clock::now() + kAnswersIn;
    MutexLock lock(mMutex);
    mSeen = mSeen || aOrder.mSeen >= EndNumber(1);
    mCond.NotifyAll();
    while (mPause.WaitUntil(mMutex, until)) {
    }
    RenewalReply reply;
    reply.mOutcome = OrderOutcome::kAccepted;
    reply.mReading = ClockReading{ WorkerTime{ 1000 }, WorkerIncarnation(1) };
    if (++mRenewals >= kListedFrom && !mSeen) {
      reply.mEnded.push_back(RunEndReport{ EndNumber(1),
                                           TaskRef{ { JobId("a"), 0, 0 }, 0 },
                                           RunNumber(7),
                                           EndKind::kDone,
                                           CheckpointId() });
    }
    return reply;
  }

  Mutex mMutex;
  CondVar mCond;
  CondVar mPause;
  size_t mRenewals MV_GUARDED_BY(mMutex) = 0;
  bool mSeen MV_GUARDED_BY(mMutex) = false;
};

const LearnedPlacementPolicy kPlacement;
const LeastRemainingWorkPolicy kOrder;

// One ownership of the shard.
class Owner
{
public:
  Owner(KeyedLog& aLog,
        TaskWorkerPort& aWorkers,
        uint64_t aEpoch,
        Milliseconds aProofLimit = ShardRuntimeOptions().mProofLimit)
    : mRuntime(OptionsOf(aEpoch, aProofLimit),
               ShardRuntimePorts{ aLog,
                                  mCodec,
                                  aWorkers,
                                  mFeeds,
                                  mPeers,
                                  mConfig,
                                  SchedulingPolicies{ kPlacement, kOrder },
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

  // Polls until the job is in aPhase. Returns false on timeout.
  bool Await(const char* aJob, JobPhase aPhase) const
  {
    PeerQuery question;
    question.mKind = PeerQueryKind::kJobPhase;
    question.mJob = JobId(aJob);
    const MonotonicTime until = mClock.Now() + kTestTimeout;
    while (mClock.Now() < until) {
      const PeerQueryResult answer = mRuntime.Answer(question);
      if (answer.mOwns && answer.mPhase == aPhase) {
        return true;
      }
    }
    return false;
  }

  PausableClock& ProcessClock() { return mClock; }
  void ProveOwnership() { mRuntime.OnOwnershipProof(mClock.Now()); }
  const CountingCodec& Codec() const { return mCodec; }
  EventWaiter& Events() { return mEvents; }
  GaugeRecorder& Gauges() { return mMetrics; }
  void BeginStop() { mRuntime.BeginStop(); }
  const EndedPeers& Peers() const { return mPeers; }

private:
  static ShardRuntimeOptions OptionsOf(uint64_t aEpoch,
                                       Milliseconds aProofLimit)
  {
    ShardRuntimeOptions options;
    options.mProofLimit = aProofLimit;
    options.mEpoch = Epoch(aEpoch);
    return options;
  }

  PausableClock mClock;
  GaugeRecorder mMetrics;
  HeldTaskMetrics mHeldTasks{ mMetrics };
  AccountMetrics mAccountMetrics;
  EventWaiter mEvents;
  CountingCodec mCodec;
  SingleWorkerFeedFactory mFeeds;
  EndedPeers mPeers;
  ConfigView mConfig;
  ShardRuntime mRuntime;
};

// Puts an owner of epoch 3 on the log, and worker "w1".
void RecordFormerOwner(MemoryLog& aLog)
{
  const JobLogJson codec;
  UsedWorkerRecord used;
  used.mId = WorkerId("w1");
  const OwnershipRecord claim{
    Epoch(3), "former", Endpoint{ "10.0.0.9", 7380 }, Incarnation(5)
  };
  const AppendFence proof{ TopicPartition{ KeyedTopic::kProgress, 0 },
                           Epoch(3),
                           1 };
  CHECK(aLog.AppendFenced(proof, { codec.Encode(claim), codec.Encode(used) })
          .has_value());
}

void SubmitJob(MemoryLog& aLog, const char* aJob, uint32_t aTasks = 1)
{
  JobGraph job;
  job.mId = JobId(aJob);
  job.mQueue = QueueId("queue");
  job.mRules.mService = ServiceId("service");
  StepSpec step;
  step.mCount = aTasks;
  step.mDemand = Resources{ 20, 10, 0 };
  job.mSteps.push_back(step);
  const JobLogJson codec;
  CHECK(
    aLog.Append(TopicPartition{ KeyedTopic::kIntake, 0 }, { codec.Encode(job) })
      .has_value());
}

} // namespace

TEST_GROUP(ShardRuntimeTest){};

// Guards against cancelled tasks that keep running because a burst of starts is
// sent to the worker before the stop (UNASKED).
TEST(ShardRuntimeTest, AStopIsSentBeforeTheStartsOfABurst)
{
  MemoryLog log;
  UntilStoppedWorker worker;
  Owner owner(log, worker, 64);
  SubmitJob(log, "a");
  worker.AwaitSent(1);
  SubmitJob(log, "held", 50);
  worker.AwaitSent(2);
  const JobLogJson codec;
  CHECK(log
          .Append(TopicPartition{ KeyedTopic::kIntake, 0 },
                  { codec.Encode(JobCancellation{ JobId("a") }) })
          .has_value());
  owner.Events().Await("task_stopped");
  worker.Release();
  const auto sent = worker.AwaitSent(3);
  CHECK(OrderKind::kStop == sent[2].mKind);
  CHECK(JobId("a") == sent[2].mJob);
}

// Guards against starts that waited in the send queue while the process was
// paused, and are sent though a successor may have claimed the shard meanwhile.
TEST(ShardRuntimeTest, StartsQueuedBeforeAPauseAreNotSentAfterIt)
{
  constexpr Milliseconds kProofLimit{ 1500 };
  constexpr Milliseconds kPause{ 2000 };
  // Long enough for what is queued to be sent.
  constexpr Milliseconds kSendTime{ 300 };
  MemoryLog memory;
  FaultyLog log(memory);
  UntilStoppedWorker worker;
  Owner owner(log, worker, 64, kProofLimit);
  SubmitJob(memory, "held", 3);
  worker.AwaitSent(1);
  owner.Events().Await("task_placed");
  log.FailCalls(LogCall::kAppendFenced, FailureKind::kLogUnavailable);
  owner.ProcessClock().Pause(kPause);
  worker.Release();
  std::this_thread::sleep_for(kSendTime);
  CHECK_EQUAL(1U, worker.AwaitSent(1).size());
  log.ClearFailures();
  owner.ProveOwnership();
  worker.AwaitSent(3);
}

// Guards against a series of owners that each lose the shard while loading it.
// Loading took too long because it decoded all jobs of the last minutes, most
// of them finished.
TEST(ShardRuntimeTest, ASuccessorDecodesOnlyUnfinishedJobs)
{
  MemoryLog log;
  InstantWorker workers;
  {
    const Owner former(log, workers, 64);
    for (const char* job : { "a", "b", "c" }) {
      SubmitJob(log, job);
      CHECK(former.Await(job, JobPhase::kCompleted));
    }
  }
  SubmitJob(log, "d");
  const Owner next(log, workers, 128);
  CHECK(next.Await("d", JobPhase::kCompleted));
  CHECK(next.Await("a", JobPhase::kCompleted));
  CHECK_EQUAL(1U, next.Codec().Decoded());
}

// Guards against end reports that a worker lists forever: they change no job
// record, so no append ever confirmed them.
TEST(ShardRuntimeTest, EndReportsOfAFinishedJobAreConfirmedWithoutAnAppend)
{
  MemoryLog log;
  LateEndWorker worker;
  const JobLogJson codec;
  SubmitJob(log, "a");
  const AppendFence proof{ TopicPartition{ KeyedTopic::kProgress, 0 },
                           Epoch(1),
                           1 };
  const JobRecord finished{ JobId("a"), JobPhase::kCompleted, {} };
  CHECK(log.AppendFenced(proof, { codec.Encode(finished) }).has_value());
  const Owner owner(log, worker, 64);
  worker.AwaitEndSeen();
}

// Guards against a successor that waits for all that a former owner could have
// done though its process has ended (review/5): it asks the process that the
// claim names.
TEST(ShardRuntimeTest, FormerOwnersAreAskedIfAWorkerDoesNotAnswer)
{
  MemoryLog log;
  SilentWorker worker;
  RecordFormerOwner(log);
  Owner owner(log, worker, 64);
  owner.Events().Await("former_owner_ended");
  CHECK(PeerQueryKind::kOwnershipEnd == owner.Peers().LastQuery().mKind);
  CHECK(Epoch(3) == owner.Peers().LastQuery().mEpoch);
  CHECK(Incarnation(5) == owner.Peers().LastQuery().mProcess);
  CHECK_EQUAL(7380, owner.Peers().LastPeer().mPort);
  CHECK(std::vector<WorkerId>{ WorkerId("w1") } ==
        owner.Peers().LastQuery().mWorkers);
}

// Guards against a wait for the leases that an owner could have renewed until
// its end, though it tells that it renewed none there (LOST).
TEST(ShardRuntimeTest, AWorkerThatNoFormerOwnerUsedIsNotWaitedFor)
{
  MemoryLog log;
  SilentWorker worker;
  RecordFormerOwner(log);
  Owner owner(log, worker, 64);
  owner.Events().Await("shard_loaded");
  owner.ProcessClock().Stop();
  owner.Events().Await("worker_released");
}

// An alert on these gauges must end with the ownership.
TEST(ShardRuntimeTest, GaugesOfHeldTasksAreZeroAfterTheOwnership)
{
  MemoryLog log;
  SilentWorker worker;
  const JobLogJson codec;
  SubmitJob(log, "a", 3);
  UsedWorkerRecord used;
  used.mId = WorkerId("w1");
  JobRecord job;
  job.mId = JobId("a");
  for (uint32_t index = 0; index < 3; index++) {
    TaskRecord task;
    task.mIndex = index;
    task.mPossibleWorkers = { used.mId };
    job.mTasks.push_back(task);
  }
  const AppendFence proof{ TopicPartition{ KeyedTopic::kProgress, 0 },
                           Epoch(3),
                           1 };
  CHECK(log.AppendFenced(proof, { codec.Encode(used), codec.Encode(job) })
          .has_value());
  Owner owner(log, worker, 64);
  owner.Events().Await("tasks_held");
  CHECK_EQUAL(3, owner.Gauges().Value(Gauge::kTasksHeldNow));
  CHECK_EQUAL(1, owner.Gauges().Value(Gauge::kFormerWorkersAwaited));
  CHECK(owner.Gauges().Value(Gauge::kHeldForAtMostMs) > 0);
  owner.BeginStop();
  owner.Events().Await("shard_ended");
  CHECK_EQUAL(0, owner.Gauges().Value(Gauge::kTasksHeldNow));
  CHECK_EQUAL(0, owner.Gauges().Value(Gauge::kFormerWorkersAwaited));
  CHECK_EQUAL(0, owner.Gauges().Value(Gauge::kHeldForAtMostMs));
}

} // namespace mulberryvalve
