#include "standins/platform_api/platform_api.h"

#include <algorithm>
#include <cctype>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "standins/fault_switches/fault_switches_json.h"
#include "standins/http/json_response.h"
#include "standins/instance_list/instance_json.h"

namespace mulberryvalve::standins {
namespace {

using nlohmann::json;

constexpr std::chrono::seconds kMaxSilence{ 60 };
constexpr uint64_t kDefaultReadLimit = 1000;
constexpr uint64_t kMaxReadLimit = 10000;
constexpr uint64_t kMaxReadWaitMs = 60000;
constexpr std::string_view kStreamPrefix = "/v1/streams/";
constexpr std::string_view kAppendSuffix = "/append";
constexpr std::string_view kReadSuffix = "/read";
constexpr std::string_view kInstancesPath = "/v1/instances";
constexpr std::string_view kStateSuffix = "/state";

HttpResponse Unavailable()
{
  return ErrorResponse(503, "unavailable");
}

HttpResponse DroppedResponse()
{
  HttpResponse response;
  response.mDelivery = Delivery::kDropped;
  return response;
}

bool StartsWith(std::string_view aText, std::string_view aPrefix)
{
  return aText.substr(0, aPrefix.size()) == aPrefix;
}

// Returns the non-empty part of a path between a prefix and a suffix, or
// nullopt if the path does not have both.
std::optional<std::string> StripPrefixAndSuffix(std::string_view aPath,
                                                std::string_view aPrefix,
                                                std::string_view aSuffix)
{
  if (aPath.size() <= aPrefix.size() + aSuffix.size() ||
      !StartsWith(aPath, aPrefix) ||
      aPath.substr(aPath.size() - aSuffix.size()) != aSuffix) {
    return std::nullopt;
  }
  aPath.remove_prefix(aPrefix.size());
  aPath.remove_suffix(aSuffix.size());
  return std::string(aPath);
}

bool IsStreamName(const std::string& aName)
{
  return std::all_of(aName.begin(), aName.end(), [](unsigned char aChar) {
    return std::isalnum(aChar) != 0 || aChar == '/' || aChar == '.' ||
           aChar == '_' || aChar == '-';
  });
}

std::optional<std::vector<std::string>> ReadRecords(const std::string& aBody)
{
  const auto object = ParseObject(aBody);
  if (!object || !object->contains("records") ||
      !(*object)["records"].is_array()) {
    return std::nullopt;
  }
  std::vector<std::string> records;
  for (const json& record : (*object)["records"]) {
    if (!record.is_string()) {
      return std::nullopt;
    }
    records.push_back(record.get<std::string>());
  }
  return records;
}

json ToJson(const ReadBatch& aBatch)
{
  json records = json::array();
  for (const LogRecord& record : aBatch.mRecords) {
    records.push_back(
      { { "offset", record.mOffset }, { "data", record.mData } });
  }
  return { { "oldest_offset", aBatch.mOldest },
           { "next_offset", aBatch.mNext },
           { "records", std::move(records) } };
}

} // namespace

PlatformApi::PlatformApi(LogStore& aLog,
                         AppendRateLimiter& aRateLimiter,
                         InstanceList& aInstances,
                         const Clock& aClock)
  : mLog(aLog)
  , mRateLimiter(aRateLimiter)
  , mInstances(aInstances)
  , mClock(aClock)
{
}

HttpResponse PlatformApi::Handle(const HttpRequest& aRequest)
{
  const bool post = aRequest.mMethod == HttpMethod::kPost;
  const std::string& path = aRequest.mPath;
  if (StartsWith(path, kStreamPrefix)) {
    return HandleStream(aRequest);
  }
  if (path == kInstancesPath) {
    return post ? Register(aRequest) : List();
  }
  if (post && StartsWith(path, kInstancesPath)) {
    return ChangeState(aRequest);
  }
  if (path == "/v1/faults") {
    return post ? ChangeFaults(aRequest) : JsonResponse(ToJson(mFaults));
  }
  if (path == "/v1/counters" && !post) {
    return Counters();
  }
  return NotFound();
}

void PlatformApi::Stop()
{
  mStop.Stop();
  mFaults.Close();
  mLog.Close();
}

HttpResponse PlatformApi::HandleStream(const HttpRequest& aRequest)
{
  const bool append = aRequest.mMethod == HttpMethod::kPost;
  const auto stream = StripPrefixAndSuffix(
    aRequest.mPath, kStreamPrefix, append ? kAppendSuffix : kReadSuffix);
  if (!stream) {
    return NotFound();
  }
  if (!IsStreamName(*stream)) {
    return BadRequest();
  }
  return append ? Append(*stream, aRequest) : Read(*stream, aRequest);
}

HttpResponse PlatformApi::Append(const std::string& aStream,
                                 const HttpRequest& aRequest)
{
  if (!WaitWhileSilent() || !Delay(PlatformFault::kAppendDelayMs)) {
    return DroppedResponse();
  }
  if (mFaults.IsOn(PlatformFault::kOutage)) {
    return Unavailable();
  }
  auto records = ReadRecords(aRequest.mBody);
  if (!records) {
    return BadRequest();
  }
  if (!mRateLimiter.TryAcquire()) {
    return ErrorResponse(429, "rate_limited");
  }
  ++mAppends;
  mAppendRecords += records->size();
  mBytesIn += aRequest.mBody.size();
  const AppendRange range = mLog.Append(aStream, std::move(*records));
  if (mFaults.ConsumeOne(PlatformFault::kLoseAppendAnswers)) {
    return Unavailable();
  }
  return JsonResponse(
    { { "first_offset", range.mFirst }, { "next_offset", range.mNext } });
}

HttpResponse PlatformApi::Read(const std::string& aStream,
                               const HttpRequest& aRequest)
{
  const auto from = NumberParameter(aRequest, "from", kFirstOffset);
  const auto limit = NumberParameter(aRequest, "limit", kDefaultReadLimit);
  const auto waitMs = NumberParameter(aRequest, "wait_ms", 0);
  if (!from || !limit || !waitMs) {
    return BadRequest();
  }
  if (!WaitWhileSilent() || !Delay(PlatformFault::kReadDelayMs)) {
    return DroppedResponse();
  }
  if (mFaults.IsOn(PlatformFault::kOutage)) {
    return Unavailable();
  }
  const SteadyTime deadline =
    mClock.Now() + Milliseconds(std::min(*waitMs, kMaxReadWaitMs));
  const ReadResult result =
    mLog.Read(aStream, { *from, std::min(*limit, kMaxReadLimit) }, deadline);
  // Faults switched on during the wait apply to this call too.
  if (!WaitWhileSilent()) {
    return DroppedResponse();
  }
  if (mFaults.IsOn(PlatformFault::kOutage)) {
    return Unavailable();
  }
  if (!result) {
    return ErrorResponse(
      410, "offset_expired", { { "oldest_offset", result.error().mOldest } });
  }
  HttpResponse response = JsonResponse(ToJson(result.value()));
  ++mReads;
  mBytesOut += response.mBody.size();
  return response;
}

HttpResponse PlatformApi::List()
{
  if (!WaitWhileSilent()) {
    return DroppedResponse();
  }
  if (mFaults.IsOn(PlatformFault::kOutage) ||
      mFaults.IsOn(PlatformFault::kListOutage)) {
    return Unavailable();
  }
  json workers = json::array();
  for (const Instance& instance : mInstances.Visible()) {
    workers.push_back(standins::ToJson(instance));
  }
  return JsonResponse({ { "workers", std::move(workers) } });
}

HttpResponse PlatformApi::Register(const HttpRequest& aRequest)
{
  const auto object = ParseObject(aRequest.mBody);
  const auto instance = object ? InstanceFromJson(*object) : std::nullopt;
  if (!instance) {
    return BadRequest();
  }
  mInstances.Register(*instance);
  return JsonResponse(json::object());
}

HttpResponse PlatformApi::ChangeState(const HttpRequest& aRequest)
{
  const auto id = StripPrefixAndSuffix(
    aRequest.mPath, std::string(kInstancesPath) + "/", kStateSuffix);
  if (!id) {
    return NotFound();
  }
  const auto object = ParseObject(aRequest.mBody);
  const auto state =
    object ? ValueOf(kInstanceStateNames, TextField(*object, "state"))
           : std::nullopt;
  if (!state) {
    return BadRequest();
  }
  if (!mInstances.ChangeState(*id, *state)) {
    return ErrorResponse(404, "unknown_instance");
  }
  return JsonResponse(json::object());
}

HttpResponse PlatformApi::ChangeFaults(const HttpRequest& aRequest)
{
  const auto object = ParseObject(aRequest.mBody);
  const auto changes =
    object ? ReadChanges(kPlatformFaults, *object) : std::nullopt;
  if (!changes) {
    return BadRequest();
  }
  Apply(*changes, mFaults);
  return JsonResponse(standins::ToJson(mFaults));
}

HttpResponse PlatformApi::Counters() const
{
  return JsonResponse({ { "appends", mAppends.load() },
                        { "append_records", mAppendRecords.load() },
                        { "reads", mReads.load() },
                        { "bytes_in", mBytesIn.load() },
                        { "bytes_out", mBytesOut.load() } });
}

bool PlatformApi::WaitWhileSilent()
{
  return mFaults.WaitWhileOn(PlatformFault::kSilent,
                             mClock.Now() + kMaxSilence) ==
         WaitResult::kSwitchedOff;
}

bool PlatformApi::Delay(PlatformFault aSwitch)
{
  const int64_t delayMs = mFaults.Value(aSwitch);
  return delayMs == 0 || mStop.WaitUntil(mClock.Now() + Milliseconds(delayMs));
}

} // namespace mulberryvalve::standins
