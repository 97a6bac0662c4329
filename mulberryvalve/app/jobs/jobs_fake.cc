#include "mulberryvalve/app/jobs/jobs_fake.h"

#include <algorithm>
#include <utility>

namespace mulberryvalve {
namespace {

constexpr Milliseconds kLongestWait{ 50 };
const ServiceId kService("service");

} // namespace

void MemoryLog::FailNext(std::vector<AppendFault> aFaults)
{
  MutexLock lock(mMutex);
  mFaults.assign(aFaults.begin(), aFaults.end());
}

void MemoryLog::Slow(Milliseconds aEach)
{
  MutexLock lock(mMutex);
  mEach = aEach;
}

void MemoryLog::Forget()
{
  MutexLock lock(mMutex);
  for (auto& [topic, partition] : mPartitions) {
    partition.mFirst += partition.mRecords.size();
    partition.mRecords.clear();
  }
}

size_t MemoryLog::CountOf(KeyedTopic aTopic) const
{
  MutexLock lock(mMutex);
  const auto found = mPartitions.find(aTopic);
  return found == mPartitions.end() ? 0 : found->second.mAppends;
}

bool MemoryLog::Holds(KeyedTopic aTopic, const std::string& aKey) const
{
  MutexLock lock(mMutex);
  const auto found = mPartitions.find(aTopic);
  return found != mPartitions.end() && found->second.mNewest.count(aKey) != 0;
}

Result<KeyedPage> MemoryLog::Newest(const KeyedPlace& aPlace)
{
  MutexLock lock(mMutex);
  const Partition& partition = mPartitions[aPlace.mTopic];
  KeyedPage page;
  for (const auto& [key, value] : partition.mNewest) {
    page.mEntries.push_back(KeyedEntry{ key, value });
  }
  page.mNext = partition.mFirst + partition.mRecords.size();
  return page;
}

Result<KeyedPage> MemoryLog::Read(const KeyedPlace& aPlace,
                                  uint64_t aFrom,
                                  Milliseconds aWait)
{
  const auto until =
    std::chrono::steady_clock::now() + std::min(aWait, kLongestWait);
  MutexLock lock(mMutex);
  const Partition& partition = mPartitions[aPlace.mTopic];
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

Result<void> MemoryLog::Append(const KeyedPlace& aPlace,
                               const std::vector<KeyedEntry>& aEntries)
{
  MutexLock lock(mMutex);
  while (mBusy) {
    mTurn.Wait(mMutex);
  }
  mBusy = true;
  const auto until = std::chrono::steady_clock::now() + mEach;
  while (std::chrono::steady_clock::now() < until) {
    mTurn.WaitUntil(mMutex, until);
  }
  mBusy = false;
  mTurn.NotifyAll();
  return Take(mPartitions[aPlace.mTopic], aEntries);
}

Result<void> MemoryLog::AppendFenced(const FencedAppend& aProof,
                                     const std::vector<KeyedEntry>& aEntries)
{
  MutexLock lock(mMutex);
  Partition& partition = mPartitions[aProof.mPlace.mTopic];
  if (aProof.mEpoch < partition.mEpoch) {
    return Fail(FailureKind::kNotOwner);
  }
  const bool repeated = aProof.mEpoch == partition.mEpoch &&
                        aProof.mSequence <= partition.mSequence;
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
    return Done(); // takes up no sequence number
  }
  Result<void> taken = Take(partition, aEntries);
  const bool done = taken || taken.error().mField == kAppendFaultDone;
  if (done) {
    partition.mEpoch = aProof.mEpoch;
    partition.mSequence = aProof.mSequence;
  }
  return taken;
}

Result<void> MemoryLog::Take(Partition& aPartition,
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
  if (fault == AppendFault::kLostWhole) {
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

Result<GroupShare> OneGroup::Join(Generation)
{
  return GroupShare{ Generation(mGeneration), { 0 } };
}

Result<GroupView> OneGroup::View()
{
  GroupView view;
  return view;
}

Result<GroupShare> DealtGroup::Join(uint16_t aPort)
{
  MutexLock lock(mMutex);
  if (mCut.count(aPort) != 0) {
    return Fail(FailureKind::kLogUnavailable);
  }
  mJoins[aPort]++;
  mAllJoins++;
  mCond.NotifyAll();
  const auto found = std::find(mMembers.begin(), mMembers.end(), aPort);
  if (found == mMembers.end()) {
    mMembers.push_back(aPort);
    mGeneration++;
  }
  GroupShare share;
  share.mGeneration = Generation(mGeneration);
  for (ShardNumber shard = 0; shard < mShards; shard++) {
    if (HolderOf(shard) == aPort) {
      share.mShards.push_back(shard);
    }
  }
  return share;
}

Result<GroupView> DealtGroup::View(uint16_t aPort)
{
  MutexLock lock(mMutex);
  if (mCut.count(aPort) + mJoinsOnly.count(aPort) != 0) {
    mFailedViews++;
    mCond.NotifyAll();
    return Fail(FailureKind::kLogUnavailable);
  }
  mViews++;
  mCond.NotifyAll();
  GroupView view;
  view.mMembers = mMembers.size();
  for (ShardNumber shard = 0; !mMembers.empty() && shard < mShards; shard++) {
    view.mOwners.push_back(
      ShardOwnerRow{ shard, Endpoint{ "10.0.0.1", HolderOf(shard) } });
  }
  return view;
}

Result<void> DealtGroup::Leave(uint16_t aPort)
{
  MutexLock lock(mMutex);
  if (mCut.count(aPort) != 0) {
    return Fail(FailureKind::kLogUnavailable);
  }
  Remove(aPort);
  return Done();
}

void DealtGroup::CutOff(uint16_t aPort)
{
  MutexLock lock(mMutex);
  mCut.insert(aPort);
  Remove(aPort);
}

void DealtGroup::Reconnect(uint16_t aPort)
{
  MutexLock lock(mMutex);
  mCut.erase(aPort);
  mJoinsOnly.erase(aPort);
}

void DealtGroup::RestoreJoins(uint16_t aPort)
{
  MutexLock lock(mMutex);
  mCut.erase(aPort);
  mJoinsOnly.insert(aPort);
}

void DealtGroup::AwaitFailedViews(size_t aCount)
{
  MutexLock lock(mMutex);
  Await(mFailedViews, aCount);
}

void DealtGroup::Await(const size_t& aCounter, size_t aMore)
{
  const size_t until = aCounter + aMore;
  while (aCounter < until) {
    mCond.Wait(mMutex);
  }
}

uint16_t DealtGroup::HolderOf(ShardNumber aShard) const
{
  return mMembers[mMembers.size() - 1 - aShard % mMembers.size()];
}

void DealtGroup::Remove(uint16_t aPort)
{
  const auto gone = std::remove(mMembers.begin(), mMembers.end(), aPort);
  mGeneration += gone == mMembers.end() ? 0 : 1;
  mMembers.erase(gone, mMembers.end());
}

void DealtGroup::AwaitViews(size_t aCount)
{
  MutexLock lock(mMutex);
  Await(mViews, aCount);
}

void DealtGroup::AwaitJoins(size_t aCount)
{
  MutexLock lock(mMutex);
  Await(mAllJoins, aCount);
}

size_t DealtGroup::Joins(uint16_t aPort) const
{
  MutexLock lock(mMutex);
  const auto found = mJoins.find(aPort);
  return found == mJoins.end() ? 0 : found->second;
}

OrderReply InstantWorker::Send(const TaskOrder& aOrder)
{
  MutexLock lock(mMutex);
  OrderReply reply;
  reply.mReading.mClock = WorkerTime{ 1000 };
  reply.mReading.mBirth = Birth(1);
  if (aOrder.mEpoch < mFence) {
    reply.mOutcome = OrderOutcome::kFenced;
    return reply;
  }
  mFence = aOrder.mEpoch;
  reply.mOutcome = OrderOutcome::kAccepted;
  if (aOrder.mKind == OrderKind::kStart) {
    mStarts[aOrder.mTask]++;
    mLast = mLast.Next();
    mEnded.push_back(EndedRow{
      mLast, aOrder.mTask, aOrder.mRun, EndKind::kDone, CheckpointId() });
    mCond.NotifyAll();
  }
  return reply;
}

HoldReply InstantWorker::Hold(const HoldOrder& aOrder)
{
  const auto until =
    std::chrono::steady_clock::now() + std::min(aOrder.mWait, kLongestWait);
  MutexLock lock(mMutex);
  HoldReply reply;
  reply.mReading.mClock = WorkerTime{ 1000 };
  reply.mReading.mBirth = Birth(1);
  if (aOrder.mEpoch < mFence) {
    reply.mOutcome = OrderOutcome::kFenced;
    return reply;
  }
  mFence = aOrder.mEpoch;
  mEnded.erase(std::remove_if(mEnded.begin(),
                              mEnded.end(),
                              [&](const EndedRow& aRow) {
                                return aRow.mNumber <= aOrder.mSeen;
                              }),
               mEnded.end());
  while (mEnded.empty() && mCond.WaitUntil(mMutex, until)) {
  }
  reply.mOutcome = OrderOutcome::kAccepted;
  reply.mEnded = mEnded;
  return reply;
}

size_t InstantWorker::Starts(const TaskRef& aTask) const
{
  MutexLock lock(mMutex);
  const auto found = mStarts.find(aTask);
  return found == mStarts.end() ? 0 : found->second;
}

std::unique_ptr<WorkerFeed> OneWorkerFeeds::Open()
{
  class Feed : public WorkerFeed
  {
  public:
    Result<std::vector<WorkerFacts>> Next() override
    {
      WorkerFacts facts;
      facts.mId = WorkerId("w");
      facts.mEndpoint = Endpoint{ "127.0.0.1", 1 };
      facts.mService = kService;
      facts.mCapacity = Resources{ 16000, 64000, 0 };
      facts.mBirth = Birth(1);
      return std::vector<WorkerFacts>{ facts };
    }
  };
  return std::make_unique<Feed>();
}

} // namespace mulberryvalve
