#include "mulberryvalve/app/jobs/jobs_fake.h"

#include <algorithm>
#include <utility>

namespace mulberryvalve {
namespace {

constexpr Milliseconds kMaxWait{ 50 };
// Number of recent appends whose repetition is recognized.
constexpr uint64_t kRepeatWindow = 5;
const ServiceId kService("service");

} // namespace

void MemoryLog::FailNext(std::vector<AppendFault> aFaults)
{
  MutexLock lock(mMutex);
  mFaults.assign(aFaults.begin(), aFaults.end());
}

void MemoryLog::SetAppendTime(Milliseconds aEach)
{
  MutexLock lock(mMutex);
  mAppendTime = aEach;
}

void MemoryLog::ExpireRecords()
{
  MutexLock lock(mMutex);
  for (auto& [place, partition] : mPartitions) {
    partition.mFirst += partition.mRecords.size();
    partition.mRecords.clear();
  }
}

size_t MemoryLog::CountAppends(KeyedTopic aTopic) const
{
  MutexLock lock(mMutex);
  size_t appends = 0;
  for (const auto& [place, partition] : mPartitions) {
    appends += place.first == aTopic ? partition.mAppends : 0;
  }
  return appends;
}

size_t MemoryLog::CountEpochs(const TopicPartition& aPlace) const
{
  MutexLock lock(mMutex);
  const auto found = mPartitions.find({ aPlace.mTopic, aPlace.mPartition });
  return found == mPartitions.end() ? 0 : found->second.mEpochs;
}

bool MemoryLog::Holds(KeyedTopic aTopic, const std::string& aKey) const
{
  MutexLock lock(mMutex);
  for (const auto& [place, partition] : mPartitions) {
    if (place.first == aTopic && partition.mNewest.count(aKey) != 0) {
      return true;
    }
  }
  return false;
}

MemoryLog::Partition& MemoryLog::At(const TopicPartition& aPlace)
{
  return mPartitions[{ aPlace.mTopic, aPlace.mPartition }];
}

Result<KeyedPage> MemoryLog::ReadLatest(const TopicPartition& aPlace)
{
  MutexLock lock(mMutex);
  const Partition& partition = At(aPlace);
  KeyedPage page;
  for (const auto& [key, value] : partition.mNewest) {
    page.mEntries.push_back(KeyedEntry{ key, value });
  }
  page.mNext = partition.mFirst + partition.mRecords.size();
  return page;
}

Result<KeyedPage> MemoryLog::Read(const TopicPartition& aPlace,
                                  uint64_t aFrom,
                                  Milliseconds aWait)
{
  const auto until =
    std::chrono::steady_clock::now() + std::min(aWait, kMaxWait);
  MutexLock lock(mMutex);
  const Partition& partition = At(aPlace);
  while (aFrom >= partition.mFirst + partition.mRecords.size() &&
         mCond.WaitUntil(mMutex, until)) {
  }
  if (aFrom < partition.mFirst) {
    return Fail(FailureKind::kOffsetExpired);
  }
  KeyedPage page;
  page.mEntries.assign(partition.mRecords.begin() +
                         static_cast<long>(aFrom - partition.mFirst),
                       partition.mRecords.end());
  page.mNext = partition.mFirst + partition.mRecords.size();
  return page;
}

Result<void> MemoryLog::Append(const TopicPartition& aPlace,
                               const std::vector<KeyedEntry>& aEntries)
{
  MutexLock lock(mMutex);
  while (mBusy) {
    mAppendCond.Wait(mMutex);
  }
  mBusy = true;
  const auto until = std::chrono::steady_clock::now() + mAppendTime;
  while (std::chrono::steady_clock::now() < until) {
    mAppendCond.WaitUntil(mMutex, until);
  }
  mBusy = false;
  mAppendCond.NotifyAll();
  return ApplyAppend(At(aPlace), aEntries);
}

Result<void> MemoryLog::AppendAt(const TopicPartition& aPlace,
                                 uint64_t aEnd,
                                 const std::vector<KeyedEntry>& aEntries)
{
  MutexLock lock(mMutex);
  Partition& partition = At(aPlace);
  if (aEnd != partition.mFirst + partition.mRecords.size()) {
    return Fail(FailureKind::kConflict, "end");
  }
  return ApplyAppend(partition, aEntries);
}

Result<void> MemoryLog::AppendFenced(const AppendFence& aProof,
                                     const std::vector<KeyedEntry>& aEntries)
{
  MutexLock lock(mMutex);
  Partition& partition = At(aProof.mPlace);
  if (aProof.mEpoch < partition.mEpoch) {
    return Fail(FailureKind::kNotOwner);
  }
  const bool repeated = aProof.mEpoch == partition.mEpoch &&
                        aProof.mSequence <= partition.mSequence &&
                        aProof.mSequence + kRepeatWindow > partition.mSequence;
  if (repeated) {
    return Done();
  }
  const bool follows = partition.mEpoch < aProof.mEpoch ||
                       aProof.mSequence == partition.mSequence + 1;
  if (!follows) {
    return Fail(FailureKind::kConflict, "sequence");
  }
  if (aEntries.empty()) {
    partition.mEpoch = aProof.mEpoch;
    return Done(); // an empty append uses no sequence number
  }
  Result<void> taken = ApplyAppend(partition, aEntries);
  const bool done = taken || taken.error().mField == kAppendFaultDone;
  if (done) {
    partition.mEpochs += partition.mEpoch < aProof.mEpoch ? 1 : 0;
    partition.mEpoch = aProof.mEpoch;
    partition.mSequence = aProof.mSequence;
  }
  return taken;
}

Result<void> MemoryLog::ApplyAppend(Partition& aPartition,
                                    const std::vector<KeyedEntry>& aEntries)
{
  AppendFault fault = AppendFault::kNone;
  if (!mFaults.empty()) {
    fault = mFaults.front();
    mFaults.pop_front();
  }
  if (fault == AppendFault::kRefused) {
    return Fail(FailureKind::kLogUnavailable);
  }
  if (fault == AppendFault::kLost) {
    return Fail(FailureKind::kLogAnswerLost);
  }
  for (const KeyedEntry& entry : aEntries) {
    aPartition.mRecords.push_back(entry);
    if (entry.mValue) {
      aPartition.mNewest[entry.mKey] = *entry.mValue;
    } else {
      aPartition.mNewest.erase(entry.mKey);
    }
  }
  aPartition.mAppends++;
  mCond.NotifyAll();
  if (fault == AppendFault::kAnswerLost) {
    return Fail(FailureKind::kLogAnswerLost, kAppendFaultDone);
  }
  return Done();
}

Result<GroupAssignment> SoleMemberGroup::Join(ShardNumber aShard, Generation)
{
  GroupAssignment share;
  share.mGeneration = Generation(mGeneration);
  share.mHoldsShard = aShard == 0;
  share.mIsOnlyMember = true;
  return share;
}

Result<GroupView> SoleMemberGroup::View(ShardNumber)
{
  GroupView view;
  return view;
}

ThreadedWorker::ThreadedWorker()
  : mOrderThread([this] { RunOrders(); })
  , mRenewalThread([this] { RunRenewals(); })
{
}

ThreadedWorker::~ThreadedWorker()
{
  {
    MutexLock lock(mCallMutex);
    mEnding = true;
    mCallCond.NotifyAll();
  }
  mOrderThread.join();
  mRenewalThread.join();
}

void ThreadedWorker::Send(TaskOrder aOrder, WorkerReplyHandler& aReplies)
{
  MutexLock lock(mCallMutex);
  mOrders.push_back(OrderCall{ std::move(aOrder), &aReplies });
  mCallCond.NotifyAll();
}

void ThreadedWorker::Renew(RenewalRequest aOrder, WorkerReplyHandler& aReplies)
{
  MutexLock lock(mCallMutex);
  mRenewals.push_back(RenewalCall{ std::move(aOrder), &aReplies });
  mCallCond.NotifyAll();
}

// Returns nothing when the worker is destroyed.
template<typename Call>
std::optional<Call> ThreadedWorker::Await(
  std::deque<Call> ThreadedWorker::*aCalls)
{
  MutexLock lock(mCallMutex);
  std::deque<Call>& calls = this->*aCalls;
  while (calls.empty()) {
    if (mEnding) {
      return std::nullopt;
    }
    mCallCond.Wait(mCallMutex);
  }
  Call call = std::move(calls.front());
  calls.pop_front();
  return call;
}

void ThreadedWorker::RunOrders()
{
  while (const std::optional<OrderCall> call =
           Await(&ThreadedWorker::mOrders)) {
    call->mReplies->OnOrderReply(call->mOrder, HandleOrder(call->mOrder));
  }
}

void ThreadedWorker::RunRenewals()
{
  while (const std::optional<RenewalCall> call =
           Await(&ThreadedWorker::mRenewals)) {
    call->mReplies->OnRenewalReply(call->mOrder, HandleRenewal(call->mOrder));
  }
}

OrderReply InstantWorker::HandleOrder(const TaskOrder& aOrder)
{
  MutexLock lock(mMutex);
  OrderReply reply;
  reply.mReading.mClock = WorkerTime{ 1000 };
  reply.mReading.mWorkerIncarnation = WorkerIncarnation(1);
  if (aOrder.mEpoch < mFence) {
    reply.mOutcome = OrderOutcome::kFenced;
    return reply;
  }
  mFence = aOrder.mEpoch;
  reply.mOutcome = OrderOutcome::kAccepted;
  if (aOrder.mKind == OrderKind::kStart) {
    Start(aOrder);
  }
  return reply;
}

void InstantWorker::EndTogether(const StepRef& aStep, size_t aMembers)
{
  MutexLock lock(mMutex);
  mGangs[aStep] = aMembers;
}

void InstantWorker::Start(const TaskOrder& aOrder)
{
  mStarts[aOrder.mTask]++;
  const StepRef& step = aOrder.mTask.mStep;
  const auto gang = mGangs.find(step);
  if (gang == mGangs.end()) {
    End(aOrder.mTask, aOrder.mRun);
    return;
  }
  mRunning[aOrder.mTask] = aOrder.mRun;
  const auto isMember = [&step](const auto& aRun) {
    return aRun.first.mStep == step;
  };
  const auto members =
    std::count_if(mRunning.begin(), mRunning.end(), isMember);
  if (static_cast<size_t>(members) < gang->second) {
    return;
  }
  for (auto run = mRunning.begin(); run != mRunning.end();) {
    if (isMember(*run)) {
      End(run->first, run->second);
      run = mRunning.erase(run);
    } else {
      ++run;
    }
  }
}

void InstantWorker::End(const TaskRef& aTask, RunNumber aRun)
{
  mLast = mLast.Next();
  mEnded.push_back(
    RunEndReport{ mLast, aTask, aRun, EndKind::kDone, CheckpointId() });
  mCond.NotifyAll();
}

RenewalReply InstantWorker::HandleRenewal(const RenewalRequest& aOrder)
{
  const auto until =
    std::chrono::steady_clock::now() + std::min(aOrder.mWait, kMaxWait);
  MutexLock lock(mMutex);
  RenewalReply reply;
  reply.mReading.mClock = WorkerTime{ 1000 };
  reply.mReading.mWorkerIncarnation = WorkerIncarnation(1);
  if (aOrder.mEpoch < mFence) {
    reply.mOutcome = OrderOutcome::kFenced;
    return reply;
  }
  mFence = aOrder.mEpoch;
  mEnded.erase(std::remove_if(mEnded.begin(),
                              mEnded.end(),
                              [&](const RunEndReport& aRow) {
                                return aRow.mNumber <= aOrder.mSeen;
                              }),
               mEnded.end());
  while (mEnded.empty() && mCond.WaitUntil(mMutex, until)) {
  }
  reply.mOutcome = OrderOutcome::kAccepted;
  reply.mEnded = mEnded;
  for (const auto& [task, run] : mRunning) {
    RunReport row;
    row.mTask = task;
    row.mRun = run;
    row.mPercent = kFullPace;
    reply.mRunning.push_back(row);
  }
  return reply;
}

size_t InstantWorker::Starts(const TaskRef& aTask) const
{
  MutexLock lock(mMutex);
  const auto found = mStarts.find(aTask);
  return found == mStarts.end() ? 0 : found->second;
}

std::unique_ptr<WorkerFeed> SingleWorkerFeedFactory::Open()
{
  class Feed : public WorkerFeed
  {
  public:
    Result<std::vector<WorkerInfo>> Next() override
    {
      WorkerInfo facts;
      facts.mId = WorkerId("w");
      facts.mEndpoint = Endpoint{ "127.0.0.1", 1 };
      facts.mService = kService;
      facts.mCapacity = Resources{ 16000, 64000, 0 };
      facts.mWorkerIncarnation = WorkerIncarnation(1);
      return std::vector<WorkerInfo>{ facts };
    }
  };
  return std::make_unique<Feed>();
}

} // namespace mulberryvalve
