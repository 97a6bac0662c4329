// This instance's membership in the group of one shard. Polls who owns the
// shard, joins the group when ShardBalancer says so, and runs the shard while
// the group assigns it to this instance.
#ifndef MULBERRYVALVE_APP_JOBS_SHARD_MEMBERSHIP_H_
#define MULBERRYVALVE_APP_JOBS_SHARD_MEMBERSHIP_H_

#include "mulberryvalve/app/jobs/shard_balancer.h"
#include "mulberryvalve/app/jobs/shard_runtime.h"
#include "mulberryvalve/core/jobs/ended_ownerships.h"
#include "mulberryvalve/ports/out/peer_query.h"

#include <memory>
#include <optional>
#include <thread>
#include <vector>

namespace mulberryvalve {

// This instance's state in the group.
enum class MemberState
{
  kNotMember,
  kMember,
  kLeaving, // leaves with the next call to the group
  kRemoved, // already removed by the group, so no call is needed to leave
};

inline constexpr EnumTable<MemberState, 4> kMemberStateNames{ { {
  { MemberState::kNotMember, "out" },
  { MemberState::kMember, "member" },
  { MemberState::kLeaving, "leaving" },
  { MemberState::kRemoved, "lost" },
} } };

// Thread-safe. One thread polls the group and another one joins, so that a slow
// poll delays no join.
class ShardMembership
{
public:
  // aGroup, aBalancer, aRandom and the references in aPorts must outlive this
  // object.
  ShardMembership(ShardNumber aShard,
                  const ShardMembershipOptions& aOptions,
                  ShardGroup& aGroup,
                  ShardBalancer& aBalancer,
                  RandomSource& aRandom,
                  ShardRuntimePorts aPorts);
  ~ShardMembership();
  ShardMembership(const ShardMembership&) = delete;
  ShardMembership& operator=(const ShardMembership&) = delete;

  // Starts polling. Call once.
  void Start();

  // BeginStop gives the shard up. Stop waits for the threads; call BeginStop
  // first.
  void BeginStop();
  void Stop();

  // Returns when the last call to the group that was answered had been sent.
  MonotonicTime LastContact() const;

  // Returns the peer endpoint of the shard's owner, or nothing if no owner is
  // known.
  std::optional<Endpoint> Owner() const;

  // Marks the known owner as outdated because it did not answer as owner. The
  // group is polled again soon.
  void InvalidateOwner();

  // Answers the question if this instance owns the shard.
  PeerQueryResult OnQuery(const PeerQuery& aQuestion);

  // Records what the answer of a peer, which arrived just now, tells of an
  // owner.
  void OnPeerAnswer(const PeerQueryResult& aAnswer);

private:
  // A shard that its owner keeps though the group deals it anew. The group
  // lists it again, or gives it to another member, only once the owner accepts,
  // that is, joins with the new generation.
  struct KeptShard
  {
    MonotonicTime mAcceptBy;
    bool mHasAccepted = false;
  };

  PeerQueryResult AnswerOwnershipEnd(const PeerQuery& aQuestion);
  std::shared_ptr<ShardRuntime> FindRuntime(Epoch aEpoch) MV_REQUIRES(mMutex);
  void ObserveOwner();
  std::optional<Endpoint> OwnerToObserve(MonotonicTime aNow);
  OwnerObservations Observations() const;
  void RunPolls();
  void DelayFirstPoll();
  bool WaitForNextPoll();
  std::chrono::steady_clock::time_point NextPollAt(
    std::chrono::steady_clock::time_point aNow) const;
  bool NeedsPoll() const MV_REQUIRES(mMutex);
  void Poll();
  void ApplyView(const GroupView& aView, MonotonicTime aSentAt);
  MemberState NextState(const GroupView& aView, MonotonicTime aSentAt)
    MV_REQUIRES(mMutex);

