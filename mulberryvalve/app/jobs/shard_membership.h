// ShardMembership: this instance's part in the group of one shard: it looks who
// owns the shard, joins when it bids for it, and owns it while the group says
// so.
#ifndef MULBERRYVALVE_APP_JOBS_SHARD_MEMBERSHIP_H_
#define MULBERRYVALVE_APP_JOBS_SHARD_MEMBERSHIP_H_

#include "mulberryvalve/app/jobs/shard_bids.h"
#include "mulberryvalve/app/jobs/shard_runtime.h"
#include "mulberryvalve/ports/out/peer_calls.h"

#include <memory>
#include <optional>
#include <thread>
#include <vector>

namespace mulberryvalve {

// MemberState says what this instance is in the group.
enum class MemberState
{
  kNotMember,
  kMember,
  kLeaving, // to leave at the next occasion
  kRemoved, // the group has removed it; nothing is to be left
};

inline constexpr EnumTable<MemberState, 4> kMemberStateNames{ { {
  { MemberState::kNotMember, "out" },
  { MemberState::kMember, "member" },
  { MemberState::kLeaving, "leaving" },
  { MemberState::kRemoved, "lost" },
} } };

// ShardMembership's methods are thread-safe. One thread looks and one joins, so
// that a slow look delays no join.
class ShardMembership
{
public:
  // aGroup, aBalancer, aRandom and what aPorts name must outlive this object.
  ShardMembership(ShardNumber aShard,
                  const ShardKeeperOptions& aOptions,
                  ShardGroup& aGroup,
                  ShardBalancer& aBalancer,
                  RandomSource& aRandom,
                  ShardRuntimePorts aPorts);
  ~ShardMembership();
  ShardMembership(const ShardMembership&) = delete;
  ShardMembership& operator=(const ShardMembership&) = delete;

  // Start begins to look. Call once.
  void Start();

  // BeginStop gives the shard up; Stop also waits for the threads.
  void BeginStop();
  void Stop();

  // LastContact returns when a call to the group was last answered.
  MonotonicTime LastContact() const;

  // Owner returns where the shard's owner is reached by its peers, or nothing
  // when nobody is known to own it.
  std::optional<Endpoint> Owner() const;

  // InvalidateOwner says that the owner did not answer as such; it is looked
  // for soon.
  void InvalidateOwner();

  // OnQuestion answers if this instance owns the shard.
  PeerAnswer OnQuestion(const PeerQuestion& aQuestion);

private:
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
  void ApplyShare(const GroupShare& aShare, MonotonicTime aSentAt);
  void OnShardAssigned(Generation aGeneration, MonotonicTime aSentAt)
    MV_REQUIRES(mMutex);
  void OnShardNotAssigned(MonotonicTime aSentAt) MV_REQUIRES(mMutex);
  void LeaveForAnother() MV_REQUIRES(mMutex);
  void LeaveGroup();
  bool MayHaveExpired() const MV_REQUIRES(mMutex);

  void StartRuntime(Generation aGeneration) MV_REQUIRES(mMutex);
  void StopRuntime() MV_REQUIRES(mMutex);
  void RemoveEndedRuntimes() MV_REQUIRES(mMutex);
  void UpdateOwnedGauge();
  void OnCallFailed(const char* aCall, const Failure& aFailure);
  void LogFailure(const char* aCall, const Failure& aFailure);
  void LogEvent(std::string_view aName, std::vector<EventField> aFields);

  const ShardNumber mShard;
  const ShardKeeperOptions mOptions;
  ShardGroup& mGroup;
  ShardBalancer& mBalancer;
  RandomSource& mRandom;
  ShardRuntimePorts mPorts;
  // Set before the threads begin.
  std::chrono::steady_clock::time_point mStartedAt;
  mutable Mutex mMutex;
  CondVar mPollCond;
  CondVar mJoinCond;
  MemberState mState MV_GUARDED_BY(mMutex) = MemberState::kNotMember;
  JoinReason mJoinReason MV_GUARDED_BY(mMutex) = JoinReason::kNone;
  Generation mGeneration MV_GUARDED_BY(mMutex);
  // The lowest epoch under which the shard may be owned here next.
  Epoch mMinEpoch MV_GUARDED_BY(mMutex);
  std::shared_ptr<ShardRuntime> mRuntime MV_GUARDED_BY(mMutex);
  std::vector<std::shared_ptr<ShardRuntime>> mEndingRuntimes
    MV_GUARDED_BY(mMutex);
  std::optional<Endpoint> mOwner MV_GUARDED_BY(mMutex);
  // What is known of the owner may be out of date.
  bool mIsOwnerStale MV_GUARDED_BY(mMutex) = true;
  bool mIsReachable MV_GUARDED_BY(mMutex) = false;
  bool mIsStopping MV_GUARDED_BY(mMutex) = false;
  MonotonicTime mLastContact MV_GUARDED_BY(mMutex);
  MonotonicTime mJoinedAt MV_GUARDED_BY(mMutex);
  // Looks that were sent before tell nothing new.
  MonotonicTime mStateChangedAt MV_GUARDED_BY(mMutex);
  // The latest look that spoke for joining.
  MonotonicTime mLastCheckAt MV_GUARDED_BY(mMutex);
  // Until when the present owner may hand the shard over.
  MonotonicTime mAssignmentDeadline MV_GUARDED_BY(mMutex);
  std::thread mPollThread;
  std::thread mJoinThread;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_JOBS_SHARD_MEMBERSHIP_H_
