// RoomExchange: when a shard's owner asks the owners of other shards for
// workers, and which of its own it gives away.
#ifndef MULBERRYVALVE_CORE_JOBS_ROOM_EXCHANGE_H_
#define MULBERRYVALVE_CORE_JOBS_ROOM_EXCHANGE_H_

#include "mulberryvalve/core/jobs/cluster_config.h"
#include "mulberryvalve/core/jobs/decision_log.h"
#include "mulberryvalve/core/jobs/former_owners.h"
#include "mulberryvalve/core/jobs/inherited_workers.h"
#include "mulberryvalve/core/jobs/job_placement_policy.h"
#include "mulberryvalve/core/jobs/job_table.h"
#include "mulberryvalve/core/jobs/room_promises.h"
#include "mulberryvalve/core/jobs/room_request.h"
#include "mulberryvalve/core/jobs/shard_workers.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mulberryvalve {

// RoomExchangeOptions name the shard and its owner.
struct RoomExchangeOptions
{
  ShardNumber mShard = 0;
  ShardNumber mShards = 1;
  Epoch mEpoch;
  MonotonicTime mClaimedAt;
  bool mMayAsk = false;
};

// The state of the owner that RoomExchange reads and, of workers and decisions,
// changes. All references must outlive it.
struct RoomExchangeParts
{
  const JobTable& mJobs;
  WorkerTable& mWorkers;
  const InheritedWorkers& mInherited;
  const FormerOwners& mFormerOwners;
  const ClusterConfig& mConfig;
  const InterferenceEstimator& mInterference;
  const JobPlacementPolicy& mPlacement;
  DecisionLog& mDecisions;
};

// A worker is given away only while nothing of this shard runs or may begin
// there, and only once its WorkerMove is durable. Does nothing where there is
// one shard. Not thread-safe.
class RoomExchange
{
public:
  RoomExchange(RoomExchangeOptions aOptions, RoomExchangeParts aParts);

  // Returns which workers belong to the shard.
  const ShardWorkers& Workers() const { return mShardWorkers; }

  // Records a move that is on the shard's progress or intake. Pass on all that
  // the log holds before any worker is restored. OnArrival does the same with
  // one that was appended to the intake since.
  MoveOutcome OnMove(const WorkerMove& aMove);
  MoveOutcome OnArrival(const WorkerMove& aMove, MonotonicTime aNow);

  // Records that the intake of the other shard holds a move.
  void OnDelivered(const WorkerMove& aMove)
  {
    mShardWorkers.OnDelivered(aMove);
  }

  // Looks which workers are idle, and has guests that are no longer needed go
  // home. Call it with each decision.
  void Update(MonotonicTime aNow);

  // Returns what to ask the owners of the other shards, if that is due, and
  // then expects a call of OnAnswered with the request, what of it got no room,
  // and the number of workers that they give in all.
  std::optional<RoomRequest> NextRequest(MonotonicTime aNow);
  void OnAnswered(const RoomRequest& aAsked,
                  const RoomRequest& aLeft,
                  uint32_t aWorkers,
                  MonotonicTime aNow);

  // Decides what to give to the shard that asks. A request that is refused
  // changes nothing.
  RoomAnswer Give(const RoomRequest& aRequest, MonotonicTime aNow);

  // Returns whether TakeMoves has something to return.
  bool HasMoves() const { return !mPlanned.empty(); }

  // Returns the moves to append, of the workers that are still idle. From then
  // on they get no start. Once a move is durable, call OnMove with it and
  // remove the worker.
  std::vector<WorkerMove> TakeMoves(MonotonicTime aNow);

private:
  // Why a worker is given away.
  struct Plan
  {
    ShardNumber mTo = 0;
    std::string mCause;
  };

  bool IsIdle(const WorkerEntry& aWorker) const;
  bool MayGive(const WorkerEntry& aWorker, MonotonicTime aNow) const;
  bool IsSettled() const;
  void GiveGuestsBack(MonotonicTime aNow);
  void GiveRecalledGuests(MonotonicTime aNow);
  void RecallGuestsOf(ShardNumber aHome, MonotonicTime aNow);
  void PlanMove(WorkerEntry& aWorker, Plan aPlan);
  std::optional<RoomOutcome> Refusal(const RoomRequest& aRequest) const;
  bool WaitsForGangRoom(MonotonicTime aNow) const;
  bool IsRefused(const StepState& aStep, MonotonicTime aNow) const;
  std::vector<RoomDemand> Demands(MonotonicTime aNow,
                                  Milliseconds& aWaited) const;
  uint32_t GiveFor(const RoomDemand& aDemand,
                   const Plan& aPlan,
                   uint32_t aMost,
                   MonotonicTime aNow,
                   uint32_t& aWorkers);

  const RoomExchangeOptions mOptions;
  const RoomExchangeParts mParts;
  ShardWorkers mShardWorkers;
  RoomPromises mPromises;
  std::map<WorkerId, Plan> mPlanned;
  // Guests that their home asks for and that are not idle yet, and until when
  // they get no start.
  std::map<WorkerId, MonotonicTime> mRecalled;
  // The newest epoch of each shard that has asked.
  std::map<ShardNumber, Epoch> mAskers;
  MonotonicTime mUpdateAt;
  MonotonicTime mAskAt;
  // For how long the next request is put off if none gives anything.
  Milliseconds mPause;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_ROOM_EXCHANGE_H_
