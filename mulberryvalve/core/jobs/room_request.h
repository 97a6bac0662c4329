// What the owners of two shards tell each other about room for waiting tasks.
#ifndef MULBERRYVALVE_CORE_JOBS_ROOM_REQUEST_H_
#define MULBERRYVALVE_CORE_JOBS_ROOM_REQUEST_H_

#include "mulberryvalve/core/base/enum_table.h"
#include "mulberryvalve/core/base/time.h"
#include "mulberryvalve/core/jobs/job_graph.h"

#include <cstdint>
#include <vector>

namespace mulberryvalve {

// RoomDemand is a number of equal tasks that wait for a worker.
struct RoomDemand
{
  ServiceId mService;
  // Empty if any worker of the service will do.
  WorkerLabel mRequiredLabel;
  Resources mDemand;
  // The tasks run until their job is cancelled.
  bool mLongRunning = false;
  // Tasks of one step that a worker may have at most; 0 for any number.
  uint32_t mMaxPerWorker = 0;
  uint32_t mCount = 0;
};

// The most demands of a request, workers given for one, and tasks of a demand.
inline constexpr size_t kMaxRoomDemands = 4;
inline constexpr uint32_t kMaxWorkersPerRequest = 64;
inline constexpr uint32_t kMaxTasksPerDemand = 1 << 20;

// RoomRequest asks the owner of another shard for workers that are idle there.
struct RoomRequest
{
  // The shard that asks, and the epoch of its owner.
  ShardNumber mFrom = 0;
  Epoch mEpoch;
  std::vector<RoomDemand> mDemands;
  // How long the oldest of the tasks has waited.
  Milliseconds mWaited{ 0 };
};

enum class RoomOutcome
{
  kGiven,
  kNoneIdle,
  kWaitsItself, // a gang of the asked shard waits for room too
  kUnsettled,   // runs of former owners may be left in the asked shard
  kOldEpoch,    // a newer owner of the asking shard has asked before
  kUnknownShard,
  kInvalid, // no demand, or too many
};

inline constexpr EnumTable<RoomOutcome, 7> kRoomOutcomeNames{ { {
  { RoomOutcome::kGiven, "given" },
  { RoomOutcome::kNoneIdle, "none_idle" },
  { RoomOutcome::kWaitsItself, "waits_itself" },
  { RoomOutcome::kUnsettled, "unsettled" },
  { RoomOutcome::kOldEpoch, "old_epoch" },
  { RoomOutcome::kUnknownShard, "unknown_shard" },
  { RoomOutcome::kInvalid, "invalid" },
} } };

// Returns whether a request was refused for what it says, and not for the state
// of the asked shard.
constexpr bool IsRefusal(RoomOutcome aOutcome)
{
  return aOutcome == RoomOutcome::kOldEpoch ||
         aOutcome == RoomOutcome::kUnknownShard ||
         aOutcome == RoomOutcome::kInvalid;
}

// RoomAnswer is the answer to a RoomRequest. It is no more than advice: a
// worker belongs to the asking shard once a WorkerMove says so.
struct RoomAnswer
{
  RoomOutcome mOutcome = RoomOutcome::kNoneIdle;
  // The number of workers that are about to be moved, and how many tasks of
  // each demand, in order, have room there.
  uint32_t mWorkers = 0;
  std::vector<uint32_t> mTasks;
};

// Returns whether tasks of the demands are equal, whatever their number.
bool IsSameClass(const RoomDemand& aLeft, const RoomDemand& aRight);

// Returns the number of tasks of a request.
uint64_t TasksOf(const RoomRequest& aRequest);

// Takes the tasks that have room by an answer to the request off it. An answer
// of an owner that names too few or too many tasks is harmless.
void TakeOff(const RoomAnswer& aAnswer, RoomRequest& aRequest);

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_ROOM_REQUEST_H_
