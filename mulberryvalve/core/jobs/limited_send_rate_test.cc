// Tests owners that can send fewer orders than there are tasks and capacity
// for.
#include "mulberryvalve/core/jobs/shard_scheduler.h"

#include "CppUTest/TestHarness.h"

#include <algorithm>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace mulberryvalve {
namespace {

constexpr Milliseconds kTick{ 20 };
constexpr Milliseconds kReplyDelay{ 20 };
constexpr Milliseconds kOrderTimeout{ 900 };
constexpr Milliseconds kRenewalInterval{ 100 };
constexpr Milliseconds kRunDuration{ 400 };
constexpr Milliseconds kNeverEnds{ 600000 };
const ServiceId kService("service");

// ThrottledSimulation is an owner whose link to its workers carries a limited
// number of orders per tick. As with the owner's worker lanes, each worker has
// at most one order in flight, and stops go first. Lease renewals always
// arrive.
class ThrottledSimulation
{
public:
  ThrottledSimulation(size_t aWorkers, size_t aOrdersPerTick)
    : mOrdersPerTick(aOrdersPerTick)
  {
    std::vector<WorkerInfo> facts;
    for (size_t number = 0; number < aWorkers; number++) {
      WorkerInfo worker;
      worker.mId = WorkerId("w" + std::to_string(100 + number));
      worker.mService = kService;
      worker.mCapacity = Resources{ 16000, 64000, 0 };
      worker.mWorkerIncarnation = WorkerIncarnation(1);
      mWorkers[worker.mId];
      facts.push_back(worker);
    }
    ClusterConfig config;
    config.mVersion = 1;
    mShard.OnConfig(config);
    mShard.OnWorkerList(facts, mNow);
  }

  void Submit(JobGraph aJob)
  {
    mSubmittedAt[aJob.mId] = mNow;
    mLongRunning[aJob.mId] = aJob.mSteps[0].mLongRunning;
    mShard.OnJobSubmitted(std::move(aJob), mNow, mNow);
  }

  void Cancel(const JobId& aJob) { mShard.OnJobCancelled(aJob, mNow); }

  void RunFor(Milliseconds aLength)
  {
    const MonotonicTime until = mNow + aLength;
    while (mNow < until) {
      Step();
    }
  }

  // Returns the number of running tasks of a job.
  size_t Running(const JobId& aJob) const
  {
    size_t count = 0;
    for (const auto& [id, worker] : mWorkers) {
      for (const auto& [task, run] : worker.mRuns) {
        count += task.mStep.mJob == aJob ? 1 : 0;
      }
    }
    return count;
  }

  // Returns how long a job took, or nothing if it is not finished.
  std::optional<Milliseconds> JobDuration(const JobId& aJob) const
  {
    const auto finished = mFinishedAt.find(aJob);
    if (finished == mFinishedAt.end()) {
      return std::nullopt;
    }
    return std::chrono::duration_cast<Milliseconds>(finished->second -
                                                    mSubmittedAt.at(aJob));
  }

  // Returns the longest time from the decision of a start to its reply since
  // the last call.
  Milliseconds LongestReplyTime()
  {
    return std::chrono::ceil<Milliseconds>(
      std::exchange(mLongestReplyTime, Microseconds(0)));
  }

  // Makes a worker stop replying to orders.
  void StopAnswering(size_t aIndex)
  {
    std::next(mWorkers.begin(), static_cast<long>(aIndex))->second.mSilent =
      true;
  }

private:
  struct Run
  {
    RunNumber mRun;
    MonotonicTime mEndsAt;
    EndKind mEnd = EndKind::kDone;
  };

  struct WorkerState
  {
    std::map<TaskRef, Run> mRuns;
    std::vector<RunEndReport> mEnded;
    EndNumber mLastEnd;
    MonotonicTime mNextRenewalAt;
    bool mIsBusy = false;
    bool mSilent = false;
  };

  struct PendingReply
  {
    TaskOrder mOrder;
    OrderReply mReply;
    MonotonicTime mDueAt;
  };

  int64_t Clock() const
  {
    return std::chrono::duration_cast<Milliseconds>(mNow.time_since_epoch())
      .count();
  }

