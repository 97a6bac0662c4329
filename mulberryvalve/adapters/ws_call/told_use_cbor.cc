#include "mulberryvalve/adapters/ws_call/told_use_cbor.h"

#include <limits>
#include <string>
#include <utility>

namespace mulberryvalve {
namespace {

using nlohmann::json;

// Columns of a worker's row: name, and the milliseconds that leases may last;
// without these it was never used.
constexpr size_t kUsedColumns = 2;
// Columns of a start's row: job, occurrence, step, index, worker.
constexpr size_t kStartColumns = 5;
// A day: no lease lasts as long.
constexpr int64_t kMaxLeaseMs = 86'400'000;

bool IsName(const json& aValue)
{
  return aValue.is_string() && !aValue.get_ref<const std::string&>().empty() &&
         aValue.get_ref<const std::string&>().size() <= kMaxShortText;
}

bool IsNumberUpTo(const json& aValue, uint64_t aMost)
{
  return aValue.is_number_unsigned() && aValue.get<uint64_t>() <= aMost;
}

bool IsWorkerRow(const json& aRow)
{
  const bool isUnused = aRow.is_array() && aRow.size() == 1;
  const bool isUsed = aRow.is_array() && aRow.size() == kUsedColumns &&
                      IsNumberUpTo(aRow[1], kMaxLeaseMs);
  return (isUnused || isUsed) && IsName(aRow[0]);
}

bool IsStartRow(const json& aRow)
{
  bool isValid = aRow.is_array() && aRow.size() == kStartColumns &&
                 IsName(aRow[0]) && IsName(aRow[kStartColumns - 1]);
  for (size_t column = 1; isValid && column < kStartColumns - 1; column++) {
    isValid = IsNumberUpTo(aRow[column], std::numeric_limits<uint32_t>::max());
  }
  return isValid;
}

ToldWorker WorkerFromRow(const json& aRow)
{
  ToldWorker worker{ WorkerId(aRow[0].get<std::string>()) };
  if (aRow.size() == kUsedColumns) {
    worker.mLeasesLeft = Milliseconds(aRow[1].get<int64_t>());
  }
  return worker;
}

UnrecordedStart StartFromRow(const json& aRow)
{
  UnrecordedStart start;
  start.mTask.mStep.mJob = JobId(aRow[0].get<std::string>());
  start.mTask.mStep.mOccurrence = aRow[1].get<uint32_t>();
  start.mTask.mStep.mStep = aRow[2].get<uint32_t>();
  start.mTask.mIndex = aRow[3].get<uint32_t>();
  start.mWorker = WorkerId(aRow[4].get<std::string>());
  return start;
}

void RecordUnreadable(JsonReader& aReader, const char* aField)
{
  aReader.RecordFault(
    Fail(FailureKind::kMalformed, aField, "a row is not readable"));
}

} // namespace

json EncodeNames(const std::vector<WorkerId>& aWorkers, size_t aMaxBytes)
{
  // A text of CBOR has at most this many bytes besides its own.
  constexpr size_t kHeadBytes = 3;
  json names = json::array();
  size_t bytes = 0;
  for (const WorkerId& worker : aWorkers) {
    bytes += worker.Text().size() + kHeadBytes;
    if (bytes > aMaxBytes || names.size() == kMaxToldWorkers) {
      break;
    }
    names.push_back(worker.Text());
  }
  return names;
}

std::vector<WorkerId> DecodeNames(JsonReader& aReader)
{
  std::vector<WorkerId> workers;
  for (const json& name : aReader.Array("workers", kMaxToldWorkers)) {
    if (!IsName(name)) {
      RecordUnreadable(aReader, "workers");
      return {};
    }
    workers.emplace_back(name.get<std::string>());
  }
  return workers;
}

void AddTold(json& aObject, const ToldUse& aTold)
{
  json workers = json::array();
  for (const ToldWorker& worker : aTold.mWorkers) {
    json row = json::array({ worker.mWorker.Text() });
    if (worker.mLeasesLeft) {
      row.push_back(static_cast<uint64_t>(worker.mLeasesLeft->count()));
    }
    workers.push_back(std::move(row));
  }
  aObject["told_workers"] = std::move(workers);
  if (!aTold.mUnrecorded) {
    return;
  }
  json starts = json::array();
  for (const UnrecordedStart& start : *aTold.mUnrecorded) {
    const StepRef& step = start.mTask.mStep;
    starts.push_back(json::array({ step.mJob.Text(),
                                   step.mOccurrence,
                                   step.mStep,
                                   start.mTask.mIndex,
                                   start.mWorker.Text() }));
  }
  aObject["told_starts"] = std::move(starts);
}

ToldUse DecodeTold(JsonReader& aReader)
{
  ToldUse told;
  for (const json& row : aReader.Array("told_workers", kMaxToldWorkers)) {
    if (!IsWorkerRow(row)) {
      RecordUnreadable(aReader, "told_workers");
      return {};
    }
    told.mWorkers.push_back(WorkerFromRow(row));
  }
  if (!aReader.Has("told_starts")) {
    return told;
  }
  std::vector<UnrecordedStart> starts;
  for (const json& row : aReader.Array("told_starts", kMaxToldStarts)) {
    if (!IsStartRow(row)) {
      RecordUnreadable(aReader, "told_starts");
      return {};
    }
    starts.push_back(StartFromRow(row));
  }
  told.mUnrecorded = std::move(starts);
  return told;
}

} // namespace mulberryvalve
