// SingleWorkerShard: an owner with one worker, for tests of what it records and
// reports.
#ifndef MULBERRYVALVE_CORE_JOBS_SINGLE_WORKER_SHARD_FAKE_H_
#define MULBERRYVALVE_CORE_JOBS_SINGLE_WORKER_SHARD_FAKE_H_

#include "mulberryvalve/core/jobs/shard_simulation_fake.h"

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {

inline const WorkerId kWorker("w");
inline const TaskRef kTask{ { JobId("j"), 0, 0 }, 0 };
inline const ServiceId kService("s");

// SingleWorkerShard is an owner with one worker. Tests control each reply and
// each append.
class SingleWorkerShard
{
public:
  SingleWorkerShard()
    : mShard(ShardSchedulerOptions(),
             SchedulingPolicies{ mPlacement, mOrder },
             mNow)
  {
    mInfo.mId = kWorker;
    mInfo.mEndpoint = Endpoint{ "a", 1 };
    mInfo.mService = kService;
    mInfo.mCapacity = Resources{ 16000, 64000, 0 };
    mReply.mOutcome = OrderOutcome::kAccepted;
    mReply.mReading.mWorkerIncarnation = WorkerIncarnation(1);
    ClusterConfig config;
    config.mVersion = 1;
    mShard.OnConfig(config);
  }

  void Submit(JobGraph aJob)
  {
    aJob.mRules.mService = kService;
    mShard.OnJobSubmitted(std::move(aJob), mNow, mNow);
  }

  void ReadWorkerList() { mShard.OnWorkerList({ mInfo }, mNow); }

  // Handles mReply as the worker's reply.
  void AnswerHold()
  {
    mReply.mReading.mClock = WorkerTime{
      std::chrono::duration_cast<Milliseconds>(mNow.time_since_epoch()).count()
    };
    RenewalRequest hold;
    hold.mWorker = kWorker;
    mShard.OnRenewalReply(hold, mReply, mNow, mNow);
  }

  // Handles a lost reply.
  void MissReply()
  {
    RenewalRequest hold;
    hold.mWorker = kWorker;
    mShard.OnRenewalReply(hold, RenewalReply(), mNow, mNow);
  }

  // Lets some time pass and returns the number of starts that are decided then
  // and ordered once the progress of their jobs is durable, with ownership
  // proved at aProvedAt or at that time. Nothing else becomes durable.
  size_t CountStarts(std::optional<MonotonicTime> aProvedAt = std::nullopt)
  {
    mNow += Milliseconds(200);
    const MonotonicTime provedAt = aProvedAt.value_or(mNow);
    const OwnershipProof proof{ provedAt, true, provedAt };
    const size_t before = mShard.TakeWindowStats().mInFlight;
    const size_t starts = Decide(proof);
    if (mShard.TakeWindowStats().mInFlight <= before + starts) {
      return starts;
    }
    ProgressBatch batch = TakeBatch();
    ProgressBatch jobs;
    jobs.mJobs = std::exchange(batch.mJobs, {});
    mShard.OnDurable(jobs);
    mTakenBatch = std::move(batch);
    return starts + Decide(proof);
  }

  // Returns the number of starts that are ordered.
  size_t Decide(const OwnershipProof& aProof)
  {
    size_t starts = 0;
    for (const TaskOrder& order : mShard.Decide(aProof, mNow, WallTime())) {
      starts += order.mKind == OrderKind::kStart ? 1 : 0;
    }
    return starts;
  }

  // Returns everything that is pending.
  ProgressBatch TakeBatch()
  {
    ProgressBatch batch = std::exchange(mTakenBatch, {});
    const ProgressBatch next = mShard.TakeProgress(mNow);
    const auto append = [](auto& aTo, const auto& aFrom) {
      aTo.insert(aTo.end(), aFrom.begin(), aFrom.end());
    };
    append(batch.mJobs, next.mJobs);
    append(batch.mRetired, next.mRetired);
    append(batch.mWorkers, next.mWorkers);
    append(batch.mRemovedWorkers, next.mRemovedWorkers);
    append(batch.mEndedClaims, next.mEndedClaims);
    append(batch.mAckedEnds, next.mAckedEnds);
    return batch;
  }

  // Makes everything pending durable.
  void PersistAll() { mShard.OnDurable(TakeBatch()); }

  // Returns the worker's record in the next batch, and makes the batch durable.
  UsedWorkerRecord NextRecord()
  {
    CountStarts();
    const ProgressBatch batch = TakeBatch();
    CHECK_EQUAL(1U, batch.mWorkers.size());
    mShard.OnDurable(batch);
    return batch.mWorkers.at(0);
  }

  LearnedPlacementPolicy mPlacement;
  LeastRemainingWorkPolicy mOrder;
  MonotonicTime mNow{ std::chrono::seconds(1000) };
  ShardScheduler mShard;
  WorkerInfo mInfo;
  RenewalReply mReply;

private:
  // What was taken and is not durable.
  ProgressBatch mTakenBatch;
};

inline RunReport RunningRowOf(const TaskRef& aTask)
{
  RunReport row;
  row.mTask = aTask;
  row.mRun = RunNumber(7);
  row.mPercent = 100;
  return row;
}

// Returns the progress of job "j", whose first task may run on aWorker.
inline JobRecord RecordOfTaskOn(const WorkerId& aWorker)
{
  JobRecord record;
  record.mId = JobId("j");
  record.mTasks.resize(1);
  record.mTasks[0].mPossibleWorkers = { aWorker };
  return record;
}

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_SINGLE_WORKER_SHARD_FAKE_H_
