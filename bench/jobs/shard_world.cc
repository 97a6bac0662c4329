#include "bench/jobs/shard_world.h"

#include <algorithm>
#include <utility>

namespace mulberryvalve {
namespace {

constexpr Milliseconds kAnswerTakes{ 2 };
constexpr Milliseconds kAppendGap{ 25 };
constexpr Milliseconds kListGap{ 400 };
constexpr Milliseconds kShortWork{ 800 };
constexpr Milliseconds kLongWork{ 2200 };
constexpr Milliseconds kStopTakes{ 200 };
constexpr Milliseconds kTailTarget{ 100 };
constexpr int64_t kCpu = 1800;
constexpr int64_t kMemoryMb = 3600;
constexpr int64_t kWorkerCpu = 16000;
constexpr int64_t kWorkerMemoryMb = 64000;
constexpr size_t kWorkersPerRack = 12;
constexpr size_t kDomains = 3;
constexpr uint32_t kShortTasks = 10;
constexpr uint32_t kLongTasks = 20;
constexpr uint32_t kLastingTasks = 14;
constexpr size_t kServingImages = 10;
constexpr size_t kBatchImages = 18;
constexpr size_t kLastingAtATime = 14;
// A tail at its least, and what it swings.
constexpr int64_t kLeastTailMs = 40;
constexpr int64_t kTailSwingMs = 50;
constexpr double kMillisecondsASecond = 1000;
constexpr int kPhases = 3;
const ServiceId kService("service");

} // namespace

ShardWorld::ShardWorld(ShardWorldOptions aOptions)
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
  mShard->OnConfig(config);
  AddWorkers();
}

ShardCosts ShardWorld::Play()
{
  List();
  Append();
  for (size_t number = 0; number < mWorkers.size(); number++) {
    SendHold(number);
  }
  Post(EventKind::kSubmit, Milliseconds(100));
  for (size_t number = 0; number < kLastingAtATime; number++) {
    Post(EventKind::kSubmitLasting, Milliseconds(100));
  }
  Flush();
  const MonotonicTime end = mBegin + mOptions.mLength;
  while (!mEvents.empty() && mEvents.top().mAt < end) {
    const Event event = mEvents.top();
    mEvents.pop();
    mNow = event.mAt;
    Handle(event);
    Flush();
  }
  return mCosts;
}

void ShardWorld::AddWorkers()
{
  for (size_t number = 0; number < mOptions.mWorkers; number++) {
    Worker& worker = mWorkers.emplace_back();
    WorkerInfo& facts = worker.mInfo;
    facts.mId = WorkerId("order-pipeline-worker-" + std::to_string(number));
    facts.mEndpoint = Endpoint{ "10.0.0.1", 8080 };
    facts.mService = kService;
    facts.mDomain = DomainId("domain-" + std::to_string(number % kDomains));
    facts.mRack = RackId("rack-" + std::to_string(number / kWorkersPerRack));
    facts.mCapacity = Resources{ kWorkerCpu, kWorkerMemoryMb, 0 };
    facts.mWorkerIncarnation = WorkerIncarnation(1);
    mIndexes[facts.mId] = number;
  }
}

void ShardWorld::Handle(const Event& aEvent)
{
  switch (aEvent.mKind) {
    case EventKind::kSubmit:
      Submit();
      break;
    case EventKind::kSubmitLasting:
      SubmitLasting();
      break;
    case EventKind::kCancelLasting:
      CancelLasting();
      break;
    case EventKind::kEnd:
      End(aEvent);
      return;
    case EventKind::kHold:
      if (mWorkers[aEvent.mWorker].mHoldNumber != aEvent.mHoldNumber) {
        return;
      }
      AnswerHold(mWorkers[aEvent.mWorker]);
      break;
    case EventKind::kAnswer:
      Answer(aEvent);
      break;
    case EventKind::kAppend:
      Append();
      break;
    case EventKind::kList:
      List();
      break;
  }
  Decide();
}

void ShardWorld::Submit()
{
  const auto since = (mNow - mBegin) * kPhases;
  const bool middle = since >= mOptions.mLength && since < 2 * mOptions.mLength;
  Post(EventKind::kSubmit,
       Between(mOptions.mJobsPerSecond * (middle ? mOptions.mBurst : 1)));
  JobGraph job = BatchJob();
  mSpecs[job.mId] = job.mSteps;
  mCosts.mJobs++;
  Measure(CostPart::kIntake, [&] { mShard->OnJobSubmitted(job, mNow, mNow); });
}

