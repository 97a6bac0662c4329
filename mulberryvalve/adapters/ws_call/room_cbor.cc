#include "mulberryvalve/adapters/ws_call/room_cbor.h"

#include <algorithm>
#include <cstddef>
#include <limits>
#include <string>
#include <utility>

namespace mulberryvalve {
namespace {

using nlohmann::json;

// The demands follow each other in one array: service, label, thousandths of a
// core, megabytes, accelerators, whether the tasks last, tasks per worker,
// tasks.
constexpr size_t kTextColumns = 2;
constexpr size_t kLastingColumn = 5;
constexpr size_t kPerWorkerColumn = 6;
constexpr size_t kTasksColumn = 7;
constexpr size_t kColumns = 8;
constexpr uint64_t kMaxAmount = 1'000'000'000'000;
// An hour; a longer wait is told as one.
constexpr int64_t kMaxWaitedMs = 3'600'000;

bool IsText(const json& aValue)
{
  return aValue.is_string() &&
         aValue.get_ref<const std::string&>().size() <= kMaxShortText;
}

bool IsAmount(const json& aValue, uint64_t aMost)
{
  return aValue.is_number_unsigned() && aValue.get<uint64_t>() <= aMost;
}

// aFirst is the first column of a demand.
bool IsDemand(const json& aColumns, size_t aFirst)
{
  bool isValid = true;
  for (size_t column = 0; column < kColumns; column++) {
    const json& value = aColumns[aFirst + column];
    isValid = isValid && (column < kTextColumns ? IsText(value)
                                                : IsAmount(value, kMaxAmount));
  }
  return isValid && IsAmount(aColumns[aFirst + kLastingColumn], 1) &&
         IsAmount(aColumns[aFirst + kPerWorkerColumn],
                  std::numeric_limits<uint32_t>::max()) &&
         IsAmount(aColumns[aFirst + kTasksColumn], kMaxTasksPerDemand);
}

RoomDemand DemandAt(const json& aColumns, size_t aFirst)
{
  RoomDemand demand;
  demand.mService = ServiceId(aColumns[aFirst].get<std::string>());
  demand.mRequiredLabel = WorkerLabel(aColumns[aFirst + 1].get<std::string>());
  demand.mDemand.mCpuMillis = aColumns[aFirst + 2].get<int64_t>();
  demand.mDemand.mMemoryMb = aColumns[aFirst + 3].get<int64_t>();
  demand.mDemand.mAccelerators = aColumns[aFirst + 4].get<int64_t>();
  demand.mLongRunning = aColumns[aFirst + kLastingColumn].get<uint32_t>() == 1;
  demand.mMaxPerWorker = aColumns[aFirst + kPerWorkerColumn].get<uint32_t>();
  demand.mCount = aColumns[aFirst + kTasksColumn].get<uint32_t>();
  return demand;
}

} // namespace

void AddRoomRequest(json& aObject, const RoomRequest& aRequest)
{
  json columns = json::array();
  for (const RoomDemand& demand : aRequest.mDemands) {
    columns.push_back(demand.mService.Text());
    columns.push_back(demand.mRequiredLabel.Text());
    columns.push_back(static_cast<uint64_t>(demand.mDemand.mCpuMillis));
    columns.push_back(static_cast<uint64_t>(demand.mDemand.mMemoryMb));
    columns.push_back(static_cast<uint64_t>(demand.mDemand.mAccelerators));
    columns.push_back(demand.mLongRunning ? 1U : 0U);
    columns.push_back(demand.mMaxPerWorker);
    columns.push_back(demand.mCount);
  }
  aObject["room_from"] = aRequest.mFrom;
  aObject["room_epoch"] = aRequest.mEpoch.Value();
  aObject["room_waited_ms"] =
    std::min<int64_t>(aRequest.mWaited.count(), kMaxWaitedMs);
  aObject["room_demands"] = std::move(columns);
}

RoomRequest DecodeRoomRequest(JsonReader& aReader)
{
  RoomRequest request;
  request.mFrom =
    static_cast<ShardNumber>(aReader.Number("room_from", 0, UINT32_MAX));
  request.mEpoch =
    Epoch(static_cast<uint64_t>(aReader.Number("room_epoch", 0)));
  request.mWaited =
    Milliseconds(aReader.Number("room_waited_ms", 0, kMaxWaitedMs));
  const json& columns =
    aReader.Array("room_demands", kMaxRoomDemands * kColumns);
  for (size_t first = 0; first < columns.size(); first += kColumns) {
    if (first + kColumns > columns.size() || !IsDemand(columns, first)) {
      aReader.RecordFault(Fail(
        FailureKind::kMalformed, "room_demands", "a demand is not readable"));
      return request;
    }
    request.mDemands.push_back(DemandAt(columns, first));
  }
  return request;
}

void AddRoomAnswer(json& aObject, const RoomAnswer& aAnswer)
{
  aObject["room"] = kRoomOutcomeNames.Name(aAnswer.mOutcome);
  aObject["room_workers"] = aAnswer.mWorkers;
  aObject["room_tasks"] = aAnswer.mTasks;
}

RoomAnswer DecodeRoomAnswer(JsonReader& aReader)
{
  RoomAnswer answer;
  answer.mOutcome = aReader.Enum("room", kRoomOutcomeNames);
  answer.mWorkers = static_cast<uint32_t>(
    aReader.Number("room_workers", 0, kMaxWorkersPerRequest));
  for (const json& tasks : aReader.Array("room_tasks", kMaxRoomDemands)) {
    if (!IsAmount(tasks, kMaxTasksPerDemand)) {
      aReader.RecordFault(
        Fail(FailureKind::kMalformed, "room_tasks", "not a number of tasks"));
      return answer;
    }
    answer.mTasks.push_back(tasks.get<uint32_t>());
  }
  return answer;
}

} // namespace mulberryvalve