  void RunJoins();
  bool WaitForNextJoin(std::chrono::steady_clock::time_point aNext);
  void Join();
  void ApplyShare(const GroupAssignment& aShare, MonotonicTime aSentAt);
  void OnShardAssigned(Generation aGeneration, MonotonicTime aSentAt)
    MV_REQUIRES(mMutex);
  bool ShouldKeepShard(Generation aDealt, MonotonicTime aSentAt)
    MV_REQUIRES(mMutex);
  void OnShardNotAssigned(MonotonicTime aSentAt) MV_REQUIRES(mMutex);
  void LeaveForAnother() MV_REQUIRES(mMutex);
  void LeaveGroup();
  bool MayHaveExpired() const MV_REQUIRES(mMutex);

  void StartRuntime(Generation aGeneration) MV_REQUIRES(mMutex);
  void StopRuntime() MV_REQUIRES(mMutex);
  void RemoveEndedRuntimes();
  void UpdateOwnedGauge();
  void LogViewIfChanged(const GroupView& aView) MV_REQUIRES(mMutex);
  void LogDealIfChanged(const GroupAssignment& aShare) MV_REQUIRES(mMutex);
  void OnCallFailed(const char* aCall, const Failure& aFailure);
  void LogFailure(const char* aCall, const Failure& aFailure);
  void LogEvent(std::string_view aName, std::vector<EventField> aFields);

  const ShardNumber mShard;
  const ShardMembershipOptions mOptions;
  ShardGroup& mGroup;
  ShardBalancer& mBalancer;
  RandomSource& mRandom;
  ShardRuntimePorts mPorts;
  // Set before the threads start.
  std::chrono::steady_clock::time_point mStartedAt;
  mutable Mutex mMutex;
  CondVar mPollCond;
  CondVar mJoinCond;
  MemberState mState MV_GUARDED_BY(mMutex) = MemberState::kNotMember;
  JoinReason mJoinReason MV_GUARDED_BY(mMutex) = JoinReason::kNone;
  // The generation to join with. Joining with one that does not assign the
  // shard to this member gives it up.
  Generation mGeneration MV_GUARDED_BY(mMutex);
  // The generation that the last join returned.
  Generation mDealtGeneration MV_GUARDED_BY(mMutex);
  // Set while the shard is kept though joins don't list it.
  std::optional<KeptShard> mKept MV_GUARDED_BY(mMutex);
  // The lowest epoch that the next ownership here may use.
  Epoch mMinEpoch MV_GUARDED_BY(mMutex);
  std::shared_ptr<ShardRuntime> mRuntime MV_GUARDED_BY(mMutex);
  std::vector<std::shared_ptr<ShardRuntime>> mEndingRuntimes
    MV_GUARDED_BY(mMutex);
  // The ends of runtimes that were removed.
  EndedOwnerships mEndedOwnerships MV_GUARDED_BY(mMutex);
  std::optional<Endpoint> mOwner MV_GUARDED_BY(mMutex);
  // The known owner may be outdated.
  bool mIsOwnerStale MV_GUARDED_BY(mMutex) = true;
  bool mIsReachable MV_GUARDED_BY(mMutex) = false;
  bool mIsStopping MV_GUARDED_BY(mMutex) = false;
  MonotonicTime mLastContact MV_GUARDED_BY(mMutex);
  MonotonicTime mJoinedAt MV_GUARDED_BY(mMutex);
  // Replies to polls that were sent before this time are outdated.
  MonotonicTime mStateChangedAt MV_GUARDED_BY(mMutex);
  // When the last poll was sent that confirmed the reason for joining.
  MonotonicTime mLastCheckAt MV_GUARDED_BY(mMutex);
  // How long a member without the shard waits for the owner to hand it over.
  MonotonicTime mAssignmentDeadline MV_GUARDED_BY(mMutex);
  // The members that were last logged.
  std::string mLoggedMembers MV_GUARDED_BY(mMutex);
  // When the owner was last asked only to observe it.
  std::optional<MonotonicTime> mObservedAt MV_GUARDED_BY(mMutex);
  // Acquired after mMutex, if both are.
  mutable Mutex mObservationsMutex;
  OwnerObservations mObservations MV_GUARDED_BY(mObservationsMutex);
  std::thread mPollThread;
  std::thread mJoinThread;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_JOBS_SHARD_MEMBERSHIP_H_