  ClockReading Reading() const
  {
    return ClockReading{ WorkerTime{ Clock() }, WorkerIncarnation(1) };
  }

  void Step()
  {
    mNow += kTick;
    for (auto& [id, worker] : mWorkers) {
      EndRuns(worker);
      if (mNow >= worker.mNextRenewalAt) {
        RenewLease(id, worker);
      }
    }
    HandleDueReplies();
    do {
      for (TaskOrder& order : mShard.Decide(
             OwnershipProof{ mNow, true, mNow }, mNow, WallTime{ 0 })) {
        mQueuedOrders.push_back(std::move(order));
      }
    } while (mShard.HasMoreToPlace());
    Send();
    const ProgressBatch batch = mShard.TakeProgress(mNow);
    mShard.OnDurable(batch);
    for (const JobRecord& record : batch.mJobs) {
      if (IsOver(record.mPhase)) {
        mFinishedAt.emplace(record.mId, mNow);
      }
    }
  }

  void EndRuns(WorkerState& aWorker)
  {
    for (auto run = aWorker.mRuns.begin(); run != aWorker.mRuns.end();) {
      if (run->second.mEndsAt > mNow) {
        ++run;
        continue;
      }
      aWorker.mLastEnd = aWorker.mLastEnd.Next();
      aWorker.mEnded.push_back(RunEndReport{ aWorker.mLastEnd,
                                             run->first,
                                             run->second.mRun,
                                             run->second.mEnd,
                                             CheckpointId() });
      run = aWorker.mRuns.erase(run);
    }
  }

  void RenewLease(const WorkerId& aId, WorkerState& aWorker)
  {
    aWorker.mNextRenewalAt = mNow + kRenewalInterval;
    const std::optional<RenewalRequest> order =
      mShard.NextRenewal(aId, true, mNow);
    const auto seen = [&](const RunEndReport& aRow) {
      return aRow.mNumber <= order->mSeen;
    };
    auto& ended = aWorker.mEnded;
    ended.erase(std::remove_if(ended.begin(), ended.end(), seen), ended.end());
    RenewalReply reply;
    reply.mOutcome = OrderOutcome::kAccepted;
    reply.mReading = Reading();
    reply.mEnded = ended;
    for (const auto& [task, run] : aWorker.mRuns) {
      RunReport row;
      row.mTask = task;
      row.mRun = run.mRun;
      row.mPercent = 100;
      reply.mRunning.push_back(row);
    }
    mShard.OnRenewalReply(*order, reply, mNow - kTick / 2, mNow);
  }

  void Send()
  {
    size_t left = mOrdersPerTick;
    const auto isStop = [](const TaskOrder& aOrder) {
      return aOrder.mKind == OrderKind::kStop;
    };
    std::stable_partition(mQueuedOrders.begin(), mQueuedOrders.end(), isStop);
    for (auto order = mQueuedOrders.begin();
         order != mQueuedOrders.end() && left > 0;) {
      WorkerState& worker = mWorkers.at(order->mWorker);
      if (worker.mIsBusy) {
        ++order;
        continue;
      }
      if (mShard.IsStillNeeded(*order, mNow)) {
        left--;
        worker.mIsBusy = true;
        Deliver(worker, std::move(*order));
      } else {
        OrderReply reply;
        reply.mOutcome = OrderOutcome::kNotSent;
        mShard.OnOrder(*order, reply, mNow);
      }
      order = mQueuedOrders.erase(order);
    }
  }

  void Deliver(WorkerState& aWorker, TaskOrder aOrder)
  {
    OrderReply reply;
    MonotonicTime at = mNow + kOrderTimeout;
    if (!aWorker.mSilent) {
      at = mNow + kReplyDelay;
      reply.mReading = Reading();
      reply.mOutcome = Apply(aWorker, aOrder);
    }
    mPendingReplies.push_back(PendingReply{ std::move(aOrder), reply, at });
  }

