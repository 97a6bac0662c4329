#include "mulberryvalve/adapters/http/worker_client.h"

#include "mulberryvalve/adapters/http/http_status.h"
#include "mulberryvalve/adapters/json/json_reader.h"
#include "mulberryvalve/adapters/json/json_text.h"
#include "mulberryvalve/adapters/json/model_json.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

namespace mulberryvalve {
namespace {

using nlohmann::json;

constexpr size_t kMaxAnswerBytes = 4 * 1024 * 1024;
constexpr size_t kMaxLeases = 10'000;

json FenceToJson(const CommandFence& aFence)
{
  return json{ { "shard", aFence.mShard.Text() },
               { "fence", aFence.mEpoch.Value() } };
}

json LeaseCommandToJson(const CommandFence& aFence, const LeaseId& aLease)
{
  json body = FenceToJson(aFence);
  body["lease"] = aLease.Text();
  return body;
}

// Workers store the attempt as a string. One that is not a number becomes 0,
// which matches no attempt.
Attempt ReadAttempt(JsonReader& aReader)
{
  const std::string text = aReader.Text("attempt");
  uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return Attempt(number);
}

RunningLease ReadRunningLease(JsonReader& aReader)
{
  RunningLease lease;
  lease.mLease = LeaseId(aReader.Text("lease"));
  lease.mTask = TaskId(aReader.Text("task"));
  lease.mAttempt = ReadAttempt(aReader);
  lease.mExpiresAt.mMilliseconds = aReader.NumberOr("expires_at", 0);
  lease.mThrottlePercent =
    static_cast<int>(aReader.NumberOr("throttle_percent", 100, 0, 100));
  lease.mProgress = Milliseconds(aReader.NumberOr("progress_ms", 0));
  lease.mCheckpoint = CheckpointId(aReader.TextOr("checkpoint", ""));
  return lease;
}

FinishedLease ReadFinishedLease(JsonReader& aReader)
{
  FinishedLease lease;
  lease.mLease = LeaseId(aReader.Text("lease"));
  lease.mTask = TaskId(aReader.Text("task"));
  lease.mAttempt = ReadAttempt(aReader);
  lease.mEnd = aReader.Enum("outcome", kLeaseEndNames);
  lease.mCheckpoint = CheckpointId(aReader.TextOr("checkpoint", ""));
  lease.mReason = aReader.TextOr("reason", "", kMaxShortText);
  return lease;
}

LeaseUsage ReadLeaseUsage(JsonReader& aReader)
{
  LeaseUsage usage;
  usage.mLease = LeaseId(aReader.Text("lease"));
  usage.mCpuMillis = aReader.NumberOr("cpu_millis", 0);
  usage.mMemoryMb = aReader.NumberOr("memory_mb", 0);
  return usage;
}

// Reads a list of objects; one invalid item makes the whole answer malformed.
template<typename T, typename ItemReader>
bool ReadList(JsonReader& aReader,
              const char* aName,
              ItemReader aReadItem,
              std::vector<T>& aInto)
{
  for (const json& item : aReader.Array(aName, kMaxLeases)) {
    if (!item.is_object()) {
      return false;
    }
    JsonReader row(item);
    aInto.push_back(aReadItem(row));
    if (row.Fault()) {
      return false;
    }
  }
  return !aReader.Fault();
}

bool ReadUsageReport(const json& aUsage, UsageReport& aReport)
{
  JsonReader reader(aUsage);
  aReport.mTakenAt.mMilliseconds = reader.NumberOr("taken_at", 0);
  aReport.mCpuMillis = reader.NumberOr("cpu_millis", 0);
  aReport.mMemoryMb = reader.NumberOr("memory_mb", 0);
  aReport.mBusySlots =
    static_cast<int>(reader.NumberOr("busy_slots", 0, 0, kMaxResource));
  aReport.mRequestP99 = Microseconds(reader.NumberOr("request_p99_us", 0));
  return !reader.Has("by_lease") ||
         ReadList(reader, "by_lease", ReadLeaseUsage, aReport.mByLease);
}

bool ReadSyncReply(const json& aAnswer, SyncReply& aReply)
{
  JsonReader reader(aAnswer);
  aReply.mBoot = reader.Text("boot");
  aReply.mClock.mMilliseconds = reader.Number("clock_ms");
  const bool lists =
    ReadList(reader, "running", ReadRunningLease, aReply.mRunning) &&
    ReadList(reader, "finished", ReadFinishedLease, aReply.mFinished);
  return lists &&
         (!reader.Has("usage") ||
          ReadUsageReport(reader.Object("usage"), aReply.mUsage)) &&
         !reader.Fault();
}

} // namespace

WorkerClient::WorkerClient(HttpClientPool& aPool, Milliseconds aTimeout)
  : mPool(aPool)
  , mTimeout(aTimeout)
{
}

Result<std::string> WorkerClient::Post(const WorkerSpec& aWorker,
                                       const std::string& aCommand,
                                       const std::string& aBody)
{
  HttpCall call;
  call.mMethod = HttpMethod::kPost;
  call.mPath = "/w/" + aWorker.mId.Text() + "/" + aCommand;
  call.mBody = aBody;
  call.mTimeout = mTimeout;
  HttpAnswer answer = mPool.Exchange(aWorker.mEndpoint, call);
  const std::string& who = aWorker.mId.Text();
  if (answer.mOutcome == HttpOutcome::kNotConnected) {
    return Fail(FailureKind::kWorkerUnreachable, who);
  }
  if (answer.mOutcome == HttpOutcome::kLost) {
    return Fail(FailureKind::kWorkerAnswerLost, who);
  }
  if (answer.mStatus == kStatusConflict) {
    return Fail(FailureKind::kWorkerFenced, who, answer.mBody);
  }
  if (answer.mStatus != kStatusOk) {
    return Fail(FailureKind::kWorkerRefused, who, answer.mBody);
  }
  return std::move(answer.mBody);
}

Result<SyncReply> WorkerClient::Sync(const WorkerSpec& aWorker,
                                     const SyncRequest& aRequest)
{
  json body = FenceToJson(aRequest.mFence);
  body["renew"] = json::array();
  for (const LeaseRenewal& renewal : aRequest.mRenewals) {
    body["renew"].push_back(
      { { "lease", renewal.mLease.Text() },
        { "expires_at", renewal.mExpiresAt.mMilliseconds } });
  }
  body["acknowledge"] = json::array();
  for (const LeaseId& lease : aRequest.mAcknowledged) {
    body["acknowledge"].push_back(lease.Text());
  }
  const Result<std::string> answer = Post(aWorker, "sync", WriteJsonText(body));
  if (!answer) {
    return answer.error();
  }
  const Result<json> parsed = ParseJson(answer.value(), kMaxAnswerBytes);
  SyncReply reply;
  if (!parsed || !ReadSyncReply(parsed.value(), reply)) {
    return Fail(FailureKind::kMalformed, aWorker.mId.Text(), "sync answer");
  }
  return reply;
}

Result<void> WorkerClient::Start(const WorkerSpec& aWorker,
                                 const StartCommand& aCommand)
{
  json body = LeaseCommandToJson(aCommand.mFence, aCommand.mLease);
  body["task"] = aCommand.mTask.Text();
  body["attempt"] = std::to_string(aCommand.mAttempt.Value());
  body["boot"] = aCommand.mBoot;
  body["class"] = aCommand.mDemand.mClass.Text();
  WriteResources(body, aCommand.mDemand.mResources);
  const json payload = ReadJsonText(aCommand.mDemand.mPayload);
  body["payload"] = payload.is_object() ? payload : json::object();
  body["resume_from"] = aCommand.mResumeFrom.Text();
  body["not_after"] = aCommand.mNotAfter.mMilliseconds;
  body["expires_at"] = aCommand.mExpiresAt.mMilliseconds;
  const Result<std::string> answer =
    Post(aWorker, "start", WriteJsonText(body));
  if (!answer) {
    return answer.error();
  }
  return Done();
}

Result<void> WorkerClient::Stop(const WorkerSpec& aWorker,
                                const CommandFence& aFence,
                                const LeaseId& aLease)
{
  const Result<std::string> answer =
    Post(aWorker, "stop", WriteJsonText(LeaseCommandToJson(aFence, aLease)));
  if (!answer) {
    return answer.error();
  }
  return Done();
}

Result<CheckpointId> WorkerClient::Checkpoint(const WorkerSpec& aWorker,
                                              const CommandFence& aFence,
                                              const LeaseId& aLease)
{
  const Result<std::string> answer = Post(
    aWorker, "checkpoint", WriteJsonText(LeaseCommandToJson(aFence, aLease)));
  if (!answer) {
    return answer.error();
  }
  const Result<json> parsed = ParseJson(answer.value(), kMaxAnswerBytes);
  if (!parsed) {
    return Fail(FailureKind::kMalformed, aWorker.mId.Text(), "checkpoint");
  }
  JsonReader reader(parsed.value());
  CheckpointId checkpoint(reader.Text("checkpoint"));
  if (reader.Fault()) {
    return Fail(FailureKind::kMalformed, aWorker.mId.Text(), "checkpoint");
  }
  return checkpoint;
}

Result<void> WorkerClient::Throttle(const WorkerSpec& aWorker,
                                    const CommandFence& aFence,
                                    const LeaseId& aLease,
                                    int aPercent)
{
  json body = LeaseCommandToJson(aFence, aLease);
  body["percent"] = aPercent;
  const Result<std::string> answer =
    Post(aWorker, "throttle", WriteJsonText(body));
  if (!answer) {
    return answer.error();
  }
  return Done();
}

} // namespace mulberryvalve
