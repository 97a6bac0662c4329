#include "mulberryvalve/app/jobs/intake_relay_client.h"

#include <algorithm>
#include <utility>

namespace mulberryvalve {
namespace {

std::string TextOf(const std::optional<Endpoint>& aPeer)
{
  return aPeer ? aPeer->mAddress + ":" + std::to_string(aPeer->mPort) : "";
}

// Returns how an append ended, or nothing if it says nothing about the log.
std::optional<LogCallEnd> EndIfTold(const Result<void>& aOutcome)
{
  if (aOutcome) {
    return LogCallEnd::kAnswered;
  }
  switch (aOutcome.error().mKind) {
    case FailureKind::kLogAnswerLost:
      return LogCallEnd::kLost;
    case FailureKind::kLogUnavailable:
    case FailureKind::kLogRateLimited:
      return LogCallEnd::kRefused;
    default:
      return std::nullopt;
  }
}

} // namespace

IntakeRelayClient::IntakeRelayClient(ShardNumber aShards,
                                     IntakeRelayClientPorts aPorts)
  : mPorts(aPorts)
{
  for (ShardNumber shard = 0; shard < aShards; shard++) {
    mShards.push_back(std::make_unique<ShardState>());
  }
}

IntakePath IntakeRelayClient::NextPath(
  ShardNumber aShard,
  const KeyedEntry& aEntry,
  std::optional<MonotonicTime> aPendingSince)
{
  if (RecordBytes(aEntry) > kMaxRelayedBytes) {
    return IntakePath::kOwnAppend;
  }
  const MonotonicTime now = mPorts.mClock.Now();
  const auto pendingFor = std::chrono::floor<Milliseconds>(
    aPendingSince ? now - *aPendingSince : Microseconds::zero());
  IntakePath path = IntakePath::kOwnAppend;
  Apply(aShard, pendingFor, [&](IntakeRelay& aRelay) {
    aRelay.OnPending(aPendingSince, now);
    path = aRelay.NextPath(now);
  });
  if (path == IntakePath::kOwnAppend) {
    return path;
  }
  if (mPorts.mOwners.OwnerOf(aShard) && !IsOwnedHere(aShard)) {
    return IntakePath::kRelay;
  }
  Apply(
    aShard, pendingFor, [now](IntakeRelay& aRelay) { aRelay.OnNoOwner(now); });
  return IntakePath::kOwnAppend;
}

bool IntakeRelayClient::IsOwnedHere(ShardNumber aShard)
{
  PeerQuery query;
  query.mKind = PeerQueryKind::kAppendIntake;
  query.mShard = aShard;
  return mPorts.mOwners.OnQuery(query).mOwns;
}

bool IntakeRelayClient::IsInTime(ShardNumber aShard,
                                 IntakePath aPath,
                                 MonotonicTime aDeadline)
{
  const MonotonicTime now = mPorts.mClock.Now();
  MutexLock lock(mShards[aShard]->mMutex);
  return mShards[aShard]->mRelay.IsInTime(
    aPath, std::chrono::floor<Milliseconds>(aDeadline - now), now);
}

bool IntakeRelayClient::MayFallBack(ShardNumber aShard)
{
  const MonotonicTime now = mPorts.mClock.Now();
  MutexLock lock(mShards[aShard]->mMutex);
  return mShards[aShard]->mRelay.MayFallBack(now);
}

void IntakeRelayClient::OnOwnAppend(ShardNumber aShard,
                                    const Result<void>& aOutcome,
                                    Milliseconds aTook)
{
  const std::optional<LogCallEnd> end = EndIfTold(aOutcome);
  if (end) {
    Apply(aShard, aTook, [&](IntakeRelay& aRelay) {
      aRelay.OnOwnAppend(*end, aTook, mPorts.mClock.Now());
    });
  }
}

Result<void> IntakeRelayClient::Relay(ShardNumber aShard,
                                      const KeyedEntry& aEntry,
                                      MonotonicTime aDeadline)
{
  const std::optional<Endpoint> owner = mPorts.mOwners.OwnerOf(aShard);
  const MonotonicTime now = mPorts.mClock.Now();
  if (!owner || now >= aDeadline) {
    return Refused("no owner or no time", MonotonicTime());
  }
  const Milliseconds timeout =
    std::min(std::chrono::ceil<Milliseconds>(aDeadline - now), kTimeout);
  PeerQuery query;
  query.mKind = PeerQueryKind::kAppendIntake;
  query.mShard = aShard;
  query.mRelayed = RelayedEntry{ aEntry, timeout };
  const Result<PeerQueryResult> answer =
    mPorts.mPeers.Ask(*owner, query, timeout);
  if (answer && answer.value().mIntake) {
    return OnAnswer(aShard, answer.value());
  }
  const Failure failure = answer
                            ? Fail(FailureKind::kMalformed, "peer", "no result")
                            : answer.error();
  const bool hasTimedOut = mPorts.mClock.Now() >= now + timeout;
  if (hasTimedOut && timeout == kTimeout) {
    Apply(aShard, Milliseconds::zero(), [this](IntakeRelay& aRelay) {
      aRelay.OnOwnerTimeout(mPorts.mClock.Now());
    });
  }
  return OnNoAnswer(aShard, failure, !hasTimedOut);
}

Result<void> IntakeRelayClient::OnAnswer(ShardNumber aShard,
                                         const PeerQueryResult& aAnswer)
{
  const IntakeResult& result = *aAnswer.mIntake;
  const MonotonicTime now = mPorts.mClock.Now();
  mPorts.mOwners.OnPeerAnswer(aShard, aAnswer);
  if (!aAnswer.mOwns) {
    mPorts.mOwners.InvalidateOwner(aShard);
  }
  Apply(aShard, result.mAppendTime, [&](IntakeRelay& aRelay) {
    if (aAnswer.mOwns) {
      aRelay.OnOwnerAnswer(
        result.mAppendTime, mPorts.mOwners.LastContact(), now);
    } else {
      aRelay.OnNoOwner(now);
    }
  });
  switch (result.mOutcome) {
    case IntakeOutcome::kDone:
      mPorts.mMetrics.Add(Counter::kIntakeRelayed, 1);
      return Done();
    case IntakeOutcome::kRefused:
      return Refused("the owner appended nothing", now + result.mRetryIn);
    case IntakeOutcome::kUnknown:
      break;
  }
  return Unclear("the owner got no answer");
}

// A link that fails ends relaying; a caller who could not wait longer says
// nothing about the owner.
Result<void> IntakeRelayClient::OnNoAnswer(ShardNumber aShard,
                                           const Failure& aFailure,
                                           bool aHasFailed)
{
  if (aHasFailed) {
    mPorts.mOwners.InvalidateOwner(aShard);
    Apply(aShard, Milliseconds::zero(), [this](IntakeRelay& aRelay) {
      aRelay.OnOwnerSilent(mPorts.mClock.Now());
    });
  }
  const bool isUnsent = aFailure.mKind == FailureKind::kPeerNotListening ||
                        aFailure.mKind == FailureKind::kNotReady ||
                        aFailure.mKind == FailureKind::kShuttingDown;
  if (isUnsent) {
    return Refused(aFailure.mDetail, MonotonicTime());
  }
  return Unclear(aFailure.mDetail);
}

Result<void> IntakeRelayClient::Unclear(std::string aDetail)
{
  mPorts.mMetrics.Add(Counter::kIntakeRelayUnknown, 1);
  return Fail(FailureKind::kLogAnswerLost, "relay", std::move(aDetail));
}

Result<void> IntakeRelayClient::Refused(std::string aDetail,
                                        MonotonicTime aRetryAt)
{
  mPorts.mMetrics.Add(Counter::kIntakeRelayRefused, 1);
  Failure refused =
    Fail(FailureKind::kLogUnavailable, "relay", std::move(aDetail));
  refused.mRetryAt = aRetryAt;
  return refused;
}

template<typename Change>
void IntakeRelayClient::Apply(ShardNumber aShard,
                              Milliseconds aAppendTime,
                              Change aChange)
{
  std::optional<RelayCause> before;
  std::optional<RelayCause> after;
  RelayEnd end = RelayEnd::kOwnAppendFast;
  {
    ShardState& state = *mShards[aShard];
    MutexLock lock(state.mMutex);
    before = state.mRelay.Cause();
    aChange(state.mRelay);
    after = state.mRelay.Cause();
    end = state.mRelay.LastEnd();
  }
  if (before.has_value() != after.has_value()) {
    LogChange(aShard, aAppendTime, after, end);
  }
}

void IntakeRelayClient::LogChange(ShardNumber aShard,
                                  Milliseconds aAppendTime,
                                  std::optional<RelayCause> aBegun,
                                  RelayEnd aEnd)
{
  mPorts.mEvents.Write(EventLevel::kInfo,
                       aBegun ? "intake_relay_started" : "intake_relay_stopped",
                       { { "shard", std::to_string(aShard) },
                         { "cause",
                           std::string(aBegun ? kRelayCauseNames.Name(*aBegun)
                                              : kRelayEndNames.Name(aEnd)) },
                         { "append_ms", std::to_string(aAppendTime.count()) },
                         { "owner", TextOf(mPorts.mOwners.OwnerOf(aShard)) } });
}

} // namespace mulberryvalve