  OrderOutcome Apply(WorkerState& aWorker, const TaskOrder& aOrder)
  {
    const auto run = aWorker.mRuns.find(aOrder.mTask);
    if (aOrder.mKind == OrderKind::kStop && run != aWorker.mRuns.end()) {
      run->second.mEndsAt = mNow;
      run->second.mEnd = EndKind::kStopped;
    }
    if (aOrder.mKind != OrderKind::kStart) {
      return OrderOutcome::kAccepted;
    }
    if (aOrder.mUntil.mMilliseconds <= Clock()) {
      return OrderOutcome::kTooLate;
    }
    const bool lasting = mLongRunning.at(aOrder.mTask.mStep.mJob);
    aWorker.mRuns[aOrder.mTask] = Run{
      aOrder.mRun, mNow + (lasting ? kNeverEnds : kRunDuration), EndKind::kDone
    };
    return OrderOutcome::kAccepted;
  }

  void HandleDueReplies()
  {
    std::vector<PendingReply> due;
    for (auto answer = mPendingReplies.begin();
         answer != mPendingReplies.end();) {
      if (answer->mDueAt > mNow) {
        ++answer;
        continue;
      }
      due.push_back(std::move(*answer));
      answer = mPendingReplies.erase(answer);
    }
    for (const PendingReply& answer : due) {
      mWorkers.at(answer.mOrder.mWorker).mIsBusy = false;
      if (answer.mOrder.mKind == OrderKind::kStart) {
        mLongestReplyTime =
          std::max(mLongestReplyTime, mNow - answer.mOrder.mDecidedAt);
      }
      mShard.OnOrder(answer.mOrder, answer.mReply, mNow);
    }
  }

  static ShardSchedulerOptions Options()
  {
    ShardSchedulerOptions options;
    options.mEpoch = Epoch(1);
    return options;
  }

  const size_t mOrdersPerTick;
  const LearnedPlacementPolicy mPlacement;
  const LeastRemainingWorkPolicy mOrder;
  MonotonicTime mNow{ std::chrono::seconds(1000) };
  ShardScheduler mShard{ Options(),
                         SchedulingPolicies{ mPlacement, mOrder },
                         mNow };
  std::map<WorkerId, WorkerState> mWorkers;
  std::deque<TaskOrder> mQueuedOrders;
  std::deque<PendingReply> mPendingReplies;
  std::map<JobId, MonotonicTime> mSubmittedAt;
  std::map<JobId, bool> mLongRunning;
  std::map<JobId, MonotonicTime> mFinishedAt;
  Microseconds mLongestReplyTime{ 0 };
};

// Returns a job whose steps run one after the other.
JobGraph SequentialJob(const std::string& aId, size_t aSteps, uint32_t aTasks)
{
  JobGraph job;
  job.mId = JobId(aId);
  job.mQueue = QueueId("queue");
  job.mRules.mService = kService;
  // Jobs here never get old enough for their size to count less.
  job.mRules.mSlack = Milliseconds(4000);
  for (uint32_t number = 0; number < aSteps; number++) {
    StepSpec step;
    step.mCount = aTasks;
    step.mDemand = Resources{ 1000, 1000, 0 };
    step.mEstimate = kRunDuration;
    if (number > 0) {
      step.mDependsOn = { number - 1 };
    }
    job.mSteps.push_back(step);
  }
  return job;
}

JobGraph LongRunningJob(const std::string& aId)
{
  JobGraph job = SequentialJob(aId, 1, 6);
  job.mSteps[0].mLongRunning = true;
  return job;
}

JobId NumberedId(const char* aPrefix, size_t aNumber)
{
  return JobId(aPrefix + std::to_string(aNumber));
}

// Submits a small and a large job, with 52 tasks together, every 200 ms for
// aPairs times.
void RunOverload(ThrottledSimulation& aSimulation, size_t aFirst, size_t aPairs)
{
  for (size_t number = aFirst; number < aFirst + aPairs; number++) {
    aSimulation.Submit(SequentialJob(NumberedId("small", number).Text(), 1, 4));
    aSimulation.Submit(
      SequentialJob(NumberedId("large", number).Text(), 2, 24));
    aSimulation.RunFor(Milliseconds(200));
  }
}

} // namespace

TEST_GROUP(LimitedSendRateTest){};

