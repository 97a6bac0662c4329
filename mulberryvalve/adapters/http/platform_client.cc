#include "mulberryvalve/adapters/http/platform_client.h"

#include "mulberryvalve/adapters/http/http_status.h"
#include "mulberryvalve/adapters/json/json_reader.h"
#include "mulberryvalve/adapters/json/json_text.h"
#include "mulberryvalve/adapters/json/model_json.h"
#include "mulberryvalve/adapters/json/record_codec.h"

#include <utility>

namespace mulberryvalve {
namespace {

using nlohmann::json;

constexpr size_t kMaxAnswerBytes = 32 * 1024 * 1024;
constexpr size_t kMaxPageRecords = 100'000;
constexpr size_t kMaxWorkers = 100'000;

Failure OffsetExpiredFailure(const HttpAnswer& aAnswer)
{
  Failure expired = Fail(FailureKind::kOffsetExpired, "platform");
  const Result<json> body = ParseJson(aAnswer.mBody, kMaxAnswerBytes);
  if (body) {
    JsonReader reader(body.value());
    expired.mOldest =
      static_cast<uint64_t>(reader.NumberOr("oldest_offset", 0));
  }
  return expired;
}

Failure FailureFromAnswer(const HttpAnswer& aAnswer)
{
  if (aAnswer.mOutcome != HttpOutcome::kAnswered) {
    return Fail(FailureKind::kLogAnswerLost,
                "platform",
                std::string(kHttpOutcomeNames.Name(aAnswer.mOutcome)));
  }
  switch (aAnswer.mStatus) {
    case kStatusGone:
      return OffsetExpiredFailure(aAnswer);
    case kStatusTooLarge:
      return Fail(FailureKind::kTooLarge, "platform");
    case kStatusTooMany:
      return Fail(FailureKind::kLogRateLimited, "platform");
    default:
      return Fail(FailureKind::kLogUnavailable,
                  "platform",
                  "status " + std::to_string(aAnswer.mStatus));
  }
}

Result<json> ParseAnswer(const HttpAnswer& aAnswer)
{
  if (aAnswer.mOutcome != HttpOutcome::kAnswered ||
      aAnswer.mStatus != kStatusOk) {
    return FailureFromAnswer(aAnswer);
  }
  return ParseJson(aAnswer.mBody, kMaxAnswerBytes);
}

StoredRecord ReadStoredRecord(const json& aItem)
{
  StoredRecord stored;
  if (!aItem.is_object()) {
    stored.mRecord.mBody = UnreadableRecord{};
    return stored;
  }
  JsonReader reader(aItem);
  stored.mOffset = Offset(reader.Number("offset", 1));
  const Result<LogRecord> decoded =
    DecodeRecord(reader.Text("data", kMaxRecordBytes));
  if (decoded && !reader.Fault()) {
    stored.mRecord = decoded.value();
  } else {
    stored.mRecord.mBody = UnreadableRecord{};
  }
  return stored;
}

} // namespace

PlatformClient::PlatformClient(Endpoint aPlatform,
                               HttpClientPool& aPool,
                               Milliseconds aTimeout)
  : mPlatform(std::move(aPlatform))
  , mPool(aPool)
  , mTimeout(aTimeout)
{
}

Result<AppendedRange> PlatformClient::Append(
  const StreamName& aStream,
  const std::vector<LogRecord>& aRecords)
{
  json records = json::array();
  for (const LogRecord& record : aRecords) {
    records.push_back(EncodeRecord(record));
  }
  HttpCall call;
  call.mMethod = HttpMethod::kPost;
  call.mPath = "/v1/streams/" + aStream.Text() + "/append";
  call.mBody = WriteJsonText({ { "records", std::move(records) } });
  call.mTimeout = mTimeout;
  const Result<json> answer = ParseAnswer(mPool.Exchange(mPlatform, call));
  if (!answer) {
    return answer.error();
  }
  JsonReader reader(answer.value());
  AppendedRange range;
  range.mFirst = Offset(reader.Number("first_offset", 1));
  range.mNext = Offset(reader.Number("next_offset", 1));
  if (reader.Fault()) {
    return Fail(FailureKind::kLogAnswerLost, "platform", "malformed answer");
  }
  return range;
}

Result<LogPage> PlatformClient::Read(const StreamName& aStream,
                                     Offset aFrom,
                                     uint32_t aLimit,
                                     Milliseconds aWait)
{
  HttpCall call;
  call.mPath = "/v1/streams/" + aStream.Text() +
               "/read?from=" + std::to_string(aFrom.Value()) +
               "&limit=" + std::to_string(aLimit) +
               "&wait_ms=" + std::to_string(aWait.count());
  call.mTimeout = mTimeout + aWait;
  const Result<json> answer = ParseAnswer(mPool.Exchange(mPlatform, call));
  if (!answer) {
    return answer.error();
  }
  JsonReader reader(answer.value());
  LogPage page;
  page.mOldest = Offset(reader.Number("oldest_offset"));
  page.mNext = Offset(reader.Number("next_offset", 1));
  for (const json& item : reader.Array("records", kMaxPageRecords)) {
    page.mRecords.push_back(ReadStoredRecord(item));
  }
  if (reader.Fault()) {
    return Fail(FailureKind::kMalformed, "platform", "malformed page");
  }
  return page;
}

Result<std::vector<WorkerSpec>> PlatformClient::Workers()
{
  HttpCall call;
  call.mPath = "/v1/instances";
  call.mTimeout = mTimeout;
  const Result<json> answer = ParseAnswer(mPool.Exchange(mPlatform, call));
  if (!answer) {
    return answer.error();
  }
  JsonReader reader(answer.value());
  std::vector<WorkerSpec> workers;
  for (const json& item : reader.Array("workers", kMaxWorkers)) {
    if (!item.is_object()) {
      return Fail(FailureKind::kMalformed, "workers");
    }
    JsonReader row(item);
    WorkerSpec worker = ReadWorker(row);
    if (!row.Fault()) {
      workers.push_back(std::move(worker));
    }
  }
  if (reader.Fault()) {
    return Fail(FailureKind::kMalformed, "workers");
  }
  return workers;
}

} // namespace mulberryvalve
