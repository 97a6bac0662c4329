// Several shards that share a cluster for tests: their workers, logs and
// owners, with messages that are late or lost and owners that are replaced.
#ifndef MULBERRYVALVE_CORE_JOBS_ROOM_MOVES_FAKE_H_
#define MULBERRYVALVE_CORE_JOBS_ROOM_MOVES_FAKE_H_

#include "mulberryvalve/core/jobs/shard_simulation_fake.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace mulberryvalve {

// RoomMoves advances in ticks. A start is checked where it is carried out. Not
// thread-safe.
class RoomMoves
{
public:
  static constexpr Milliseconds kTick{ 50 };

  // Deals the workers to the shards in turn.
  RoomMoves(uint64_t aSeed, ShardNumber aShards, size_t aWorkers);

  // Hands a job in to a shard.
  void Submit(ShardNumber aShard, JobGraph aJob);

  // Plays aLength. While mHasFaults is set, messages are late or lost, owners
  // stand still or are replaced, and workers restart.
  void Play(Milliseconds aLength);
  bool mHasFaults = false;

  // Ends a worker for good, with a word to nobody.
  void Lose(size_t aWorker);

  // Ends the owner of a shard; another one claims the shard.
  void ReplaceOwner(ShardNumber aShard);

  // Ends the owner of a shard without a successor.
  void KillOwner(ShardNumber aShard);

  // Whether owners that claim a shard from now on may ask others.
  bool mMovesWorkers = true;
  // Requests from one shard to another that get no answer, though they are
  // carried out.
  bool mLosesRoomAnswers = false;
  // Moves are not passed on to the intakes of other shards.
  bool mHoldsMoves = false;
  // Appends of progress don't reach the log.
  bool mHoldsAppends = false;
  // How long an append takes.
  Milliseconds mAppendTime{ 0 };

  // Returns the number of tasks of a job that run.
  size_t RunningOf(const std::string& aJob) const;

  // Returns the scheduler of the shard's present owner.
  ShardScheduler& OwnerOf(ShardNumber aShard);
  WorkerInfo& Info(size_t aWorker) { return mWorkers[aWorker].mInfo; }
  MonotonicTime Now() const { return mNow; }

  // Returns the number of moves on the progress of a shard, and of requests for
  // room that were sent.
  size_t MovesAwayFrom(ShardNumber aShard) const;
  size_t Requests() const { return mRequests; }

  // Returns what was found, each beginning with the invariant's name.
  const std::vector<std::string>& Violations() const { return mViolations; }

private:
  struct Run
  {
    RunNumber mRun;
    ShardNumber mShard = 0;
    MonotonicTime mEndsAt{};
  };

  struct Worker
  {
    WorkerInfo mInfo;
    ShardNumber mHome = 0;
    bool mIsUp = true;
    uint64_t mFence = 0;
    int64_t mLeaseEndMs = 0;
    std::map<TaskRef, Run> mRuns;
    std::map<TaskRef, RunNumber> mClosed;
    std::vector<RunEndReport> mEnds;
    uint64_t mLastEnd = 0;
  };

  using IntakeRecord = std::variant<JobGraph, WorkerMove>;

  struct Shard
  {
    Epoch mEpoch;
    std::map<JobId, std::map<uint32_t, JobRecord>> mJobs;
    std::map<WorkerId, UsedWorkerRecord> mUsed;
    std::map<WorkerId, WorkerMove> mMoves;
    std::vector<IntakeRecord> mIntake;
    std::vector<FormerOwner> mClaims;
  };

  struct Owner
  {
    std::unique_ptr<ShardScheduler> mScheduler;
    ShardNumber mShard = 0;
    Epoch mEpoch;
    bool mIsActive = true;
    size_t mReadTo = 0;
    MonotonicTime mClaimedAt;
    MonotonicTime mProvedAt;
    MonotonicTime mRecordedAt;
    MonotonicTime mPausedUntil;
    bool mIsAppending = false;
    std::map<WorkerId, MonotonicTime> mNextRenewalAt;
  };

  uint64_t Draw(uint64_t aBelow) { return mRandom() % aBelow; }
  bool HappensOnceIn(uint64_t aTimes)
  {
    return mHasFaults && Draw(aTimes) == 0;
  }
  Milliseconds Delay();
  void After(Milliseconds aTime, std::function<void()> aEvent);
  size_t Claim(ShardNumber aShard);
  void Restore(ShardScheduler& aScheduler, const Shard& aShard);
  void Step();
  void DrawFaults();
  void RestartWorker(Worker& aWorker);
  void StepWorkers();
  void StepOwner(size_t aOwner);
  void ReadIntake(Owner& aOwner);
  void ReadWorkerList(Owner& aOwner);
  void Renew(size_t aOwner);
  void Decide(size_t aOwner);
  void Append(size_t aOwner);
  void SendAppend(size_t aOwner,
                  ProgressBatch aBatch,
                  MonotonicTime aRecordedAt);
  void Store(Shard& aShard, const ProgressBatch& aBatch);
  void Deliver(size_t aOwner);
  void AskForRoom(size_t aOwner);
  std::optional<size_t> NewestOwner(ShardNumber aShard) const;
  bool IsAlive(size_t aOwner) const;
  Worker* Find(const WorkerId& aWorker);
  RenewalReply Hold(const RenewalRequest& aRequest);
  OrderReply Carry(const TaskOrder& aOrder, ShardNumber aShard);
  OrderOutcome Start(Worker& aWorker,
                     const TaskOrder& aOrder,
                     ShardNumber aShard);
  void End(Worker& aWorker, const TaskRef& aTask, EndKind aKind);
  void CheckStart(const Worker& aWorker,
                  const TaskRef& aTask,
                  ShardNumber aShard);
  ClockReading ClockOf(const Worker& aWorker) const;
  int64_t NowMs() const;

  std::mt19937_64 mRandom;
  const LearnedPlacementPolicy mPlacement;
  const LeastRemainingWorkPolicy mOrder;
  MonotonicTime mNow{ std::chrono::seconds(1000) };
  std::multimap<MonotonicTime, std::function<void()>> mEvents;
  std::vector<Worker> mWorkers;
  std::vector<Shard> mShards;
  std::vector<Owner> mOwners;
  std::map<JobId, JobGraph> mGraphs;
  size_t mRequests = 0;
  std::vector<std::string> mViolations;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_ROOM_MOVES_FAKE_H_
