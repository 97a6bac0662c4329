#include "mulberryvalve/adapters/json/task_record_json.h"

#include "mulberryvalve/adapters/json/json_text.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <map>
#include <tuple>
#include <utility>

namespace mulberryvalve {
namespace {

using nlohmann::json;

using TaskKey = std::tuple<uint32_t, uint32_t, uint32_t>;

void AppendNumber(std::string& aText, uint64_t aNumber)
{
  std::array<char, std::numeric_limits<uint64_t>::digits10 + 1> digits{};
  const auto end =
    std::to_chars(digits.data(), digits.data() + digits.size(), aNumber).ptr;
  aText.append(digits.data(), end);
}

// Columns of a task's row: occurrence, step, index, done, failures, the runs
// whose end was processed, checkpoint. The first five are numbers.
constexpr size_t kTaskColumns = 7;
constexpr size_t kNumberColumns = 5;
// Columns of a row of possible workers before the first of these.
constexpr size_t kPossibleStepColumns = 2;
// Columns of a row of a gang's failed runs before the first of these.
constexpr size_t kMemberColumns = 3;

// Appends a task's row. Formats the text directly instead of building a json
// object, since an owner writes thousands of rows a second.
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
  const char* separator = "";
  for (const RunNumber run : aTask.mProcessedEnds) {
    aText += separator;
    AppendNumber(aText, run.Value());
    separator = ",";
  }
  aText += "],";
  aText += aTask.mCheckpoint.Empty() ? "\"\""
                                     : WriteJsonText(aTask.mCheckpoint.Text());
  aText += ']';
}

// A task of which nothing is known but its possible workers has no row.
bool NeedsRow(const TaskRecord& aTask)
{
  return aTask.mPossibleWorkers.empty() || aTask.mDone ||
         aTask.mFailures != 0 || !aTask.mProcessedEnds.empty() ||
         !aTask.mCheckpoint.Empty();
}

// The tasks of one step by possible worker, as indexes.
using StepPlaces = std::map<WorkerId, std::vector<uint32_t>>;

// Appends "[OCCURRENCE,STEP,WORKER,INDEX,INDEX,...,WORKER,INDEX,...]".
void AppendStepPlaces(std::string& aText,
                      const std::pair<uint32_t, uint32_t>& aStep,
                      const StepPlaces& aPlaces)
{
  aText += '[';
  AppendNumber(aText, aStep.first);
  aText += ',';
  AppendNumber(aText, aStep.second);
  for (const auto& [worker, indexes] : aPlaces) {
    aText += ',';
    aText += WriteJsonText(worker.Text());
    for (const uint32_t index : indexes) {
      aText += ',';
      AppendNumber(aText, index);
    }
  }
  aText += ']';
}

void AppendPossibleWorkers(std::string& aText,
                           const std::vector<TaskRecord>& aTasks)
{
  std::map<std::pair<uint32_t, uint32_t>, StepPlaces> steps;
  for (const TaskRecord& task : aTasks) {
    for (const WorkerId& worker : task.mPossibleWorkers) {
      steps[{ task.mOccurrence, task.mStep }][worker].push_back(task.mIndex);
    }
  }
  if (steps.empty()) {
    return;
  }
  aText += ",\"on\":[";
  const char* separator = "";
  for (const auto& [step, places] : steps) {
    aText += separator;
    AppendStepPlaces(aText, step, places);
    separator = ",";
  }
  aText += ']';
}

// Appends "[OCCURRENCE,STEP,INDEX,RUN,RUN,...]" for each member of a gang.
void AppendGangFailures(std::string& aText,
                        const std::vector<TaskRecord>& aTasks)
{
  bool hasRows = false;
  for (const TaskRecord& task : aTasks) {
    if (task.mFailedGangRuns.empty()) {
      continue;
    }
    aText += hasRows ? ",[" : ",\"gang_failures\":[[";
    hasRows = true;
    AppendNumber(aText, task.mOccurrence);
    for (const uint64_t number : { task.mStep, task.mIndex }) {
      aText += ',';
      AppendNumber(aText, number);
    }
    for (const RunNumber run : task.mFailedGangRuns) {
      aText += ',';
      AppendNumber(aText, run.Value());
    }
    aText += ']';
  }
  if (hasRows) {
    aText += ']';
  }
}

bool IsNumber32(const json& aValue)
{
  return aValue.is_number_unsigned() &&
         aValue.get<uint64_t>() <= std::numeric_limits<uint32_t>::max();
}

// Returns whether aRow begins with the numbers of a step, after which every
// worker's name is followed by at least one index.
bool IsPlacesRow(const json& aRow)
{
  const bool hasStep = aRow.is_array() &&
                       aRow.size() > kPossibleStepColumns + 1 &&
                       IsNumber32(aRow[0]) && IsNumber32(aRow[1]) &&
                       aRow[kPossibleStepColumns].is_string();
  bool isName = false;
  for (size_t column = kPossibleStepColumns; hasStep && column < aRow.size();
       column++) {
    const bool wasName = std::exchange(isName, aRow[column].is_string());
    if (isName ? wasName || aRow[column].get_ref<const std::string&>().empty()
               : !IsNumber32(aRow[column])) {
      return false;
    }
  }
  return hasStep && !isName;
}

// Returns the positions of the tasks in aTasks.
std::map<TaskKey, size_t> PositionsOf(const std::vector<TaskRecord>& aTasks)
{
  std::map<TaskKey, size_t> positions;
  for (size_t position = 0; position < aTasks.size(); position++) {
    const TaskRecord& task = aTasks[position];
    positions.emplace(TaskKey{ task.mOccurrence, task.mStep, task.mIndex },
                      position);
  }
  return positions;
}

} // namespace

