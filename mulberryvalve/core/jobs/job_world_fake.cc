#include "mulberryvalve/core/jobs/job_world_fake.h"

#include <algorithm>
#include <utility>

namespace mulberryvalve {
namespace {

constexpr Milliseconds kTick{ 20 };
constexpr Milliseconds kStopDuration{ 200 };
constexpr int64_t kMaxLeaseMs = 6000;
const ServiceId kService("service");

bool DeliversTo(const FakeOwner& aOwner, const WorkerId& aWorker)
{
  const auto link = aOwner.mLinks.find(aWorker);
  return link == aOwner.mLinks.end() || link->second == LinkState::kWhole ||
         link->second == LinkState::kNoAnswers;
}

bool DeliversFrom(const FakeOwner& aOwner, const WorkerId& aWorker)
{
  const auto link = aOwner.mLinks.find(aWorker);
  return link == aOwner.mLinks.end() || link->second == LinkState::kWhole;
}

bool IsAddressReused(const FakeOwner& aOwner, const WorkerId& aWorker)
{
  const auto link = aOwner.mLinks.find(aWorker);
  return link != aOwner.mLinks.end() &&
         link->second == LinkState::kAddressReused;
}

} // namespace

JobWorld::JobWorld(size_t aWorkers)
  : JobWorld(aWorkers, mLeastWork, mLearnedPlacement)
{
}

JobWorld::JobWorld(size_t aWorkers, const WaitingOrder& aOrder)
  : JobWorld(aWorkers, aOrder, mLearnedPlacement)
{
}

JobWorld::JobWorld(size_t aWorkers, const JobPlacement& aPlacement)
  : JobWorld(aWorkers, mLeastWork, aPlacement)
{
}

JobWorld::JobWorld(size_t aWorkers,
                   const WaitingOrder& aOrder,
                   const JobPlacement& aPlacement)
  : mDurationOf([](const TaskRef&) { return Milliseconds(500); })
  , mEndOf([](const TaskRef&, RunNumber) { return EndKind::kDone; })
  , mPlacement(aPlacement)
  , mOrder(aOrder)
{
  for (size_t number = 0; number < aWorkers; number++) {
    FakeWorkerNode worker;
    worker.mFacts.mId = WorkerId("w" + std::to_string(100 + number));
    worker.mFacts.mService = kService;
    worker.mFacts.mDomain = DomainId("d" + std::to_string(number % 3));
    worker.mFacts.mRack = RackId("r" + std::to_string(number / 8));
    worker.mFacts.mCapacity = Resources{ 16000, 64000, 0 };
    worker.mFacts.mBirth = worker.mBirth;
    worker.mTail = [](const FakeWorkerNode&, const TaskRef&) { return 5; };
    mWorkers[worker.mFacts.mId] = worker;
  }
  mConfig.mVersion = 1;
  mNow = MonotonicTime(std::chrono::seconds(1000));
}

FakeOwner& JobWorld::AddOwner()
{
  auto owner = std::make_unique<FakeOwner>();
  mLastEpoch = mLastEpoch.Next();
  owner->mEpoch = mLastEpoch;
  owner->mProvedAt = mNow;
  JobShardOptions options;
  options.mEpoch = owner->mEpoch;
  owner->mShard = std::make_unique<JobShard>(
    options, JobPolicies{ mPlacement, mOrder }, mNow);
  owner->mShard->OnConfig(mConfig);
  for (const auto& [id, worker] : mWorkerRecords) {
    owner->mShard->InheritWorker(worker);
  }
  owner->mShard->InheritLearned(mLearned);
  for (const JobGraph& job : mJobs) {
    const auto record = mJobRecords.find(job.mId);
    const bool hasRecord = record != mJobRecords.end();
    JobGraph graph = job;
    if (hasRecord && IsOver(record->second.mPhase)) {
      // Like ShardRuntime::Load, which doesn't decode finished jobs.
      graph = JobGraph();
      graph.mId = job.mId;
    }
    owner->mShard->Inherit(std::move(graph),
                           hasRecord ? &record->second : nullptr);
  }
  for (const JobId& job : mCancelled) {
    owner->mShard->OnCancel(job, mNow);
  }
  for (auto& other : mOwners) {
    other->mReachesLog = false;
  }
  mOwners.push_back(std::move(owner));
  return *mOwners.back();
}

void JobWorld::Submit(JobGraph aJob)
{
  aJob.mRules.mService = kService;
  mJobs.push_back(aJob);
  for (auto& owner : mOwners) {
    if (owner->mReachesLog || owner->mReadsSubmissions) {
      owner->mShard->OnJob(aJob, mNow, mNow);
    }
  }
}

void JobWorld::Cancel(const JobId& aJob)
{
  mCancelled.insert(aJob);
  for (auto& owner : mOwners) {
    if (owner->mReachesLog) {
      owner->mShard->OnCancel(aJob, mNow);
    }
  }
}

void JobWorld::Step()
{
  mNow += kTick;
  for (auto& [id, worker] : mWorkers) {
    StepWorker(worker);
  }
  DeliverDelayed();
  for (auto& owner : mOwners) {
    if (owner->mActs && !owner->mShard->IsFenced()) {
      StepOwner(*owner);
    }
  }
}

void JobWorld::RunFor(Milliseconds aLength)
{
  const MonotonicTime until = mNow + aLength;
  while (mNow < until) {
    Step();
  }
}

void JobWorld::Configure(const ClusterConfig& aConfig)
{
  mConfig = aConfig;
  for (auto& owner : mOwners) {
    owner->mShard->OnConfig(aConfig);
  }
}

FakeWorkerNode& JobWorld::Worker(size_t aIndex)
{
  return std::next(mWorkers.begin(), static_cast<long>(aIndex))->second;
}

void JobWorld::StepWorker(FakeWorkerNode& aWorker)
{
  std::vector<std::pair<TaskRef, EndKind>> ends;
  const bool leaseExpired =
    aWorker.mLeaseEnd.mMilliseconds <= aWorker.ClockAt(mNow).mMilliseconds;
  for (const auto& [task, run] : aWorker.mRuns) {
    if (run.mEndsAt <= mNow) {
      ends.emplace_back(task, run.mStopping ? EndKind::kStopped : run.mEnd);
    } else if (leaseExpired) {
      ends.emplace_back(task, EndKind::kLapsed);
    }
  }
  for (const auto& [task, endKind] : ends) {
    // The end of another gang member may have ended it already.
    if (aWorker.mRuns.count(task) != 0) {
      End(aWorker, task, endKind);
    }
  }
  if (leaseExpired) {
    aWorker.mExpiredUpTo = aWorker.mLastEnd;
  }
}

void JobWorld::StepOwner(FakeOwner& aOwner)
{
  if (aOwner.mReachesLog) {
    aOwner.mProvedAt = mNow;
    std::vector<WorkerFacts> facts;
    for (const auto& [id, worker] : mWorkers) {
      if (worker.IsListedAt(mNow)) {
        facts.push_back(worker.FactsAt(mNow));
      }
    }
    aOwner.mShard->OnWorkers(facts, mNow);
  }
  const bool isProved = mNow < aOwner.mProvedAt + JobShardOptions().mProofLimit;
  for (auto& [id, worker] : mWorkers) {
    MonotonicTime& next = aOwner.mNextHold[id];
    if (mNow < next) {
      continue;
    }
    const auto order = aOwner.mShard->NextHold(id, isProved, mNow);
    if (!order) {
      continue;
    }
    HoldReply reply;
    if (!IsListeningAt(id, order->mEndpoint)) {
      reply.mOutcome = OrderOutcome::kNotSent;
    } else if (DeliversTo(aOwner, id)) {
      HoldReply actualReply = RenewLease(worker, *order);
      if (DeliversFrom(aOwner, id)) {
        reply = std::move(actualReply);
      }
    }
    if (IsAddressReused(aOwner, id)) {
      reply.mOutcome = OrderOutcome::kGone;
    }
    aOwner.mShard->OnHold(*order, reply, mNow - kTick / 2, mNow);
    next = mNow + Milliseconds(100);
  }
  OwnershipProof proof{ aOwner.mProvedAt, isProved };
  do {
    const std::vector<TaskOrder> orders =
      aOwner.mShard->Decide(proof, mNow, WallTime{ 0 });
    if (mOnDecided) {
      mOnDecided(orders.size());
    }
    for (const TaskOrder& order : orders) {
      Deliver(aOwner, order);
    }
  } while (aOwner.mShard->HasMoreToPlace());
  Persist(aOwner);
}

void JobWorld::Deliver(FakeOwner& aOwner, const TaskOrder& aOrder)
{
  if (mOnOrder) {
    mOnOrder(aOrder);
  }
  OrderReply reply;
  const bool orderLost = aOwner.mLostOrders.count(aOrder.mWorker) != 0;
  if (!IsListeningAt(aOrder.mWorker, aOrder.mEndpoint)) {
    reply.mOutcome = OrderOutcome::kNotSent;
  } else if (!orderLost && DeliversTo(aOwner, aOrder.mWorker) &&
             !DelayOrder(aOrder)) {
    const OrderReply actualReply = Apply(mWorkers.at(aOrder.mWorker), aOrder);
    if (DeliversFrom(aOwner, aOrder.mWorker)) {
      reply = actualReply;
    }
  }
  aOwner.mShard->OnOrder(aOrder, reply, mNow);
}

// Queues an order if it is to be delayed. Returns whether it is.
bool JobWorld::DelayOrder(const TaskOrder& aOrder)
{
  const std::optional<Milliseconds> delayed =
    mDelayOf ? mDelayOf(aOrder) : std::nullopt;
  if (delayed) {
    const Birth birth = mWorkers.at(aOrder.mWorker).mBirth;
    mDelayedOrders.push_back(DelayedOrder{ mNow + *delayed, birth, aOrder });
  }
  return delayed.has_value();
}

void JobWorld::DeliverDelayed()
{
  std::vector<DelayedOrder> due;
  for (DelayedOrder& delayed : std::exchange(mDelayedOrders, {})) {
    std::vector<DelayedOrder>& list =
      delayed.mArrivesAt <= mNow ? due : mDelayedOrders;
    list.push_back(std::move(delayed));
  }
  for (const DelayedOrder& delayed : due) {
    FakeWorkerNode& worker = mWorkers.at(delayed.mOrder.mWorker);
    if (worker.mState != NodeState::kExited &&
        worker.mBirth == delayed.mBirth) {
      Apply(worker, delayed.mOrder);
    }
  }
}

OrderReply JobWorld::Apply(FakeWorkerNode& aWorker, const TaskOrder& aOrder)
{
  OrderReply reply;
  reply.mReading.mClock = aWorker.ClockAt(mNow);
  reply.mReading.mBirth = aWorker.mBirth;
  if (aOrder.mEpoch < aWorker.mFencingEpoch) {
    reply.mOutcome = OrderOutcome::kFenced;
    return reply;
  }
  aWorker.mFencingEpoch = aOrder.mEpoch;
  reply.mOutcome = OrderOutcome::kAccepted;
  const auto run = aWorker.mRuns.find(aOrder.mTask);
  switch (aOrder.mKind) {
    case OrderKind::kStart:
      reply.mOutcome = Start(aWorker, aOrder);
      break;
    case OrderKind::kStop:
      if (run != aWorker.mRuns.end() && run->second.mRun <= aOrder.mRun) {
        run->second.mStopping = true;
        run->second.mEndsAt =
          std::min(run->second.mEndsAt, mNow + kStopDuration);
      }
      aWorker.mLastClosedRun[aOrder.mTask] =
        std::max(aWorker.mLastClosedRun[aOrder.mTask], aOrder.mRun);
      break;
    case OrderKind::kPace:
      break;
  }
  return reply;
}

OrderOutcome JobWorld::Start(FakeWorkerNode& aWorker, const TaskOrder& aOrder)
{
  const int64_t clockMs = aWorker.ClockAt(mNow).mMilliseconds;
  if (aOrder.mUntil.mMilliseconds <= clockMs) {
    return OrderOutcome::kTooLate;
  }
  if (aOrder.mRun <= aWorker.mLastClosedRun[aOrder.mTask]) {
    return OrderOutcome::kOutdated;
  }
  aWorker.mLeaseEnd.mMilliseconds =
    std::max(aWorker.mLeaseEnd.mMilliseconds,
             std::min(aOrder.mUntil.mMilliseconds, clockMs + kMaxLeaseMs));
  CheckStart(aWorker, aOrder.mTask);
  SimulatedRun run;
  run.mRun = aOrder.mRun;
  run.mStartedAt = mNow;
  run.mEndsAt = mNow + mDurationOf(aOrder.mTask);
  run.mEnd = mFailing.count(aOrder.mWorker) != 0
               ? EndKind::kFailed
               : mEndOf(aOrder.mTask, aOrder.mRun);
  aWorker.mRuns[aOrder.mTask] = run;
  return OrderOutcome::kAccepted;
}

HoldReply JobWorld::RenewLease(FakeWorkerNode& aWorker, const HoldOrder& aOrder)
{
  HoldReply reply;
  reply.mReading.mClock = aWorker.ClockAt(mNow);
  reply.mReading.mBirth = aWorker.mBirth;
  if (aOrder.mEpoch < aWorker.mFencingEpoch) {
    reply.mOutcome = OrderOutcome::kFenced;
    return reply;
  }
  aWorker.mFencingEpoch = aOrder.mEpoch;
  if (aOrder.mUntil) {
    const int64_t latestLeaseEnd =
      aWorker.ClockAt(mNow).mMilliseconds + kMaxLeaseMs;
    aWorker.mLeaseEnd.mMilliseconds =
      std::max(aWorker.mLeaseEnd.mMilliseconds,
               std::min(aOrder.mUntil->mMilliseconds, latestLeaseEnd));
  }
  for (const EndedRow& row : aWorker.mEnded) {
    const bool acknowledged =
      row.mNumber <= aOrder.mSeen && row.mNumber > aWorker.mExpiredUpTo;
    if (acknowledged && row.mHow == EndKind::kDone) {
      mAckedDone.insert(row.mTask);
    }
  }
  aWorker.mEnded.erase(std::remove_if(aWorker.mEnded.begin(),
                                      aWorker.mEnded.end(),
                                      [&](const EndedRow& aRow) {
                                        return aRow.mNumber <= aOrder.mSeen;
                                      }),
                       aWorker.mEnded.end());
  reply.mOutcome = OrderOutcome::kAccepted;
  reply.mEnded = aWorker.mEnded;
  for (const auto& [task, run] : aWorker.mRuns) {
    RunningRow row;
    row.mTask = task;
    row.mRun = run.mRun;
    row.mPercent = 100;
    row.mUsage = SpecOf(task).mTailTarget.count() > 0
                   ? aWorker.mTail(aWorker, task)
                   : SpecOf(task).mDemand.mCpuMillis;
    reply.mRunning.push_back(row);
  }
  return reply;
}

void JobWorld::CheckStart(const FakeWorkerNode& aWorker, const TaskRef& aTask)
{
  Resources used = SpecOf(aTask).mDemand;
  used.mCpuMillis = SpecOf(aTask).mFills ? 0 : used.mCpuMillis;
  for (const auto& [task, run] : aWorker.mRuns) {
    Resources demand = SpecOf(task).mDemand;
    demand.mCpuMillis = SpecOf(task).mFills ? 0 : demand.mCpuMillis;
    used += demand;
  }
  if (!used.FitsIn(aWorker.mFacts.mCapacity)) {
    mViolations.push_back("over capacity: " + aTask.Text());
  }
  for (const auto& [id, worker] : mWorkers) {
    if (worker.mRuns.count(aTask) != 0) {
      mViolations.push_back("two runs: " + aTask.Text());
    }
  }
  if (mAckedDone.count(aTask) != 0) {
    mViolations.push_back("started after it was done: " + aTask.Text());
  }
}

const StepSpec& JobWorld::SpecOf(const TaskRef& aTask) const
{
  const auto job =
    std::find_if(mJobs.begin(), mJobs.end(), [&](const JobGraph& aJob) {
      return aJob.mId == aTask.mStep.mJob;
    });
  return job->mSteps[aTask.mStep.mStep];
}

void JobWorld::Persist(FakeOwner& aOwner)
{
  if (!aOwner.mReachesLog || !aOwner.mShard->NeedsAppend()) {
    return;
  }
  const ProgressBatch batch = aOwner.mShard->TakeProgress(mNow);
  for (const JobRecord& record : batch.mJobs) {
    mJobRecords[record.mId] = record;
  }
  for (const KnownWorker& worker : batch.mWorkers) {
    mWorkerRecords[worker.mId] = worker;
  }
  for (const WorkerId& worker : batch.mForgotten) {
    mWorkerRecords.erase(worker);
  }
  mLearned = batch.mLearned.value_or(mLearned);
  aOwner.mShard->OnDurable(batch);
}

JobGraph OneStepJob(const std::string& aId, uint32_t aCount, int64_t aCpu)
{
  JobGraph job;
  job.mId = JobId(aId);
  job.mQueue = QueueId("queue");
  StepSpec step;
  step.mCount = aCount;
  step.mDemand = Resources{ aCpu, 1000, 0 };
  step.mEstimate = Milliseconds(500);
  job.mSteps.push_back(step);
  return job;
}

} // namespace mulberryvalve
