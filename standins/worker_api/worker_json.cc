#include "standins/worker_api/worker_json.h"

#include <utility>

#include "standins/http/json_response.h"

namespace mulberryvalve::standins {
namespace {

using nlohmann::json;

std::optional<Issuer> IssuerFromJson(const json& aObject)
{
  Issuer issuer;
  issuer.mShard = TextField(aObject, "shard");
  const int64_t fence = IntField(aObject, "fence", -1);
  if (issuer.mShard.empty() || fence < 0) {
    return std::nullopt;
  }
  issuer.mFence = static_cast<uint64_t>(fence);
  return issuer;
}

TaskPayload PayloadFromJson(const json& aObject)
{
  TaskPayload payload;
  payload.mRunMs = IntField(aObject, "run_ms");
  payload.mFail = BoolField(aObject, "fail");
  payload.mFailAtStart = BoolField(aObject, "fail_at_start");
  payload.mUseCpuMillis = IntField(aObject, "use_cpu_millis", -1);
  payload.mUseMemoryMb = IntField(aObject, "use_memory_mb", -1);
  return payload;
}

json ToJson(const RunningReport& aReport)
{
  return { { "lease", aReport.mLease },
           { "task", aReport.mTask },
           { "attempt", aReport.mAttempt },
           { "expires_at", aReport.mExpiresAt },
           { "throttle_percent", aReport.mThrottlePercent },
           { "progress_ms", aReport.mProgressMs },
           { "checkpoint", aReport.mCheckpoint } };
}

json ToJson(const FinishedReport& aReport)
{
  return {
    { "lease", aReport.mLease },
    { "task", aReport.mTask },
    { "attempt", aReport.mAttempt },
    { "outcome", std::string(NameOf(kTaskOutcomeNames, aReport.mOutcome)) },
    { "checkpoint", aReport.mCheckpoint },
    { "reason", std::string(NameOf(kEndReasonNames, aReport.mReason)) }
  };
}

json ToJson(const UsageReport& aUsage)
{
  json byLease = json::array();
  for (const LeaseUsage& usage : aUsage.mByLease) {
    byLease.push_back({ { "lease", usage.mLease },
                        { "cpu_millis", usage.mCpuMillis },
                        { "memory_mb", usage.mMemoryMb } });
  }
  return { { "taken_at", aUsage.mTakenAt },
           { "cpu_millis", aUsage.mCpuMillis },
           { "memory_mb", aUsage.mMemoryMb },
           { "busy_slots", aUsage.mBusySlots },
           { "request_p99_us", aUsage.mRequestP99Us },
           { "by_lease", std::move(byLease) } };
}

} // namespace

std::optional<SyncCommand> SyncFromJson(const json& aObject)
{
  const auto issuer = IssuerFromJson(aObject);
  const json renewals = aObject.value("renew", json::array());
  const json acknowledged = aObject.value("acknowledge", json::array());
  if (!issuer || !renewals.is_array() || !acknowledged.is_array()) {
    return std::nullopt;
  }
  SyncCommand command;
  command.mIssuer = *issuer;
  for (const json& renewal : renewals) {
    if (!renewal.is_object()) {
      return std::nullopt;
    }
    command.mRenewals.push_back(
      { TextField(renewal, "lease"), IntField(renewal, "expires_at") });
  }
  for (const json& lease : acknowledged) {
    if (!lease.is_string()) {
      return std::nullopt;
    }
    command.mAcknowledged.push_back(lease.get<std::string>());
  }
  return command;
}

std::optional<StartCommand> StartFromJson(const json& aObject)
{
  const auto issuer = IssuerFromJson(aObject);
  const json payload = aObject.value("payload", json::object());
  StartCommand command;
  command.mLease = TextField(aObject, "lease");
  command.mNotAfter = IntField(aObject, "not_after", -1);
  command.mExpiresAt = IntField(aObject, "expires_at", -1);
  if (!issuer || !payload.is_object() || command.mLease.empty() ||
      command.mNotAfter < 0 || command.mExpiresAt < 0) {
    return std::nullopt;
  }
  command.mIssuer = *issuer;
  command.mBoot = TextField(aObject, "boot");
  command.mTask = TextField(aObject, "task");
  command.mAttempt = TextField(aObject, "attempt");
  command.mCpuMillis = IntField(aObject, "cpu_millis");
  command.mMemoryMb = IntField(aObject, "memory_mb");
  command.mAccelerators = IntField(aObject, "accelerators");
  command.mPayload = PayloadFromJson(payload);
  command.mResumeFrom = TextField(aObject, "resume_from");
  return command;
}

std::optional<LeaseCommand> LeaseFromJson(const json& aObject)
{
  const auto issuer = IssuerFromJson(aObject);
  const std::string lease = TextField(aObject, "lease");
  if (!issuer || lease.empty()) {
    return std::nullopt;
  }
  return LeaseCommand{ *issuer, lease };
}

RequestBody RequestBodyFromText(const std::string& aBody)
{
  const auto object = ParseObject(aBody);
  if (!object) {
    return {};
  }
  return { IntField(*object, "work_ms"), TextField(*object, "echo") };
}

json ToJson(const SyncReport& aReport)
{
  json running = json::array();
  for (const RunningReport& task : aReport.mRunning) {
    running.push_back(ToJson(task));
  }
  json finished = json::array();
  for (const FinishedReport& task : aReport.mFinished) {
    finished.push_back(ToJson(task));
  }
  return { { "boot", aReport.mBoot },
           { "clock_ms", aReport.mClockMs },
           { "running", std::move(running) },
           { "finished", std::move(finished) },
           { "usage", ToJson(aReport.mUsage) } };
}

HttpResponse ToResponse(const CommandError& aError)
{
  switch (aError.mCode) {
    case CommandErrorCode::kFenced:
      return ErrorResponse(409, "fenced", { { "fence", aError.mFence } });
    case CommandErrorCode::kOtherBoot:
      return ErrorResponse(409, "other_boot");
    case CommandErrorCode::kTooLate:
      return ErrorResponse(410, "too_late");
    case CommandErrorCode::kLeaseStopped:
      return ErrorResponse(410, "stopped");
    case CommandErrorCode::kNoLease:
      return ErrorResponse(404, "no_lease");
    case CommandErrorCode::kBadCheckpoint:
      break;
  }
  return ErrorResponse(400, "bad_checkpoint");
}

} // namespace mulberryvalve::standins