void AppendTasks(std::string& aText, const std::vector<TaskRecord>& aTasks)
{
  aText += ",\"tasks\":[";
  const char* separator = "";
  for (const TaskRecord& task : aTasks) {
    if (NeedsRow(task)) {
      aText += separator;
      AppendTask(aText, task);
      separator = ",";
    }
  }
  aText += ']';
  AppendPossibleWorkers(aText, aTasks);
  AppendGangFailures(aText, aTasks);
}

Result<TaskRecord> TaskFromJson(const json& aRow)
{
  bool valid = aRow.is_array() && aRow.size() == kTaskColumns;
  for (size_t column = 0; valid && column < kNumberColumns; column++) {
    valid = aRow[column].is_number_unsigned();
  }
  valid = valid && aRow[5].is_array() && aRow[6].is_string();
  for (size_t run = 0; valid && run < aRow[5].size(); run++) {
    valid = aRow[5][run].is_number_unsigned();
  }
  if (!valid) {
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

Result<void> AddPossibleWorkers(const json& aRows,
                                std::vector<TaskRecord>& aTasks)
{
  std::map<TaskKey, size_t> positions = PositionsOf(aTasks);
  for (const json& row : aRows) {
    if (!IsPlacesRow(row)) {
      return Fail(FailureKind::kMalformed, "on", "a row is not readable");
    }
    WorkerId worker;
    for (size_t column = kPossibleStepColumns; column < row.size(); column++) {
      if (row[column].is_string()) {
        worker = WorkerId(row[column].get<std::string>());
        continue;
      }
      TaskRecord task;
      task.mOccurrence = row[0].get<uint32_t>();
      task.mStep = row[1].get<uint32_t>();
      task.mIndex = row[column].get<uint32_t>();
      const auto [place, isNew] = positions.emplace(
        TaskKey{ task.mOccurrence, task.mStep, task.mIndex }, aTasks.size());
      if (isNew) {
        aTasks.push_back(std::move(task));
      }
      aTasks[place->second].mPossibleWorkers.push_back(worker);
    }
  }
  return Done();
}

Result<void> AddGangFailures(const json& aRows, std::vector<TaskRecord>& aTasks)
{
  const std::map<TaskKey, size_t> positions = PositionsOf(aTasks);
  for (const json& row : aRows) {
    bool valid = row.is_array() && row.size() > kMemberColumns;
    for (size_t column = 0; valid && column < row.size(); column++) {
      valid = column < kMemberColumns ? IsNumber32(row[column])
                                      : row[column].is_number_unsigned();
    }
    const auto place = valid ? positions.find(TaskKey{ row[0].get<uint32_t>(),
                                                       row[1].get<uint32_t>(),
                                                       row[2].get<uint32_t>() })
                             : positions.end();
    if (place == positions.end()) {
      return Fail(
        FailureKind::kMalformed, "gang_failures", "a row is not readable");
    }
    for (size_t column = kMemberColumns; column < row.size(); column++) {
      aTasks[place->second].mFailedGangRuns.emplace_back(
        row[column].get<uint64_t>());
    }
  }
  return Done();
}

} // namespace mulberryvalve
