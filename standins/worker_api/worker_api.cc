#include "standins/worker_api/worker_api.h"

#include <optional>
#include <string_view>
#include <utility>

#include "standins/fault_switches/fault_switches_json.h"
#include "standins/http/json_response.h"
#include "standins/worker_api/worker_json.h"

namespace mulberryvalve::standins {
namespace {

using nlohmann::json;

constexpr std::chrono::seconds kMaxSilence{ 60 };
constexpr std::string_view kWorkerPrefix = "/w/";
constexpr char kAllWorkers[] = "*";
constexpr char kWrongAttemptSuffix[] = "-wrong";

enum class WorkerCall
{
  kSync,
  kStart,
  kStop,
  kCheckpoint,
  kThrottle,
  kDrain,
  kRequest,
  kRecord,
};

constexpr NameTable<WorkerCall, 8> kWorkerCallNames{ {
  { WorkerCall::kSync, "sync" },
  { WorkerCall::kStart, "start" },
  { WorkerCall::kStop, "stop" },
  { WorkerCall::kCheckpoint, "checkpoint" },
  { WorkerCall::kThrottle, "throttle" },
  { WorkerCall::kDrain, "drain" },
  { WorkerCall::kRequest, "request" },
  { WorkerCall::kRecord, "record" },
} };

struct WorkerPath
{
  std::string mWorker;
  WorkerCall mCall = WorkerCall::kSync;
};

// Parses `/w/ID/CALL`.
std::optional<WorkerPath> ParsePath(std::string_view aPath)
{
  if (aPath.substr(0, kWorkerPrefix.size()) != kWorkerPrefix) {
    return std::nullopt;
  }
  aPath.remove_prefix(kWorkerPrefix.size());
  const size_t slash = aPath.find('/');
  if (slash == std::string_view::npos) {
    return std::nullopt;
  }
  const auto call = ValueOf(kWorkerCallNames, aPath.substr(slash + 1));
  if (!call) {
    return std::nullopt;
  }
  return WorkerPath{ std::string(aPath.substr(0, slash)), *call };
}

HttpResponse DroppedResponse()
{
  HttpResponse response;
  response.mDelivery = Delivery::kDropped;
  return response;
}

HttpResponse RefusedBeforeStart(int aStatus, std::string_view aError)
{
  HttpResponse response = ErrorResponse(aStatus, aError);
  response.mHeaders.emplace_back("X-Refused", "before-start");
  return response;
}

HttpResponse ToResponse(RequestErrorCode aCode)
{
  switch (aCode) {
    case RequestErrorCode::kDraining:
      return RefusedBeforeStart(503, "draining");
    case RequestErrorCode::kNoSlot:
      return RefusedBeforeStart(429, "no_slot");
    case RequestErrorCode::kFailed:
      break;
  }
  return ErrorResponse(500, "request_error");
}

HttpResponse Sync(Worker& aWorker, const HttpRequest& aRequest)
{
  const auto object = ParseObject(aRequest.mBody);
  const auto command = object ? SyncFromJson(*object) : std::nullopt;
  if (!command) {
    return BadRequest();
  }
  const auto result = aWorker.Sync(*command);
  return result ? JsonResponse(ToJson(result.value()))
                : ToResponse(result.error());
}

HttpResponse Checkpoint(Worker& aWorker, const HttpRequest& aRequest)
{
  const auto object = ParseObject(aRequest.mBody);
  const auto command = object ? LeaseFromJson(*object) : std::nullopt;
  if (!command) {
    return BadRequest();
  }
  const auto result = aWorker.Checkpoint(*command);
  return result ? JsonResponse({ { "checkpoint", result.value() } })
                : ToResponse(result.error());
}

HttpResponse Throttle(Worker& aWorker, const HttpRequest& aRequest)
{
  const auto object = ParseObject(aRequest.mBody);
  const auto command = object ? LeaseFromJson(*object) : std::nullopt;
  const int64_t percent = object ? IntField(*object, "percent", -1) : -1;
  if (!command || percent < 0 || percent > 100) {
    return BadRequest();
  }
  const auto result = aWorker.Throttle(*command, percent);
  return result ? JsonResponse(json::object()) : ToResponse(result.error());
}

} // namespace

WorkerApi::WorkerApi(WorkerFleet& aFleet,
                     WorkerEventLog& aEventLog,
                     const Clock& aClock)
  : mFleet(aFleet)
  , mEventLog(aEventLog)
  , mClock(aClock)
{
}

HttpResponse WorkerApi::Handle(const HttpRequest& aRequest)
{
  if (aRequest.mPath == "/v1/faults") {
    return aRequest.mMethod == HttpMethod::kPost ? ChangeFaults(aRequest)
                                                 : Faults();
  }
  if (aRequest.mPath == "/v1/record") {
    return Lines({});
  }
  return HandleWorker(aRequest);
}

void WorkerApi::Stop()
{
  mStop.Stop();
  for (Worker* worker : mFleet.All()) {
    worker->Faults().Close();
  }
}

HttpResponse WorkerApi::HandleWorker(const HttpRequest& aRequest)
{
  const auto path = ParsePath(aRequest.mPath);
  Worker* worker = path ? mFleet.Find(path->mWorker) : nullptr;
  const bool get = aRequest.mMethod == HttpMethod::kGet;
  if (worker == nullptr || get != (path->mCall == WorkerCall::kRecord)) {
    return NotFound();
  }
  if (get) {
    return Lines(path->mWorker);
  }
  if (worker->Faults().WaitWhileOn(WorkerFault::kSilent,
                                   mClock.Now() + kMaxSilence) !=
      WaitResult::kSwitchedOff) {
    return DroppedResponse();
  }
  switch (path->mCall) {
    case WorkerCall::kSync:
      return Sync(*worker, aRequest);
    case WorkerCall::kStart:
      return Start(*worker, aRequest);
    case WorkerCall::kStop:
      return StopTask(*worker, aRequest);
    case WorkerCall::kCheckpoint:
      return Checkpoint(*worker, aRequest);
    case WorkerCall::kThrottle:
      return Throttle(*worker, aRequest);
    case WorkerCall::kRequest:
      return Request(*worker, aRequest);
    case WorkerCall::kDrain:
      worker->Drain();
      break;
    case WorkerCall::kRecord:
      break;
  }
  return JsonResponse(json::object());
}

HttpResponse WorkerApi::Start(Worker& aWorker, const HttpRequest& aRequest)
{
  const auto object = ParseObject(aRequest.mBody);
  const auto command = object ? StartFromJson(*object) : std::nullopt;
  if (!command) {
    return BadRequest();
  }
  const auto result = aWorker.Start(*command);
  if (!result) {
    return ToResponse(result.error());
  }
  if (aWorker.Faults().ConsumeOne(WorkerFault::kLoseStartAnswers)) {
    return DroppedResponse();
  }
  return JsonResponse({ { "clock_ms", result.value() } });
}

HttpResponse WorkerApi::StopTask(Worker& aWorker, const HttpRequest& aRequest)
{
  const auto object = ParseObject(aRequest.mBody);
  const auto command = object ? LeaseFromJson(*object) : std::nullopt;
  if (!command) {
    return BadRequest();
  }
  const auto result = aWorker.Stop(*command);
  if (!result) {
    return ToResponse(result.error());
  }
  if (aWorker.Faults().ConsumeOne(WorkerFault::kLoseStopAnswers)) {
    return DroppedResponse();
  }
  return JsonResponse({ { "clock_ms", result.value() }, { "stopped", true } });
}

HttpResponse WorkerApi::Request(Worker& aWorker, const HttpRequest& aRequest)
{
  const RequestBody body = RequestBodyFromText(aRequest.mBody);
  RequestCommand command;
  command.mAttempt = aRequest.Header("x-attempt");
  command.mKey = aRequest.Header("x-idempotency-key");
  command.mWorkMs = body.mWorkMs;
  const RequestResult ticket = aWorker.BeginRequest(command);
  if (!ticket) {
    return ToResponse(ticket.error());
  }
  // A shutdown during the work drops the connection, as a crash would.
  if (ticket.value().mEndsAt > ticket.value().mBegunAt &&
      !mStop.WaitUntil(ticket.value().mEndsAt)) {
    return DroppedResponse();
  }
  aWorker.EndRequest(command, ticket.value());

  WorkerFaults& faults = aWorker.Faults();
  if (faults.ConsumeOne(WorkerFault::kLoseRequestAnswers)) {
    return DroppedResponse();
  }
  const std::string attempt =
    faults.ConsumeOne(WorkerFault::kWrongAttemptAnswers)
      ? command.mAttempt + kWrongAttemptSuffix
      : command.mAttempt;
  HttpResponse response = JsonResponse({ { "worker", aWorker.Settings().mId },
                                         { "attempt", attempt },
                                         { "echo", body.mEcho },
                                         { "key", command.mKey } });
  response.mHeaders.emplace_back("X-Attempt", attempt);
  if (faults.ConsumeOne(WorkerFault::kTruncateAnswers)) {
    response.mDelivery = Delivery::kTruncated;
  }
  return response;
}

HttpResponse WorkerApi::Faults()
{
  json workers = json::object();
  for (Worker* worker : mFleet.All()) {
    workers[worker->Settings().mId] = ToJson(worker->Faults());
  }
  return JsonResponse({ { "workers", std::move(workers) } });
}

HttpResponse WorkerApi::ChangeFaults(const HttpRequest& aRequest)
{
  const auto object = ParseObject(aRequest.mBody);
  const auto changes =
    object ? ReadChanges(kWorkerFaults, *object) : std::nullopt;
  if (!changes) {
    return BadRequest();
  }
  const std::string id = TextField(*object, "worker");
  if (id == kAllWorkers) {
    for (Worker* worker : mFleet.All()) {
      Apply(*changes, worker->Faults());
    }
    return Faults();
  }
  Worker* worker = mFleet.Find(id);
  if (worker == nullptr) {
    return NotFound();
  }
  Apply(*changes, worker->Faults());
  return Faults();
}

HttpResponse WorkerApi::Lines(const std::string& aWorker)
{
  HttpResponse response;
  response.mContentType = "application/x-ndjson";
  response.mBody = mEventLog.Lines(aWorker);
  return response;
}

} // namespace mulberryvalve::standins
