#include "mulberryvalve/adapters/json/record_codec.h"

#include "mulberryvalve/adapters/json/json_reader.h"
#include "mulberryvalve/adapters/json/json_text.h"
#include "mulberryvalve/adapters/json/model_json.h"
#include "mulberryvalve/adapters/json/snapshot_json.h"

#include <array>
#include <nlohmann/json.hpp>
#include <utility>

namespace mulberryvalve {
namespace {

using nlohmann::json;

constexpr size_t kMaxDocumentBytes = 512 * 1024;
constexpr size_t kMaxAnswerBytes = 64 * 1024;
constexpr size_t kMaxReasonBytes = 4096;

// Must be in the order of the alternatives of Record.
constexpr std::array<std::string_view, std::variant_size_v<Record>>
  kRecordNames{
    "bundle_published",     "bundle_signed_off",
    "domain_changed",       "shard_claimed",
    "shard_released",       "job_submitted",
    "job_cancel_requested", "task_assigned",
    "task_started",         "task_finished",
    "task_checkpointing",   "task_evicted",
    "task_cancelled",       "task_impossible",
    "task_handed_over",     "task_handover_confirmed",
    "task_received",        "key_claimed",
    "key_settled",          "audit_note",
    "snapshot_begun",       "snapshot_part",
    "snapshot_ended",       "unreadable",
  };

void WriteAttempt(json& aObject, const TaskId& aTask, Attempt aAttempt)
{
  aObject["task"] = aTask.Text();
  aObject["attempt"] = aAttempt.Value();
}

template<typename R>
void ReadAttempt(JsonReader& aReader, R& aRecord)
{
  aRecord.mTask = TaskId(aReader.Text("task"));
  aRecord.mAttempt = Attempt(aReader.Number("attempt"));
}

void WriteFields(json& aObject, const BundlePublished& aRecord)
{
  aObject["version"] = aRecord.mVersion.Value();
  aObject["expected"] = aRecord.mExpected.Value();
  aObject["document"] = aRecord.mDocument;
  aObject["operator"] = aRecord.mOperator.Text();
}
void ReadFields(JsonReader& aReader, BundlePublished& aRecord)
{
  aRecord.mVersion = BundleVersion(aReader.Number("version", 1));
  aRecord.mExpected = BundleVersion(aReader.Number("expected"));
  aRecord.mDocument = aReader.Text("document", kMaxDocumentBytes);
  aRecord.mOperator = OperatorId(aReader.Text("operator"));
}

void WriteFields(json& aObject, const BundleSignedOff& aRecord)
{
  aObject["version"] = aRecord.mVersion.Value();
  aObject["digest"] = aRecord.mDigest;
  aObject["operator"] = aRecord.mOperator.Text();
}
void ReadFields(JsonReader& aReader, BundleSignedOff& aRecord)
{
  aRecord.mVersion = BundleVersion(aReader.Number("version", 1));
  aRecord.mDigest = aReader.Text("digest");
  aRecord.mOperator = OperatorId(aReader.Text("operator"));
}

void WriteFields(json& aObject, const DomainChanged& aRecord)
{
  aObject["domain"] = aRecord.mDomain.Text();
  aObject["state"] = kDomainStateNames.Name(aRecord.mState);
  aObject["expected"] = aRecord.mExpected.Value();
  aObject["operator"] = aRecord.mOperator.Text();
  aObject["reason"] = aRecord.mReason;
}
void ReadFields(JsonReader& aReader, DomainChanged& aRecord)
{
  aRecord.mDomain = DomainId(aReader.Text("domain"));
  aRecord.mState = aReader.Enum("state", kDomainStateNames);
  aRecord.mExpected = Offset(aReader.Number("expected"));
  aRecord.mOperator = OperatorId(aReader.Text("operator"));
  aRecord.mReason = aReader.TextOr("reason", "", kMaxReasonBytes);
}

void WriteFields(json&, const ShardClaimed&) {}
void ReadFields(JsonReader&, ShardClaimed&) {}
void WriteFields(json&, const ShardReleased&) {}
void ReadFields(JsonReader&, ShardReleased&) {}
void WriteFields(json&, const UnreadableRecord&) {}
void ReadFields(JsonReader&, UnreadableRecord&) {}

void WriteFields(json& aObject, const JobSubmitted& aRecord)
{
  aObject["job"] = aRecord.mJob.mId.Text();
  aObject["parts"] = aRecord.mJob.mParts;
  WriteDemand(aObject, aRecord.mJob.mDemand);
}
void ReadFields(JsonReader& aReader, JobSubmitted& aRecord)
{
  aRecord.mJob.mId = JobId(aReader.Text("job"));
  aRecord.mJob.mParts =
    static_cast<uint32_t>(aReader.Number("parts", 1, kMaxJobParts));
  aRecord.mJob.mDemand = ReadDemand(aReader);
}

void WriteFields(json& aObject, const JobCancelRequested& aRecord)
{
  aObject["job"] = aRecord.mJob.Text();
  aObject["operator"] = aRecord.mOperator.Text();
}
void ReadFields(JsonReader& aReader, JobCancelRequested& aRecord)
{
  aRecord.mJob = JobId(aReader.Text("job"));
  aRecord.mOperator = OperatorId(aReader.TextOr("operator", ""));
}

void WriteFields(json& aObject, const TaskAssigned& aRecord)
{
  WriteAttempt(aObject, aRecord.mTask, aRecord.mAttempt);
  aObject["worker"] = aRecord.mWorker.Text();
}
void ReadFields(JsonReader& aReader, TaskAssigned& aRecord)
{
  ReadAttempt(aReader, aRecord);
  aRecord.mWorker = WorkerId(aReader.Text("worker"));
}

void WriteFields(json& aObject, const TaskStarted& aRecord)
{
  WriteAttempt(aObject, aRecord.mTask, aRecord.mAttempt);
}
void ReadFields(JsonReader& aReader, TaskStarted& aRecord)
{
  ReadAttempt(aReader, aRecord);
}

void WriteFields(json& aObject, const TaskFinished& aRecord)
{
  WriteAttempt(aObject, aRecord.mTask, aRecord.mAttempt);
  aObject["state"] = kTaskStateNames.Name(aRecord.mState);
  aObject["reason"] = aRecord.mReason;
}
void ReadFields(JsonReader& aReader, TaskFinished& aRecord)
{
  ReadAttempt(aReader, aRecord);
  aRecord.mState = aReader.Enum("state", kTaskStateNames);
  aRecord.mReason = aReader.TextOr("reason", "", kMaxReasonBytes);
}

void WriteFields(json& aObject, const TaskCheckpointing& aRecord)
{
  WriteAttempt(aObject, aRecord.mTask, aRecord.mAttempt);
  aObject["cause"] = kEvictionCauseNames.Name(aRecord.mCause);
}
void ReadFields(JsonReader& aReader, TaskCheckpointing& aRecord)
{
  ReadAttempt(aReader, aRecord);
  aRecord.mCause = aReader.Enum("cause", kEvictionCauseNames);
}

void WriteFields(json& aObject, const TaskEvicted& aRecord)
{
  WriteAttempt(aObject, aRecord.mTask, aRecord.mAttempt);
  aObject["cause"] = kEvictionCauseNames.Name(aRecord.mCause);
  aObject["checkpoint"] = aRecord.mCheckpoint.Text();
}
void ReadFields(JsonReader& aReader, TaskEvicted& aRecord)
{
  ReadAttempt(aReader, aRecord);
  aRecord.mCause = aReader.Enum("cause", kEvictionCauseNames);
  aRecord.mCheckpoint = CheckpointId(aReader.TextOr("checkpoint", ""));
}

void WriteFields(json& aObject, const TaskCancelled& aRecord)
{
  aObject["task"] = aRecord.mTask.Text();
}
void ReadFields(JsonReader& aReader, TaskCancelled& aRecord)
{
  aRecord.mTask = TaskId(aReader.Text("task"));
}

void WriteFields(json& aObject, const TaskImpossible& aRecord)
{
  aObject["task"] = aRecord.mTask.Text();
  aObject["reason"] = aRecord.mReason;
}
void ReadFields(JsonReader& aReader, TaskImpossible& aRecord)
{
  aRecord.mTask = TaskId(aReader.Text("task"));
  aRecord.mReason = aReader.TextOr("reason", "", kMaxReasonBytes);
}

void WriteFields(json& aObject, const TaskHandedOver& aRecord)
{
  aObject["task"] = aRecord.mTask.Text();
  aObject["target"] = aRecord.mTarget.Text();
}
void ReadFields(JsonReader& aReader, TaskHandedOver& aRecord)
{
  aRecord.mTask = TaskId(aReader.Text("task"));
  aRecord.mTarget = ShardId(aReader.Text("target"));
}

void WriteFields(json& aObject, const TaskHandoverConfirmed& aRecord)
{
  aObject["task"] = aRecord.mTask.Text();
}
void ReadFields(JsonReader& aReader, TaskHandoverConfirmed& aRecord)
{
  aRecord.mTask = TaskId(aReader.Text("task"));
}

void WriteFields(json& aObject, const TaskReceived& aRecord)
{
  WriteAttempt(aObject, aRecord.mTask, aRecord.mLastAttempt);
  aObject["job"] = aRecord.mJob.Text();
  WriteDemand(aObject, aRecord.mDemand);
  aObject["checkpoint"] = aRecord.mCheckpoint.Text();
  aObject["handover"] = aRecord.mHandover;
  aObject["source"] = aRecord.mSource.Text();
}
void ReadFields(JsonReader& aReader, TaskReceived& aRecord)
{
  aRecord.mTask = TaskId(aReader.Text("task"));
  aRecord.mLastAttempt = Attempt(aReader.Number("attempt"));
  aRecord.mJob = JobId(aReader.Text("job"));
  aRecord.mDemand = ReadDemand(aReader);
  aRecord.mCheckpoint = CheckpointId(aReader.TextOr("checkpoint", ""));
  aRecord.mHandover =
    static_cast<uint32_t>(aReader.Number("handover", 1, UINT32_MAX));
  aRecord.mSource = ShardId(aReader.Text("source"));
}

void WriteFields(json& aObject, const KeyClaimed& aRecord)
{
  aObject["key"] = aRecord.mKey.Text();
  aObject["attempt_id"] = aRecord.mAttempt.Text();
}
void ReadFields(JsonReader& aReader, KeyClaimed& aRecord)
{
  aRecord.mKey = IdempotencyKey(aReader.Text("key"));
  aRecord.mAttempt = AttemptId(aReader.Text("attempt_id"));
}

void WriteFields(json& aObject, const KeySettled& aRecord)
{
  aObject["key"] = aRecord.mKey.Text();
  aObject["attempt_id"] = aRecord.mAttempt.Text();
  aObject["status"] = kRequestStatusNames.Name(aRecord.mStatus);
  aObject["reason"] = kRequestReasonNames.Name(aRecord.mReason);
  aObject["upstream_status"] = aRecord.mUpstreamStatus;
  aObject["body"] = aRecord.mBody;
}
void ReadFields(JsonReader& aReader, KeySettled& aRecord)
{
  aRecord.mKey = IdempotencyKey(aReader.Text("key"));
  aRecord.mAttempt = AttemptId(aReader.Text("attempt_id"));
  aRecord.mStatus = aReader.Enum("status", kRequestStatusNames);
  aRecord.mReason = aReader.Enum("reason", kRequestReasonNames);
  aRecord.mUpstreamStatus =
    static_cast<int>(aReader.NumberOr("upstream_status", 0, 0, 999));
  aRecord.mBody = aReader.TextOr("body", "", kMaxAnswerBytes);
}

void WriteFields(json& aObject, const AuditNote& aRecord)
{
  aObject["subject"] = aRecord.mSubject;
  aObject["before"] = aRecord.mBefore;
  aObject["after"] = aRecord.mAfter;
  aObject["reason"] = aRecord.mReason;
}
void ReadFields(JsonReader& aReader, AuditNote& aRecord)
{
  aRecord.mSubject = aReader.TextOr("subject", "", kMaxReasonBytes);
  aRecord.mBefore = aReader.TextOr("before", "", kMaxReasonBytes);
  aRecord.mAfter = aReader.TextOr("after", "", kMaxReasonBytes);
  aRecord.mReason = aReader.TextOr("reason", "", kMaxReasonBytes);
}

void WriteFields(json& aObject, const SnapshotBegun& aRecord)
{
  aObject["covers"] = aRecord.mCoveredOffset.Value();
  aObject["parts"] = aRecord.mParts;
}
void ReadFields(JsonReader& aReader, SnapshotBegun& aRecord)
{
  aRecord.mCoveredOffset = Offset(aReader.Number("covers", 1));
  aRecord.mParts =
    static_cast<uint32_t>(aReader.Number("parts", 0, UINT32_MAX));
}

void WriteFields(json& aObject, const SnapshotPart& aRecord)
{
  aObject["covers"] = aRecord.mCoveredOffset.Value();
  aObject["index"] = aRecord.mIndex;
  aObject["items"] = SnapshotItemsToJson(aRecord.mItems);
}
void ReadFields(JsonReader& aReader, SnapshotPart& aRecord)
{
  aRecord.mCoveredOffset = Offset(aReader.Number("covers", 1));
  aRecord.mIndex =
    static_cast<uint32_t>(aReader.Number("index", 0, UINT32_MAX));
  aRecord.mItems = ReadSnapshotItems(aReader, "items");
}

void WriteFields(json& aObject, const SnapshotEnded& aRecord)
{
  aObject["covers"] = aRecord.mCoveredOffset.Value();
  aObject["parts"] = aRecord.mParts;
}
void ReadFields(JsonReader& aReader, SnapshotEnded& aRecord)
{
  aRecord.mCoveredOffset = Offset(aReader.Number("covers", 1));
  aRecord.mParts =
    static_cast<uint32_t>(aReader.Number("parts", 0, UINT32_MAX));
}

template<size_t Index>
Record DecodeAlternative(JsonReader& aReader)
{
  std::variant_alternative_t<Index, Record> record;
  ReadFields(aReader, record);
  return record;
}

using BodyDecoder = Record (*)(JsonReader&);

template<size_t... Index>
constexpr std::array<BodyDecoder, sizeof...(Index)> MakeBodyDecoders(
  std::index_sequence<Index...>)
{
  return { &DecodeAlternative<Index>... };
}

constexpr auto kBodyDecoders =
  MakeBodyDecoders(std::make_index_sequence<std::variant_size_v<Record>>());

BodyDecoder FindBodyDecoder(std::string_view aKind)
{
  for (size_t index = 0; index < kRecordNames.size(); index++) {
    if (kRecordNames[index] == aKind) {
      return kBodyDecoders[index];
    }
  }
  return nullptr;
}

RecordHeader ReadHeader(JsonReader& aReader)
{
  RecordHeader header;
  header.mWriter.mInstance = InstanceId(aReader.Text("by"));
  header.mWriter.mIncarnation = Incarnation(aReader.Number("life"));
  header.mSequence = static_cast<uint64_t>(aReader.Number("seq", 1));
  header.mEpoch = Epoch(aReader.NumberOr("epoch", 0));
  header.mWritten.mMilliseconds = aReader.NumberOr("at", 0);
  return header;
}

} // namespace

std::string_view RecordName(const Record& aRecord)
{
  return kRecordNames[aRecord.index()];
}

std::string EncodeRecord(const LogRecord& aRecord)
{
  const RecordHeader& header = aRecord.mHeader;
  json object{ { "type", RecordName(aRecord.mBody) },
               { "by", header.mWriter.mInstance.Text() },
               { "life", header.mWriter.mIncarnation.Value() },
               { "seq", header.mSequence },
               { "at", header.mWritten.mMilliseconds } };
  if (header.mEpoch != Epoch()) {
    object["epoch"] = header.mEpoch.Value();
  }
  std::visit([&](const auto& aBody) { WriteFields(object, aBody); },
             aRecord.mBody);
  return WriteJsonText(object);
}

Result<LogRecord> DecodeRecord(std::string_view aText)
{
  const Result<json> parsed = ParseJson(aText, kMaxRecordBytes);
  if (!parsed) {
    return parsed.error();
  }
  JsonReader reader(parsed.value());
  const BodyDecoder decoder = FindBodyDecoder(reader.Text("type"));
  if (decoder == nullptr) {
    return Fail(FailureKind::kMalformed, "type", "unknown record type");
  }
  LogRecord record;
  record.mHeader = ReadHeader(reader);
  record.mBody = decoder(reader);
  if (reader.Fault()) {
    return *reader.Fault();
  }
  return record;
}

} // namespace mulberryvalve
