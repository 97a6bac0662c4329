// records_bench: measures the records of one task from submission to end: their
// size, the processor time to encode, decode and apply them, and the memory
// that the ledger uses per task.
//
//   records_bench [TASKS]
#include "mulberryvalve/adapters/json/record_codec.h"
#include "mulberryvalve/core/ledger/shard_state_machine.h"

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string>
#include <unistd.h>
#include <vector>

namespace mulberryvalve {
namespace {

using SteadyTime = std::chrono::steady_clock::time_point;

constexpr uint32_t kDefaultTasks = 100'000;
constexpr uint32_t kPartsPerJob = 100;

double NanosecondsSince(SteadyTime aBegin)
{
  const auto elapsed = std::chrono::steady_clock::now() - aBegin;
  return std::chrono::duration<double, std::nano>(elapsed).count();
}

int64_t ResidentBytes()
{
  std::ifstream statm("/proc/self/statm");
  int64_t size = 0;
  int64_t resident = 0;
  statm >> size >> resident;
  return resident * sysconf(_SC_PAGESIZE);
}

class History
{
public:
  explicit History(uint32_t aTasks)
  {
    const WriterId owner{ InstanceId("north-1"),
                          Incarnation(1796383021883072) };
    Add(owner, Epoch(), ShardClaimed{});
    const Epoch epoch(mRecords.size());
    for (uint32_t job = 0; job < aTasks / kPartsPerJob; job++) {
      AddJob(owner, epoch, JobId("north.0.pick-list-" + std::to_string(job)));
    }
  }

  const std::vector<LogRecord>& Records() const { return mRecords; }

private:
  void Add(const WriterId& aWriter, Epoch aEpoch, Record aBody)
  {
    RecordHeader header{
      aWriter, mRecords.size() + 1, aEpoch, WallTime{ 1796383021883 }
    };
    mRecords.push_back(LogRecord{ header, std::move(aBody) });
  }

  void AddJob(const WriterId& aOwner, Epoch aEpoch, const JobId& aJob)
  {
    TaskDemand demand;
    demand.mTeam = TeamId("picking");
    demand.mClass = TaskClass("pick-list");
    demand.mResources = Resources{ 1000, 512, 0 };
    demand.mPayload = "{\"run_ms\":1500}";
    Add(aOwner, Epoch(), JobSubmitted{ JobSpec{ aJob, demand, kPartsPerJob } });
    for (uint32_t part = 0; part < kPartsPerJob; part++) {
      const TaskId task = MakeTaskId(aJob, part);
      const WorkerId worker("north-" + std::to_string(part));
      Add(aOwner, aEpoch, TaskAssigned{ task, Attempt(1), worker });
      Add(aOwner, aEpoch, TaskStarted{ task, Attempt(1) });
    }
  }

  std::vector<LogRecord> mRecords;
};

void Run(uint32_t aTasks)
{
  const History history(aTasks);
  const auto& records = history.Records();
  const double count = static_cast<double>(records.size());

  std::vector<std::string> texts;
  texts.reserve(records.size());
  SteadyTime begin = std::chrono::steady_clock::now();
  size_t bytes = 0;
  for (const LogRecord& record : records) {
    texts.push_back(EncodeRecord(record));
    bytes += texts.back().size();
  }
  const double encode = NanosecondsSince(begin) / count;

  begin = std::chrono::steady_clock::now();
  size_t good = 0;
  for (const std::string& text : texts) {
    good += DecodeRecord(text) ? 1 : 0;
  }
  const double decode = NanosecondsSince(begin) / count;

  const int64_t before = ResidentBytes();
  begin = std::chrono::steady_clock::now();
  ShardStateMachine ledger{ ShardId("north.0") };
  uint64_t offset = 1;
  for (const LogRecord& record : records) {
    ledger.Apply(StoredRecord{ Offset(offset++), record });
  }
  const double fold = NanosecondsSince(begin) / count;
  const double perTask = static_cast<double>(ResidentBytes() - before) / aTasks;

  std::printf(
    "tasks %u, records %zu, decoded %zu\n", aTasks, records.size(), good);
  std::printf("bytes a record      %8.1f\n",
              static_cast<double>(bytes) / count);
  std::printf("encode ns a record  %8.0f\n", encode);
  std::printf("decode ns a record  %8.0f\n", decode);
  std::printf("fold ns a record    %8.0f\n", fold);
  std::printf("ledger bytes a task %8.0f\n", perTask);
}

} // namespace
} // namespace mulberryvalve

int main(int aArgc, char** aArgv)
{
  const long asked = aArgc > 1 ? std::strtol(aArgv[1], nullptr, 10) : 0;
  mulberryvalve::Run(asked > 0 ? static_cast<uint32_t>(asked)
                               : mulberryvalve::kDefaultTasks);
  return 0;
}
