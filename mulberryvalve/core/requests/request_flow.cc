#include "mulberryvalve/core/requests/request_flow.h"

#include <utility>

namespace mulberryvalve {
namespace {

constexpr int kFirstServerError = 500;

RequestReason ReasonOf(SendResult aResult)
{
  switch (aResult) {
    case SendResult::kNotSent:
      return RequestReason::kConnectFailed;
    case SendResult::kRefused:
      return RequestReason::kUpstreamRefused;
    case SendResult::kMismatch:
      return RequestReason::kAnswerMismatch;
    default:
      return RequestReason::kAnswerLost;
  }
}

bool CertainlyNotRun(SendResult aResult)
{
  return aResult == SendResult::kNotSent || aResult == SendResult::kRefused;
}

} // namespace

RequestOutcome OutcomeRefusedBeforeClaim(RequestKind aKind,
                                         bool aFirstAsk,
                                         RequestReason aReason)
{
  const bool mayHaveRun = aKind == RequestKind::kNonIdempotent && !aFirstAsk;
  RequestOutcome outcome;
  outcome.mStatus =
    mayHaveRun ? RequestStatus::kUnknown : RequestStatus::kNotRun;
  outcome.mReason = aReason;
  outcome.mSafeToRetry = true;
  return outcome;
}

RequestFlow::RequestFlow(FlowRequest aRequest)
  : mRequest(std::move(aRequest))
  , mStep(mRequest.mKind == RequestKind::kNonIdempotent
            ? FlowStep::kClaimKey
            : FlowStep::kAcquireUpstream)
{
  mOutcome.mStatus = RequestStatus::kNotRun;
  mOutcome.mReason = RequestReason::kNoUpstream;
  mOutcome.mSafeToRetry = true;
}

void RequestFlow::OnClaimKey(const KeyClaimResult& aClaim)
{
  switch (aClaim.mStatus) {
    case KeyClaimStatus::kWon:
      mHoldsKey = true;
      mStep = FlowStep::kAcquireUpstream;
      return;
    case KeyClaimStatus::kTaken:
      if (aClaim.mSettled) {
        FinishWithSettled(*aClaim.mSettled);
      } else {
        mStep = FlowStep::kAwaitKey;
      }
      return;
    case KeyClaimStatus::kLogUnreachable:
    case KeyClaimStatus::kUnclaimed:
      mOutcome = OutcomeRefusedBeforeClaim(
        mRequest.mKind, mRequest.mFirstAsk, RequestReason::kLogUnavailable);
      mStep = FlowStep::kDone;
      return;
  }
}

void RequestFlow::OnAwaitKey(const KeyClaimResult& aClaim)
{
  if (aClaim.mStatus == KeyClaimStatus::kUnclaimed) {
    mStep = FlowStep::kClaimKey;
  } else if (aClaim.mSettled) {
    FinishWithSettled(*aClaim.mSettled);
  } else {
    FinishKeyInFlight();
  }
}

void RequestFlow::OnAcquireUpstream(const WorkerId& aWorker,
                                    const AttemptId& aAttempt)
{
  mTriedWorkers.insert(aWorker);
  mOutcome.mAttempts.push_back(aAttempt);
  mCurrentUpstream = aWorker;
  mStep = FlowStep::kSend;
}

void RequestFlow::OnNoUpstream(RequestReason aReason)
{
  if (mOutcome.mAttempts.empty()) {
    mOutcome.mReason = aReason;
  }
  mStep = FlowStep::kDone;
}

void RequestFlow::OnSend(UpstreamReply aReply)
{
  if (aReply.mResult == SendResult::kAnswered) {
    OnAnswered(std::move(aReply));
  } else {
    OnFailed(aReply.mResult);
  }
}

void RequestFlow::OnAnswered(UpstreamReply aReply)
{
  const bool tryAnotherUpstream =
    mRequest.mKind == RequestKind::kIdempotent &&
    aReply.mStatus >= kFirstServerError &&
    mOutcome.mAttempts.size() < mRequest.mMaxAttempts;
  mOutcome.mStatus = RequestStatus::kAnswered;
  mOutcome.mReason = RequestReason::kNone;
  mOutcome.mUpstreamStatus = aReply.mStatus;
  mOutcome.mBody = std::move(aReply.mBody);
  mOutcome.mWorker = mCurrentUpstream;
  mOutcome.mSafeToRetry = false;
  mStep = tryAnotherUpstream ? FlowStep::kCheckRetryBudget : FlowStep::kDone;
}

void RequestFlow::OnFailed(SendResult aResult)
{
  const bool certain = CertainlyNotRun(aResult);
  if (!certain && mOutcome.mStatus == RequestStatus::kNotRun) {
    mOutcome.mStatus = RequestStatus::kUnknown;
    mOutcome.mSafeToRetry = mRequest.mKind == RequestKind::kIdempotent;
  }
  if (mOutcome.mStatus != RequestStatus::kAnswered) {
    mOutcome.mReason = ReasonOf(aResult);
  }
  const bool mayResend = certain || mRequest.mKind == RequestKind::kIdempotent;
  const bool retry =
    mayResend && mOutcome.mAttempts.size() < mRequest.mMaxAttempts;
  mStep = retry ? FlowStep::kCheckRetryBudget : FlowStep::kDone;
}

void RequestFlow::OnCheckRetryBudget(bool aAllowed)
{
  mStep = aAllowed ? FlowStep::kAcquireUpstream : FlowStep::kDone;
}

std::optional<KeySettled> RequestFlow::Settlement() const
{
  if (!mHoldsKey) {
    return std::nullopt;
  }
  return KeySettled{
    mRequest.mKey,    mRequest.mClaim,          mOutcome.mStatus,
    mOutcome.mReason, mOutcome.mUpstreamStatus, mOutcome.mBody
  };
}

void RequestFlow::FinishWithSettled(const KeySettled& aSettled)
{
  mOutcome.mStatus = aSettled.mStatus;
  mOutcome.mReason = aSettled.mReason;
  mOutcome.mUpstreamStatus = aSettled.mUpstreamStatus;
  mOutcome.mBody = aSettled.mBody;
  mOutcome.mAttempts = { aSettled.mAttempt };
  mOutcome.mSafeToRetry = false;
  mStep = FlowStep::kDone;
}

void RequestFlow::FinishKeyInFlight()
{
  mOutcome.mStatus = RequestStatus::kUnknown;
  mOutcome.mReason = RequestReason::kKeyInFlight;
  mOutcome.mSafeToRetry = true;
  mStep = FlowStep::kDone;
}

} // namespace mulberryvalve
