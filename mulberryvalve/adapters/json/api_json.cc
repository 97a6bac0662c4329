#include "mulberryvalve/adapters/json/api_json.h"

#include "mulberryvalve/adapters/json/explanation_json.h"
#include "mulberryvalve/adapters/json/failure_json.h"
#include "mulberryvalve/adapters/json/json_reader.h"
#include "mulberryvalve/adapters/json/model_json.h"
#include "mulberryvalve/adapters/json/text_validation.h"

namespace mulberryvalve {
namespace {

using nlohmann::json;

constexpr size_t kMaxSubmissionBytes = 64 * 1024;
constexpr size_t kMaxChangeBytes = 4 * 1024;
constexpr size_t kMaxReasonBytes = 256;

json WriterToJson(const WriterId& aWriter)
{
  return json{ { "instance", aWriter.mInstance.Text() },
               { "incarnation", aWriter.mIncarnation.Value() } };
}

json TaskToJson(const TaskEntry& aTask, bool aHistory)
{
  json object{ { "task", aTask.mId.Text() },
               { "state", kTaskStateNames.Name(aTask.mState) },
               { "attempt", aTask.mAttempt.Value() },
               { "worker", aTask.mWorker.Text() },
               { "checkpoint", aTask.mCheckpoint.Text() },
               { "failures", aTask.mFailures },
               { "reason", aTask.mReason } };
  if (!aHistory) {
    return object;
  }
  object["history"] = json::array();
  for (const TaskChange& change : aTask.mHistory) {
    object["history"].push_back(
      { { "offset", change.mOffset.Value() },
        { "at_ms", change.mWritten.mMilliseconds },
        { "state", kTaskStateNames.Name(change.mState) },
        { "attempt", change.mAttempt.Value() },
        { "worker", change.mWorker.Text() },
        { "reason", change.mReason } });
  }
  return object;
}

void AddDecisions(json& aTasks, const JobView& aJob)
{
  for (json& task : aTasks) {
    for (const Explanation& explanation : aJob.mExplanations) {
      if (explanation.mTask.Text() == task["task"]) {
        task["decisions"] = DecisionsToJson(explanation, aJob.mAt);
      }
    }
  }
}

// TextField is a string from a request and its maximum size.
struct TextField
{
  const char* mName;
  const std::string& mText;
  size_t mMaxBytes;
};

std::optional<Failure> FirstFault(std::initializer_list<TextField> aFields)
{
  for (const TextField& field : aFields) {
    if (auto fault =
          CheckPrintable(field.mName, field.mText, field.mMaxBytes)) {
      return fault;
    }
  }
  return std::nullopt;
}

} // namespace

json OutcomeToJson(const RequestOutcome& aOutcome)
{
  json attempts = json::array();
  for (const AttemptId& attempt : aOutcome.mAttempts) {
    attempts.push_back(attempt.Text());
  }
  return json{ { "status", kRequestStatusNames.Name(aOutcome.mStatus) },
               { "reason", kRequestReasonNames.Name(aOutcome.mReason) },
               { "attempts", std::move(attempts) },
               { "worker", aOutcome.mWorker.Text() },
               { "safe_to_retry", aOutcome.mSafeToRetry } };
}

json ReceiptToJson(const JobReceipt& aReceipt)
{
  return json{ { "job", aReceipt.mJob.Text() },
               { "shard", aReceipt.mShard.Text() },
               { "offset", aReceipt.mOffset.Value() },
               { "existed", aReceipt.mExisted } };
}

json JobToJson(const JobView& aJob, bool aHistory)
{
  json object{ { "job", aJob.mSpec.mId.Text() },
               { "parts", aJob.mSpec.mParts },
               { "cancel_requested", aJob.mCancelRequested } };
  WriteDemand(object, aJob.mSpec.mDemand);
  json counts = json::object();
  object["tasks"] = json::array();
  for (const TaskEntry& task : aJob.mTasks) {
    const std::string state(kTaskStateNames.Name(task.mState));
    counts[state] = counts.value(state, 0) + 1;
    object["tasks"].push_back(TaskToJson(task, aHistory));
  }
  object["states"] = std::move(counts);
  if (aHistory) {
    AddDecisions(object["tasks"], aJob);
  }
  return object;
}

json StatusToJson(const InstanceStatus& aStatus)
{
  json object = WriterToJson(aStatus.mSelf);
  object["domain"] = aStatus.mDomain.Text();
  object["ready"] = aStatus.mReady;
  object["stopping"] = aStatus.mStopping;
  object["log_reachable"] = aStatus.mLogReachable;
  object["bundle"] = { { "version", aStatus.mBundle.mVersion.Value() },
                       { "digest", aStatus.mBundle.mDigest },
                       { "offset", aStatus.mBundle.mOffset.Value() } };
  object["newest_bundle"] = aStatus.mNewestBundle.Value();
  object["shards"] = json::array();
  for (const ShardStatus& shard : aStatus.mShards) {
    object["shards"].push_back({ { "shard", shard.mShard.Text() },
                                 { "owner", WriterToJson(shard.mClaim.mOwner) },
                                 { "epoch", shard.mClaim.mEpoch.Value() },
                                 { "released", shard.mClaim.mReleased },
                                 { "acting_here", shard.mIsActiveOwner },
                                 { "folded", shard.mFolded.Value() },
                                 { "waiting", shard.mWaiting },
                                 { "held", shard.mHeld } });
  }
  object["peers_alive"] = json::array();
  for (const WriterId& peer : aStatus.mPeersAlive) {
    object["peers_alive"].push_back(WriterToJson(peer));
  }
  return object;
}

json DomainToJson(const DomainView& aDomain)
{
  return json{ { "domain", aDomain.mDomain.Text() },
               { "state", kDomainStateNames.Name(aDomain.mStatus.mState) },
               { "offset", aDomain.mStatus.mOffset.Value() },
               { "operator", aDomain.mStatus.mOperator.Text() },
               { "reason", aDomain.mStatus.mReason } };
}

json BundleToJson(const PublishedBundle& aBundle)
{
  return json{ { "version", aBundle.mVersion.Value() },
               { "digest", aBundle.mDigest },
               { "operator", aBundle.mOperator.Text() },
               { "offset", aBundle.mOffset.Value() },
               { "document", aBundle.mDocument } };
}

json PublishFailureToJson(const PublishFailure& aFailure)
{
  json object = FailureToJson(aFailure.mFailure);
  json faults = json::array();
  for (const BundleFault& fault : aFailure.mFaults) {
    faults.push_back({ { "kind", kBundleFaultKindNames.Name(fault.mKind) },
                       { "path", fault.mPath },
                       { "value", fault.mValue },
                       { "allowed", fault.mAllowed } });
  }
  object["faults"] = std::move(faults);
  return object;
}

json AuditToJson(const AuditPage& aPage)
{
  json rows = json::array();
  for (const AuditEntry& entry : aPage.mEntries) {
    rows.push_back({ { "at_ms", entry.mAt.mMilliseconds },
                     { "stream", entry.mStream.Text() },
                     { "offset", entry.mOffset.Value() },
                     { "who", entry.mWho },
                     { "kind", kAuditKindNames.Name(entry.mKind) },
                     { "subject", entry.mSubject },
                     { "before", entry.mBefore },
                     { "after", entry.mAfter },
                     { "why", entry.mWhy },
                     { "verdict", kAuditVerdictNames.Name(entry.mVerdict) },
                     { "winner", entry.mWinner.Value() } });
  }
  return json{ { "audit", std::move(rows) },
               { "truncated", aPage.mTruncated } };
}

Result<JobSubmission> ReadSubmission(const std::string& aBody)
{
  const Result<json> parsed = ParseJson(aBody, kMaxSubmissionBytes);
  if (!parsed) {
    return parsed.error();
  }
  JsonReader reader(parsed.value());
  JobSubmission submission;
  submission.mName = reader.TextOr("name", "");
  submission.mPinnedDomain = DomainId(reader.TextOr("home", ""));
  submission.mParts =
    static_cast<uint32_t>(reader.NumberOr("parts", 1, 1, kMaxJobParts));
  submission.mDemand = ReadDemand(reader);
  if (reader.Fault()) {
    return *reader.Fault();
  }
  const TaskDemand& demand = submission.mDemand;
  if (const auto fault =
        FirstFault({ { "name", submission.mName, kMaxNameBytes },
                     { "home", submission.mPinnedDomain.Text(), kMaxNameBytes },
                     { "team", demand.mTeam.Text(), kMaxIdBytes },
                     { "class", demand.mClass.Text(), kMaxIdBytes } })) {
    return *fault;
  }
  if (!ParseJson(demand.mPayload, kMaxPayloadBytes)) {
    return Fail(FailureKind::kInvalidInput,
                "payload",
                "a text that holds a JSON object, nested " +
                  std::to_string(kMaxJsonDepth) + " deep at most");
  }
  return submission;
}

Result<DomainChanged> ReadDomainChange(const DomainId& aDomain,
                                       const std::string& aBody)
{
  const Result<json> parsed = ParseJson(aBody, kMaxChangeBytes);
  if (!parsed) {
    return parsed.error();
  }
  JsonReader reader(parsed.value());
  DomainChanged change;
  change.mDomain = aDomain;
  change.mState = reader.Enum("state", kDomainStateNames);
  change.mExpected = Offset(reader.NumberOr("expected", 0));
  change.mReason = reader.TextOr("reason", "");
  change.mOperator = OperatorId(reader.TextOr("operator", ""));
  if (reader.Fault()) {
    return *reader.Fault();
  }
  if (const auto fault =
        FirstFault({ { "operator", change.mOperator.Text(), kMaxNameBytes },
                     { "reason", change.mReason, kMaxReasonBytes } })) {
    return *fault;
  }
  return change;
}

} // namespace mulberryvalve
