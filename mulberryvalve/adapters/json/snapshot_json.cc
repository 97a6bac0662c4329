#include "mulberryvalve/adapters/json/snapshot_json.h"

#include "mulberryvalve/adapters/json/model_json.h"
#include "mulberryvalve/core/base/enum_table.h"

#include <array>
#include <utility>

namespace mulberryvalve {
namespace {

using nlohmann::json;

constexpr size_t kMaxItems = 100'000;
constexpr size_t kMaxHistory = 256;
constexpr size_t kMaxDocumentBytes = 512 * 1024;
constexpr size_t kMaxAnswerBytes = 64 * 1024;
constexpr size_t kMaxReasonBytes = 4096;

// Must be in the order of the alternatives of SnapshotItem.
constexpr std::array<std::string_view, std::variant_size_v<SnapshotItem>>
  kItemNames{ "writer", "claim",  "job",      "task",   "finished",
              "moved",  "bundle", "in_force", "domain", "key" };

void WriteWriter(json& aObject, const WriterId& aWriter)
{
  aObject["by"] = aWriter.mInstance.Text();
  aObject["life"] = aWriter.mIncarnation.Value();
}
WriterId ReadWriter(JsonReader& aReader)
{
  WriterId writer;
  writer.mInstance = InstanceId(aReader.TextOr("by", ""));
  writer.mIncarnation = Incarnation(aReader.NumberOr("life", 0));
  return writer;
}

Offset ReadOffset(JsonReader& aReader)
{
  return Offset(aReader.Number("offset"));
}

void WriteFields(json& aObject, const WriterItem& aItem)
{
  WriteWriter(aObject, aItem.mWriter);
  aObject["seq"] = aItem.mSequence;
  aObject["offset"] = aItem.mOffset.Value();
}
void ReadFields(JsonReader& aReader, WriterItem& aItem)
{
  aItem.mWriter = ReadWriter(aReader);
  aItem.mSequence = static_cast<uint64_t>(aReader.Number("seq"));
  aItem.mOffset = ReadOffset(aReader);
}

void WriteFields(json& aObject, const ClaimItem& aItem)
{
  WriteWriter(aObject, aItem.mOwner);
  aObject["epoch"] = aItem.mEpoch.Value();
  aObject["released"] = aItem.mReleased;
  aObject["over_released"] = aItem.mOverReleased;
}
void ReadFields(JsonReader& aReader, ClaimItem& aItem)
{
  aItem.mOwner = ReadWriter(aReader);
  aItem.mEpoch = Epoch(aReader.Number("epoch"));
  aItem.mReleased = aReader.FlagOr("released", false);
  aItem.mOverReleased = aReader.FlagOr("over_released", false);
}

void WriteFields(json& aObject, const JobItem& aItem)
{
  aObject["job"] = aItem.mSpec.mId.Text();
  aObject["parts"] = aItem.mSpec.mParts;
  aObject["cancel"] = aItem.mCancelRequested;
  WriteDemand(aObject, aItem.mSpec.mDemand);
}
void ReadFields(JsonReader& aReader, JobItem& aItem)
{
  aItem.mSpec.mId = JobId(aReader.Text("job"));
  aItem.mSpec.mParts =
    static_cast<uint32_t>(aReader.Number("parts", 1, kMaxJobParts));
  aItem.mCancelRequested = aReader.FlagOr("cancel", false);
  aItem.mSpec.mDemand = ReadDemand(aReader);
}

json ChangeToJson(const TaskChange& aChange)
{
  json object{ { "offset", aChange.mOffset.Value() },
               { "at", aChange.mWritten.mMilliseconds },
               { "state", kTaskStateNames.Name(aChange.mState) },
               { "attempt", aChange.mAttempt.Value() } };
  if (!aChange.mWorker.Empty()) {
    object["worker"] = aChange.mWorker.Text();
  }
  if (!aChange.mReason.empty()) {
    object["reason"] = aChange.mReason;
  }
  return object;
}

TaskChange ReadChange(JsonReader& aReader)
{
  TaskChange change;
  change.mOffset = ReadOffset(aReader);
  change.mWritten.mMilliseconds = aReader.NumberOr("at", 0);
  change.mState = aReader.Enum("state", kTaskStateNames);
  change.mAttempt = Attempt(aReader.Number("attempt"));
  change.mWorker = WorkerId(aReader.TextOr("worker", ""));
  change.mReason = aReader.TextOr("reason", "", kMaxReasonBytes);
  return change;
}

void WriteFields(json& aObject, const TaskItem& aItem)
{
  const TaskEntry& task = aItem.mTask;
  aObject["task"] = task.mId.Text();
  aObject["job"] = task.mJob.Text();
  aObject["state"] = kTaskStateNames.Name(task.mState);
  aObject["attempt"] = task.mAttempt.Value();
  aObject["worker"] = task.mWorker.Text();
  aObject["epoch"] = task.mEpoch.Value();
  aObject["checkpoint"] = task.mCheckpoint.Text();
  aObject["cause"] = kEvictionCauseNames.Name(task.mEvictionCause);
  aObject["failures"] = task.mFailures;
  aObject["handover"] = task.mHandover;
  aObject["target"] = task.mTarget.Text();
  aObject["confirmed"] = task.mHandoverConfirmed;
  aObject["pending"] = aItem.mHandoverPending;
  aObject["cancel"] = task.mCancelRequested;
  aObject["waiting_since"] = task.mWaitingSince.Value();
  aObject["reason"] = task.mReason;
  json history = json::array();
  for (const TaskChange& change : task.mHistory) {
    history.push_back(ChangeToJson(change));
  }
  aObject["history"] = std::move(history);
}

void ReadHistory(JsonReader& aReader, std::vector<TaskChange>& aHistory)
{
  for (const json& item : aReader.Array("history", kMaxHistory)) {
    if (!item.is_object()) {
      aReader.RecordFault(Fail(FailureKind::kInvalidInput, "history"));
      return;
    }
    JsonReader row(item);
    aHistory.push_back(ReadChange(row));
    if (row.Fault()) {
      aReader.RecordFault(*row.Fault());
    }
  }
}

void ReadFields(JsonReader& aReader, TaskItem& aItem)
{
  TaskEntry& task = aItem.mTask;
  task.mId = TaskId(aReader.Text("task"));
  task.mJob = JobId(aReader.Text("job"));
  task.mState = aReader.Enum("state", kTaskStateNames);
  task.mAttempt = Attempt(aReader.Number("attempt"));
  task.mWorker = WorkerId(aReader.TextOr("worker", ""));
  task.mEpoch = Epoch(aReader.NumberOr("epoch", 0));
  task.mCheckpoint = CheckpointId(aReader.TextOr("checkpoint", ""));
  task.mEvictionCause = aReader.Enum("cause", kEvictionCauseNames);
  task.mFailures =
    static_cast<uint32_t>(aReader.NumberOr("failures", 0, 0, UINT32_MAX));
  task.mHandover =
    static_cast<uint32_t>(aReader.NumberOr("handover", 0, 0, UINT32_MAX));
  task.mTarget = ShardId(aReader.TextOr("target", ""));
  task.mHandoverConfirmed = aReader.FlagOr("confirmed", false);
  aItem.mHandoverPending = aReader.FlagOr("pending", false);
  task.mCancelRequested = aReader.FlagOr("cancel", false);
  task.mWaitingSince = Offset(aReader.NumberOr("waiting_since", 0));
  task.mReason = aReader.TextOr("reason", "", kMaxReasonBytes);
  ReadHistory(aReader, task.mHistory);
}

void WriteFields(json& aObject, const FinishedJobItem& aItem)
{
  aObject["job"] = aItem.mJob.Text();
}
void ReadFields(JsonReader& aReader, FinishedJobItem& aItem)
{
  aItem.mJob = JobId(aReader.Text("job"));
}

void WriteFields(json& aObject, const MovedTaskItem& aItem)
{
  aObject["task"] = aItem.mTask.Text();
  aObject["handover"] = aItem.mHandover;
}
void ReadFields(JsonReader& aReader, MovedTaskItem& aItem)
{
  aItem.mTask = TaskId(aReader.Text("task"));
  aItem.mHandover =
    static_cast<uint32_t>(aReader.Number("handover", 1, UINT32_MAX));
}

void WriteFields(json& aObject, const BundleItem& aItem)
{
  aObject["version"] = aItem.mVersion.Value();
  aObject["document"] = aItem.mDocument;
  aObject["operator"] = aItem.mOperator.Text();
  aObject["offset"] = aItem.mOffset.Value();
}
void ReadFields(JsonReader& aReader, BundleItem& aItem)
{
  aItem.mVersion = BundleVersion(aReader.Number("version", 1));
  aItem.mDocument = aReader.Text("document", kMaxDocumentBytes);
  aItem.mOperator = OperatorId(aReader.TextOr("operator", ""));
  aItem.mOffset = ReadOffset(aReader);
}

void WriteFields(json& aObject, const InForceItem& aItem)
{
  aObject["version"] = aItem.mVersion.Value();
  aObject["document"] = aItem.mDocument;
  aObject["offset"] = aItem.mOffset.Value();
}
void ReadFields(JsonReader& aReader, InForceItem& aItem)
{
  aItem.mVersion = BundleVersion(aReader.Number("version", 1));
  aItem.mDocument = aReader.Text("document", kMaxDocumentBytes);
  aItem.mOffset = ReadOffset(aReader);
}

void WriteFields(json& aObject, const DomainItem& aItem)
{
  aObject["domain"] = aItem.mDomain.Text();
  aObject["state"] = kDomainStateNames.Name(aItem.mState);
  aObject["offset"] = aItem.mOffset.Value();
  aObject["operator"] = aItem.mOperator.Text();
  aObject["reason"] = aItem.mReason;
}
void ReadFields(JsonReader& aReader, DomainItem& aItem)
{
  aItem.mDomain = DomainId(aReader.Text("domain"));
  aItem.mState = aReader.Enum("state", kDomainStateNames);
  aItem.mOffset = ReadOffset(aReader);
  aItem.mOperator = OperatorId(aReader.TextOr("operator", ""));
  aItem.mReason = aReader.TextOr("reason", "", kMaxReasonBytes);
}

void WriteFields(json& aObject, const KeyItem& aItem)
{
  WriteWriter(aObject, aItem.mOwner);
  aObject["key"] = aItem.mKey.Text();
  aObject["attempt_id"] = aItem.mAttempt.Text();
  aObject["offset"] = aItem.mOffset.Value();
  if (aItem.mOutcome) {
    aObject["status"] = kRequestStatusNames.Name(aItem.mOutcome->mStatus);
    aObject["reason"] = kRequestReasonNames.Name(aItem.mOutcome->mReason);
    aObject["upstream_status"] = aItem.mOutcome->mUpstreamStatus;
    aObject["body"] = aItem.mOutcome->mBody;
  }
}
void ReadFields(JsonReader& aReader, KeyItem& aItem)
{
  aItem.mOwner = ReadWriter(aReader);
  aItem.mKey = IdempotencyKey(aReader.Text("key"));
  aItem.mAttempt = AttemptId(aReader.Text("attempt_id"));
  aItem.mOffset = ReadOffset(aReader);
  if (aReader.Has("status")) {
    KeyOutcome outcome;
    outcome.mStatus = aReader.Enum("status", kRequestStatusNames);
    outcome.mReason = aReader.Enum("reason", kRequestReasonNames);
    outcome.mUpstreamStatus =
      static_cast<int>(aReader.NumberOr("upstream_status", 0, 0, 999));
    outcome.mBody = aReader.TextOr("body", "", kMaxAnswerBytes);
    aItem.mOutcome = std::move(outcome);
  }
}

template<size_t Index = 0>
SnapshotItem DecodeItem(JsonReader& aReader, std::string_view aKind)
{
  if constexpr (Index == std::variant_size_v<SnapshotItem>) {
    aReader.RecordFault(Fail(FailureKind::kMalformed, "item", "unknown item"));
    return SnapshotItem();
  } else {
    if (kItemNames[Index] != aKind) {
      return DecodeItem<Index + 1>(aReader, aKind);
    }
    std::variant_alternative_t<Index, SnapshotItem> item;
    ReadFields(aReader, item);
    return item;
  }
}

} // namespace

json SnapshotItemsToJson(const std::vector<SnapshotItem>& aItems)
{
  json items = json::array();
  for (const SnapshotItem& item : aItems) {
    json object{ { "item", kItemNames[item.index()] } };
    std::visit([&](const auto& aItem) { WriteFields(object, aItem); }, item);
    items.push_back(std::move(object));
  }
  return items;
}

std::vector<SnapshotItem> ReadSnapshotItems(JsonReader& aReader,
                                            const char* aName)
{
  std::vector<SnapshotItem> items;
  for (const json& object : aReader.Array(aName, kMaxItems)) {
    if (!object.is_object()) {
      aReader.RecordFault(Fail(FailureKind::kInvalidInput, aName));
      return {};
    }
    JsonReader row(object);
    items.push_back(DecodeItem(row, row.Text("item")));
    if (row.Fault()) {
      aReader.RecordFault(*row.Fault());
      return {};
    }
  }
  return items;
}

} // namespace mulberryvalve
