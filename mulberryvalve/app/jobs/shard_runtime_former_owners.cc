// How ShardRuntime asks former owners of its shard.
#include "mulberryvalve/app/jobs/shard_runtime.h"
#include "mulberryvalve/core/jobs/clock_rate.h"

#include <algorithm>
#include <utility>

namespace mulberryvalve {
namespace {

using Steady = std::chrono::steady_clock;

// Most workers answer a new owner within this; only then it asks for the ends
// of former owners.
constexpr Milliseconds kFormerOwnerInterval{ 250 };
constexpr Milliseconds kFormerOwnerTimeout{ 500 };

// Returns by when a former owner had ended, or nothing if it may still act. A
// process listens for its peers from before it owns a shard until after that,
// so where none listens, none acts. The clock that counted the time since the
// end may be as much faster than this one as kSlowestRatePerMille says.
std::optional<MonotonicTime> EndFromAnswer(
  const Result<PeerQueryResult>& aAnswer,
  MonotonicTime aNow)
{
  if (aAnswer && aAnswer.value().mEndedFor) {
    const int64_t endedFor = aAnswer.value().mEndedFor->count();
    return aNow - Milliseconds(endedFor * kSlowestRatePerMille / kPerMille);
  }
  if (!aAnswer && aAnswer.error().mKind == FailureKind::kPeerNotListening) {
    return aNow;
  }
  return std::nullopt;
}

// Returns by when a former owner had recorded its newest proof, by the age that
// it tells, or nothing if that is not known.
std::optional<MonotonicTime> LastRecordFromAnswer(
  const FormerOwner& aOwner,
  const Result<PeerQueryResult>& aAnswer,
  MonotonicTime aNow)
{
  if (!aAnswer || !aAnswer.value().mOwner || !aOwner.mActiveFor) {
    return std::nullopt;
  }
  OwnerObservations observed;
  observed.Add(*aAnswer.value().mOwner, aNow);
  return observed.WasActiveFor(aOwner.mEpoch, *aOwner.mActiveFor);
}

} // namespace

// Asks former owners whether they have ended and what they did, while a wait
// for a worker depends on that.
void ShardRuntime::FollowFormerOwners()
{
  while (SleepUntil(Steady::now() + kFormerOwnerInterval)) {
    std::vector<FormerOwnerQuestion> questions;
    {
      MutexLock lock(mMutex);
      questions = mShard->FormerOwnersToAsk();
    }
    if (questions.empty()) {
      return;
    }
    for (const FormerOwnerQuestion& question : questions) {
      AskFormerOwner(question);
    }
  }
}

// Learns from a former owner's answer whether it has ended and what it did, or
// how long it has been active.
void ShardRuntime::AskFormerOwner(const FormerOwnerQuestion& aQuestion)
{
  const FormerOwner& owner = aQuestion.mOwner;
  PeerQuery query;
  query.mKind = PeerQueryKind::kOwnershipEnd;
  query.mShard = mOptions.mShard;
  query.mEpoch = owner.mEpoch;
  query.mProcess = owner.mProcess;
  query.mWorkers = aQuestion.mWorkers;
  const Result<PeerQueryResult> result =
    mPorts.mPeers.Ask(owner.mPeer, query, kFormerOwnerTimeout);
  const MonotonicTime now = mPorts.mClock.Now();
  const std::optional<MonotonicTime> endedBy = EndFromAnswer(result, now);
  const std::optional<MonotonicTime> provedBy =
    LastRecordFromAnswer(owner, result, now);
  if (!endedBy && !provedBy) {
    return;
  }
  FormerOwnerEnd end;
  end.mEpoch = owner.mEpoch;
  end.mReceivedAt = now;
  end.mAskedOf = aQuestion.mWorkers;
  if (endedBy) {
    end.mEndedBy = *endedBy;
    end.mTold = result ? result.value().mTold : std::nullopt;
    LogFormerOwnerEnded(end);
  }
  MutexLock lock(mMutex);
  if (endedBy) {
    mShard->OnFormerOwnerEnded(end);
  }
  if (provedBy) {
    mShard->OnFormerOwnerProof(
      owner.mEpoch, *provedBy, RunsEndEvidence::kObserved);
  }
  RequestDecisionPass();
}

void ShardRuntime::LogFormerOwnerEnded(const FormerOwnerEnd& aEnd)
{
  const auto ago =
    std::chrono::duration_cast<Milliseconds>(aEnd.mReceivedAt - aEnd.mEndedBy);
  std::vector<EventField> fields{
    { "former_epoch", std::to_string(aEnd.mEpoch.Value()) },
    { "ended_for_ms", std::to_string(ago.count()) }
  };
  if (aEnd.mTold) {
    const std::vector<ToldWorker>& told = aEnd.mTold->mWorkers;
    const auto unused =
      std::count_if(told.begin(), told.end(), [](const ToldWorker& aWorker) {
        return !aWorker.mLeasesLeft;
      });
    Milliseconds longest{ 0 };
    for (const ToldWorker& worker : told) {
      longest = std::max(longest, worker.mLeasesLeft.value_or(longest));
    }
    fields.push_back({ "asked", std::to_string(aEnd.mAskedOf.size()) });
    fields.push_back({ "told", std::to_string(told.size()) });
    fields.push_back({ "unused", std::to_string(unused) });
    fields.push_back({ "leases_ms", std::to_string(longest.count()) });
    fields.push_back({ "unrecorded",
                       aEnd.mTold->mUnrecorded
                         ? std::to_string(aEnd.mTold->mUnrecorded->size())
                         : "unknown" });
  }
  LogEvent(EventLevel::kInfo, "former_owner_ended", std::move(fields));
}

} // namespace mulberryvalve
