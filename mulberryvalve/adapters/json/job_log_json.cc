#include "mulberryvalve/adapters/json/job_log_json.h"

#include "mulberryvalve/adapters/json/job_step_json.h"
#include "mulberryvalve/adapters/json/json_fields.h"
#include "mulberryvalve/adapters/json/json_reader.h"
#include "mulberryvalve/adapters/json/json_text.h"
#include "mulberryvalve/adapters/json/learned_json.h"
#include "mulberryvalve/adapters/json/ownership_json.h"
#include "mulberryvalve/adapters/json/task_record_json.h"
#include "mulberryvalve/adapters/json/text_validation.h"
#include "mulberryvalve/adapters/json/worker_move_json.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

namespace mulberryvalve {
namespace {

using nlohmann::json;

constexpr std::string_view kCancelPrefix = "cancel/";
constexpr std::string_view kJobPrefix = "job/";
constexpr std::string_view kPartPrefix = "part/";
constexpr std::string_view kWorkerPrefix = "worker/";
constexpr std::string_view kMovePrefix = "move/";
constexpr std::string_view kOwnerPrefix = "owner/";
constexpr std::string_view kNewestOwnerKey = "owner";
constexpr std::string_view kLearnedKey = "learned";
constexpr size_t kMaxJobRecordBytes = 256 * 1024;
constexpr size_t kMaxSpecificationBytes = 16 * 1024;

bool ConsumePrefix(std::string_view& aText, std::string_view aPrefix)
{
  if (aText.substr(0, aPrefix.size()) != aPrefix) {
    return false;
  }
  aText.remove_prefix(aPrefix.size());
  return true;
}

std::string KeyWithPrefix(std::string_view aPrefix, const std::string& aId)
{
  return std::string(aPrefix) + aId;
}

std::string OwnerKey(Epoch aEpoch)
{
  return KeyWithPrefix(kOwnerPrefix, std::to_string(aEpoch.Value()));
}

std::string ProgressKey(const JobId& aJob, uint32_t aPart)
{
  return aPart == 0 ? KeyWithPrefix(kJobPrefix, aJob.Text())
                    : KeyWithPrefix(kPartPrefix,
                                    std::to_string(aPart) + "/" + aJob.Text());
}

json RulesToJson(const QueueRules& aRules)
{
  return json{ { "service", aRules.mService.Text() },
               { "priority", aRules.mPriority },
               { "max_attempts", aRules.mMaxAttempts },
               { "stretch_percent", aRules.mStretchPercent },
               { "slack_ms", aRules.mSlack.count() } };
}

QueueRules RulesFromJson(JsonReader& aReader)
{
  QueueRules rules;
  rules.mService = ServiceId(aReader.Text("service"));
  rules.mPriority =
    static_cast<int>(aReader.Number("priority", 0, kMaxJobCount));
  rules.mMaxAttempts =
    static_cast<int>(aReader.Number("max_attempts", 0, kMaxJobCount));
  rules.mStretchPercent = aReader.Number("stretch_percent");
  rules.mSlack = Milliseconds(aReader.Number("slack_ms"));
  return rules;
}

Result<JobGraph> JobFromJson(const std::string& aId, const json& aObject)
{
  JsonReader reader(aObject);
  JobGraph job;
  job.mId = JobId(aId);
  job.mQueue = QueueId(reader.Text("queue", kMaxSpecificationBytes));
  job.mAccount = ClientAccountId(reader.TextOr("account", ""));
  job.mSpecification = reader.TextOr("text", "", kMaxSpecificationBytes);
  JsonReader rules(reader.Object("rules"));
  job.mRules = RulesFromJson(rules);
  if (rules.Fault()) {
    return *rules.Fault();
  }
  for (const json& row : reader.Array("steps", kMaxJobSteps)) {
    JsonReader step(row);
    job.mSteps.push_back(StepFromJson(step, job.mSteps.size()));
    if (step.Fault()) {
      return *step.Fault();
    }
  }
  if (reader.Has("accepted_unix_ms")) {
    job.mAcceptedAt.mMilliseconds = reader.Number("accepted_unix_ms");
  }
  if (reader.Has("times")) {
    job.mRecurrence.mTimes =
      static_cast<uint32_t>(reader.Number("times", 1, kMaxJobCount));
    job.mRecurrence.mFirst.mMilliseconds = reader.Number("first_unix_ms");
    job.mRecurrence.mInterval = Milliseconds(reader.Number("interval_ms"));
  }
  if (reader.Fault()) {
    return *reader.Fault();
  }
  if (!FitsJobTaskLimit(job)) {
    return Fail(FailureKind::kTooLarge, "steps", "too many tasks");
  }
  return job;
}

Result<JobRecord> RecordFromJson(const std::string& aId, const json& aObject)
{
  JsonReader reader(aObject);
  JobRecord record;
  record.mId = JobId(aId);
  record.mPhase = reader.Enum("phase", kJobPhaseNames);
  for (const json& row : reader.Array("tasks", kMaxJobTasks)) {
    Result<TaskRecord> task = TaskFromJson(row);
    if (!task) {
      return task.error();
    }
    record.mTasks.push_back(std::move(task.value()));
  }
  if (reader.Has("on")) {
    const Result<void> added =
      AddPossibleWorkers(reader.Array("on", kMaxJobTasks), record.mTasks);
    if (!added) {
      return added.error();
    }
  }
  if (reader.Has("gang_failures")) {
    const Result<void> added = AddGangFailures(
      reader.Array("gang_failures", kMaxJobTasks), record.mTasks);
    if (!added) {
      return added.error();
    }
  }
  if (reader.Fault()) {
    return *reader.Fault();
  }
  return record;
}

// aPartAndId is the rest of the key, "PART/ID".
Result<JobRecord> PartFromJson(std::string_view aPartAndId, const json& aObject)
{
  uint32_t part = 0;
  const char* end = aPartAndId.data() + aPartAndId.size();
  const auto read = std::from_chars(aPartAndId.data(), end, part);
  if (read.ec != std::errc() || read.ptr == end || *read.ptr != '/') {
    return Fail(FailureKind::kMalformed, "key", std::string(aPartAndId));
  }
  Result<JobRecord> record =
    RecordFromJson(std::string(read.ptr + 1, end), aObject);
  if (record) {
    record.value().mPart = part;
  }
  return record;
}

// The tasks of a step share a row: job, occurrence, step, array of task
// indexes.
constexpr size_t kProgressStepColumns = 4;

json TasksToJson(const std::vector<TaskRef>& aTasks)
{
  json rows = json::array();
  const StepRef* step = nullptr;
  for (const TaskRef& task : aTasks) {
    if (step == nullptr || !(*step == task.mStep)) {
      step = &task.mStep;
      rows.push_back(
        { step->mJob.Text(), step->mOccurrence, step->mStep, json::array() });
    }
    rows.back().back().push_back(task.mIndex);
  }
  return rows;
}

bool IsIndex(const json& aValue)
{
  return aValue.is_number_unsigned() &&
         aValue.get<uint64_t>() <= std::numeric_limits<uint32_t>::max();
}

bool IsStepRow(const json& aRow)
{
  return aRow.is_array() && aRow.size() == kProgressStepColumns &&
         aRow[0].is_string() && IsIndex(aRow[1]) && IsIndex(aRow[2]) &&
         aRow[3].is_array() && !aRow[3].empty() &&
         std::all_of(aRow[3].begin(), aRow[3].end(), IsIndex);
}

Result<std::vector<TaskRef>> TasksFromJson(const json& aRows)
{
  std::vector<TaskRef> tasks;
  for (const json& row : aRows) {
    if (!IsStepRow(row) || tasks.size() + row[3].size() > kMaxNotedTasks) {
      return Fail(FailureKind::kMalformed, "may_run", "a row is not readable");
    }
    const StepRef step{ JobId(row[0].get<std::string>()),
                        row[1].get<uint32_t>(),
                        row[2].get<uint32_t>() };
    for (const json& index : row[3]) {
      tasks.push_back(TaskRef{ step, index.get<uint32_t>() });
    }
  }
  return tasks;
}

Result<UsedWorkerRecord> WorkerFromJson(const std::string& aId,
                                        const json& aObject)
{
  JsonReader reader(aObject);
  UsedWorkerRecord worker;
  worker.mId = WorkerId(aId);
  worker.mEndpoint.mAddress = reader.Text("address");
  worker.mEndpoint.mPort =
    static_cast<uint16_t>(reader.Number("port", 0, UINT16_MAX));
  worker.mService = ServiceId(reader.Text("service"));
  worker.mWorkerIncarnation =
    WorkerIncarnation(static_cast<uint64_t>(reader.NumberOr("birth", 0)));
  if (reader.Has("last_user")) {
    worker.mLastUser = Epoch(static_cast<uint64_t>(reader.Number("last_user")));
  }
  if (reader.Has("wait_left_ms")) {
    worker.mRemainingLease = Milliseconds(reader.Number("wait_left_ms"));
  }
  if (reader.Has("may_run")) {
    Result<std::vector<TaskRef>> tasks =
      TasksFromJson(reader.Array("may_run", kMaxNotedTasks));
    if (!tasks) {
      return tasks.error();
    }
    worker.mPossibleTasks = std::move(tasks.value());
  }
  if (reader.Fault()) {
    return *reader.Fault();
  }
  return worker;
}

// Converts a decoded item to the variant Item; passes an error on.
template<typename Item, typename T>
Result<Item> ToVariant(Result<T> aResult)
{
  if (!aResult) {
    return aResult.error();
  }
  return Item(std::move(aResult.value()));
}

} // namespace

bool FitsJobTaskLimit(const JobGraph& aJob)
{
  uint64_t tasks = 0;
  for (const StepSpec& step : aJob.mSteps) {
    tasks += step.mCount;
  }
  return tasks * aJob.Occurrences() <= kMaxJobTasks;
}

KeyedEntry JobLogJson::Encode(const JobGraph& aJob) const
{
  json object{ { "queue", aJob.mQueue.Text() },
               { "rules", RulesToJson(aJob.mRules) },
               { "steps", json::array() } };
  PutText(object, "account", aJob.mAccount.Text());
  PutText(object, "text", aJob.mSpecification);
  for (const StepSpec& step : aJob.mSteps) {
    object["steps"].push_back(StepToJson(step));
  }
  if (aJob.mAcceptedAt.mMilliseconds > 0) {
    object["accepted_unix_ms"] = aJob.mAcceptedAt.mMilliseconds;
  }
  if (aJob.mRecurrence.mTimes > 0) {
    object["times"] = aJob.mRecurrence.mTimes;
    object["first_unix_ms"] = aJob.mRecurrence.mFirst.mMilliseconds;
    object["interval_ms"] = aJob.mRecurrence.mInterval.count();
  }
  return KeyedEntry{ aJob.mId.Text(), WriteJsonText(object) };
}

KeyedEntry JobLogJson::Encode(const JobCancellation& aCancellation) const
{
  return KeyedEntry{ KeyWithPrefix(kCancelPrefix, aCancellation.mJob.Text()),
                     "{}" };
}

KeyedEntry JobLogJson::Encode(const JobRecord& aRecord) const
{
  std::string text = "{\"phase\":\"";
  text += kJobPhaseNames.Name(aRecord.mPhase);
  text += "\"";
  AppendTasks(text, aRecord.mTasks);
  text += '}';
  return KeyedEntry{ ProgressKey(aRecord.mId, aRecord.mPart), std::move(text) };
}

KeyedEntry JobLogJson::Encode(const UsedWorkerRecord& aWorker) const
{
  json object{ { "address", aWorker.mEndpoint.mAddress },
               { "port", aWorker.mEndpoint.mPort },
               { "service", aWorker.mService.Text() } };
  PutNumber(
    object, "birth", static_cast<int64_t>(aWorker.mWorkerIncarnation.Value()));
  if (aWorker.mLastUser) {
    object["last_user"] = aWorker.mLastUser->Value();
  }
  if (aWorker.mRemainingLease) {
    object["wait_left_ms"] = aWorker.mRemainingLease->count();
  }
  if (aWorker.mPossibleTasks) {
    object["may_run"] = TasksToJson(*aWorker.mPossibleTasks);
  }
  return KeyedEntry{ KeyWithPrefix(kWorkerPrefix, aWorker.mId.Text()),
                     WriteJsonText(object) };
}

KeyedEntry JobLogJson::Encode(const OwnershipRecord& aOwnership) const
{
  return KeyedEntry{ OwnerKey(aOwnership.mEpoch),
                     WriteJsonText(OwnershipToJson(aOwnership)) };
}

KeyedEntry JobLogJson::Encode(const LearnedRecord& aLearned) const
{
  return KeyedEntry{ std::string(kLearnedKey),
                     WriteJsonText(LearnedToJson(aLearned)) };
}

KeyedEntry JobLogJson::Encode(const WorkerMove& aMove) const
{
  return KeyedEntry{ KeyWithPrefix(kMovePrefix, aMove.mWorker.Text()),
                     WriteJsonText(MoveToJson(aMove)) };
}

std::vector<KeyedEntry> JobLogJson::EncodeIntakeTombstones(
  const JobId& aJob) const
{
  return { KeyedEntry{ aJob.Text(), std::nullopt },
           KeyedEntry{ KeyWithPrefix(kCancelPrefix, aJob.Text()),
                       std::nullopt } };
}

std::vector<KeyedEntry> JobLogJson::EncodeProgressTombstones(
  const RetiredJob& aJob) const
{
  std::vector<KeyedEntry> tombstones;
  for (uint32_t part = aJob.mParts; part > 0; part--) {
    tombstones.push_back(
      KeyedEntry{ ProgressKey(aJob.mId, part - 1), std::nullopt });
  }
  return tombstones;
}

KeyedEntry JobLogJson::EncodeWorkerTombstone(const WorkerId& aWorker) const
{
  return KeyedEntry{ KeyWithPrefix(kWorkerPrefix, aWorker.Text()),
                     std::nullopt };
}

// Includes the key of earlier versions, under which the record may have been
// written.
std::vector<KeyedEntry> JobLogJson::EncodeOwnershipTombstones(
  Epoch aEpoch) const
{
  return { KeyedEntry{ OwnerKey(aEpoch), std::nullopt },
           KeyedEntry{ std::string(kNewestOwnerKey), std::nullopt } };
}

std::optional<JobId> JobLogJson::SubmittedJobId(const KeyedEntry& aEntry) const
{
  std::string_view id = aEntry.mKey;
  if (!aEntry.mValue || IsMove(aEntry) || ConsumePrefix(id, kCancelPrefix)) {
    return std::nullopt;
  }
  return JobId(aEntry.mKey);
}

bool JobLogJson::IsMove(const KeyedEntry& aEntry) const
{
  std::string_view key = aEntry.mKey;
  return aEntry.mValue && ConsumePrefix(key, kMovePrefix);
}

Result<IntakeItem> JobLogJson::DecodeIntake(const KeyedEntry& aEntry) const
{
  if (!aEntry.mValue) {
    return IntakeItem(Tombstone{ aEntry.mKey });
  }
  if (const auto fault = CheckPrintable("key", aEntry.mKey, kMaxIdBytes)) {
    return *fault;
  }
  std::string_view id = aEntry.mKey;
  if (ConsumePrefix(id, kCancelPrefix)) {
    return IntakeItem(JobCancellation{ JobId(std::string(id)) });
  }
  const Result<json> object = ParseJson(*aEntry.mValue, kMaxJobRecordBytes);
  if (!object) {
    return object.error();
  }
  if (ConsumePrefix(id, kMovePrefix)) {
    return ToVariant<IntakeItem>(
      MoveFromJson(WorkerId(std::string(id)), object.value()));
  }
  return ToVariant<IntakeItem>(JobFromJson(aEntry.mKey, object.value()));
}

Result<ProgressItem> JobLogJson::DecodeProgress(const KeyedEntry& aEntry) const
{
  if (!aEntry.mValue) {
    return ProgressItem(Tombstone{ aEntry.mKey });
  }
  const Result<json> object = ParseJson(*aEntry.mValue, kMaxJobRecordBytes);
  if (!object) {
    return object.error();
  }
  std::string_view id = aEntry.mKey;
  if (ConsumePrefix(id, kJobPrefix)) {
    return ToVariant<ProgressItem>(
      RecordFromJson(std::string(id), object.value()));
  }
  if (ConsumePrefix(id, kPartPrefix)) {
    return ToVariant<ProgressItem>(PartFromJson(id, object.value()));
  }
  if (ConsumePrefix(id, kWorkerPrefix)) {
    return ToVariant<ProgressItem>(
      WorkerFromJson(std::string(id), object.value()));
  }
  if (ConsumePrefix(id, kMovePrefix)) {
    return ToVariant<ProgressItem>(
      MoveFromJson(WorkerId(std::string(id)), object.value()));
  }
  if (id == kNewestOwnerKey || ConsumePrefix(id, kOwnerPrefix)) {
    return ToVariant<ProgressItem>(OwnershipFromJson(object.value()));
  }
  if (id == kLearnedKey) {
    return ToVariant<ProgressItem>(LearnedFromJson(object.value()));
  }
  return Fail(FailureKind::kMalformed, "key", aEntry.mKey);
}

} // namespace mulberryvalve
