#include "mulberryvalve/core/jobs/shard_simulation_fake.h"

#include <algorithm>
#include <utility>

namespace mulberryvalve {
namespace {

constexpr Milliseconds kTick{ 20 };
// Enough for a burst of starts, which a window lets out in several appends.
constexpr int kAppendsPerTick = 10;
const ServiceId kService("service");

bool DeliversTo(const SimulatedOwner& aOwner, const WorkerId& aWorker)
{
  const auto link = aOwner.mLinks.find(aWorker);
  return link == aOwner.mLinks.end() || link->second == LinkState::kConnected ||
         link->second == LinkState::kRepliesLost;
}

bool DeliversFrom(const SimulatedOwner& aOwner, const WorkerId& aWorker)
{
  const auto link = aOwner.mLinks.find(aWorker);
  return link == aOwner.mLinks.end() || link->second == LinkState::kConnected;
}

bool IsAddressReused(const SimulatedOwner& aOwner, const WorkerId& aWorker)
{
  const auto link = aOwner.mLinks.find(aWorker);
  return link != aOwner.mLinks.end() &&
         link->second == LinkState::kAddressReused;
}

} // namespace

ShardSimulation::ShardSimulation(size_t aWorkers)
  : ShardSimulation(aWorkers, mLeastWork, mLearnedPlacement)
{
}

ShardSimulation::ShardSimulation(size_t aWorkers, const QueueingPolicy& aOrder)
  : ShardSimulation(aWorkers, aOrder, mLearnedPlacement)
{
}

ShardSimulation::ShardSimulation(size_t aWorkers,
                                 const JobPlacementPolicy& aPlacement)
  : ShardSimulation(aWorkers, mLeastWork, aPlacement)
{
}

ShardSimulation::ShardSimulation(size_t aWorkers,
                                 const QueueingPolicy& aOrder,
                                 const JobPlacementPolicy& aPlacement)
  : mDurationOf([](const TaskRef&) { return Milliseconds(500); })
  , mEndKindOf([](const TaskRef&, RunNumber) { return EndKind::kDone; })
  , mPlacement(aPlacement)
  , mOrder(aOrder)
{
  for (size_t number = 0; number < aWorkers; number++) {
    SimulatedWorker worker;
    worker.mInfo.mId = WorkerId("w" + std::to_string(100 + number));
    worker.mInfo.mService = kService;
    worker.mInfo.mDomain = DomainId("d" + std::to_string(number % 3));
    worker.mInfo.mRack = RackId("r" + std::to_string(number / 8));
    worker.mInfo.mCapacity = Resources{ 16000, 64000, 0 };
    worker.mInfo.mWorkerIncarnation = worker.mWorkerIncarnation;
    worker.mTailLatencyMs = [](const SimulatedWorker&, const TaskRef&) {
      return 5;
    };
    mWorkers[worker.mInfo.mId] = worker;
  }
  mConfig.mVersion = 1;
  mNow = MonotonicTime(std::chrono::seconds(1000));
}

SimulatedOwner& ShardSimulation::AddOwner()
{
  auto owner = std::make_unique<SimulatedOwner>();
  mLastEpoch = mLastEpoch.Next();
  owner->mEpoch = mLastEpoch;
  owner->mProvedAt = mNow;
  owner->mClaimedAt = mNow;
  owner->mRecordedAt = mNow;
  owner->mStoredAt = mNow;
  ShardSchedulerOptions options;
  options.mEpoch = owner->mEpoch;
  owner->mShard = std::make_unique<ShardScheduler>(
    options, SchedulingPolicies{ mPlacement, mOrder }, mNow);
  owner->mShard->OnConfig(mConfig);
  for (const auto& [id, worker] : mWorkerRecords) {
    owner->mShard->RestoreWorker(worker);
  }
  owner->mShard->RestoreLearned(mLearned);
  for (const JobGraph& job : mJobs) {
    const auto record = mJobRecords.find(job.mId);
    const bool hasRecord = record != mJobRecords.end();
    JobRecord merged;
    if (hasRecord) {
      for (const auto& [number, part] : record->second) {
        MergePart(merged, part);
      }
    }
    JobGraph graph = job;
    if (IsOver(merged.mPhase)) {
      // Like ShardRuntime::Load, which doesn't decode finished jobs.
      graph = JobGraph();
      graph.mId = job.mId;
    }
    owner->mShard->RestoreJob(std::move(graph), hasRecord ? &merged : nullptr);
  }
  for (const JobId& job : mCancelled) {
    owner->mShard->OnJobCancelled(job, mNow);
  }
  for (auto& other : mOwners) {
    other->mCanAppend = false;
    owner->mShard->RestoreFormerOwner(RecordOf(*other));
    if (mObservesOwners) {
      owner->mShard->OnFormerOwnerProof(
        other->mEpoch, other->mStoredAt, RunsEndEvidence::kObserved);
    }
  }
  mOwners.push_back(std::move(owner));
  return *mOwners.back();
}

// An owner is asked at its end or later, so what it tells holds from then on.
void ShardSimulation::AskFormerOwners(SimulatedOwner& aOwner)
{
  for (const FormerOwnerQuestion& question :
       aOwner.mShard->FormerOwnersToAsk()) {
    for (const auto& former : mOwners) {
      const bool isAsked = former->mEpoch == question.mOwner.mEpoch;
      const bool hasEnded =
        !former->mIsActive && former->mEndedAt != MonotonicTime();
      if (!isAsked || !hasEnded || (mTellsItsEnd && !mTellsItsEnd(*former))) {
        continue;
      }
      FormerOwnerEnd end;
      end.mEpoch = former->mEpoch;
      end.mEndedBy = former->mEndedAt;
      end.mReceivedAt = mNow;
      end.mAskedOf = question.mWorkers;
      end.mTold = former->mShard->Summary().TellOf(question.mWorkers, mNow);
      aOwner.mShard->OnFormerOwnerEnded(end);
    }
  }
}

// Returns what the owner's newest record on the log tells of it.
FormerOwner ShardSimulation::RecordOf(const SimulatedOwner& aOwner)
{
  FormerOwner former{ aOwner.mEpoch, Endpoint{ "peer", 1 }, Incarnation(1) };
  former.mActiveFor =
    std::chrono::ceil<Milliseconds>(aOwner.mStoredAt - aOwner.mClaimedAt);
  former.mRecordsUse = aOwner.mStoredRecordsUse;
  former.mFormerRunsLeft = aOwner.mStoredFormerRunsLeft;
  return former;
}

void ShardSimulation::Submit(JobGraph aJob)
{
  aJob.mRules.mService = kService;
  mJobs.push_back(aJob);
  for (auto& owner : mOwners) {
    if (owner->mCanAppend || owner->mReadsSubmissions) {
      owner->mUnreadSubmissions.push_back(SimulatedSubmission{ aJob, mNow });
      ReadIntake(*owner);
    }
  }
}

// Passes to an owner what was submitted since it last read.
void ShardSimulation::ReadIntake(SimulatedOwner& aOwner)
{
  if (!aOwner.mReadsIntake) {
    return;
  }
  const bool readsAll = aOwner.mCanAppend || aOwner.mReadsSubmissions;
  for (SimulatedSubmission& submission :
       std::exchange(aOwner.mUnreadSubmissions, {})) {
    aOwner.mShard->OnJobSubmitted(
      std::move(submission.mJob), submission.mSubmittedAt, mNow);
  }
  if (readsAll) {
    aOwner.mShard->OnIntakeRead(mNow);
  }
}

void ShardSimulation::Cancel(const JobId& aJob)
{
  mCancelled.insert(aJob);
  for (auto& owner : mOwners) {
    if (owner->mCanAppend) {
      owner->mShard->OnJobCancelled(aJob, mNow);
    }
  }
}

void ShardSimulation::Step()
{
  mNow += kTick;
  for (auto& [id, worker] : mWorkers) {
    StepWorker(worker);
  }
  DeliverDelayed();
  for (auto& owner : mOwners) {
    if (owner->mIsActive && !owner->mShard->IsFenced()) {
      StepOwner(*owner);
    }
  }
}

void ShardSimulation::RunFor(Milliseconds aLength)
{
  const MonotonicTime until = mNow + aLength;
  while (mNow < until) {
    Step();
  }
}

void ShardSimulation::Configure(const ClusterConfig& aConfig)
{
  mConfig = aConfig;
  for (auto& owner : mOwners) {
    owner->mShard->OnConfig(aConfig);
  }
}

SimulatedWorker& ShardSimulation::Worker(size_t aIndex)
{
  return std::next(mWorkers.begin(), static_cast<long>(aIndex))->second;
}

void ShardSimulation::StepOwner(SimulatedOwner& aOwner)
{
  ReadIntake(aOwner);
  if (mTellsItsEnd) {
    AskFormerOwners(aOwner);
  }
  if (aOwner.mCanAppend) {
    aOwner.mProvedAt = mNow;
  }
  if (aOwner.mCanAppend && aOwner.mReadsWorkerList) {
    std::vector<WorkerInfo> facts;
    for (const auto& [id, worker] : mWorkers) {
      if (worker.IsListedAt(mNow)) {
        facts.push_back(worker.FactsAt(mNow));
      }
    }
    aOwner.mShard->OnWorkerList(facts, mNow);
  }
  const bool isProved =
    mNow < aOwner.mProvedAt + ShardSchedulerOptions().mProofLimit;
  for (auto& [id, worker] : mWorkers) {
    MonotonicTime& next = aOwner.mNextRenewalAt[id];
    if (mNow < next) {
      continue;
    }
    const auto order = aOwner.mShard->NextRenewal(id, isProved, mNow);
    if (!order) {
      continue;
    }
    RenewalReply reply;
    if (!IsListeningAt(id, order->mEndpoint)) {
      reply.mOutcome = OrderOutcome::kNotSent;
    } else if (DeliversTo(aOwner, id)) {
      RenewalReply actualReply = SendRenewal(*order);
      if (DeliversFrom(aOwner, id)) {
        reply = std::move(actualReply);
      }
    }
    if (IsAddressReused(aOwner, id)) {
      reply.mOutcome = OrderOutcome::kGone;
    }
    aOwner.mShard->OnRenewalReply(*order, reply, mNow - kTick / 2, mNow);
    next = mNow + Milliseconds(100);
  }
  const OwnershipProof proof{ aOwner.mProvedAt, isProved, aOwner.mRecordedAt };
  DecideAndDeliver(aOwner, proof);
  // Like ShardRuntime, which decides again after an append. An append takes
  // far less than a tick.
  for (int append = 0; append < kAppendsPerTick && Persist(aOwner); append++) {
    DecideAndDeliver(aOwner, proof);
  }
}

void ShardSimulation::DecideAndDeliver(SimulatedOwner& aOwner,
                                       const OwnershipProof& aProof)
{
  do {
    const std::vector<TaskOrder> orders =
      aOwner.mShard->Decide(aProof, mNow, WallTime{ 0 });
    if (mOnDecided) {
      mOnDecided(orders.size());
    }
    for (const TaskOrder& order : orders) {
      Deliver(aOwner, order);
    }
  } while (aOwner.mShard->HasMoreToPlace());
}

void ShardSimulation::Deliver(SimulatedOwner& aOwner, const TaskOrder& aOrder)
{
  if (aOwner.mHeldOrders.count(aOrder.mWorker) != 0) {
    aOwner.mSendQueue.push_back(aOrder);
    return;
  }
  if (mOnOrder) {
    mOnOrder(aOrder);
  }
  OrderReply reply;
  const bool orderLost = aOwner.mLostOrders.count(aOrder.mWorker) != 0;
  if (!IsListeningAt(aOrder.mWorker, aOrder.mEndpoint)) {
    reply.mOutcome = OrderOutcome::kNotSent;
  } else if (!orderLost && DeliversTo(aOwner, aOrder.mWorker) &&
             !DelayOrder(aOrder)) {
    const OrderReply actualReply = SendOrder(aOrder);
    if (DeliversFrom(aOwner, aOrder.mWorker)) {
      reply = actualReply;
    }
  }
  aOwner.mShard->OnOrder(aOrder, reply, mNow);
}

void ShardSimulation::DeliverHeldOrders(SimulatedOwner& aOwner)
{
  for (const TaskOrder& order : std::exchange(aOwner.mSendQueue, {})) {
    OrderReply reply;
    reply.mOutcome = OrderOutcome::kNotSent;
    if (aOwner.mShard->IsStillNeeded(order, mNow)) {
      reply = SendOrder(order);
    }
    aOwner.mHeldReplies.emplace_back(order, reply);
  }
}

void ShardSimulation::AnswerHeldOrders(SimulatedOwner& aOwner)
{
  for (const auto& [order, reply] : std::exchange(aOwner.mHeldReplies, {})) {
    aOwner.mShard->OnOrder(order, reply, mNow);
  }
}

// Queues an order if it is to be delayed. Returns whether it is.
bool ShardSimulation::DelayOrder(const TaskOrder& aOrder)
{
  const std::optional<Milliseconds> delayed =
    mDelayOf ? mDelayOf(aOrder) : std::nullopt;
  if (delayed) {
    const WorkerIncarnation birth =
      mWorkers.at(aOrder.mWorker).mWorkerIncarnation;
    mDelayedOrders.push_back(DelayedOrder{ mNow + *delayed, birth, aOrder });
  }
  return delayed.has_value();
}

void ShardSimulation::DeliverDelayed()
{
  std::vector<DelayedOrder> due;
  for (DelayedOrder& delayed : std::exchange(mDelayedOrders, {})) {
    std::vector<DelayedOrder>& list =
      delayed.mArrivesAt <= mNow ? due : mDelayedOrders;
    list.push_back(std::move(delayed));
  }
  for (const DelayedOrder& delayed : due) {
    SimulatedWorker& worker = mWorkers.at(delayed.mOrder.mWorker);
    if (worker.mState != NodeState::kExited &&
        worker.mWorkerIncarnation == delayed.mWorkerIncarnation) {
      Apply(worker, delayed.mOrder);
    }
  }
}

void ShardSimulation::CheckStart(const SimulatedWorker& aWorker,
                                 const TaskRef& aTask)
{
  Resources used = SpecOf(aTask).mDemand;
  used.mCpuMillis = SpecOf(aTask).mBestEffort ? 0 : used.mCpuMillis;
  for (const auto& [task, run] : aWorker.mRuns) {
    Resources demand = SpecOf(task).mDemand;
    demand.mCpuMillis = SpecOf(task).mBestEffort ? 0 : demand.mCpuMillis;
    used += demand;
  }
  if (!used.FitsIn(aWorker.mInfo.mCapacity)) {
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

const StepSpec& ShardSimulation::SpecOf(const TaskRef& aTask) const
{
  const auto job =
    std::find_if(mJobs.begin(), mJobs.end(), [&](const JobGraph& aJob) {
      return aJob.mId == aTask.mStep.mJob;
    });
  return job->mSteps[aTask.mStep.mStep];
}

// Appends the progress of an owner. Returns whether something became durable.
bool ShardSimulation::Persist(SimulatedOwner& aOwner)
{
  if (!aOwner.mCanAppend || aOwner.mAppendsFail) {
    return false;
  }
  if (!aOwner.mAppend) {
    aOwner.mAppend = NextAppend(aOwner);
  }
  if (mNow < aOwner.mAppend->mArrivesAt) {
    return false;
  }
  Store(aOwner.mAppend->mBatch);
  aOwner.mStoredAt = aOwner.mAppend->mSentAt;
  aOwner.mStoredFormerRunsLeft = aOwner.mAppend->mFormerRunsLeft;
  aOwner.mStoredRecordsUse = aOwner.mAppend->mRecordsUse;
  if (aOwner.mAppendAnswersLost) {
    return false;
  }
  aOwner.mShard->OnDurable(aOwner.mAppend->mBatch);
  aOwner.mRecordedAt = aOwner.mAppend->mSentAt;
  const bool hasProgress = !aOwner.mAppend->mBatch.Empty();
  aOwner.mAppend.reset();
  return hasProgress;
}

// With nothing else to append, an owner appends its own record only.
SimulatedAppend ShardSimulation::NextAppend(SimulatedOwner& aOwner) const
{
  ProgressBatch batch;
  if (aOwner.mShard->NeedsAppend()) {
    batch = aOwner.mShard->TakeProgress(mNow);
  }
  return SimulatedAppend{ std::move(batch),
                          aOwner.mShard->FormerRunsLeft(mNow),
                          aOwner.mShard->RecordsUse(),
                          mNow,
                          mNow + aOwner.mAppendDelay };
}

void ShardSimulation::Store(const ProgressBatch& aBatch)
{
  for (const JobRecord& record : aBatch.mJobs) {
    mJobRecords[record.mId][record.mPart] = record;
  }
  for (const UsedWorkerRecord& worker : aBatch.mWorkers) {
    mWorkerRecords[worker.mId] = worker;
  }
  for (const WorkerId& worker : aBatch.mRemovedWorkers) {
    mWorkerRecords.erase(worker);
  }
  mRemovedClaims.insert(aBatch.mEndedClaims.begin(), aBatch.mEndedClaims.end());
  mLearned = aBatch.mLearned.value_or(mLearned);
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
