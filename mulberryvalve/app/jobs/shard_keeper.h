// ShardKeeper: owns the shards that the group gives this instance and knows who
// owns the others. Each change of the group's members may move a shard, so an
// instance is a member only while it owns a shard or one has no owner.
#ifndef MULBERRYVALVE_APP_JOBS_SHARD_KEEPER_H_
#define MULBERRYVALVE_APP_JOBS_SHARD_KEEPER_H_

#include "mulberryvalve/app/jobs/shard_runtime.h"
#include "mulberryvalve/ports/out/peer_calls.h"
#include "mulberryvalve/ports/out/random_source.h"

#include <map>
#include <memory>
#include <optional>
#include <thread>
#include <vector>

namespace mulberryvalve {

// ShardKeeperOptions are the settings of the membership.
struct ShardKeeperOptions
{
  // mShard and mEpoch are set for each shard that is owned.
  ShardRuntimeOptions mOwner;
  // How often the membership is renewed.
  Milliseconds mJoinInterval{ 350 };
  // How often an instance that is no member looks at the group.
  Milliseconds mLookInterval{ 500 };
  // Without a join for this long the group gives a member's shards away.
  Milliseconds mMemberTtl{ 1200 };
  // Where peers reach this instance, as the group's view names it.
  Endpoint mSelf;
};

// ShardKeeper's methods are thread-safe.
class ShardKeeper : public PeerAnswerer
{
public:
  // aGroup and aRandom must outlive this object, as must what aPorts name.
  ShardKeeper(ShardKeeperOptions aOptions,
              ShardGroup& aGroup,
              RandomSource& aRandom,
              ShardRuntimePorts aPorts);
  ~ShardKeeper() override;

  // Start begins the membership. Call once.
  void Start();

  // BeginStop gives all shards up; Stop also waits for their threads.
  void BeginStop();
  void Stop();

  // LastContact returns when a call to the group was last answered.
  MonotonicTime LastContact() const;

  // OwnerOf returns where the owner of a shard is reached by its peers, or
  // nothing when nobody is known to own it.
  std::optional<Endpoint> OwnerOf(ShardNumber aShard) const;

  // Doubt says that the owner of a shard did not answer as such; the owners are
  // asked for again soon.
  void Doubt();

  // OnQuestion answers for the shards that this instance owns.
  PeerAnswer OnQuestion(const PeerQuestion& aQuestion) override;

private:
  void Run();
  void WaitAtStart();
  void JoinOnce();
  bool IsComplete(const GroupView& aView) const;
  bool IsMissed(const GroupView& aView);
  bool IsAbsent() const;
  bool MayStay(const GroupView& aView);
  bool IsSurplus();
  void Withdraw();
  void TakeShare(const GroupShare& aShare, MonotonicTime aSentAt);
  bool PauseUntilNext(bool aIsMember);
  void EndOwned(const std::vector<ShardNumber>& aKept) MV_REQUIRES(mMutex);
  void OpenShard(ShardNumber aShard, Generation aGeneration)
    MV_REQUIRES(mMutex);
  void ReapEnded() MV_REQUIRES(mMutex);
  std::optional<GroupView> Look();
  void TakeView(const GroupView& aView, MonotonicTime aSentAt);
  void RefreshOwners();
  void OnUnreachable(const char* aWhat, const Failure& aFailure);
  void LogFault(const char* aWhat, const Failure& aFailure);

  const ShardKeeperOptions mOptions;
  ShardGroup& mGroup;
  RandomSource& mRandom;
  ShardRuntimePorts mPorts;
  mutable Mutex mMutex;
  CondVar mCond;
  Generation mGeneration MV_GUARDED_BY(mMutex);
  std::map<ShardNumber, std::shared_ptr<ShardRuntime>> mOwned
    MV_GUARDED_BY(mMutex);
  std::vector<std::shared_ptr<ShardRuntime>> mEnding MV_GUARDED_BY(mMutex);
  // The lowest epoch under which a shard may be owned here next.
  std::map<ShardNumber, Epoch> mLeastEpoch MV_GUARDED_BY(mMutex);
  std::map<ShardNumber, Endpoint> mOwners MV_GUARDED_BY(mMutex);
  bool mOwnersStale MV_GUARDED_BY(mMutex) = true;
  MonotonicTime mLastContact MV_GUARDED_BY(mMutex);
  MonotonicTime mJoinedAt MV_GUARDED_BY(mMutex);
  bool mReachable MV_GUARDED_BY(mMutex) = false;
  bool mStopping MV_GUARDED_BY(mMutex) = false;
  std::thread mThread;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_JOBS_SHARD_KEEPER_H_
