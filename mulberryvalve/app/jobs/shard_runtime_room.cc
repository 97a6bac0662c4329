// Room for waiting tasks: how ShardRuntime asks the owners of other shards for
// workers, and tells them of those that it has given away.
#include "mulberryvalve/app/jobs/append_splitting.h"
#include "mulberryvalve/app/jobs/shard_runtime.h"

#include <utility>

namespace mulberryvalve {
namespace {

using Steady = std::chrono::steady_clock;

constexpr Milliseconds kRoomInterval{ 100 };
constexpr Milliseconds kRoomQueryTimeout{ 300 };

} // namespace

// Restores which workers were moved here and away, which is to be known before
// any of them is restored.
void ShardRuntime::RestoreMoves(const ShardRecords& aRecords,
                                ShardScheduler& aShard)
{
  for (const KeyedEntry& entry : aRecords.mProgress.mEntries) {
    if (mPorts.mCodec.IsMove(entry)) {
      RestoreMove(mPorts.mCodec.DecodeProgress(entry), aShard);
    }
  }
  for (const KeyedEntry& entry : aRecords.mIntake.mEntries) {
    if (mPorts.mCodec.IsMove(entry)) {
      RestoreMove(mPorts.mCodec.DecodeIntake(entry), aShard);
    }
  }
}

template<typename Item>
void ShardRuntime::RestoreMove(const Result<Item>& aItem,
                               ShardScheduler& aShard)
{
  if (!aItem) {
    LogFailure("move_record", aItem.error());
    return;
  }
  const auto& move = std::get<WorkerMove>(aItem.value());
  ReportRefusedMove(move, aShard.Room().OnMove(move));
}

// Handles a move that was read from the intake.
void ShardRuntime::ApplyMove(const WorkerMove& aMove)
{
  ReportRefusedMove(aMove,
                    mShard->Room().OnArrival(aMove, mPorts.mClock.Now()));
}

void ShardRuntime::ReportRefusedMove(const WorkerMove& aMove,
                                     MoveOutcome aOutcome)
{
  if (aOutcome == MoveOutcome::kApplied || aOutcome == MoveOutcome::kKnown) {
    return;
  }
  mPorts.mMetrics.Add(Counter::kMovesRefused, 1);
  LogEvent(EventLevel::kWarn,
           "move_refused",
           { { "worker", aMove.mWorker.Text() },
             { "why", std::string(kMoveOutcomeNames.Name(aOutcome)) },
             { "from", std::to_string(aMove.mFrom) },
             { "to", std::to_string(aMove.mTo) } });
}

void ShardRuntime::FollowRoom()
{
  if (mOptions.mShards < 2 || mPorts.mOwners == nullptr) {
    return;
  }
  while (SleepUntil(Steady::now() + kRoomInterval)) {
    DeliverMoves();
    AskForRoom();
  }
}

// Appends the moves away to the intakes of the shards that the workers belong
// to now. One that gets no answer is appended again: it has a number.
void ShardRuntime::DeliverMoves()
{
  std::map<ShardNumber, std::vector<WorkerMove>> moves;
  {
    MutexLock lock(mMutex);
    for (WorkerMove& move : mShard->Room().Workers().Undelivered()) {
      moves[move.mTo].push_back(std::move(move));
    }
  }
  for (const auto& [shard, all] : moves) {
    const Result<void> done = DeliverMovesTo(shard, all);
    if (!done) {
      LogFailure("deliver_moves", done.error());
    }
  }
}

Result<void> ShardRuntime::DeliverMovesTo(ShardNumber aShard,
                                          const std::vector<WorkerMove>& aMoves)
{
  std::vector<KeyedEntry> entries;
  entries.reserve(aMoves.size());
  for (const WorkerMove& move : aMoves) {
    entries.push_back(mPorts.mCodec.Encode(move));
  }
  for (const std::vector<KeyedEntry>& part :
       SplitEntries(std::move(entries), mPorts.mLog.Limits())) {
    Result<void> done =
      mPorts.mLog.Append(TopicPartition{ KeyedTopic::kIntake, aShard }, part);
    if (!done) {
      return done;
    }
  }
  MutexLock lock(mMutex);
  for (const WorkerMove& move : aMoves) {
    mShard->Room().OnDelivered(move);
  }
  return Done();
}

void ShardRuntime::AskForRoom()
{
  std::optional<RoomRequest> request;
  {
    MutexLock lock(mMutex);
    const MonotonicTime now = mPorts.mClock.Now();
    if (IsProofValidAt(now)) {
      request = mShard->Room().NextRequest(now);
    }
  }
  if (!request) {
    return;
  }
  RoomRequest left = *request;
  uint32_t workers = 0;
  for (ShardNumber next = 1; next < mOptions.mShards && !left.mDemands.empty();
       next++) {
    const ShardNumber shard = (mOptions.mShard + next) % mOptions.mShards;
    const std::optional<RoomAnswer> answer = AskForRoomIn(shard, left);
    if (answer) {
      workers += answer->mWorkers;
      TakeOff(*answer, left);
    }
  }
  mPorts.mMetrics.Add(Counter::kRoomRequests, 1);
  LogEvent(EventLevel::kInfo,
           "room_asked",
           { { "tasks", std::to_string(TasksOf(*request)) },
             { "without_room", std::to_string(TasksOf(left)) },
             { "workers", std::to_string(workers) },
             { "waited_ms", std::to_string(request->mWaited.count()) } });
  MutexLock lock(mMutex);
  mShard->Room().OnAnswered(*request, left, workers, mPorts.mClock.Now());
}

// Returns nothing if the owner of the shard is not known or did not answer. It
// may give workers all the same.
std::optional<RoomAnswer> ShardRuntime::AskForRoomIn(
  ShardNumber aShard,
  const RoomRequest& aRequest)
{
  PeerQuery query;
  query.mKind = PeerQueryKind::kRoom;
  query.mShard = aShard;
  query.mRoom = aRequest;
  const PeerQueryResult here = mPorts.mOwners->OnQuery(query);
  if (here.mOwns) {
    return here.mRoom;
  }
  const std::optional<Endpoint> owner = mPorts.mOwners->OwnerOf(aShard);
  if (!owner) {
    return std::nullopt;
  }
  const Result<PeerQueryResult> answer =
    mPorts.mPeers.Ask(*owner, query, kRoomQueryTimeout);
  if (answer) {
    mPorts.mOwners->OnPeerAnswer(aShard, answer.value());
  }
  if (!answer || !answer.value().mOwns) {
    mPorts.mOwners->InvalidateOwner(aShard);
    return std::nullopt;
  }
  return answer.value().mRoom;
}

PeerQueryResult ShardRuntime::GiveRoom(const PeerQuery& aQuestion)
{
  PeerQueryResult result;
  MutexLock lock(mMutex);
  const MonotonicTime now = mPorts.mClock.Now();
  result.mOwner = mStamp.AgeAt(now);
  if (mShard == nullptr || mIsOwnershipOver || !IsProofValidAt(now)) {
    return result;
  }
  result.mOwns = true;
  result.mRoom = mShard->Room().Give(*aQuestion.mRoom, now);
  if (IsRefusal(result.mRoom->mOutcome)) {
    ReportRefusedRequest(*aQuestion.mRoom, result.mRoom->mOutcome);
  }
  RequestDecisionPass();
  return result;
}

void ShardRuntime::ReportRefusedRequest(const RoomRequest& aRequest,
                                        RoomOutcome aOutcome)
{
  mPorts.mMetrics.Add(Counter::kRoomRequestsRefused, 1);
  LogEvent(EventLevel::kWarn,
           "room_refused",
           { { "why", std::string(kRoomOutcomeNames.Name(aOutcome)) },
             { "from", std::to_string(aRequest.mFrom) },
             { "from_epoch", std::to_string(aRequest.mEpoch.Value()) } });
}

} // namespace mulberryvalve
