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
  kOut,
  kMember,
  kLeaving, // to leave at the next occasion
  kLost,    // the group has removed it; nothing is to be left
};

inline constexpr EnumTable<MemberState, 4> kMemberStateNames{ { {
  { MemberState::kOut, "out" },
  { MemberState::kMember, "member" },
  { MemberState::kLeaving, "leaving" },
  { MemberState::kLost, "lost" },
} } };

// ShardMembership's methods are thread-safe. One thread looks and one joins, so
// that a slow look delays no join.
class ShardMembership
{
public:
  // aGroup, aBids, aRandom and what aPorts name must outlive this object.
  ShardMembership(ShardNumber aShard,
                  const ShardKeeperOptions& aOptions,
                  ShardGroup& aGroup,
                  ShardBids& aBids,
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

  // Doubt says that the owner did not answer as such; it is looked for soon.
  void Doubt();

  // OnQuestion answers if this instance owns the shard.
  PeerAnswer OnQuestion(const PeerQuestion& aQuestion);

private:
  void RunLooks();
  void WaitAtStart();
  bool PauseUntilLook();
  std::chrono::steady_clock::time_point NextLook(
    std::chrono::steady_clock::time_point aNow) const;
  bool NeedsLook() const MV_REQUIRES(mMutex);
  void Look();
  void TakeView(const GroupView& aView, MonotonicTime aSentAt);
  MemberState StateAfter(const GroupView& aView, MonotonicTime aSentAt)
    MV_REQUIRES(mMutex);

  void RunJoins();
  bool PauseUntilJoin(std::chrono::steady_clock::time_point aNext);
  void Join();
  void TakeShare(const GroupShare& aShare, MonotonicTime aSentAt);
  void OnShardHeld(Generation aGeneration, MonotonicTime aSentAt)
    MV_REQUIRES(mMutex);
  void OnShardNotHeld(MonotonicTime aSentAt) MV_REQUIRES(mMutex);
  void HandOver() MV_REQUIRES(mMutex);
  void Withdraw();
  bool IsAbsent() const MV_REQUIRES(mMutex);

  void OpenRuntime(Generation aGeneration) MV_REQUIRES(mMutex);
  void EndRuntime() MV_REQUIRES(mMutex);
  void ReapEnded() MV_REQUIRES(mMutex);
  void CountOwned();
  void OnUnreachable(const char* aWhat, const Failure& aFailure);
  void LogFault(const char* aWhat, const Failure& aFailure);
  void LogEvent(std::string_view aName, std::vector<EventField> aFields);

  const ShardNumber mShard;
  const ShardKeeperOptions mOptions;
  ShardGroup& mGroup;
  ShardBids& mBids;
  RandomSource& mRandom;
  ShardRuntimePorts mPorts;
  // Set before the threads begin.
  std::chrono::steady_clock::time_point mStartedAt;
  mutable Mutex mMutex;
  CondVar mLookCond;
  CondVar mJoinCond;
  MemberState mState MV_GUARDED_BY(mMutex) = MemberState::kOut;
  BidKind mBid MV_GUARDED_BY(mMutex) = BidKind::kNone;
  Generation mGeneration MV_GUARDED_BY(mMutex);
  // The lowest epoch under which the shard may be owned here next.
  Epoch mLeastEpoch MV_GUARDED_BY(mMutex);
  std::shared_ptr<ShardRuntime> mRuntime MV_GUARDED_BY(mMutex);
  std::vector<std::shared_ptr<ShardRuntime>> mEnding MV_GUARDED_BY(mMutex);
  std::optional<Endpoint> mOwner MV_GUARDED_BY(mMutex);
  // What is known of the owner may be out of date.
  bool mIsStale MV_GUARDED_BY(mMutex) = true;
  bool mIsReachable MV_GUARDED_BY(mMutex) = false;
  bool mIsStopping MV_GUARDED_BY(mMutex) = false;
  MonotonicTime mLastContact MV_GUARDED_BY(mMutex);
  MonotonicTime mJoinedAt MV_GUARDED_BY(mMutex);
  // Looks that were sent before tell nothing new.
  MonotonicTime mChangedAt MV_GUARDED_BY(mMutex);
  // The latest look that spoke for joining.
  MonotonicTime mCheckedAt MV_GUARDED_BY(mMutex);
  // Until when the present owner may hand the shard over.
  MonotonicTime mPatientUntil MV_GUARDED_BY(mMutex);
  std::thread mLooks;
  std::thread mJoins;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_JOBS_SHARD_MEMBERSHIP_H_
