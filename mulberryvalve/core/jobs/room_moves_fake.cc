#include "mulberryvalve/core/jobs/room_moves_fake.h"

#include <algorithm>

namespace mulberryvalve {
namespace {

const ServiceId kService("service");
// An owner acts for as long as this after its last proof of ownership.
constexpr Milliseconds kProofLimit{ 6000 };
constexpr Milliseconds kRenewalInterval{ 400 };
constexpr Milliseconds kLongestDelay{ 1500 };
constexpr Milliseconds kLongestPause{ 4000 };
// How often, in ticks, owners are replaced and workers restart, in all.
constexpr uint64_t kReplaceTicks = 120;
constexpr uint64_t kRestartTicks = 200;
constexpr uint64_t kPauseTicks = 300;

} // namespace

RoomMoves::RoomMoves(uint64_t aSeed, ShardNumber aShards, size_t aWorkers)
  : mRandom(aSeed)
  , mShards(aShards)
{
  for (size_t number = 0; number < aWorkers; number++) {
    Worker worker;
    worker.mInfo.mId = WorkerId("w" + std::to_string(100 + number));
    worker.mInfo.mEndpoint = Endpoint{ "a", 1 };
    worker.mInfo.mService = kService;
    worker.mInfo.mRack = RackId("r" + std::to_string(number / 4));
    worker.mInfo.mCapacity = Resources{ 16000, 64000, 0 };
    worker.mInfo.mWorkerIncarnation = WorkerIncarnation(1);
    worker.mHome = static_cast<ShardNumber>(number % aShards);
    mWorkers.push_back(std::move(worker));
  }
  for (ShardNumber shard = 0; shard < aShards; shard++) {
    Claim(shard);
  }
}

void RoomMoves::Submit(ShardNumber aShard, JobGraph aJob)
{
  aJob.mRules.mService = kService;
  mGraphs[aJob.mId] = aJob;
  mShards[aShard].mIntake.emplace_back(std::move(aJob));
}

void RoomMoves::Play(Milliseconds aLength)
{
  for (const MonotonicTime until = mNow + aLength; mNow < until;) {
    Step();
  }
}

void RoomMoves::Lose(size_t aWorker)
{
  mWorkers[aWorker].mIsUp = false;
  mWorkers[aWorker].mRuns.clear();
}

void RoomMoves::KillOwner(ShardNumber aShard)
{
  if (const auto owner = NewestOwner(aShard)) {
    mOwners[*owner].mIsActive = false;
  }
}

void RoomMoves::ReplaceOwner(ShardNumber aShard)
{
  KillOwner(aShard);
  Claim(aShard);
}

size_t RoomMoves::RunningOf(const std::string& aJob) const
{
  size_t count = 0;
  for (const Worker& worker : mWorkers) {
    for (const auto& [task, run] : worker.mRuns) {
      count += task.mStep.mJob == JobId(aJob) ? 1 : 0;
    }
  }
  return count;
}

ShardScheduler& RoomMoves::OwnerOf(ShardNumber aShard)
{
  return *mOwners[*NewestOwner(aShard)].mScheduler;
}

size_t RoomMoves::MovesAwayFrom(ShardNumber aShard) const
{
  return mShards[aShard].mMoves.size();
}

Milliseconds RoomMoves::Delay()
{
  const bool isLate = HappensOnceIn(10);
  return Milliseconds(isLate ? Draw(kLongestDelay.count()) : 0);
}

void RoomMoves::After(Milliseconds aTime, std::function<void()> aEvent)
{
  mEvents.emplace(mNow + aTime, std::move(aEvent));
}

std::optional<size_t> RoomMoves::NewestOwner(ShardNumber aShard) const
{
  std::optional<size_t> newest;
  for (size_t owner = 0; owner < mOwners.size(); owner++) {
    if (mOwners[owner].mShard == aShard) {
      newest = owner;
    }
  }
  return newest;
}

bool RoomMoves::IsAlive(size_t aOwner) const
{
  return mOwners[aOwner].mIsActive && mNow >= mOwners[aOwner].mPausedUntil;
}

size_t RoomMoves::Claim(ShardNumber aShard)
{
  Shard& shard = mShards[aShard];
  // Shards have epochs of their own, far apart.
  const uint64_t step = 1 + Draw(50);
  shard.mEpoch = Epoch(shard.mEpoch.Value() + step);
  Owner owner;
  owner.mShard = aShard;
  owner.mEpoch = shard.mEpoch;
  owner.mClaimedAt = mNow;
  owner.mProvedAt = mNow;
  owner.mRecordedAt = mNow;
  owner.mReadTo = shard.mIntake.size();
  ShardSchedulerOptions options;
  options.mEpoch = owner.mEpoch;
  options.mShard = aShard;
  options.mShards = static_cast<ShardNumber>(mShards.size());
  options.mMovesWorkers = mMovesWorkers;
  owner.mScheduler = std::make_unique<ShardScheduler>(
    options, SchedulingPolicies{ mPlacement, mOrder }, mNow);
  ClusterConfig config;
  config.mVersion = 1;
  owner.mScheduler->OnConfig(config);
  Restore(*owner.mScheduler, shard);
  FormerOwner claim{ owner.mEpoch, Endpoint{ "peer", 1 }, Incarnation(1) };
  claim.mActiveFor = Milliseconds(0);
  shard.mClaims.push_back(claim);
  mOwners.push_back(std::move(owner));
  return mOwners.size() - 1;
}

void RoomMoves::Restore(ShardScheduler& aScheduler, const Shard& aShard)
{
  for (const auto& [id, move] : aShard.mMoves) {
    aScheduler.Room().OnMove(move);
  }
  for (const IntakeRecord& record : aShard.mIntake) {
    if (const auto* move = std::get_if<WorkerMove>(&record)) {
      aScheduler.Room().OnMove(*move);
    }
  }
  for (const auto& [id, used] : aShard.mUsed) {
    aScheduler.RestoreWorker(used);
  }
  for (const IntakeRecord& record : aShard.mIntake) {
    const auto* job = std::get_if<JobGraph>(&record);
    if (job == nullptr) {
      continue;
    }
    JobRecord merged;
    const auto known = aShard.mJobs.find(job->mId);
    if (known != aShard.mJobs.end()) {
      for (const auto& [number, part] : known->second) {
        MergePart(merged, part);
      }
    }
    aScheduler.RestoreJob(*job,
                          known == aShard.mJobs.end() ? nullptr : &merged);
  }
  for (const FormerOwner& claim : aShard.mClaims) {
    aScheduler.RestoreFormerOwner(claim);
  }
}

void RoomMoves::Step()
{
  mNow += kTick;
  DrawFaults();
  StepWorkers();
  while (!mEvents.empty() && mEvents.begin()->first <= mNow) {
    const std::function<void()> event = std::move(mEvents.begin()->second);
    mEvents.erase(mEvents.begin());
    event();
  }
  for (size_t owner = 0; owner < mOwners.size(); owner++) {
    if (IsAlive(owner)) {
      StepOwner(owner);
    }
  }
}

void RoomMoves::DrawFaults()
{
  if (HappensOnceIn(kReplaceTicks)) {
    const auto shard = static_cast<ShardNumber>(Draw(mShards.size()));
    // The former owner may go on until it learns of its successor.
    if (Draw(2) == 0) {
      KillOwner(shard);
    }
    Claim(shard);
  }
  if (HappensOnceIn(kRestartTicks)) {
    RestartWorker(mWorkers[Draw(mWorkers.size())]);
  }
  if (HappensOnceIn(kPauseTicks)) {
    Owner& owner = mOwners[Draw(mOwners.size())];
    owner.mPausedUntil = mNow + Milliseconds(Draw(kLongestPause.count()));
  }
}

void RoomMoves::StepOwner(size_t aOwner)
{
  Owner& owner = mOwners[aOwner];
  const bool isNewest = owner.mEpoch == mShards[owner.mShard].mEpoch;
  if (isNewest) {
    owner.mProvedAt = mNow;
  }
  if (owner.mScheduler->IsFenced()) {
    if (isNewest) {
      mViolations.push_back("FENCED: shard " + std::to_string(owner.mShard) +
                            " by another shard's token");
    }
    owner.mIsActive = false;
    return;
  }
  ReadIntake(owner);
  ReadWorkerList(owner);
  Renew(aOwner);
  Decide(aOwner);
  Append(aOwner);
  Deliver(aOwner);
  AskForRoom(aOwner);
}

void RoomMoves::ReadIntake(Owner& aOwner)
{
  const std::vector<IntakeRecord>& intake = mShards[aOwner.mShard].mIntake;
  for (; aOwner.mReadTo < intake.size(); aOwner.mReadTo++) {
    const IntakeRecord& record = intake[aOwner.mReadTo];
    if (const auto* move = std::get_if<WorkerMove>(&record)) {
      aOwner.mScheduler->Room().OnArrival(*move, mNow);
    } else {
      aOwner.mScheduler->OnJobSubmitted(std::get<JobGraph>(record), mNow, mNow);
    }
  }
  aOwner.mScheduler->OnIntakeRead(mNow);
}

void RoomMoves::ReadWorkerList(Owner& aOwner)
{
  std::vector<WorkerInfo> mine;
  for (const Worker& worker : mWorkers) {
    const bool isMine =
      aOwner.mScheduler->Room().Workers().Owns(worker.mInfo.mId, worker.mHome);
    if (worker.mIsUp && isMine) {
      mine.push_back(worker.mInfo);
    }
  }
  aOwner.mScheduler->OnWorkerList(mine, mNow);
}

void RoomMoves::Renew(size_t aOwner)
{
  Owner& owner = mOwners[aOwner];
  const bool mayRenew = mNow < owner.mProvedAt + kProofLimit;
  for (const Worker& worker : mWorkers) {
    const WorkerId& id = worker.mInfo.mId;
    if (mNow < owner.mNextRenewalAt[id]) {
      continue;
    }
    const std::optional<RenewalRequest> request =
      owner.mScheduler->NextRenewal(id, mayRenew, mNow);
    if (!request) {
      continue;
    }
    owner.mNextRenewalAt[id] = mNow + kRenewalInterval;
    const Milliseconds there = Delay();
    const Milliseconds back = Delay();
    const MonotonicTime sentAt = mNow;
    const bool isLost = HappensOnceIn(30);
    After(there, [this, aOwner, request = *request, back, sentAt, isLost] {
      RenewalReply reply = Hold(request);
      if (isLost) {
        reply = RenewalReply();
      }
      After(back, [this, aOwner, request, reply, sentAt] {
        if (mOwners[aOwner].mIsActive) {
          mOwners[aOwner].mScheduler->OnRenewalReply(
            request, reply, sentAt, mNow);
        }
      });
    });
  }
}

void RoomMoves::Decide(size_t aOwner)
{
  Owner& owner = mOwners[aOwner];
  OwnershipProof proof;
  proof.mProvedAt = owner.mProvedAt;
  proof.mRecordedAt = owner.mRecordedAt;
  proof.mMayStart = mNow < owner.mProvedAt + kProofLimit;
  for (const TaskOrder& order :
       owner.mScheduler->Decide(proof, mNow, WallTime())) {
    const Milliseconds there = Delay();
    const Milliseconds back = Delay();
    const bool isLost = HappensOnceIn(30);
    After(there, [this, aOwner, order, back, isLost] {
      OrderReply reply = Carry(order, mOwners[aOwner].mShard);
      if (isLost) {
        reply = OrderReply();
      }
      After(back, [this, aOwner, order, reply] {
        if (mOwners[aOwner].mIsActive) {
          mOwners[aOwner].mScheduler->OnOrder(order, reply, mNow);
        }
      });
    });
  }
}

// One append is under way at a time. With nothing to append, the owner renews
// its record.
void RoomMoves::Append(size_t aOwner)
{
  Owner& owner = mOwners[aOwner];
  if (owner.mIsAppending || mHoldsAppends) {
    return;
  }
  owner.mIsAppending = true;
  SendAppend(aOwner, owner.mScheduler->TakeProgress(mNow), mNow);
}

// An append without an answer is repeated, and takes effect once.
void RoomMoves::SendAppend(size_t aOwner,
                           ProgressBatch aBatch,
                           MonotonicTime aRecordedAt)
{
  After(mAppendTime + Delay(),
        [this, aOwner, batch = std::move(aBatch), aRecordedAt] {
          Owner& owner = mOwners[aOwner];
          Shard& shard = mShards[owner.mShard];
          if (owner.mEpoch < shard.mEpoch) {
            owner.mIsActive = false;
            return;
          }
          Store(shard, batch);
          shard.mClaims.back().mActiveFor =
            std::chrono::ceil<Milliseconds>(aRecordedAt - owner.mClaimedAt);
          shard.mClaims.back().mRecordsUse = owner.mScheduler->RecordsUse();
          if (HappensOnceIn(20)) {
            SendAppend(aOwner, batch, aRecordedAt);
            return;
          }
          owner.mIsAppending = false;
          if (owner.mIsActive) {
            owner.mRecordedAt = aRecordedAt;
            owner.mScheduler->OnDurable(batch);
          }
        });
}

void RoomMoves::Store(Shard& aShard, const ProgressBatch& aBatch)
{
  for (const JobRecord& record : aBatch.mJobs) {
    aShard.mJobs[record.mId][record.mPart] = record;
  }
  for (const UsedWorkerRecord& used : aBatch.mWorkers) {
    aShard.mUsed[used.mId] = used;
  }
  for (const WorkerMove& move : aBatch.mMoves) {
    aShard.mMoves[move.mWorker] = move;
  }
  for (const WorkerId& removed : aBatch.mRemovedWorkers) {
    aShard.mUsed.erase(removed);
  }
  for (const Epoch ended : aBatch.mEndedClaims) {
    auto& claims = aShard.mClaims;
    claims.erase(std::remove_if(claims.begin(),
                                claims.end(),
                                [&](const FormerOwner& aClaim) {
                                  return aClaim.mEpoch == ended;
                                }),
                 claims.end());
  }
}

// Passes on moves, some of them late, twice or without an answer.
void RoomMoves::Deliver(size_t aOwner)
{
  if (mHoldsMoves) {
    return;
  }
  for (const WorkerMove& move :
       mOwners[aOwner].mScheduler->Room().Workers().Undelivered()) {
    After(Delay(),
          [this, move] { mShards[move.mTo].mIntake.emplace_back(move); });
    if (!HappensOnceIn(4)) {
      mOwners[aOwner].mScheduler->Room().OnDelivered(move);
    }
  }
}

// Asks the owners of the other shards, and in a while one that was replaced.
void RoomMoves::AskForRoom(size_t aOwner)
{
  const auto request = mOwners[aOwner].mScheduler->Room().NextRequest(mNow);
  if (!request) {
    return;
  }
  RoomRequest left = *request;
  uint32_t workers = 0;
  for (size_t other = 0; other < mOwners.size(); other++) {
    const bool isNewest = NewestOwner(mOwners[other].mShard) == other;
    if (left.mDemands.empty() ||
        mOwners[other].mShard == mOwners[aOwner].mShard || !IsAlive(other) ||
        !(isNewest || HappensOnceIn(4)) || HappensOnceIn(5)) {
      continue;
    }
    mRequests++;
    const RoomAnswer answer =
      mOwners[other].mScheduler->Room().Give(left, mNow);
    if (!mLosesRoomAnswers && !HappensOnceIn(5)) {
      workers += answer.mWorkers;
      TakeOff(answer, left);
    }
  }
  mOwners[aOwner].mScheduler->Room().OnAnswered(*request, left, workers, mNow);
}

} // namespace mulberryvalve
