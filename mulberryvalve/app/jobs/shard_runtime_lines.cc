// Log events and metrics of ShardRuntime.
#include "mulberryvalve/app/jobs/decision_lines.h"
#include "mulberryvalve/app/jobs/decision_meter.h"
#include "mulberryvalve/app/jobs/shard_runtime.h"

#include <utility>

namespace mulberryvalve {

void ShardRuntime::LogDecisions(const std::vector<JobDecision>& aDecisions)
{
  const DecisionMetrics meter(mPorts.mMetrics);
  for (const JobDecision& decision : aDecisions) {
    meter.Count(decision);
  }
  for (DecisionEvent& line : EventsOf(aDecisions)) {
    LogEvent(EventLevel::kInfo, line.mName, std::move(line.mFields));
  }
}

void ShardRuntime::RecordDelays(Microseconds aPassDuration)
{
  const MonotonicTime now = mPorts.mClock.Now();
  mDelays.Observe(OwnerDelay::kPass, aPassDuration);
  mDelays.Observe(OwnerDelay::kProofAge, now - mLastProof.ProvedAt());
  mDelays.Observe(OwnerDelay::kIntakeGap, now - mIntakeReadAt);
  const StartWindowFigures window = mShard->TakeWindowFigures();
  const auto size = static_cast<int64_t>(window.mSize);
  const auto underWay = static_cast<int64_t>(window.mUnderWay);
  mPorts.mMetrics.Set(Gauge::kStartWindow, size);
  mPorts.mMetrics.Set(Gauge::kStartsUnderWay, underWay);
  mPorts.mMetrics.Add(Counter::kStartsHeldBack, window.mTimesFull);
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

void ShardRuntime::LogFailure(std::string_view aWhat, const Failure& aFailure)
{
  mPorts.mMetrics.Add(Counter::kLogFailures, 1);
  const auto line = mFailureLog.Observe(aWhat, aFailure, mPorts.mClock.Now());
  if (line) {
    WriteFailure(*line);
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
           { { "what", aSummary.mWhat },
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
  for (const FailureSummary& line : mFailureLog.TakeDue(now)) {
    WriteFailure(line);
  }
  if (mIsOwnershipOver) {
    return;
  }
  auto fields = mWatchdog.Report(now);
  if (fields) {
    const auto account = mDelays.OwnershipFields(now, mLastProof.ProvedAt());
    fields->insert(fields->end(), account.begin(), account.end());
    LogEvent(EventLevel::kWarn, "owner_stalled", std::move(*fields));
  }
}

void ShardRuntime::LogEnd()
{
  for (const FailureSummary& line : mFailureLog.TakeRemaining()) {
    WriteFailure(line);
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