void ShardWorld::SubmitLasting()
{
  JobGraph job = LastingJob();
  mSpecs[job.mId] = job.mSteps;
  mLongRunning.push_back(job.mId);
  Measure(CostPart::kIntake, [&] { mShard->OnJobSubmitted(job, mNow, mNow); });
  if (mLongRunning.size() >= kLastingAtATime) {
    Post(EventKind::kCancelLasting, Between(mOptions.mLastingPerSecond));
  }
}

void ShardWorld::CancelLasting()
{
  const JobId oldest = mLongRunning.front();
  mLongRunning.erase(mLongRunning.begin());
  Measure(CostPart::kIntake, [&] { mShard->OnJobCancelled(oldest, mNow); });
  Post(EventKind::kSubmitLasting, Milliseconds(1));
}

void ShardWorld::End(const Event& aEvent)
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
  AnswerHold(worker);
  Decide();
}

void ShardWorld::AnswerHold(Worker& aWorker)
{
  const RenewalReply reply = ReplyOf(aWorker);
  Measure(CostPart::kHold, [&] {
    mShard->OnRenewalReply(aWorker.mHold, reply, aWorker.mHoldSentAt, mNow);
  });
  SendHold(mIndexes.at(aWorker.mInfo.mId));
}

void ShardWorld::SendHold(size_t aWorker)
{
  Worker& worker = mWorkers[aWorker];
  std::optional<RenewalRequest> order;
  Measure(CostPart::kHold,
          [&] { order = mShard->NextRenewal(worker.mInfo.mId, true, mNow); });
  worker.mHold = *order;
  worker.mHoldSentAt = mNow;
  worker.mHoldNumber++;
  worker.mEnded.erase(std::remove_if(worker.mEnded.begin(),
                                     worker.mEnded.end(),
                                     [&](const RunEndReport& aRow) {
                                       return aRow.mNumber <= order->mSeen;
                                     }),
                      worker.mEnded.end());
  Event& event =
    Post(EventKind::kHold, std::max(kAppendGap, order->mWait) + kAnswerTakes);
  event.mWorker = aWorker;
  event.mHoldNumber = worker.mHoldNumber;
}

RenewalReply ShardWorld::ReplyOf(const Worker& aWorker)
{
  std::uniform_int_distribution<int64_t> swing(0, kTailSwingMs);
  RenewalReply reply;
  reply.mOutcome = OrderOutcome::kAccepted;
  reply.mReading = Reading();
  reply.mEnded = aWorker.mEnded;
  for (const auto& [task, run] : aWorker.mRuns) {
    RunReport row;
    row.mTask = task;
    row.mRun = run.mNumber;
    row.mPercent = 100;
    row.mUsage = run.mServes ? kLeastTailMs + swing(mRandom) : kCpu;
    reply.mRunning.push_back(row);
  }
  return reply;
}

ClockReading ShardWorld::Reading() const
{
  ClockReading reading;
  reading.mClock = WorkerTime{
    std::chrono::duration_cast<Milliseconds>(mNow - mBegin).count()
  };
  reading.mWorkerIncarnation = WorkerIncarnation(1);
  return reading;
}

void ShardWorld::Answer(const Event& aEvent)
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
      Event& end = Post(EventKind::kEnd, Spread(spec.mEstimate));
      run.mEndsAt = end.mAt;
      end.mWorker = aEvent.mWorker;
      end.mOrder = order;
    }
  } else if (order.mKind == OrderKind::kStop) {
    const auto run = worker.mRuns.find(order.mTask);
    if (run != worker.mRuns.end()) {
      Event& end = Post(EventKind::kEnd, kStopTakes);
      run->second.mEndsAt = end.mAt;
      end.mWorker = aEvent.mWorker;
      end.mOrder = order;
    }
  }
  const OrderReply reply{ OrderOutcome::kAccepted, Reading() };
  Measure(CostPart::kOrder, [&] { mShard->OnOrder(order, reply, mNow); });
}

