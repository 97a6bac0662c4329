// How ShardMembership answers the queries of peers.
#include "mulberryvalve/app/jobs/shard_membership.h"

namespace mulberryvalve {

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
  return runtime == nullptr ? PeerQueryResult() : runtime->Answer(aQuestion);
}

// A process that was started later answers for the one before it: that one had
// ended by then.
PeerQueryResult ShardMembership::AnswerOwnershipEnd(const PeerQuery& aQuestion)
{
  PeerQueryResult answer;
  if (aQuestion.mProcess != mOptions.mOwner.mProcess) {
    answer.mEndedFor = std::chrono::duration_cast<Milliseconds>(
      mPorts.mClock.Now() - mOptions.mProcessStartedAt);
    return answer;
  }
  const std::shared_ptr<ShardRuntime> runtime = FindRuntime(aQuestion.mEpoch);
  if (runtime == nullptr || runtime->HasEnded()) {
    answer.mEndedFor = Milliseconds(0);
  } else if (!runtime->IsOwnershipOver()) {
    runtime->OnSuperseded();
  }
  return answer;
}

// Returns the runtime of an epoch, also if it is ending, or null.
std::shared_ptr<ShardRuntime> ShardMembership::FindRuntime(Epoch aEpoch)
{
  MutexLock lock(mMutex);
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
