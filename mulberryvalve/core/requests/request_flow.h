// RequestFlow: the state machine of one request, from the claim of its key to
// its outcome. It performs no I/O.
#ifndef MULBERRYVALVE_CORE_REQUESTS_REQUEST_FLOW_H_
#define MULBERRYVALVE_CORE_REQUESTS_REQUEST_FLOW_H_

#include "mulberryvalve/core/model/request.h"
#include "mulberryvalve/core/requests/key_claim.h"
#include "mulberryvalve/ports/out/upstream_port.h"

#include <cstdint>
#include <optional>
#include <unordered_set>

namespace mulberryvalve {

// FlowStep is the action that the caller of a RequestFlow performs next.
enum class FlowStep
{
  kClaimKey,
  kAwaitKey,
  kAcquireUpstream,
  kSend,
  kCheckRetryBudget,
  kDone,
};

inline constexpr EnumTable<FlowStep, 6> kFlowStepNames{ { {
  { FlowStep::kClaimKey, "claim_key" },
  { FlowStep::kAwaitKey, "await_key" },
  { FlowStep::kAcquireUpstream, "acquire_upstream" },
  { FlowStep::kSend, "send" },
  { FlowStep::kCheckRetryBudget, "ask_retry" },
  { FlowStep::kDone, "done" },
} } };

// FlowRequest is the input of a RequestFlow. mClaim identifies the claim of
// mKey. mFirstAsk is true when the client asserts that it has not used mKey
// before.
struct FlowRequest
{
  RequestKind mKind = RequestKind::kIdempotent;
  IdempotencyKey mKey;
  AttemptId mClaim;
  bool mFirstAsk = false;
  uint32_t mMaxAttempts = 1;
};

// OutcomeRefusedBeforeClaim returns the outcome of a request that is refused
// before its key, if any, was claimed. No attempt was made. A non-idempotent
// request that is not marked as the first with its key gets kUnknown, because
// an earlier request may have run under the key.
RequestOutcome OutcomeRefusedBeforeClaim(RequestKind aKind,
                                         bool aFirstAsk,
                                         RequestReason aReason);

// RequestFlow decides when a request may be sent. A non-idempotent request is
// sent only while it holds its key, and sent again only if every earlier
// attempt certainly did not run. An idempotent request may be sent again after
// any failure. The outcome is kNotRun only if no attempt can have run. Each On
// function reports the result of the step with the same name and selects the
// next step. Not thread-safe.
class RequestFlow
{
public:
  explicit RequestFlow(FlowRequest aRequest);

  // Step returns the next step to perform.
  FlowStep Step() const { return mStep; }

  // OnClaimKey reports the result of kClaimKey: kWon, kTaken or
  // kLogUnreachable.
  void OnClaimKey(const KeyClaimResult& aClaim);

  // OnAwaitKey reports the result of kAwaitKey: kTaken with the recorded
  // outcome, kTaken without one when the deadline passed, or kUnclaimed.
  void OnAwaitKey(const KeyClaimResult& aClaim);

  // OnAcquireUpstream reports the upstream that kAcquireUpstream reserved and
  // the id of the new attempt.
  void OnAcquireUpstream(const WorkerId& aWorker, const AttemptId& aAttempt);

  // OnNoUpstream reports that kAcquireUpstream found no upstream.
  void OnNoUpstream(RequestReason aReason);

  // OnSend reports the upstream's reply to kSend.
  void OnSend(UpstreamReply aReply);

  // OnCheckRetryBudget reports whether the retry budget allows another attempt.
  void OnCheckRetryBudget(bool aAllowed);

  // TriedWorkers returns the upstreams that this request was sent to.
  const std::unordered_set<WorkerId>& TriedWorkers() const
  {
    return mTriedWorkers;
  }

  // Outcome returns the result for the client. Final once the step is kDone.
  const RequestOutcome& Outcome() const { return mOutcome; }

  // Settlement returns the outcome to record for the key, or nothing when this
  // request does not hold the key. Valid once the step is kDone.
  std::optional<KeySettled> Settlement() const;

private:
  void FinishWithSettled(const KeySettled& aSettled);
  void FinishKeyInFlight();
  void OnAnswered(UpstreamReply aReply);
  void OnFailed(SendResult aResult);

  const FlowRequest mRequest;
  FlowStep mStep;
  bool mHoldsKey = false;
  WorkerId mCurrentUpstream;
  std::unordered_set<WorkerId> mTriedWorkers;
  RequestOutcome mOutcome;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_REQUESTS_REQUEST_FLOW_H_
