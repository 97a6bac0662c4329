#include "mulberryvalve/core/jobs/room_exchange.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace mulberryvalve {
namespace {

constexpr Milliseconds kUpdateInterval{ 200 };
// An owner asks for nothing so soon after its claim, while its workers have not
// all answered yet.
constexpr Milliseconds kFirstRequestAfter{ 2000 };
// How long a step waits for its own shard.
constexpr Milliseconds kRoomWait{ 500 };
// A step was refused for want of room if that was its last try, and this
// recent: steps are tried again several times a second.
constexpr Milliseconds kRefusalAge{ 1000 };
// A worker is given away only after being idle for as long as this.
constexpr Milliseconds kIdleBeforeGiven{ 1000 };
constexpr Milliseconds kIdleBeforeReturn{ 60000 };
// The pauses between requests that nobody can serve.
constexpr Milliseconds kFirstPause{ 500 };
constexpr Milliseconds kLongestPause{ 4000 };
// For how long a guest that its home asks for gets no start, until it is idle.
constexpr Milliseconds kRecallTime{ 10000 };

const QueueRules& RulesOf(const ClusterConfig& aConfig, const JobEntry& aJob)
{
  const auto found = aConfig.mRules.find(aJob.mGraph.mQueue);
  return found == aConfig.mRules.end() ? aJob.mGraph.mRules : found->second;
}

} // namespace

RoomExchange::RoomExchange(RoomExchangeOptions aOptions,
                           RoomExchangeParts aParts)
  : mOptions(aOptions)
  , mParts(aParts)
  , mShardWorkers(aOptions.mShard, aOptions.mShards)
  , mAskAt(aOptions.mClaimedAt + kFirstRequestAfter)
  , mPause(kFirstPause)
{
}

MoveOutcome RoomExchange::OnMove(const WorkerMove& aMove)
{
  const MoveOutcome outcome = mShardWorkers.OnMove(aMove);
  if (outcome != MoveOutcome::kApplied) {
    return outcome;
  }
  mPlanned.erase(aMove.mWorker);
  mRecalled.erase(aMove.mWorker);
  if (WorkerEntry* worker = mParts.mWorkers.Find(aMove.mWorker)) {
    worker->mTokenBase = aMove.mTokenBase;
  }
  return outcome;
}

MoveOutcome RoomExchange::OnArrival(const WorkerMove& aMove, MonotonicTime aNow)
{
  const MoveOutcome outcome = OnMove(aMove);
  if (outcome != MoveOutcome::kApplied) {
    return outcome;
  }
  mPromises.OnArrival(aNow);
  mParts.mDecisions.AddWorker(DecisionKind::kWorkerTaken,
                              aMove.mWorker,
                              "move " + std::to_string(aMove.mNumber) +
                                " from shard " + std::to_string(aMove.mFrom));
  return outcome;
}

void RoomExchange::Update(MonotonicTime aNow)
{
  if (mOptions.mShards < 2 || aNow < mUpdateAt) {
    return;
  }
  mUpdateAt = aNow + kUpdateInterval;
  for (auto& [id, worker] : mParts.mWorkers.All()) {
    if (!IsIdle(worker)) {
      worker.mIdleSince.reset();
    } else if (!worker.mIdleSince) {
      worker.mIdleSince = aNow;
    }
  }
  if (IsSettled()) {
    GiveGuestsBack(aNow);
    GiveRecalledGuests(aNow);
  }
}

// Returns whether nothing of this shard runs on the worker or may begin there,
// and all ends of runs there are on the log.
bool RoomExchange::IsIdle(const WorkerEntry& aWorker) const
{
  return aWorker.mListed && aWorker.mInfo.mState == WorkerState::kLive &&
         aWorker.mHasReportedRuns && !aWorker.mSilent && aWorker.HasNoRuns() &&
         !aWorker.mForeignDemandUnknown && aWorker.mStartsInFlight == 0 &&
         aWorker.mLastDurableEnd == aWorker.mLastProcessedEnd &&
         mParts.mInherited.Find(aWorker.mInfo.mId) == nullptr;
}

