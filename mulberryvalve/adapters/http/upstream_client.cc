#include "mulberryvalve/adapters/http/upstream_client.h"

#include "mulberryvalve/adapters/http/http_status.h"

#include <utility>

namespace mulberryvalve {
namespace {

constexpr const char* kRefusedBeforeStart = "before-start";

HttpCall MakeCall(const WorkerSpec& aWorker,
                  const UpstreamCall& aCall,
                  Milliseconds aTimeout)
{
  HttpCall call;
  call.mMethod = HttpMethod::kPost;
  call.mPath = "/w/" + aWorker.mId.Text() + "/request";
  call.mHeaders = {
    { "X-Attempt", aCall.mAttempt.Text() },
    { "X-Deadline-Ms", std::to_string(aTimeout.count()) },
    { "X-Kind", std::string(kRequestKindNames.Name(aCall.mKind)) },
  };
  if (!aCall.mKey.Empty()) {
    call.mHeaders.push_back({ "X-Idempotency-Key", aCall.mKey.Text() });
  }
  call.mBody = aCall.mBody;
  call.mTimeout = aTimeout;
  call.mEchoedHeader = call.mHeaders.front();
  return call;
}

} // namespace

UpstreamClient::UpstreamClient(HttpClientPool& aPool, const Clock& aClock)
  : mPool(aPool)
  , mClock(aClock)
{
}

UpstreamReply UpstreamClient::Send(const WorkerSpec& aWorker,
                                   const UpstreamCall& aCall)
{
  const auto left =
    std::chrono::floor<Milliseconds>(aCall.mDeadline - mClock.Now());
  if (left <= Milliseconds(0)) {
    return UpstreamReply{ SendResult::kNotSent, 0, "", false };
  }
  HttpAnswer answer =
    mPool.Exchange(aWorker.mEndpoint, MakeCall(aWorker, aCall, left));
  if (answer.mOutcome == HttpOutcome::kNotConnected) {
    return UpstreamReply{ SendResult::kNotSent, 0, "", false };
  }
  if (answer.mOutcome == HttpOutcome::kLost) {
    return UpstreamReply{ SendResult::kLost, 0, "", false };
  }
  if (answer.Header("X-Refused") == kRefusedBeforeStart) {
    return UpstreamReply{ SendResult::kRefused,
                          answer.mStatus,
                          "",
                          answer.mStatus == kStatusUnavailable };
  }
  if (answer.Header("X-Attempt") != aCall.mAttempt.Text()) {
    return UpstreamReply{ SendResult::kMismatch, answer.mStatus, "", false };
  }
  return UpstreamReply{
    SendResult::kAnswered, answer.mStatus, std::move(answer.mBody), false
  };
}

} // namespace mulberryvalve
