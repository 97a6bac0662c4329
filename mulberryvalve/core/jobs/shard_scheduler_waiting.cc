// Waiting steps: how ShardScheduler sorts them by urgency and logs why they
// wait.
#include "mulberryvalve/core/base/scale.h"
#include "mulberryvalve/core/jobs/job_forecast.h"
#include "mulberryvalve/core/jobs/shard_scheduler.h"

#include <algorithm>
#include <utility>

namespace mulberryvalve {
namespace {

// After three seconds the waiting time of work counts as lost if most workers
// are free, so placement becomes more tolerant before that.
constexpr Milliseconds kLongWait{ 2000 };
// The reason is logged once a step has waited for longer than a start takes,
// and then at intervals.
constexpr Milliseconds kFirstWaitLogAfter{ 1000 };
constexpr Milliseconds kWaitLogInterval{ 5000 };
// Longer than any objective.
constexpr Milliseconds kMaxTrustedAge{ 60000 };

WaitCause WaitCauseOf(PlacementRefusal aRefusal)
{
  switch (aRefusal) {
    case PlacementRefusal::kNone:
      return WaitCause::kNone;
    case PlacementRefusal::kNoRoom:
    case PlacementRefusal::kAllUsed:
      return WaitCause::kRoom;
    case PlacementRefusal::kPressure:
      return WaitCause::kPressure;
    default:
      return WaitCause::kWorkers;
  }
}

// Returns since when an occurrence of a job could be served. Every occurrence
// of a recurring job is accepted with the first one and due later.
MonotonicTime DueAtOf(const JobEntry& aJob,
                      uint32_t aOccurrence,
                      WallTime aWallNow,
                      MonotonicTime aNow)
{
  const Recurrence& recurrence = aJob.mGraph.mRecurrence;
  if (recurrence.mTimes == 0) {
    return aJob.mAcceptedAt;
  }
  const Milliseconds overdue(aWallNow.mMilliseconds -
                             recurrence.mFirst.mMilliseconds -
                             recurrence.mInterval.count() * aOccurrence);
  return std::max(aJob.mAcceptedAt, aNow - std::max(overdue, Milliseconds(0)));
}

} // namespace

std::vector<WaitingStep> ShardScheduler::CollectWaitingSteps(MonotonicTime aNow)
{
  std::vector<WaitingStep> steps;
  steps.reserve(mJobTable.ReadySteps().size());
  for (const auto& [openStep, entry] : mJobTable.ReadySteps()) {
    JobEntry& job = *entry;
    WaitingStep& step = steps.emplace_back();
    step.mStep = openStep;
    step.mPriority = job.mGraph.mRules.mPriority;
    step.mAcceptedAt = AcceptedAt(job, aNow);
    step.mDueAt = DueAtOf(job, openStep.mOccurrence, mWallTime, aNow);
    step.mObjectiveAt = step.mAcceptedAt;
    Milliseconds objective{ 0 };
    step.mIsLongRunning = job.mGraph.mSteps[openStep.mStep].mLongRunning;
    if (!step.mIsLongRunning) {
      const CachedForecast& forecast = Forecast(job, openStep);
      objective = forecast.mObjective;
      step.mObjectiveAt += objective;
      step.mRemainingWork = forecast.mRemainingWork;
      step.mRemainingChain = forecast.mRemainingChain;
    }
    step.mShare = mAccounts.ShareOf(job, step.mAcceptedAt, objective, aNow);
  }
  return steps;
}

// Returns the cached forecast unless what it was based on has changed.
const CachedForecast& ShardScheduler::Forecast(JobEntry& aJob,
                                               const ReadyStepKey& aStep) const
{
  CachedForecast& cached =
    aJob.mOccurrences.at(aStep.mOccurrence)[aStep.mStep].mForecast;
  const CachedForecast::Basis basis{ mRunTimes.VersionOf(aJob.mGraph.mQueue),
                                     mConfigVersion,
                                     aJob.mFinished };
  if (cached.mBasis == basis) {
    return cached;
  }
  const JobForecast forecast = ForecastOf(aJob, aStep.mOccurrence, mRunTimes);
  const QueueRules& rules = RulesOf(aJob);
  cached.mBasis = basis;
  cached.mObjective =
    rules.mSlack + forecast.mLongestChain * rules.mStretchPercent / kPercent;
  cached.mRemainingChain = forecast.mRemainingChain;
  cached.mRemainingWork = forecast.mRemainingWork;
  return cached;
}

// Clocks of instances differ and may jump, so the age of a job that was
// accepted before the claim is trusted only up to a limit.
MonotonicTime ShardScheduler::AcceptedAt(JobEntry& aJob,
                                         MonotonicTime aNow) const
{
  if (aJob.mAcceptedAt == MonotonicTime()) {
    aJob.mAcceptedAt = aNow;
    const int64_t acceptedMs = aJob.mGraph.mAcceptedAt.mMilliseconds;
    if (aJob.mMayHaveFormerRuns && acceptedMs > 0) {
      aJob.mAcceptedAt -=
        std::clamp(Milliseconds(mWallTime.mMilliseconds - acceptedMs),
                   Milliseconds(0),
                   kMaxTrustedAge);
    }
  }
  return aJob.mAcceptedAt;
}

StepRef ShardScheduler::StepRefOf(const JobEntry& aJob,
                                  const ReadyStepKey& aStep)
{
  return StepRef{ aJob.mGraph.mId, aStep.mOccurrence, aStep.mStep };
}

MonotonicTime ShardScheduler::NextWaitLogAt(const StepState& aStep)
{
  return std::max(aStep.mExplainAt, aStep.mWaitingSince + kFirstWaitLogAfter);
}

// Logs why a step waits: how many workers refuse it for which reason.
void ShardScheduler::LogWaitReason(const JobEntry& aJob,
                                   const StepRef& aStep,
                                   MonotonicTime aNow)
{
  StepState& step = mJobTable.StepOf(aStep);
  step.mExplainAt = aNow + kWaitLogInterval;
  std::string why = std::to_string(step.mWaiting) + " tasks wait";
  const bool blocked = IsStepBlocked(aJob, aStep, aNow);
  if (blocked) {
    why += ", " + std::to_string(mInheritedWorkers.PendingCount()) +
           " workers of the former owner have not answered";
  }
  WaitCause cause = blocked ? WaitCause::kFormerOwner : WaitCause::kNone;
  const std::string limit = mAccounts.WaitReason(aJob, mJobTable.SpecOf(aStep));
  if (!limit.empty()) {
    why += ", " + limit;
  }
  int highestCount = 0;
  const PlacementQuery query = MakePlacementQuery(aJob, aStep, aNow);
  std::map<PlacementRefusal, int> counts;
  mSearch.AddEvaluations(mWorkers.All().size());
  for (const auto& [id, worker] : mWorkers.All()) {
    counts[mPolicies.mPlacement.RefusalOn(query, worker)]++;
  }
  for (const auto& [refusal, count] : counts) {
    why += ", " + std::string(kPlacementRefusalNames.Name(refusal)) + " " +
           std::to_string(count);
    if (!blocked && count > highestCount) {
      highestCount = count;
      cause = WaitCauseOf(refusal);
    }
  }
  if (!limit.empty()) {
    cause = WaitCause::kAccountLimit;
  }
  JobDecision decision = TaskDecision(DecisionKind::kStepWaits,
                                      TaskRef{ aStep, 0 },
                                      WorkerId(),
                                      RunNumber(),
                                      std::move(why));
  decision.mWaitCause = cause;
  mDecisions.Add(std::move(decision));
}

// A job without any running task may be placed where it interferes with
// services if most of the workers' processors have been unused while it waited.
bool ShardScheduler::HasWaitedTooLong(const JobEntry& aJob,
                                      const StepState& aStep,
                                      MonotonicTime aNow) const
{
  return mIsMostlyUnused && aNow - aStep.mWaitingSince >= kLongWait &&
         !JobTable::HasPlacedTask(aJob);
}

} // namespace mulberryvalve
