#include "mulberryvalve/adapters/http/caller_server.h"

#include "mulberryvalve/adapters/http/bounded_server.h"
#include "mulberryvalve/adapters/http/http_reply.h"
#include "mulberryvalve/adapters/http/job_routes.h"
#include "mulberryvalve/adapters/http/operator_routes.h"
#include "mulberryvalve/adapters/json/api_json.h"
#include "mulberryvalve/adapters/json/failure_json.h"
#include "mulberryvalve/adapters/json/json_reader.h"
#include "mulberryvalve/adapters/json/text_validation.h"

#include <algorithm>
#include <atomic>
#include <utility>

namespace mulberryvalve {
namespace {

using nlohmann::json;

BoundedServerOptions ServerOptions(const CallerServerOptions& aOptions)
{
  BoundedServerOptions options;
  options.mThreads = aOptions.mThreads;
  options.mMaxBodyBytes = aOptions.mMaxBodyBytes;
  options.mExchangeTimeout = aOptions.mExchangeTimeout;
  options.mIdleTimeout = aOptions.mIdleTimeout;
  return options;
}

// Rejects a POST without a body length, which httplib would read until the
// client closes the connection.
httplib::Server::HandlerResponse RejectMissingLength(const HttpRequest& aHttp,
                                                     HttpResponse& aOut)
{
  const bool hasLength =
    aHttp.has_header("Content-Length") || aHttp.has_header("Transfer-Encoding");
  if (aHttp.method != "POST" || hasLength) {
    return httplib::Server::HandlerResponse::Unhandled;
  }
  SendJson(aOut,
           kStatusLengthRequired,
           FailureToJson(
             Fail(FailureKind::kMalformed, "Content-Length", "is missing")));
  return httplib::Server::HandlerResponse::Handled;
}

} // namespace

class CallerServer::Impl
{
public:
  Impl(CallerServerOptions aOptions, CallerServerPorts aPorts)
    : mOptions(std::move(aOptions))
    , mPorts(std::move(aPorts))
    , mServer(ServerOptions(mOptions))
  {
    mServer.set_pre_routing_handler(&RejectMissingLength);
    mServer.set_error_handler(
      [](const HttpRequest&, HttpResponse& aOut) { SendDefaultFailure(aOut); });
    mServer.set_exception_handler(
      [](const HttpRequest&, HttpResponse& aOut, const std::exception_ptr&) {
        aOut.status = 500;
        SendDefaultFailure(aOut);
      });
    mServer.set_post_routing_handler(
      [this](const HttpRequest&, HttpResponse& aResponse) {
        if (mDraining) {
          aResponse.set_header("Connection", "close");
        }
      });
    AddHealthRoutes();
    AddRequestRoutes();
    AddJobRoutes(mServer, mPorts.mJobs);
    AddOperatorRoutes(mServer, mPorts.mOperators);
  }

  Result<void> Start()
  {
    if (!mServer.Bind(mOptions.mListen)) {
      return Fail(FailureKind::kInvalidInput,
                  "caller-listen",
                  "can not bind " + mOptions.mListen.mAddress + ":" +
                    std::to_string(mOptions.mListen.mPort));
    }
    mServer.StartServing();
    return Done();
  }

  void BeginDrain() { mDraining = true; }

  void Stop()
  {
    mServer.RequestStop();
    mServer.Join();
  }

private:
  void AddHealthRoutes()
  {
    mServer.Get("/healthz", [](const HttpRequest&, HttpResponse& aResponse) {
      SendJson(aResponse, kStatusOk, json{ { "healthy", true } });
    });
    mServer.Get("/readyz", [this](const HttpRequest&, HttpResponse& aResponse) {
      const bool ready = !mDraining && mPorts.mOperators.Status().mReady;
      SendJson(aResponse,
               ready ? kStatusOk : kStatusUnavailable,
               json{ { "ready", ready } });
    });
    mServer.Get("/metrics",
                [this](const HttpRequest&, HttpResponse& aResponse) {
                  aResponse.set_content(mPorts.mMetricsText(),
                                        "text/plain; version=0.0.4");
                });
  }

  void AddRequestRoutes()
  {
    mServer.Post(
      "/v1/request", [this](const HttpRequest& aHttp, HttpResponse& aOut) {
        Request request;
        const std::string key = aHttp.get_header_value("Idempotency-Key");
        const std::string kind = aHttp.get_header_value("X-Request-Kind");
        const auto found = kRequestKindNames.Find(kind);
        if (!kind.empty() && !found) {
          SendFailure(aOut,
                      Fail(FailureKind::kInvalidInput,
                           "X-Request-Kind",
                           "one of " + kRequestKindNames.JoinedNames()));
          return;
        }
        if (const auto fault =
              CheckPrintable("Idempotency-Key", key, kMaxIdBytes)) {
          SendFailure(aOut, *fault);
          return;
        }
        request.mKind = found.value_or(RequestKind::kIdempotent);
        request.mKey = IdempotencyKey(key);
        request.mFirstAsk = aHttp.get_header_value("X-First-Ask") == "true";
        if (request.mKind == RequestKind::kNonIdempotent &&
            (key.empty() || key.size() > kMaxShortText)) {
          SendFailure(aOut,
                      Fail(FailureKind::kInvalidInput,
                           "Idempotency-Key",
                           "1 to 256 bytes for a non-idempotent request"));
          return;
        }
        const int64_t limit = mOptions.mRequestDeadline.count();
        const int64_t asked = NumberHeader(aHttp, "X-Deadline-Ms", limit);
        request.mDeadline = mPorts.mClock.Now() +
                            Milliseconds(std::clamp<int64_t>(asked, 1, limit));
        request.mBody = aHttp.body;
        SendOutcome(mPorts.mRequests.Handle(request), aOut);
      });
  }

  static void SendOutcome(const RequestOutcome& aOutcome, HttpResponse& aOut)
  {
    aOut.set_header("X-Outcome",
                    std::string(kRequestStatusNames.Name(aOutcome.mStatus)));
    switch (aOutcome.mStatus) {
      case RequestStatus::kAnswered:
        aOut.status = aOutcome.mUpstreamStatus;
        aOut.set_header("X-Worker", aOutcome.mWorker.Text());
        aOut.set_header("X-Attempts",
                        std::to_string(aOutcome.mAttempts.size()));
        aOut.set_content(aOutcome.mBody, kJsonType);
        return;
      case RequestStatus::kNotRun:
        SendJson(aOut, kStatusUnavailable, OutcomeToJson(aOutcome));
        return;
      case RequestStatus::kUnknown:
        SendJson(aOut, kStatusUnknown, OutcomeToJson(aOutcome));
        return;
    }
  }

  const CallerServerOptions mOptions;
  CallerServerPorts mPorts;
  std::atomic<bool> mDraining{ false };
  BoundedServer mServer;
};

CallerServer::CallerServer(CallerServerOptions aOptions,
                           CallerServerPorts aPorts)
  : mImpl(std::make_unique<Impl>(std::move(aOptions), std::move(aPorts)))
{
}

CallerServer::~CallerServer() = default;

Result<void> CallerServer::Start()
{
  return mImpl->Start();
}

void CallerServer::BeginDrain()
{
  mImpl->BeginDrain();
}

void CallerServer::Stop()
{
  mImpl->Stop();
}

} // namespace mulberryvalve