bool RoomExchange::MayGive(const WorkerEntry& aWorker, MonotonicTime aNow) const
{
  return !aWorker.mIsGiven && aWorker.mIdleSince &&
         aNow >= *aWorker.mIdleSince + kIdleBeforeGiven && IsIdle(aWorker);
}

// Returns whether no run that a former owner started can be left anywhere.
bool RoomExchange::IsSettled() const
{
  return !mParts.mFormerOwners.Newest();
}

void RoomExchange::GiveGuestsBack(MonotonicTime aNow)
{
  for (const WorkerId& id : mShardWorkers.Guests()) {
    WorkerEntry* worker = mParts.mWorkers.Find(id);
    if (worker == nullptr || !MayGive(*worker, aNow) ||
        aNow < *worker->mIdleSince + kIdleBeforeReturn) {
      continue;
    }
    PlanMove(*worker,
             Plan{ mShardWorkers.HomeOf(id), "it goes home, idle for long" });
  }
}

// A guest that its home asks for goes there as soon as it is idle. If that
// takes long, it is used again.
void RoomExchange::GiveRecalledGuests(MonotonicTime aNow)
{
  for (auto recalled = mRecalled.begin(); recalled != mRecalled.end();) {
    const auto [id, until] = *recalled;
    WorkerEntry* worker = mParts.mWorkers.Find(id);
    const bool isIdle = worker != nullptr && IsIdle(*worker);
    if (isIdle) {
      PlanMove(*worker, Plan{ mShardWorkers.HomeOf(id), "its home asks" });
    } else if (worker != nullptr && aNow >= until) {
      worker->mIsGiven = false;
      mParts.mWorkers.MarkChanged(*worker);
    }
    const bool isOver = worker == nullptr || isIdle || aNow >= until;
    recalled = isOver ? mRecalled.erase(recalled) : std::next(recalled);
  }
}

// Has the guests from a shard that asks for room get no more starts, but for
// those that run lasting tasks: otherwise a backlog here would keep them from
// their home for long.
void RoomExchange::RecallGuestsOf(ShardNumber aHome, MonotonicTime aNow)
{
  for (const WorkerId& id : mShardWorkers.Guests()) {
    WorkerEntry* worker = mParts.mWorkers.Find(id);
    const bool isRecalled = worker != nullptr && !worker->mIsGiven &&
                            worker->mLongRunning == 0 &&
                            mShardWorkers.HomeOf(id) == aHome;
    if (isRecalled) {
      worker->mIsGiven = true;
      mParts.mWorkers.MarkChanged(*worker);
      mRecalled[id] = aNow + kRecallTime;
    }
  }
}

void RoomExchange::PlanMove(WorkerEntry& aWorker, Plan aPlan)
{
  aWorker.mIsGiven = true;
  mParts.mWorkers.MarkChanged(aWorker);
  mPlanned[aWorker.mInfo.mId] = std::move(aPlan);
}

std::vector<WorkerMove> RoomExchange::TakeMoves(MonotonicTime aNow)
{
  std::vector<WorkerMove> moves;
  for (const auto& [id, plan] : std::exchange(mPlanned, {})) {
    WorkerEntry* worker = mParts.mWorkers.Find(id);
    if (worker == nullptr) {
      continue;
    }
    if (!IsIdle(*worker)) {
      worker->mIsGiven = false;
      mParts.mWorkers.MarkChanged(*worker);
      continue;
    }
    moves.push_back(mShardWorkers.MoveTo(id, plan.mTo, mOptions.mEpoch));
    const auto age =
      std::chrono::duration_cast<Milliseconds>(aNow - worker->mClockReceivedAt);
    mParts.mDecisions.AddWorker(DecisionKind::kWorkerGiven,
                                id,
                                "move " + std::to_string(moves.back().mNumber) +
                                  " to shard " + std::to_string(plan.mTo) +
                                  ", " + plan.mCause + ", reported " +
                                  std::to_string(age.count()) + " ms ago");
  }
  return moves;
}

