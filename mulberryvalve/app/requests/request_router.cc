#include "mulberryvalve/app/requests/request_router.h"

#include <utility>

namespace mulberryvalve {
namespace {

constexpr int kFirstServerError = 500;

// Counts a request as in flight during its scope.
class InFlightGuard
{
public:
  explicit InFlightGuard(std::atomic<uint64_t>& aCount)
    : mCount(aCount)
  {
    mCount++;
  }
  ~InFlightGuard() { mCount--; }
  InFlightGuard(const InFlightGuard&) = delete;
  InFlightGuard& operator=(const InFlightGuard&) = delete;

private:
  std::atomic<uint64_t>& mCount;
};

AttemptResult ResultOf(const UpstreamReply& aReply)
{
  switch (aReply.mResult) {
    case SendResult::kAnswered:
      return aReply.mStatus < kFirstServerError ? AttemptResult::kSuccess
                                                : AttemptResult::kError;
    case SendResult::kRefused:
      return AttemptResult::kRefused;
    case SendResult::kNotSent:
    case SendResult::kLost:
    case SendResult::kMismatch:
      break;
  }
  return AttemptResult::kLost;
}

} // namespace

RequestRouter::RequestRouter(RequestRouterOptions aOptions,
                             RequestRouterPorts aPorts)
  : mOptions(std::move(aOptions))
  , mPorts(aPorts)
{
}

RequestOutcome RequestRouter::Handle(const Request& aRequest)
{
  const InFlightGuard guard(mInFlight);
  const MonotonicTime begin = mPorts.mClock.Now();
  RequestOutcome outcome =
    mPorts.mSource.Now()->mHasBundle
      ? Run(aRequest)
      : OutcomeRefusedBeforeClaim(
          aRequest.mKind, aRequest.mFirstAsk, RequestReason::kNotReady);
  mPorts.mMetrics.Record(Timing::kRequestUs, mPorts.mClock.Now() - begin);
  Count(outcome);
  return outcome;
}

RequestOutcome RequestRouter::Run(const Request& aRequest)
{
  {
    MutexLock lock(mBudgetMutex);
    mBudget.RecordFirstAttempt(mPorts.mClock.Now());
  }
  const AttemptId claim = NextAttempt();
  RequestFlow flow(FlowRequest{ aRequest.mKind,
                                aRequest.mKey,
                                claim,
                                aRequest.mFirstAsk,
                                mOptions.mMaxAttempts });
  UpstreamCall call{ AttemptId(),
                     aRequest.mKind,
                     aRequest.mKey,
                     aRequest.mBody,
                     aRequest.mDeadline };
  while (flow.Step() != FlowStep::kDone) {
    switch (flow.Step()) {
      case FlowStep::kClaimKey:
        flow.OnClaimKey(
          mPorts.mKeys.Claim(aRequest.mKey, claim, aRequest.mDeadline));
        break;
      case FlowStep::kAwaitKey:
        flow.OnAwaitKey(mPorts.mKeys.Await(aRequest.mKey, aRequest.mDeadline));
        break;
      case FlowStep::kAcquireUpstream:
      case FlowStep::kSend:
        Attempt(flow, call);
        break;
      case FlowStep::kCheckRetryBudget:
        flow.OnCheckRetryBudget(TryRetry(aRequest, flow));
        break;
      case FlowStep::kDone:
        break;
    }
  }
  if (const auto settlement = flow.Settlement()) {
    mPorts.mKeys.Settle(*settlement);
  }
  return flow.Outcome();
}

void RequestRouter::Attempt(RequestFlow& aFlow, UpstreamCall& aCall)
{
  const SlotGrant grant =
    mPorts.mSlots.Acquire(aFlow.TriedWorkers(), aCall.mDeadline);
  if (!grant.mWorker) {
    aFlow.OnNoUpstream(grant.mReason);
    return;
  }
  aCall.mAttempt = NextAttempt();
  aFlow.OnAcquireUpstream(grant.mWorker->mId, aCall.mAttempt);
  aFlow.OnSend(Send(*grant.mWorker, aCall));
}

UpstreamReply RequestRouter::Send(const WorkerSpec& aWorker,
                                  const UpstreamCall& aCall)
{
  const MonotonicTime begin = mPorts.mClock.Now();
  UpstreamReply reply = mPorts.mPort.Send(aWorker, aCall);
  const Microseconds elapsed = mPorts.mClock.Now() - begin;
  mPorts.mSlots.Release(
    AttemptEnd{ aWorker.mId, ResultOf(reply), reply.mDraining, elapsed });
  mPorts.mMetrics.Record(Timing::kUpstreamUs, elapsed);
  CountReply(reply.mResult);
  return reply;
}

bool RequestRouter::TryRetry(const Request& aRequest, const RequestFlow& aFlow)
{
  const MonotonicTime now = mPorts.mClock.Now();
  const auto retry = static_cast<uint32_t>(aFlow.TriedWorkers().size());
  const MonotonicTime notBefore = EarliestRetryTime(retry, now, mPorts.mRandom);
  if (notBefore >= aRequest.mDeadline) {
    return false;
  }
  const int64_t percent = mPorts.mSource.Now()->mLimits.mRetryPercent;
  {
    MutexLock lock(mBudgetMutex);
    if (!mBudget.TryAcquireRetry(percent, now)) {
      return false;
    }
  }
  mPorts.mMetrics.Add(Counter::kRequestRetries, 1);
  mRetryWait.WaitUntil(SteadyDeadline(mPorts.mClock, notBefore));
  return true;
}

AttemptId RequestRouter::NextAttempt()
{
  return AttemptId(mOptions.mSelf.mInstance.Text() + "-" +
                   std::to_string(mOptions.mSelf.mIncarnation.Value()) + "-" +
                   std::to_string(mNextAttempt++));
}

void RequestRouter::CountReply(SendResult aResult)
{
  switch (aResult) {
    case SendResult::kAnswered:
    case SendResult::kNotSent:
      return;
    case SendResult::kRefused:
      mPorts.mMetrics.Add(Counter::kUpstreamRefusals, 1);
      return;
    case SendResult::kLost:
      mPorts.mMetrics.Add(Counter::kUpstreamLost, 1);
      return;
    case SendResult::kMismatch:
      mPorts.mMetrics.Add(Counter::kUpstreamMismatches, 1);
      return;
  }
}

void RequestRouter::Count(const RequestOutcome& aOutcome)
{
  switch (aOutcome.mStatus) {
    case RequestStatus::kAnswered:
      mPorts.mMetrics.Add(Counter::kRequestsAnswered, 1);
      break;
    case RequestStatus::kNotRun:
      mPorts.mMetrics.Add(Counter::kRequestsNotRun, 1);
      break;
    case RequestStatus::kUnknown:
      mPorts.mMetrics.Add(Counter::kRequestsUnknown, 1);
      break;
  }
  if (aOutcome.mReason == RequestReason::kOverloaded) {
    mPorts.mMetrics.Add(Counter::kRequestSheds, 1);
  }
}

} // namespace mulberryvalve
