#include "bench/jobs/shard_load_simulation.h"

#include <algorithm>
#include <utility>

namespace mulberryvalve {
namespace {

constexpr Milliseconds kReplyDelay{ 2 };
constexpr Milliseconds kAppendInterval{ 25 };
constexpr Milliseconds kWorkerListInterval{ 400 };
constexpr Milliseconds kShortWork{ 800 };
constexpr Milliseconds kLongWork{ 2200 };
constexpr Milliseconds kStopDelay{ 200 };
constexpr Milliseconds kTailTarget{ 100 };
constexpr int64_t kCpu = 1800;
constexpr int64_t kMemoryMb = 3600;
constexpr int64_t kWorkerCpu = 16000;
constexpr int64_t kWorkerMemoryMb = 64000;
constexpr size_t kWorkersPerRack = 12;
constexpr size_t kDomains = 3;
constexpr uint32_t kShortTasks = 10;
constexpr uint32_t kLongTasks = 20;
constexpr uint32_t kLongRunningTasks = 14;
constexpr size_t kServingImages = 10;
constexpr size_t kBatchImages = 18;
constexpr size_t kConcurrentLongRunningJobs = 14;
// The smallest tail latency that a long-running task reports, and the range of
// values above it.
constexpr int64_t kMinTailLatencyMs = 40;
constexpr int64_t kTailLatencyRangeMs = 50;
constexpr double kMillisecondsASecond = 1000;
constexpr int kPhases = 3;
const ServiceId kService("service");
const Resources kAccountLimit{ 100'000, 0, 0 };

ClientAccountId AccountOf(size_t aNumber)
{
  return ClientAccountId("account-" + std::to_string(aNumber));
}

} // namespace

ShardLoadSimulation::ShardLoadSimulation(ShardLoadSimulationOptions aOptions)
  : mOptions(aOptions)
  , mRandom(aOptions.mSeed)
  , mNow(std::chrono::seconds(1000))
  , mBegin(mNow)
{
  ShardSchedulerOptions options;
  options.mEpoch = Epoch(1);
  mShard = std::make_unique<ShardScheduler>(
    options, SchedulingPolicies{ mPlacement, mOrder }, mNow);
  ClusterConfig config;
  config.mVersion = 1;
  if (aOptions.mAccounts > 0) {
    AccountDirectory::Accounts accounts;
    for (size_t number = 0; number < aOptions.mAccounts; number++) {
      const ClientAccountId id = AccountOf(number);
      accounts.emplace(id, ClientAccount{ id, 1, kAccountLimit });
    }
    config.mAccounts =
      std::make_shared<const AccountDirectory>(std::move(accounts));
  }
  mShard->OnConfig(config);
  AddWorkers();
}

ShardCosts ShardLoadSimulation::Play()
{
  DeliverWorkerList();
  Append();
  for (size_t number = 0; number < mWorkers.size(); number++) {
    SendRenewal(number);
  }
  Post(EventKind::kSubmit, Milliseconds(100));
  for (size_t number = 0; number < kConcurrentLongRunningJobs; number++) {
    Post(EventKind::kSubmitLongRunning, Milliseconds(100));
  }
  QueuePostedEvents();
  const MonotonicTime end = mBegin + mOptions.mDuration;
  while (!mEvents.empty() && mEvents.top().mAt < end) {
    const Event event = mEvents.top();
    mEvents.pop();
    mNow = event.mAt;
    HandleEvent(event);
    QueuePostedEvents();
  }
  return mCosts;
}

void ShardLoadSimulation::AddWorkers()
{
  for (size_t number = 0; number < mOptions.mWorkers; number++) {
    Worker& worker = mWorkers.emplace_back();
    WorkerInfo& info = worker.mInfo;
    info.mId = WorkerId("order-pipeline-worker-" + std::to_string(number));
    info.mEndpoint = Endpoint{ "10.0.0.1", 8080 };
    info.mService = kService;
    info.mDomain = DomainId("domain-" + std::to_string(number % kDomains));
    info.mRack = RackId("rack-" + std::to_string(number / kWorkersPerRack));
    info.mCapacity = Resources{ kWorkerCpu, kWorkerMemoryMb, 0 };
    info.mWorkerIncarnation = WorkerIncarnation(1);
    mIndexes[info.mId] = number;
  }
}

void ShardLoadSimulation::HandleEvent(const Event& aEvent)
{
  switch (aEvent.mKind) {
    case EventKind::kSubmit:
      Submit();
      break;
    case EventKind::kSubmitLongRunning:
      SubmitLongRunning();
      break;
    case EventKind::kCancelLongRunning:
      CancelLongRunning();
      break;
    case EventKind::kEnd:
      HandleRunEnd(aEvent);
      return;
    case EventKind::kRenewal:
      if (mWorkers[aEvent.mWorker].mRenewalNumber != aEvent.mRenewalNumber) {
        return;
      }
      DeliverRenewalReply(mWorkers[aEvent.mWorker]);
      break;
    case EventKind::kOrderReply:
      HandleOrderReply(aEvent);
      break;
    case EventKind::kAppend:
      Append();
      break;
    case EventKind::kWorkerList:
      DeliverWorkerList();
      break;
  }
  Decide();
}

void ShardLoadSimulation::Submit()
{
  const auto since = (mNow - mBegin) * kPhases;
  const bool middle =
    since >= mOptions.mDuration && since < 2 * mOptions.mDuration;
  Post(EventKind::kSubmit,
       RandomInterval(mOptions.mJobsPerSecond *
                      (middle ? mOptions.mBurstFactor : 1)));
  JobGraph job = MakeBatchJob();
  if (mOptions.mAccounts > 0) {
    job.mAccount = AccountOf(mSubmittedJobs++ % mOptions.mAccounts);
  }
  mSpecs[job.mId] = job.mSteps;
  mCosts.mJobs++;
  MeasureCost(CostCategory::kIntake,
              [&] { mShard->OnJobSubmitted(job, mNow, mNow); });
}

void ShardLoadSimulation::SubmitLongRunning()
{
  JobGraph job = MakeLongRunningJob();
  mSpecs[job.mId] = job.mSteps;
  mLongRunning.push_back(job.mId);
  MeasureCost(CostCategory::kIntake,
              [&] { mShard->OnJobSubmitted(job, mNow, mNow); });
  if (mLongRunning.size() >= kConcurrentLongRunningJobs) {
    Post(EventKind::kCancelLongRunning,
         RandomInterval(mOptions.mLongRunningJobsPerSecond));
  }
}

void ShardLoadSimulation::CancelLongRunning()
{
  const JobId oldest = mLongRunning.front();
  mLongRunning.erase(mLongRunning.begin());
  MeasureCost(CostCategory::kIntake,
              [&] { mShard->OnJobCancelled(oldest, mNow); });
  Post(EventKind::kSubmitLongRunning, Milliseconds(1));
}

void ShardLoadSimulation::HandleRunEnd(const Event& aEvent)
{
  Worker& worker = mWorkers[aEvent.mWorker];
  const auto run = worker.mRuns.find(aEvent.mOrder.mTask);
  if (run == worker.mRuns.end() || run->second.mNumber != aEvent.mOrder.mRun ||
      run->second.mEndsAt != mNow) {
    return;
  }
  worker.mRuns.erase(run);
  worker.mLastEnd = worker.mLastEnd.Next();
  const bool stopped = aEvent.mOrder.mKind == OrderKind::kStop;
  worker.mEnded.push_back(
    RunEndReport{ worker.mLastEnd,
                  aEvent.mOrder.mTask,
                  aEvent.mOrder.mRun,
                  stopped ? EndKind::kStopped : EndKind::kDone,
                  CheckpointId() });
  DeliverRenewalReply(worker);
  Decide();
}

void ShardLoadSimulation::DeliverRenewalReply(Worker& aWorker)
{
  const RenewalReply reply = MakeRenewalReply(aWorker);
  MeasureCost(CostCategory::kRenewal, [&] {
    mShard->OnRenewalReply(
      aWorker.mRenewal, reply, aWorker.mRenewalSentAt, mNow);
  });
  SendRenewal(mIndexes.at(aWorker.mInfo.mId));
}

void ShardLoadSimulation::SendRenewal(size_t aWorker)
{
  Worker& worker = mWorkers[aWorker];
  std::optional<RenewalRequest> order;
  MeasureCost(CostCategory::kRenewal, [&] {
    order = mShard->NextRenewal(worker.mInfo.mId, true, mNow);
  });
  worker.mRenewal = *order;
  worker.mRenewalSentAt = mNow;
  worker.mRenewalNumber++;
  worker.mEnded.erase(std::remove_if(worker.mEnded.begin(),
                                     worker.mEnded.end(),
                                     [&](const RunEndReport& aRow) {
                                       return aRow.mNumber <= order->mSeen;
                                     }),
                      worker.mEnded.end());
  Event& event = Post(EventKind::kRenewal,
                      std::max(kAppendInterval, order->mWait) + kReplyDelay);
  event.mWorker = aWorker;
  event.mRenewalNumber = worker.mRenewalNumber;
}

RenewalReply ShardLoadSimulation::MakeRenewalReply(const Worker& aWorker)
{
  std::uniform_int_distribution<int64_t> swing(0, kTailLatencyRangeMs);
  RenewalReply reply;
  reply.mOutcome = OrderOutcome::kAccepted;
  reply.mReading = CurrentReading();
  reply.mEnded = aWorker.mEnded;
  for (const auto& [task, run] : aWorker.mRuns) {
    RunReport row;
    row.mTask = task;
    row.mRun = run.mNumber;
    row.mPercent = 100;
    row.mUsage = run.mServes ? kMinTailLatencyMs + swing(mRandom) : kCpu;
    reply.mRunning.push_back(row);
  }
  return reply;
}

ClockReading ShardLoadSimulation::CurrentReading() const
{
  ClockReading reading;
  reading.mClock = WorkerTime{
    std::chrono::duration_cast<Milliseconds>(mNow - mBegin).count()
  };
  reading.mWorkerIncarnation = WorkerIncarnation(1);
  return reading;
}

void ShardLoadSimulation::HandleOrderReply(const Event& aEvent)
{
  const TaskOrder& order = aEvent.mOrder;
  Worker& worker = mWorkers[aEvent.mWorker];
  if (order.mKind == OrderKind::kStart) {
    const StepSpec& spec = SpecOf(order.mTask);
    Run& run = worker.mRuns[order.mTask];
    run.mNumber = order.mRun;
    run.mServes = spec.mLongRunning;
    run.mBestEffort = spec.mBestEffort;
    mCosts.mRuns++;
    if (!spec.mLongRunning) {
      Event& end = Post(EventKind::kEnd, RandomDuration(spec.mEstimate));
      run.mEndsAt = end.mAt;
      end.mWorker = aEvent.mWorker;
      end.mOrder = order;
    }
  } else if (order.mKind == OrderKind::kStop) {
    const auto run = worker.mRuns.find(order.mTask);
    if (run != worker.mRuns.end()) {
      Event& end = Post(EventKind::kEnd, kStopDelay);
      run->second.mEndsAt = end.mAt;
      end.mWorker = aEvent.mWorker;
      end.mOrder = order;
    }
  }
  const OrderReply reply{ OrderOutcome::kAccepted, CurrentReading() };
  MeasureCost(CostCategory::kOrder,
              [&] { mShard->OnOrder(order, reply, mNow); });
}

void ShardLoadSimulation::Append()
{
  Post(EventKind::kAppend, kAppendInterval);
  if (!mShard->NeedsAppend()) {
    return;
  }
  ProgressBatch batch;
  MeasureCost(CostCategory::kProgress,
              [&] { batch = mShard->TakeProgress(mNow); });
  for (const JobRecord& record : batch.mJobs) {
    mCosts.mEndedJobs += IsOver(record.mPhase) ? 1 : 0;
  }
  MeasureCost(CostCategory::kProgress, [&] { mShard->OnDurable(batch); });
}

void ShardLoadSimulation::DeliverWorkerList()
{
  Post(EventKind::kWorkerList, kWorkerListInterval);
  std::vector<WorkerInfo> info;
  info.reserve(mWorkers.size());
  for (const Worker& worker : mWorkers) {
    info.push_back(worker.mInfo);
  }
  MeasureCost(CostCategory::kIntake, [&] { mShard->OnWorkerList(info, mNow); });
}

void ShardLoadSimulation::Decide()
{
  const OwnershipProof proof{ mNow, true, mNow };
  std::vector<TaskOrder> orders;
  const double before =
    mCosts.mMicroseconds[static_cast<size_t>(CostCategory::kDecide)];
  MeasureCost(CostCategory::kDecide,
              [&] { orders = mShard->Decide(proof, mNow, WallTime{ 0 }); });
  const double took =
    mCosts.mMicroseconds[static_cast<size_t>(CostCategory::kDecide)] - before;
  mCosts.mMaxDecideMicroseconds = std::max(mCosts.mMaxDecideMicroseconds, took);
  mShard->TakeDecisions();
  for (TaskOrder& order : orders) {
    Event& event = Post(EventKind::kOrderReply, kReplyDelay);
    event.mWorker = mIndexes.at(order.mWorker);
    event.mOrder = std::move(order);
  }
}

JobGraph ShardLoadSimulation::MakeBatchJob()
{
  std::uniform_int_distribution<size_t> image(0, kBatchImages - 1);
  const bool isShort = mRandom() % 2 == 0;
  JobGraph job;
  job.mId = JobId("j" + std::to_string(mRandom()));
  job.mQueue = QueueId(isShort ? "short" : "long");
  job.mRules.mService = kService;
  job.mRules.mPriority = isShort ? 0 : 2;
  job.mRules.mSlack = kLongWork;
  job.mRules.mMaxAttempts = 3;
  StepSpec step;
  step.mCount = isShort ? kShortTasks : kLongTasks;
  step.mDemand = Resources{ kCpu, kMemoryMb, 0 };
  step.mEstimate = RandomDuration(isShort ? kShortWork : kLongWork);
  step.mBestEffort = !isShort;
  step.mImage = ImageId("batch-" + std::to_string(image(mRandom)));
  job.mSteps.push_back(step);
  step.mDependsOn = { 0 };
  step.mImage = ImageId("batch-" + std::to_string(image(mRandom)));
  job.mSteps.push_back(step);
  return job;
}

JobGraph ShardLoadSimulation::MakeLongRunningJob()
{
  std::uniform_int_distribution<size_t> image(0, kServingImages - 1);
  JobGraph job;
  job.mId = JobId("l" + std::to_string(mRandom()));
  job.mQueue = QueueId("lasting");
  job.mRules.mService = kService;
  StepSpec step;
  step.mCount = kLongRunningTasks;
  step.mDemand = Resources{ kCpu, kMemoryMb, 0 };
  step.mLongRunning = true;
  step.mTailLatencyTarget = kTailTarget;
  step.mImage = ImageId("serving-" + std::to_string(image(mRandom)));
  job.mSteps.push_back(step);
  return job;
}

const StepSpec& ShardLoadSimulation::SpecOf(const TaskRef& aTask) const
{
  return mSpecs.at(aTask.mStep.mJob)[aTask.mStep.mStep];
}

ShardLoadSimulation::Event& ShardLoadSimulation::Post(EventKind aKind,
                                                      Milliseconds aAfter)
{
  Event& event = mPosted.emplace_back();
  event.mAt = mNow + aAfter;
  event.mNumber = ++mLastEvent;
  event.mKind = aKind;
  return event;
}

void ShardLoadSimulation::QueuePostedEvents()
{
  for (Event& event : mPosted) {
    mEvents.push(std::move(event));
  }
  mPosted.clear();
}

Milliseconds ShardLoadSimulation::RandomInterval(double aPerSecond)
{
  std::exponential_distribution<double> gap(aPerSecond);
  return Milliseconds(
    static_cast<int64_t>(gap(mRandom) * kMillisecondsASecond));
}

Milliseconds ShardLoadSimulation::RandomDuration(Milliseconds aMean)
{
  std::uniform_real_distribution<double> factor(0.5, 1.5);
  return Milliseconds(
    static_cast<int64_t>(static_cast<double>(aMean.count()) * factor(mRandom)));
}

template<typename Call>
void ShardLoadSimulation::MeasureCost(CostCategory aCategory, Call aCall)
{
  const auto begin = std::chrono::steady_clock::now();
  aCall();
  const std::chrono::duration<double, std::micro> took =
    std::chrono::steady_clock::now() - begin;
  const auto part = static_cast<size_t>(aCategory);
  mCosts.mMicroseconds[part] += took.count();
  mCosts.mCalls[part]++;
}

} // namespace mulberryvalve