// Guards against a growing backlog of starts, whose replies come later and
// later, until the starts miss their leases and small jobs wait behind
// decisions made before them. The owner can send 100 orders a second; 260 tasks
// a second arrive, and there is capacity for 1280 at a time.
TEST(LimitedSendRateTest, ServesSmallJobsInTimeUnderOverload)
{
  ThrottledSimulation simulation(80, 2);
  simulation.RunFor(Milliseconds(400));
  RunOverload(simulation, 0, 40);
  simulation.LongestReplyTime();
  RunOverload(simulation, 40, 60);
  const Milliseconds longest = simulation.LongestReplyTime();
  CHECK_TEXT(longest < Milliseconds(1000),
             ("longest " + std::to_string(longest.count())).c_str());
  size_t lateCount = 0;
  size_t largeCount = 0;
  for (size_t number = 40; number < 90; number++) {
    const auto took = simulation.JobDuration(NumberedId("small", number));
    lateCount += !took || *took > Milliseconds(1500) ? 1 : 0;
  }
  for (size_t number = 0; number < 100; number++) {
    largeCount += simulation.JobDuration(NumberedId("large", number)) ? 1 : 0;
  }
  UNSIGNED_LONGS_EQUAL(0, lateCount);
  // 20 s at 100 orders a second, less 400 for the small jobs, start 33 large
  // jobs.
  CHECK_TEXT(largeCount >= 25, std::to_string(largeCount).c_str());
}

// Guards against long-running tasks that don't run though there is capacity
// (LOST), because their starts queue behind earlier ones.
TEST(LimitedSendRateTest, LongRunningTasksStartAtOnceUnderOverload)
{
  ThrottledSimulation simulation(80, 2);
  simulation.RunFor(Milliseconds(400));
  RunOverload(simulation, 0, 50);
  simulation.Submit(LongRunningJob("lasts"));
  RunOverload(simulation, 50, 5);
  UNSIGNED_LONGS_EQUAL(6, simulation.Running(JobId("lasts")));
}

// Guards against cancelled tasks that keep running (UNASKED) because their
// stops are queued.
TEST(LimitedSendRateTest, CancelledTasksStopWithinASecond)
{
  ThrottledSimulation simulation(80, 2);
  simulation.RunFor(Milliseconds(400));
  simulation.Submit(LongRunningJob("gone"));
  RunOverload(simulation, 0, 50);
  UNSIGNED_LONGS_EQUAL(6, simulation.Running(JobId("gone")));
  simulation.Cancel(JobId("gone"));
  RunOverload(simulation, 50, 5);
  UNSIGNED_LONGS_EQUAL(0, simulation.Running(JobId("gone")));
}

// Guards against a gang that never starts because it has more members than the
// window of unanswered starts.
TEST(LimitedSendRateTest, GangLargerThanTheWindowStarts)
{
  ThrottledSimulation simulation(80, 2);
  simulation.RunFor(Milliseconds(400));
  RunOverload(simulation, 0, 50);
  JobGraph gang = SequentialJob("gang", 1, 300);
  gang.mSteps[0].mGang = true;
  gang.mRules.mPriority = -1;
  simulation.Submit(std::move(gang));
  RunOverload(simulation, 50, 40);
  CHECK(simulation.JobDuration(JobId("gang")).has_value());
}

// Guards against workers that don't reply to orders and fill the window, which
// blocks starts on all others.
TEST(LimitedSendRateTest, UnresponsiveWorkersDoNotBlockOthers)
{
  ThrottledSimulation simulation(80, 40);
  simulation.RunFor(Milliseconds(400));
  for (size_t number = 0; number < 20; number++) {
    simulation.StopAnswering(number);
  }
  RunOverload(simulation, 0, 25);
  size_t lateCount = 0;
  for (size_t number = 100; number < 125; number++) {
    simulation.Submit(SequentialJob(NumberedId("new", number).Text(), 1, 4));
    RunOverload(simulation, number, 1);
  }
  simulation.RunFor(Milliseconds(1500));
  for (size_t number = 100; number < 125; number++) {
    lateCount += simulation.JobDuration(NumberedId("new", number)) ? 0 : 1;
  }
  UNSIGNED_LONGS_EQUAL(0, lateCount);
}

} // namespace mulberryvalve
