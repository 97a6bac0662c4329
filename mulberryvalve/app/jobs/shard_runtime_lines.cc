// What ShardRuntime tells of itself: lines and measurements.
#include "mulberryvalve/app/jobs/decision_lines.h"
#include "mulberryvalve/app/jobs/decision_meter.h"
#include "mulberryvalve/app/jobs/shard_runtime.h"

#include <utility>

namespace mulberryvalve {

void ShardRuntime::LogDecisions(const std::vector<JobDecision>& aDecisions)
{
  const DecisionMeter meter(mPorts.mMetrics);
  for (const JobDecision& decision : aDecisions) {
    meter.Count(decision);
  }
  for (DecisionLine& line : LinesOf(aDecisions)) {
    LogEvent(EventLevel::kInfo, line.mName, std::move(line.mFields));
  }
}

void ShardRuntime::NoteDelays(Microseconds aPass)
{
  const MonotonicTime now = mPorts.mClock.Now();
  mMeter.Note(OwnerDelay::kPass, aPass);
  mMeter.Note(OwnerDelay::kProofAge, now - mProof.ProvedAt());
  mMeter.Note(OwnerDelay::kIntakeGap, now - mIntakeReadAt);
  const StartWindowFigures window = mShard->TakeWindowFigures();
  const auto size = static_cast<int64_t>(window.mSize);
  const auto underWay = static_cast<int64_t>(window.mUnderWay);
  mPorts.mMetrics.Set(Gauge::kStartWindow, size);
  mPorts.mMetrics.Set(Gauge::kStartsUnderWay, underWay);
  mPorts.mMetrics.Add(Counter::kStartsHeldBack, window.mTimesFull);
  auto fields = mMeter.Report(now);
  if (fields) {
    fields->push_back(
      { "workers", std::to_string(mShard->Workers().All().size()) });
    fields->push_back({ "start_window", std::to_string(size) });
    fields->push_back({ "starts_under_way", std::to_string(underWay) });
    LogEvent(EventLevel::kWarn, "owner_behind", std::move(*fields));
  }
}

void ShardRuntime::NoteWait(MonotonicTime aSince)
{
  mMeter.Note(OwnerDelay::kLockWait, mPorts.mClock.Now() - aSince);
}

void ShardRuntime::LogGivenUp(const char* aWhy)
{
  std::vector<EventField> fields =
    mMeter.Account(mPorts.mClock.Now(), mProof.ProvedAt());
  fields.push_back({ "why", aWhy });
  LogEvent(EventLevel::kWarn, "shard_given_up", std::move(fields));
}

void ShardRuntime::LogFault(std::string_view aWhat, const Failure& aFailure)
{
  mPorts.mMetrics.Add(Counter::kLogFailures, 1);
  const auto line = mFaults.Note(aWhat, aFailure, mPorts.mClock.Now());
  if (line) {
    WriteFault(*line);
  }
}

// Tells a failed try of an activity that is under way.
void ShardRuntime::LogFaultOf(OwnerActivity aActivity, const Failure& aFailure)
{
  mWatch.NoteFailure(aActivity, aFailure.mKind);
  LogFault(kOwnerActivityNames.Name(aActivity), aFailure);
  ReportStall();
}

void ShardRuntime::WriteFault(const FaultLine& aLine)
{
  const Failure& failure = aLine.mFailure;
  LogEvent(EventLevel::kWarn,
           "shard_fault",
           { { "what", aLine.mWhat },
             { "kind", std::string(kFailureKindNames.Name(failure.mKind)) },
             { "times", std::to_string(aLine.mTimes) },
             { "field", failure.mField },
             { "detail", failure.mDetail } });
}

// Tells what is beyond its bound, and failures that no line told yet.
void ShardRuntime::ReportStall()
{
  const MonotonicTime now = mPorts.mClock.Now();
  for (const FaultLine& line : mFaults.Due(now)) {
    WriteFault(line);
  }
  if (mOver) {
    return;
  }
  auto fields = mWatch.Report(now);
  if (fields) {
    const auto account = mMeter.Account(now, mProof.ProvedAt());
    fields->insert(fields->end(), account.begin(), account.end());
    LogEvent(EventLevel::kWarn, "owner_stalled", std::move(*fields));
  }
}

void ShardRuntime::LogLast()
{
  for (const FaultLine& line : mFaults.Rest()) {
    WriteFault(line);
  }
  mWatch.OnOver();
  LogEvent(EventLevel::kInfo,
           "shard_ended",
           mMeter.Account(mPorts.mClock.Now(), mProof.ProvedAt()));
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
