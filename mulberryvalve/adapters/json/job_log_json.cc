#include "mulberryvalve/adapters/json/job_log_json.h"

#include "mulberryvalve/adapters/json/job_step_json.h"
#include "mulberryvalve/adapters/json/json_put.h"
#include "mulberryvalve/adapters/json/json_reader.h"
#include "mulberryvalve/adapters/json/learned_json.h"
#include "mulberryvalve/adapters/json/text_check.h"

#include <algorithm>
#include <array>
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
constexpr std::string_view kWorkerPrefix = "worker/";
constexpr std::string_view kOwnerKey = "owner";
constexpr std::string_view kLearnedKey = "learned";
constexpr size_t kMaxRecordBytes = 256 * 1024;
constexpr size_t kMaxSpecificationBytes = 16 * 1024;

bool TakePrefix(std::string_view& aText, std::string_view aPrefix)
{
  if (aText.substr(0, aPrefix.size()) != aPrefix) {
    return false;
  }
  aText.remove_prefix(aPrefix.size());
  return true;
}

std::string Joined(std::string_view aPrefix, const std::string& aId)
{
  return std::string(aPrefix) + aId;
}

// Text that is not UTF-8 is written with replacements: an owner must not end
// because of what it was told.
std::string Written(const json& aValue)
{
  return aValue.dump(-1, ' ', false, json::error_handler_t::replace);
}

void AppendNumber(std::string& aText, uint64_t aNumber)
{
  std::array<char, std::numeric_limits<uint64_t>::digits10 + 1> digits{};
  const auto end =
    std::to_chars(digits.data(), digits.data() + digits.size(), aNumber).ptr;
  aText.append(digits.data(), end);
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
  if (!FitsIntoRecords(job)) {
    return Fail(FailureKind::kTooLarge, "steps", "too many tasks");
  }
  return job;
}

// A task's row is its place, whether it is done, its failures, the runs whose
// end was counted and its checkpoint.
constexpr size_t kTaskColumns = 7;
constexpr size_t kNumberColumns = 5;

// Appends a task's row; written as text, since an owner writes thousands a
// second.
void AppendTask(std::string& aText, const TaskRecord& aTask)
{
  aText += '[';
  AppendNumber(aText, aTask.mOccurrence);
  aText += ',';
  AppendNumber(aText, aTask.mStep);
  aText += ',';
  AppendNumber(aText, aTask.mIndex);
  aText += aTask.mDone ? ",1," : ",0,";
  AppendNumber(aText, static_cast<uint64_t>(aTask.mFailures));
  aText += ",[";
  const char* between = "";
  for (const RunNumber run : aTask.mProcessedEnds) {
    aText += between;
    AppendNumber(aText, run.Value());
    between = ",";
  }
  aText += "],";
  aText += aTask.mCheckpoint.Empty() ? "\"\""
                                     : Written(json(aTask.mCheckpoint.Text()));
  aText += ']';
}

Result<TaskRecord> TaskFromJson(const json& aRow)
{
  bool good = aRow.is_array() && aRow.size() == kTaskColumns;
  for (size_t column = 0; good && column < kNumberColumns; column++) {
    good = aRow[column].is_number_unsigned();
  }
  good = good && aRow[5].is_array() && aRow[6].is_string();
  for (size_t run = 0; good && run < aRow[5].size(); run++) {
    good = aRow[5][run].is_number_unsigned();
  }
  if (!good) {
    return Fail(FailureKind::kMalformed, "tasks", "a row is not readable");
  }
  TaskRecord task;
  task.mOccurrence = aRow[0].get<uint32_t>();
  task.mStep = aRow[1].get<uint32_t>();
  task.mIndex = aRow[2].get<uint32_t>();
  task.mDone = aRow[3].get<int>() != 0;
  task.mFailures = aRow[4].get<int>();
  for (const json& run : aRow[5]) {
    task.mProcessedEnds.emplace_back(run.get<uint64_t>());
  }
  task.mCheckpoint = CheckpointId(aRow[6].get<std::string>());
  return task;
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
  if (reader.Fault()) {
    return *reader.Fault();
  }
  return record;
}

// The tasks of a step are one row: its job, occurrence, step and their indexes.
constexpr size_t kStepColumns = 4;

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
  return aRow.is_array() && aRow.size() == kStepColumns &&
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

Result<OwnershipRecord> NoteFromJson(const json& aObject)
{
  JsonReader reader(aObject);
  OwnershipRecord note;
  note.mEpoch = Epoch(static_cast<uint64_t>(reader.Number("epoch")));
  note.mInstance = reader.Text("instance");
  if (reader.Fault()) {
    return *reader.Fault();
  }
  return note;
}