void ShardWorld::Append()
{
  Post(EventKind::kAppend, kAppendGap);
  if (!mShard->NeedsAppend()) {
    return;
  }
  ProgressBatch batch;
  Measure(CostPart::kProgress, [&] { batch = mShard->TakeProgress(mNow); });
  for (const JobRecord& record : batch.mJobs) {
    mCosts.mJobsOver += IsOver(record.mPhase) ? 1 : 0;
  }
  Measure(CostPart::kProgress, [&] { mShard->OnDurable(batch); });
}

void ShardWorld::List()
{
  Post(EventKind::kList, kListGap);
  std::vector<WorkerInfo> facts;
  facts.reserve(mWorkers.size());
  for (const Worker& worker : mWorkers) {
    facts.push_back(worker.mInfo);
  }
  Measure(CostPart::kIntake, [&] { mShard->OnWorkerList(facts, mNow); });
}

void ShardWorld::Decide()
{
  const OwnershipProof proof{ mNow, true };
  std::vector<TaskOrder> orders;
  const double before = mCosts.mParts[static_cast<size_t>(CostPart::kDecide)];
  Measure(CostPart::kDecide,
          [&] { orders = mShard->Decide(proof, mNow, WallTime{ 0 }); });
  const double took =
    mCosts.mParts[static_cast<size_t>(CostPart::kDecide)] - before;
  mCosts.mLongestDecide = std::max(mCosts.mLongestDecide, took);
  mShard->TakeDecisions();
  for (TaskOrder& order : orders) {
    Event& event = Post(EventKind::kAnswer, kAnswerTakes);
    event.mWorker = mIndexes.at(order.mWorker);
    event.mOrder = std::move(order);
  }
}

JobGraph ShardWorld::BatchJob()
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
  step.mEstimate = Spread(isShort ? kShortWork : kLongWork);
  step.mBestEffort = !isShort;
  step.mImage = ImageId("batch-" + std::to_string(image(mRandom)));
  job.mSteps.push_back(step);
  step.mDependsOn = { 0 };
  step.mImage = ImageId("batch-" + std::to_string(image(mRandom)));
  job.mSteps.push_back(step);
  return job;
}

JobGraph ShardWorld::LastingJob()
{
  std::uniform_int_distribution<size_t> image(0, kServingImages - 1);
  JobGraph job;
  job.mId = JobId("l" + std::to_string(mRandom()));
  job.mQueue = QueueId("lasting");
  job.mRules.mService = kService;
  StepSpec step;
  step.mCount = kLastingTasks;
  step.mDemand = Resources{ kCpu, kMemoryMb, 0 };
  step.mLongRunning = true;
  step.mTailLatencyTarget = kTailTarget;
  step.mImage = ImageId("serving-" + std::to_string(image(mRandom)));
  job.mSteps.push_back(step);
  return job;
}

const StepSpec& ShardWorld::SpecOf(const TaskRef& aTask) const
{
  return mSpecs.at(aTask.mStep.mJob)[aTask.mStep.mStep];
}

ShardWorld::Event& ShardWorld::Post(EventKind aKind, Milliseconds aAfter)
{
  Event& event = mPosted.emplace_back();
  event.mAt = mNow + aAfter;
  event.mNumber = ++mLastEvent;
  event.mKind = aKind;
  return event;
}

void ShardWorld::Flush()
{
  for (Event& event : mPosted) {
    mEvents.push(std::move(event));
  }
  mPosted.clear();
}

Milliseconds ShardWorld::Between(double aPerSecond)
{
  std::exponential_distribution<double> gap(aPerSecond);
  return Milliseconds(
    static_cast<int64_t>(gap(mRandom) * kMillisecondsASecond));
}

Milliseconds ShardWorld::Spread(Milliseconds aMean)
{
  std::uniform_real_distribution<double> factor(0.5, 1.5);
  return Milliseconds(
    static_cast<int64_t>(static_cast<double>(aMean.count()) * factor(mRandom)));
}

template<typename Call>
void ShardWorld::Measure(CostPart aPart, Call aCall)
{
  const auto begin = std::chrono::steady_clock::now();
  aCall();
  const std::chrono::duration<double, std::micro> took =
    std::chrono::steady_clock::now() - begin;
  const auto part = static_cast<size_t>(aPart);
  mCosts.mParts[part] += took.count();
  mCosts.mCalls[part]++;
}

} // namespace mulberryvalve
