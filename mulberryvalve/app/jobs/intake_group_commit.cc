#include "mulberryvalve/app/jobs/intake_group_commit.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace mulberryvalve {
namespace {

size_t BytesOf(const KeyedEntry& aEntry)
{
  return RecordBytes(aEntry) + kRecordOverhead;
}

IntakeOutcome OutcomeOf(const Result<void>& aAppended)
{
  if (aAppended) {
    return IntakeOutcome::kDone;
  }
  return aAppended.error().mKind == FailureKind::kLogAnswerLost
           ? IntakeOutcome::kUnknown
           : IntakeOutcome::kRefused;
}

} // namespace

IntakeGroupCommit::IntakeGroupCommit(IntakeGroupCommitPorts aPorts)
  : mPorts(aPorts)
{
  for (ShardNumber shard = 0; shard < mPorts.mBatchers.Shards(); shard++) {
    mQueues.push_back(std::make_unique<Queue>());
  }
}

IntakeGroupCommit::~IntakeGroupCommit()
{
  BeginStop();
  Stop();
}

void IntakeGroupCommit::Start()
{
  for (ShardNumber shard = 0; shard < mPorts.mBatchers.Shards(); shard++) {
    Queue& queue = *mQueues[shard];
    {
      MutexLock lock(queue.mMutex);
      queue.mIsRunning = true;
    }
    queue.mThread = std::thread([this, shard] { Run(shard); });
  }
}

void IntakeGroupCommit::BeginStop()
{
  for (const auto& queue : mQueues) {
    MutexLock lock(queue->mMutex);
    queue->mIsRunning = false;
    queue->mCond.NotifyAll();
  }
}

void IntakeGroupCommit::Stop()
{
  for (const auto& queue : mQueues) {
    if (queue->mThread.joinable()) {
      queue->mThread.join();
    }
  }
}

void IntakeGroupCommit::OnIntake(const PeerQuery& aQuery, Reply aReply)
{
  Waiting waiting;
  waiting.mReply = std::move(aReply);
  if (aQuery.mShard >= mQueues.size() || !aQuery.mRelayed) {
    waiting.mAnswer.mIntake = IntakeResult();
    waiting.mReply(waiting.mAnswer);
    return;
  }
  const RelayedEntry& relayed = *aQuery.mRelayed;
  waiting.mAnswer = mPorts.mOwners.OnQuery(aQuery);
  waiting.mEntry = relayed.mEntry;
  waiting.mDeadline = mPorts.mClock.Now() + relayed.mTimeLeft;
  const bool isAcceptable = waiting.mAnswer.mOwns &&
                            FitsRecord(relayed.mEntry, mPorts.mLog.Limits()) &&
                            IsInTime(aQuery.mShard, relayed);
  if (!isAcceptable || !Enqueue(aQuery.mShard, waiting)) {
    Answer(aQuery.mShard, waiting, IntakeOutcome::kRefused);
  }
}

// An entry that nothing is in flight for is taken in any case: it measures how
// long appends take now.
bool IntakeGroupCommit::IsInTime(ShardNumber aShard,
                                 const RelayedEntry& aRelayed)
{
  {
    Queue& queue = *mQueues[aShard];
    MutexLock lock(queue.mMutex);
    if (queue.mBytes == 0) {
      return true;
    }
  }
  return mPorts.mBatchers.Of(aShard).LastCallTime() <= aRelayed.mTimeLeft;
}

// Returns false, and leaves aWaiting as it is, if there is no room.
bool IntakeGroupCommit::Enqueue(ShardNumber aShard, Waiting& aWaiting)
{
  Queue& queue = *mQueues[aShard];
  const size_t bytes = BytesOf(aWaiting.mEntry);
  MutexLock lock(queue.mMutex);
  if (!queue.mIsRunning || queue.mBytes + bytes > kMaxBytesInFlight) {
    return false;
  }
  queue.mBytes += bytes;
  queue.mWaiting.push_back(std::move(aWaiting));
  queue.mCond.NotifyAll();
  return true;
}

void IntakeGroupCommit::Run(ShardNumber aShard)
{
  Queue& queue = *mQueues[aShard];
  while (true) {
    std::vector<Waiting> group = TakeGroup(queue);
    if (group.empty()) {
      return;
    }
    Commit(aShard, std::move(group));
  }
}

// Waits for entries and returns as many as share a call, in order of arrival.
// Returns none once this object is stopping and none are left.
std::vector<IntakeGroupCommit::Waiting> IntakeGroupCommit::TakeGroup(
  Queue& aQueue)
{
  const size_t maxBytes = mPorts.mLog.Limits().mRequestBytes;
  std::vector<Waiting> group;
  MutexLock lock(aQueue.mMutex);
  while (aQueue.mIsRunning && aQueue.mWaiting.empty()) {
    aQueue.mCond.Wait(aQueue.mMutex);
  }
  size_t bytes = 0;
  auto end = aQueue.mWaiting.begin();
  while (end != aQueue.mWaiting.end() &&
         (bytes == 0 || bytes + BytesOf(end->mEntry) <= maxBytes)) {
    bytes += BytesOf(end->mEntry);
    ++end;
  }
  std::move(aQueue.mWaiting.begin(), end, std::back_inserter(group));
  aQueue.mWaiting.erase(aQueue.mWaiting.begin(), end);
  return group;
}

// Entries that were not sent before their sender stopped waiting, or before
// this object was stopped, are not appended.
void IntakeGroupCommit::Commit(ShardNumber aShard, std::vector<Waiting> aGroup)
{
  Queue& queue = *mQueues[aShard];
  size_t bytes = 0;
  for (const Waiting& waiting : aGroup) {
    bytes += BytesOf(waiting.mEntry);
  }
  bool isRunning = false;
  {
    MutexLock lock(queue.mMutex);
    isRunning = queue.mIsRunning;
  }
  const MonotonicTime now = mPorts.mClock.Now();
  const auto late = std::stable_partition(
    aGroup.begin(), aGroup.end(), [&](const Waiting& aWaiting) {
      return isRunning && now < aWaiting.mDeadline;
    });
  std::vector<KeyedEntry> entries;
  MonotonicTime sendBy;
  for (auto waiting = aGroup.begin(); waiting != late; ++waiting) {
    entries.push_back(waiting->mEntry);
    sendBy = std::max(sendBy, waiting->mDeadline);
  }
  IntakeOutcome outcome = IntakeOutcome::kRefused;
  if (!entries.empty()) {
    outcome = OutcomeOf(mPorts.mBatchers.Of(aShard).AppendAll(
      entries, AppendTerms{ mPorts.mOwners.LastContact(), sendBy }));
  }
  {
    MutexLock lock(queue.mMutex);
    queue.mBytes -= bytes;
  }
  for (auto waiting = aGroup.begin(); waiting != aGroup.end(); ++waiting) {
    Answer(
      aShard, *waiting, waiting < late ? outcome : IntakeOutcome::kRefused);
  }
}

void IntakeGroupCommit::Answer(ShardNumber aShard,
                               Waiting& aWaiting,
                               IntakeOutcome aOutcome)
{
  AppendBatcher& batcher = mPorts.mBatchers.Of(aShard);
  IntakeResult result;
  result.mOutcome = aOutcome;
  result.mAppendTime = batcher.LastCallTime();
  if (aOutcome != IntakeOutcome::kDone) {
    result.mRetryIn =
      std::chrono::ceil<Milliseconds>(batcher.RetryAt() - mPorts.mClock.Now());
  }
  aWaiting.mAnswer.mIntake = result;
  aWaiting.mReply(aWaiting.mAnswer);
}

} // namespace mulberryvalve