// Lifts a decoded item into the variant that holds it.
template<typename Item, typename T>
Result<Item> Lift(Result<T> aResult)
{
  if (!aResult) {
    return aResult.error();
  }
  return Item(std::move(aResult.value()));
}

} // namespace

bool FitsIntoRecords(const JobGraph& aJob)
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
  return KeyedEntry{ aJob.mId.Text(), Written(object) };
}

KeyedEntry JobLogJson::Encode(const JobCancellation& aCancellation) const
{
  return KeyedEntry{ Joined(kCancelPrefix, aCancellation.mJob.Text()), "{}" };
}

KeyedEntry JobLogJson::Encode(const JobRecord& aRecord) const
{
  std::string text = "{\"phase\":\"";
  text += kJobPhaseNames.Name(aRecord.mPhase);
  text += "\",\"tasks\":[";
  const char* between = "";
  for (const TaskRecord& task : aRecord.mTasks) {
    text += between;
    AppendTask(text, task);
    between = ",";
  }
  text += "]}";
  return KeyedEntry{ Joined(kJobPrefix, aRecord.mId.Text()), std::move(text) };
}

KeyedEntry JobLogJson::Encode(const UsedWorkerRecord& aWorker) const
{
  json object{ { "address", aWorker.mEndpoint.mAddress },
               { "port", aWorker.mEndpoint.mPort },
               { "service", aWorker.mService.Text() } };
  PutNumber(
    object, "birth", static_cast<int64_t>(aWorker.mWorkerIncarnation.Value()));
  if (aWorker.mRemainingLease) {
    object["wait_left_ms"] = aWorker.mRemainingLease->count();
  }
  if (aWorker.mPossibleTasks) {
    object["may_run"] = TasksToJson(*aWorker.mPossibleTasks);
  }
  return KeyedEntry{ Joined(kWorkerPrefix, aWorker.mId.Text()),
                     Written(object) };
}

KeyedEntry JobLogJson::Encode(const OwnershipRecord& aNote) const
{
  const json object{ { "epoch", aNote.mEpoch.Value() },
                     { "instance", aNote.mInstance } };
  return KeyedEntry{ std::string(kOwnerKey), Written(object) };
}

KeyedEntry JobLogJson::Encode(const LearnedRecord& aLearned) const
{
  return KeyedEntry{ std::string(kLearnedKey),
                     Written(LearnedToJson(aLearned)) };
}

std::vector<KeyedEntry> JobLogJson::EncodeIntakeTombstones(
  const JobId& aJob) const
{
  return { KeyedEntry{ aJob.Text(), std::nullopt },
           KeyedEntry{ Joined(kCancelPrefix, aJob.Text()), std::nullopt } };
}

KeyedEntry JobLogJson::EncodeProgressTombstone(const JobId& aJob) const
{
  return KeyedEntry{ Joined(kJobPrefix, aJob.Text()), std::nullopt };
}

KeyedEntry JobLogJson::EncodeWorkerTombstone(const WorkerId& aWorker) const
{
  return KeyedEntry{ Joined(kWorkerPrefix, aWorker.Text()), std::nullopt };
}

std::optional<JobId> JobLogJson::SubmittedJobId(const KeyedEntry& aEntry) const
{
  std::string_view id = aEntry.mKey;
  if (!aEntry.mValue || TakePrefix(id, kCancelPrefix)) {
    return std::nullopt;
  }
  return JobId(aEntry.mKey);
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
  if (TakePrefix(id, kCancelPrefix)) {
    return IntakeItem(JobCancellation{ JobId(std::string(id)) });
  }
  const Result<json> object = ParseJson(*aEntry.mValue, kMaxRecordBytes);
  if (!object) {
    return object.error();
  }
  return Lift<IntakeItem>(JobFromJson(aEntry.mKey, object.value()));
}

Result<ProgressItem> JobLogJson::DecodeProgress(const KeyedEntry& aEntry) const
{
  if (!aEntry.mValue) {
    return ProgressItem(Tombstone{ aEntry.mKey });
  }
  const Result<json> object = ParseJson(*aEntry.mValue, kMaxRecordBytes);
  if (!object) {
    return object.error();
  }
  std::string_view id = aEntry.mKey;
  if (TakePrefix(id, kJobPrefix)) {
    return Lift<ProgressItem>(RecordFromJson(std::string(id), object.value()));
  }
  if (TakePrefix(id, kWorkerPrefix)) {
    return Lift<ProgressItem>(WorkerFromJson(std::string(id), object.value()));
  }
  if (id == kOwnerKey) {
    return Lift<ProgressItem>(NoteFromJson(object.value()));
  }
  if (id == kLearnedKey) {
    return Lift<ProgressItem>(LearnedFromJson(object.value()));
  }
  return Fail(FailureKind::kMalformed, "key", aEntry.mKey);
}

} // namespace mulberryvalve