bool RoomExchange::IsRefused(const StepState& aStep, MonotonicTime aNow) const
{
  return aStep.mWaitingSince != MonotonicTime() &&
         aNow >= aStep.mWaitingSince + kRoomWait && aStep.mRefusedAt &&
         aNow < *aStep.mRefusedAt + kRefusalAge;
}

// Returns what waits for room and has no promise of it, the first
// kMaxRoomDemands classes in the order of acceptance, and how long the oldest
// has waited.
std::vector<RoomDemand> RoomExchange::Demands(MonotonicTime aNow,
                                              Milliseconds& aWaited) const
{
  std::vector<RoomDemand> demands;
  for (const auto& [key, job] : mParts.mJobs.ReadySteps()) {
    const StepState& step = job->mOccurrences.at(key.mOccurrence)[key.mStep];
    if (!IsRefused(step, aNow)) {
      continue;
    }
    const StepSpec& spec = job->mGraph.mSteps[key.mStep];
    const RoomDemand demand{ RulesOf(mParts.mConfig, *job).mService,
                             spec.mRequiredLabel,
                             spec.mDemand,
                             spec.mLongRunning,
                             spec.mMaxPerWorker,
                             std::min(step.mWaiting, kMaxTasksPerDemand) };
    const auto known = std::find_if(
      demands.begin(), demands.end(), [&](const RoomDemand& aDemand) {
        return IsSameClass(aDemand, demand);
      });
    if (known != demands.end()) {
      known->mCount =
        std::min(known->mCount + demand.mCount, kMaxTasksPerDemand);
    } else if (demands.size() < kMaxRoomDemands) {
      demands.push_back(demand);
    }
    aWaited = std::max(
      aWaited,
      std::chrono::duration_cast<Milliseconds>(aNow - step.mWaitingSince));
  }
  for (RoomDemand& demand : demands) {
    demand.mCount = mPromises.Unpromised(demand, aNow);
  }
  const auto promised = [](const RoomDemand& aDemand) {
    return aDemand.mCount == 0;
  };
  demands.erase(std::remove_if(demands.begin(), demands.end(), promised),
                demands.end());
  return demands;
}

std::optional<RoomRequest> RoomExchange::NextRequest(MonotonicTime aNow)
{
  if (mOptions.mShards < 2 || !mOptions.mMayAsk || aNow < mAskAt) {
    return std::nullopt;
  }
  mAskAt = aNow + kUpdateInterval;
  RoomRequest request{ mOptions.mShard, mOptions.mEpoch, {}, Milliseconds(0) };
  request.mDemands = Demands(aNow, request.mWaited);
  if (request.mDemands.empty()) {
    mPause = kFirstPause;
    return std::nullopt;
  }
  return request;
}

void RoomExchange::OnAnswered(const RoomRequest& aAsked,
                              const RoomRequest& aLeft,
                              uint32_t aWorkers,
                              MonotonicTime aNow)
{
  if (aWorkers > 0) {
    mPromises.Add(aAsked, aLeft, aWorkers, aNow);
    mPause = kFirstPause;
  }
  mAskAt = aNow + mPause;
  mPause = std::min(2 * mPause, kLongestPause);
}

// Returns why a request is refused for what it says, or nothing.
std::optional<RoomOutcome> RoomExchange::Refusal(
  const RoomRequest& aRequest) const
{
  if (aRequest.mFrom >= mOptions.mShards || aRequest.mFrom == mOptions.mShard) {
    return RoomOutcome::kUnknownShard;
  }
  if (aRequest.mDemands.empty() || aRequest.mDemands.size() > kMaxRoomDemands) {
    return RoomOutcome::kInvalid;
  }
  const auto newest = mAskers.find(aRequest.mFrom);
  const bool isOld =
    newest != mAskers.end() && aRequest.mEpoch < newest->second;
  return isOld ? std::optional(RoomOutcome::kOldEpoch) : std::nullopt;
}

