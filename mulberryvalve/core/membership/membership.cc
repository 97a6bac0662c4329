#include "mulberryvalve/core/membership/membership.h"

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>
#include <xxhash.h>

namespace mulberryvalve {
namespace {

// Returns the rendezvous hashing weight of aInstance for aShard. It excludes
// the incarnation, so that a restarted instance gets its shards back.
uint64_t RendezvousWeight(const ShardId& aShard, const InstanceId& aInstance)
{
  std::string key = aShard.Text();
  key.push_back('\0');
  key += aInstance.Text();
  return XXH3_64bits(key.data(), key.size());
}

bool IsOwnerCandidate(const Member& aMember)
{
  return aMember.mReady && !aMember.mStopping;
}

} // namespace

Membership::Membership(MembershipOptions aOptions, MonotonicTime aStart)
  : mOptions(std::move(aOptions))
  , mUndiscoveredDeadAt(aStart + mOptions.mDeadAfter)
  , mUndiscoveredTakeoverAt(aStart + mOptions.mForeignTakeoverAfter)
{
  mSelf.mId = mOptions.mSelf;
  mSelf.mDomain = mOptions.mDomain;
  mSelf.mCallerEndpoint = mOptions.mCallerEndpoint;
}

void Membership::SetSelf(bool aReady, bool aStopping)
{
  mSelf.mReady = aReady;
  mSelf.mStopping = aStopping;
}

bool Membership::OnPeerStatus(const PeerStatus& aStatus, MonotonicTime aNow)
{
  const WriterId& sender = aStatus.mSender;
  if (sender.mInstance == mSelf.mId.mInstance) {
    return false;
  }
  const auto found = mPeers.find(sender.mInstance);
  if (found != mPeers.end()) {
    const Peer& known = found->second;
    const Incarnation knownIncarnation = known.mMember.mId.mIncarnation;
    if (sender.mIncarnation < knownIncarnation) {
      return false;
    }
    if (sender.mIncarnation == knownIncarnation &&
        aStatus.mSequence <= known.mSequence) {
      return false;
    }
  }
  RemoveExpired(aNow);
  Peer& peer = mPeers[sender.mInstance];
  peer.mMember.mId = sender;
  peer.mMember.mDomain = aStatus.mDomain;
  peer.mMember.mCallerEndpoint = aStatus.mCallerEndpoint;
  peer.mMember.mReady = aStatus.mReady;
  peer.mMember.mStopping = aStatus.mStopping;
  peer.mSequence = aStatus.mSequence;
  peer.mLastHeard = aNow;
  peer.mSuspectAt = aNow + mOptions.mSuspectAfter;
  peer.mDeadAt = aNow + mOptions.mDeadAfter;
  peer.mExpiresAt = aNow + mOptions.mForeignTakeoverAfter;
  peer.mLoad.clear();
  for (const WorkerLoad& load : aStatus.mLoad) {
    peer.mLoad[load.mWorker] += load.mInFlight;
  }
  mTakeoverAt[aStatus.mDomain] = aNow + mOptions.mForeignTakeoverAfter;
  return true;
}

std::vector<Member> Membership::Live(MonotonicTime aNow) const
{
  std::vector<Member> live{ mSelf };
  for (const auto& [instance, peer] : mPeers) {
    if (aNow >= peer.mDeadAt) {
      continue;
    }
    live.push_back(peer.mMember);
    live.back().mState =
      aNow < peer.mSuspectAt ? MemberState::kAlive : MemberState::kSuspect;
  }
  std::sort(live.begin(), live.end(), [](const Member& aL, const Member& aR) {
    return aL.mId < aR.mId;
  });
  return live;
}

bool Membership::IsAlive(const WriterId& aWriter, MonotonicTime aNow) const
{
  if (aWriter.mInstance == mSelf.mId.mInstance) {
    return aWriter == mSelf.mId;
  }
  const auto found = mPeers.find(aWriter.mInstance);
  if (found == mPeers.end()) {
    return aNow < mUndiscoveredDeadAt;
  }
  const Incarnation knownIncarnation = found->second.mMember.mId.mIncarnation;
  if (aWriter.mIncarnation < knownIncarnation) {
    return false;
  }
  if (aWriter.mIncarnation > knownIncarnation) {
    return aNow < mUndiscoveredDeadAt;
  }
  return aNow < found->second.mDeadAt || aNow < mUndiscoveredDeadAt;
}

std::optional<MonotonicTime> Membership::LastHeard(
  const InstanceId& aInstance) const
{
  const auto found = mPeers.find(aInstance);
  if (found == mPeers.end()) {
    return std::nullopt;
  }
  return found->second.mLastHeard;
}

bool Membership::AllPeersAlive(MonotonicTime aNow) const
{
  const auto alive =
    std::count_if(mPeers.begin(), mPeers.end(), [aNow](const auto& aEntry) {
      return aNow < aEntry.second.mDeadAt;
    });
  return static_cast<size_t>(alive) >= mOptions.mConfiguredPeers;
}

std::optional<WriterId> Membership::PreferredOwner(const ShardId& aShard,
                                                   const DomainId& aDomain,
                                                   MonotonicTime aNow) const
{
  if (aNow < mUndiscoveredDeadAt && !AllPeersAlive(aNow)) {
    return std::nullopt;
  }
  const bool anyDomain = IsForeignTakeoverDue(aDomain, aNow);
  std::optional<WriterId> winner;
  uint64_t highest = 0;
  const auto consider = [&](const Member& aMember) {
    if (!IsOwnerCandidate(aMember) ||
        (!anyDomain && aMember.mDomain != aDomain)) {
      return;
    }
    const uint64_t weight = RendezvousWeight(aShard, aMember.mId.mInstance);
    const bool wins = !winner || weight > highest ||
                      (weight == highest && aMember.mId < *winner);
    if (wins) {
      winner = aMember.mId;
      highest = weight;
    }
  };
  consider(mSelf);
  for (const auto& [instance, peer] : mPeers) {
    if (aNow < peer.mDeadAt) {
      consider(peer.mMember);
    }
  }
  return winner;
}

uint64_t Membership::LoadOf(const WorkerId& aWorker, MonotonicTime aNow) const
{
  uint64_t sum = 0;
  for (const auto& [instance, peer] : mPeers) {
    if (aNow >= peer.mSuspectAt) {
      continue;
    }
    const auto found = peer.mLoad.find(aWorker);
    if (found != peer.mLoad.end()) {
      sum += found->second;
    }
  }
  return sum;
}

// Returns whether aDomain's members have been silent for long enough that
// members of other domains may own its shards.
bool Membership::IsForeignTakeoverDue(const DomainId& aDomain,
                                      MonotonicTime aNow) const
{
  if (aDomain == mSelf.mDomain) {
    return false;
  }
  const auto found = mTakeoverAt.find(aDomain);
  const MonotonicTime deadline =
    found == mTakeoverAt.end() ? mUndiscoveredTakeoverAt : found->second;
  return aNow >= deadline;
}

// Removes peers that have been silent for foreign-takeover-after. This bounds
// mPeers while instances join and leave.
void Membership::RemoveExpired(MonotonicTime aNow)
{
  for (auto it = mPeers.begin(); it != mPeers.end();) {
    it = aNow >= it->second.mExpiresAt ? mPeers.erase(it) : std::next(it);
  }
}

} // namespace mulberryvalve
