// How ShardMembership answers the queries of peers, and what it learns from
// their answers.
#include "mulberryvalve/app/jobs/shard_membership.h"

#include <algorithm>

namespace mulberryvalve {
namespace {

// An owner is asked if it was not observed for this long, at most as often. The
// clocks of two instances differ little in this time.
constexpr Milliseconds kObservationInterval{ 5000 };
// Bounds how much later the next poll is.
constexpr Milliseconds kObservationTimeout{ 200 };

} // namespace

PeerQueryResult ShardMembership::OnQuery(const PeerQuery& aQuestion)
{
  if (aQuestion.mKind == PeerQueryKind::kOwnershipEnd) {
    return AnswerOwnershipEnd(aQuestion);
  }
  std::shared_ptr<ShardRuntime> runtime;
  {
    MutexLock lock(mMutex);
    runtime = mRuntime;
  }
  if (runtime == nullptr) {
    return PeerQueryResult();
  }
  return aQuestion.mRoom ? runtime->GiveRoom(aQuestion)
                         : runtime->Answer(aQuestion);
}

// A process that was started later answers for the one before it: that one had
// ended by then. Of an epoch that is not remembered, only that it has ended is
// known.
PeerQueryResult ShardMembership::AnswerOwnershipEnd(const PeerQuery& aQuestion)
{
  PeerQueryResult answer;
  if (aQuestion.mProcess != mOptions.mOwner.mProcess) {
    answer.mEndedFor = std::chrono::duration_cast<Milliseconds>(
      mPorts.mClock.Now() - mOptions.mProcessStartedAt);
    return answer;
  }
  std::shared_ptr<ShardRuntime> runtime;
  std::shared_ptr<const OwnershipEnd> end;
  {
    MutexLock lock(mMutex);
    runtime = FindRuntime(aQuestion.mEpoch);
    end = runtime == nullptr ? mEndedOwnerships.Find(aQuestion.mEpoch)
                             : runtime->End();
  }
  if (runtime != nullptr) {
    answer.mOwner = runtime->Age();
  }
  if (end != nullptr) {
    const MonotonicTime now = mPorts.mClock.Now();
    answer.mEndedFor =
      std::chrono::duration_cast<Milliseconds>(now - end->mEndedAt);
    if (!aQuestion.mWorkers.empty()) {
      answer.mTold = end->mSummary.TellOf(aQuestion.mWorkers, now);
    }
  } else if (runtime == nullptr) {
    answer.mEndedFor = Milliseconds(0);
  } else if (!runtime->IsOwnershipOver()) {
    runtime->OnSuperseded();
  }
  return answer;
}

void ShardMembership::OnPeerAnswer(const PeerQueryResult& aAnswer)
{
  if (!aAnswer.mOwner) {
    return;
  }
  const MonotonicTime now = mPorts.mClock.Now();
  MutexLock lock(mObservationsMutex);
  mObservations.Add(*aAnswer.mOwner, now);
}

OwnerObservations ShardMembership::Observations() const
{
  MutexLock lock(mObservationsMutex);
  return mObservations;
}

// Asks the owner for anything, as each answer tells its age.
void ShardMembership::ObserveOwner()
{
  const std::optional<Endpoint> owner = OwnerToObserve(mPorts.mClock.Now());
  if (!owner) {
    return;
  }
  PeerQuery query;
  query.mKind = PeerQueryKind::kWaitingJobs;
  query.mShard = mShard;
  const Result<PeerQueryResult> answer =
    mPorts.mPeers.Ask(*owner, query, kObservationTimeout);
  if (answer) {
    OnPeerAnswer(answer.value());
  }
}

// Returns the owner if it is another instance and its observation is due.
std::optional<Endpoint> ShardMembership::OwnerToObserve(MonotonicTime aNow)
{
  const std::optional<MonotonicTime> last = Observations().LastReceivedAt();
  MutexLock lock(mMutex);
  const std::optional<MonotonicTime> latest = std::max(mObservedAt, last);
  const bool isDue = !latest || aNow >= *latest + kObservationInterval;
  const bool isOther = mOwner && *mOwner != mOptions.mSelf.mPeer;
  if (!isDue || !isOther || mIsStopping) {
    return std::nullopt;
  }
  mObservedAt = aNow;
  return mOwner;
}

// Returns the runtime of an epoch, also if it is ending, or null.
std::shared_ptr<ShardRuntime> ShardMembership::FindRuntime(Epoch aEpoch)
{
  if (mRuntime != nullptr && mRuntime->EpochHeld() == aEpoch) {
    return mRuntime;
  }
  for (const std::shared_ptr<ShardRuntime>& runtime : mEndingRuntimes) {
    if (runtime->EpochHeld() == aEpoch) {
      return runtime;
    }
  }
  return nullptr;
}

} // namespace mulberryvalve