// Returns whether a gang of this shard waits for room. Its workers may be idle
// until it is whole; of two such shards the one with the lower number comes
// first, as otherwise each would give the other what it lacks.
bool RoomExchange::WaitsForGangRoom(MonotonicTime aNow) const
{
  const auto& ready = mParts.mJobs.ReadySteps();
  return std::any_of(ready.begin(), ready.end(), [&](const auto& aReady) {
    const auto& [key, job] = aReady;
    return job->mGraph.mSteps[key.mStep].mGang &&
           IsRefused(job->mOccurrences.at(key.mOccurrence)[key.mStep], aNow);
  });
}

RoomAnswer RoomExchange::Give(const RoomRequest& aRequest, MonotonicTime aNow)
{
  RoomAnswer answer;
  if (const auto refusal = Refusal(aRequest)) {
    answer.mOutcome = *refusal;
    return answer;
  }
  mAskers[aRequest.mFrom] = aRequest.mEpoch;
  if (!IsSettled()) {
    answer.mOutcome = RoomOutcome::kUnsettled;
    return answer;
  }
  if (mOptions.mShard < aRequest.mFrom && WaitsForGangRoom(aNow)) {
    answer.mOutcome = RoomOutcome::kWaitsItself;
    return answer;
  }
  const Plan plan{ aRequest.mFrom,
                   "asked for tasks that have waited for " +
                     std::to_string(aRequest.mWaited.count()) + " ms" };
  const auto& workers = mParts.mWorkers.All();
  const auto idle =
    std::count_if(workers.begin(), workers.end(), [&](const auto& aWorker) {
      return MayGive(aWorker.second, aNow);
    });
  // Half of the idle workers stay for what comes next here, unless tasks that
  // last lack them.
  const auto half = static_cast<uint32_t>((idle + 1) / 2);
  for (const RoomDemand& demand : aRequest.mDemands) {
    const uint32_t most = demand.mLongRunning
                            ? kMaxWorkersPerRequest
                            : std::min<uint32_t>(half, kMaxWorkersPerRequest);
    answer.mTasks.push_back(GiveFor(demand, plan, most, aNow, answer.mWorkers));
  }
  if (answer.mWorkers == 0) {
    RecallGuestsOf(aRequest.mFrom, aNow);
  }
  answer.mOutcome =
    answer.mWorkers > 0 ? RoomOutcome::kGiven : RoomOutcome::kNoneIdle;
  return answer;
}

// Plans to give idle workers for one demand, and adds their number to aWorkers,
// up to aMost. Returns for how many tasks they have room.
uint32_t RoomExchange::GiveFor(const RoomDemand& aDemand,
                               const Plan& aPlan,
                               uint32_t aMost,
                               MonotonicTime aNow,
                               uint32_t& aWorkers)
{
  StepSpec step;
  step.mDemand = aDemand.mDemand;
  step.mRequiredLabel = aDemand.mRequiredLabel;
  step.mMaxPerWorker = aDemand.mMaxPerWorker;
  const std::map<WorkerId, uint32_t> noSiblings;
  const PlacementQuery query{ step,
                              aDemand.mService,
                              noSiblings,
                              mParts.mInterference,
                              mParts.mConfig.mExcludedDomains,
                              RackId(),
                              WorkerId(),
                              false,
                              aNow };
  uint32_t tasks = 0;
  for (auto& [id, worker] : mParts.mWorkers.All()) {
    if (tasks >= aDemand.mCount || aWorkers >= aMost) {
      break;
    }
    const bool isSuited =
      MayGive(worker, aNow) &&
      mParts.mPlacement.RefusalOn(query, worker) == PlacementRefusal::kNone;
    if (isSuited) {
      tasks += static_cast<uint32_t>(
        TasksThatFit(step, worker, aDemand.mCount - tasks));
      PlanMove(worker, aPlan);
      aWorkers++;
    }
  }
  return tasks;
}

} // namespace mulberryvalve
