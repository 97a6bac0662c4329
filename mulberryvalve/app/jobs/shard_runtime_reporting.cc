// Log events and metrics of ShardRuntime.
#include "mulberryvalve/app/jobs/decision_events.h"
#include "mulberryvalve/app/jobs/decision_metrics.h"
#include "mulberryvalve/app/jobs/shard_runtime.h"

#include <utility>

namespace mulberryvalve {
namespace {

// How often the metrics by account are updated. It takes a look at each waiting
// step.
constexpr Milliseconds kAccountsInterval{ 1000 };

} // namespace

void ShardRuntime::LogDecisions(const std::vector<JobDecision>& aDecisions)
{
  const DecisionMetrics metrics(mPorts.mMetrics);
  for (const JobDecision& decision : aDecisions) {
    metrics.Count(decision);
  }
  for (DecisionEvent& event : EventsOf(aDecisions)) {
    LogEvent(EventLevel::kInfo, event.mName, std::move(event.mFields));
  }
}

void ShardRuntime::RecordDelays(Microseconds aPassDuration)
{
  const MonotonicTime now = mPorts.mClock.Now();
  mDelays.Observe(OwnerDelay::kPass, aPassDuration);
  mDelays.Observe(OwnerDelay::kProofAge, now - mLastProof.ProvedAt());
  mDelays.Observe(OwnerDelay::kIntakeGap, now - mIntakeReadAt);
  const StartWindowStats window = mShard->TakeWindowStats();
  const auto size = static_cast<int64_t>(window.mSize);
  const auto underWay = static_cast<int64_t>(window.mInFlight);
  mPorts.mMetrics.Set(Gauge::kStartWindow, size);
  mPorts.mMetrics.Set(Gauge::kStartsUnderWay, underWay);
  mPorts.mMetrics.Add(Counter::kStartsHeldBack, window.mDeferrals);
  const JobRetention& kept = mShard->Retention();
  mPorts.mMetrics.Set(Gauge::kJobsKept, static_cast<int64_t>(kept.Size()));
  mPorts.mMetrics.Set(Gauge::kCancellationsUnmatched,
                      static_cast<int64_t>(kept.UnmatchedCancellations()));
  mPorts.mHeldTasks.Observe(
    mOptions.mShard, mOptions.mEpoch, mShard->TakeHeldTaskStats(now));
  if (now >= mReportAccountsAt) {
    mReportAccountsAt = now + kAccountsInterval;
    mPorts.mAccounts.Observe(
      mOptions.mShard, mOptions.mEpoch, mShard->AccountLoads());
  }
  auto fields = mDelays.Report(now);
  if (fields) {
    fields->push_back(
      { "workers", std::to_string(mShard->Workers().All().size()) });
    fields->push_back({ "start_window", std::to_string(size) });
    fields->push_back({ "starts_under_way", std::to_string(underWay) });
    LogEvent(EventLevel::kWarn, "owner_behind", std::move(*fields));
  }
}

void ShardRuntime::RecordLockWait(MonotonicTime aSince)
{
  mDelays.Observe(OwnerDelay::kLockWait, mPorts.mClock.Now() - aSince);
}

void ShardRuntime::LogGiveUp(const char* aReason)
{
  std::vector<EventField> fields =
    mDelays.OwnershipFields(mPorts.mClock.Now(), mLastProof.ProvedAt());
  fields.push_back({ "why", aReason });
  LogEvent(EventLevel::kWarn, "shard_given_up", std::move(fields));
}

void ShardRuntime::LogFailure(std::string_view aCall, const Failure& aFailure)
{
  mPorts.mMetrics.Add(Counter::kLogFailures, 1);
  const auto summary =
    mFailureLog.Observe(aCall, aFailure, mPorts.mClock.Now());
  if (summary) {
    WriteFailure(*summary);
  }
}

// Logs a failed attempt of an activity in progress.
void ShardRuntime::LogActivityFailure(OwnerActivity aActivity,
                                      const Failure& aFailure)
{
  mWatchdog.RecordFailure(aActivity, aFailure.mKind);
  LogFailure(kOwnerActivityNames.Name(aActivity), aFailure);
  ReportStall();
}

void ShardRuntime::WriteFailure(const FailureSummary& aSummary)
{
  const Failure& failure = aSummary.mFailure;
  LogEvent(EventLevel::kWarn,
           "shard_fault",
           { { "what", aSummary.mCall },
             { "kind", std::string(kFailureKindNames.Name(failure.mKind)) },
             { "times", std::to_string(aSummary.mTimes) },
             { "field", failure.mField },
             { "detail", failure.mDetail } });
}

// Logs activities that exceed their limit, and failures that were counted but
// not logged yet.
void ShardRuntime::ReportStall()
{
  const MonotonicTime now = mPorts.mClock.Now();
  for (const FailureSummary& summary : mFailureLog.TakeDue(now)) {
    WriteFailure(summary);
  }
  if (mIsOwnershipOver) {
    return;
  }
  auto fields = mWatchdog.Report(now);
  if (fields) {
    const auto ownership = mDelays.OwnershipFields(now, mLastProof.ProvedAt());
    fields->insert(fields->end(), ownership.begin(), ownership.end());
    LogEvent(EventLevel::kWarn, "owner_stalled", std::move(*fields));
  }
}

void ShardRuntime::LogEnd()
{
  for (const FailureSummary& summary : mFailureLog.TakeRemaining()) {
    WriteFailure(summary);
  }
  mWatchdog.OnOwnershipOver();
  LogEvent(EventLevel::kInfo,
           "shard_ended",
           mDelays.OwnershipFields(mPorts.mClock.Now(), mLastProof.ProvedAt()));
}

void ShardRuntime::LogEvent(EventLevel aLevel,
                            std::string_view aName,
                            std::vector<EventField> aFields)
{
  aFields.insert(aFields.begin(),
                 { { "shard", std::to_string(mOptions.mShard) },
                   { "epoch", std::to_string(mOptions.mEpoch.Value()) } });
  mPorts.mEvents.Write(aLevel, aName, aFields);
}

} // namespace mulberryvalve
