#include "tests/process/history_check.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

namespace mulberryvalve {
namespace {

using nlohmann::json;

// Orders events by time; within a millisecond, ends come before starts.
bool OrderedBefore(const WorkerEvent& aLeft, const WorkerEvent& aRight)
{
  if (aLeft.mMs != aRight.mMs) {
    return aLeft.mMs < aRight.mMs;
  }
  return aLeft.mEvent != "start" && aRight.mEvent == "start";
}

bool EndsAttempt(const std::string& aEvent)
{
  return aEvent == "stop" || aEvent == "complete" || aEvent == "fail" ||
         aEvent == "expire";
}

// Replays events in order, tracks which leases run, and collects violations.
class Replay
{
public:
  explicit Replay(const WorkerCapacity& aCapacity)
    : mCapacity(aCapacity)
  {
  }

  void Apply(const WorkerEvent& aEvent)
  {
    if (aEvent.mEvent == "start") {
      Start(aEvent);
    } else if (EndsAttempt(aEvent.mEvent)) {
      End(aEvent);
    }
  }

  std::vector<std::string> Findings() const { return mFindings; }

private:
  void Start(const WorkerEvent& aEvent)
  {
    const std::string name = aEvent.mTask + " " + aEvent.mLease;
    AddFindingIf(!mStarted.insert(aEvent.mLease).second,
                 "lease twice: " + name);
    AddFindingIf(mRunning.count(aEvent.mTask) != 0,
                 "two attempts at once: " + name);
    AddFindingIf(mCompleted.count(aEvent.mTask) != 0,
                 "after completion: " + name);
    mRunning[aEvent.mTask] = aEvent;
    auto& [cpu, memory] = mUsed[aEvent.mWorker];
    cpu += aEvent.mCpuMillis;
    memory += aEvent.mMemoryMb;
    AddFindingIf(cpu > mCapacity.mCpuMillis || memory > mCapacity.mMemoryMb,
                 "overcommitted: " + aEvent.mWorker);
  }

  void End(const WorkerEvent& aEvent)
  {
    if (aEvent.mEvent == "complete") {
      const bool first = mCompleted.insert(aEvent.mTask).second;
      AddFindingIf(!first, "completed twice: " + aEvent.mTask);
    }
    const auto running = mRunning.find(aEvent.mTask);
    if (running != mRunning.end() && running->second.mLease == aEvent.mLease) {
      auto& [cpu, memory] = mUsed[running->second.mWorker];
      cpu -= running->second.mCpuMillis;
      memory -= running->second.mMemoryMb;
      mRunning.erase(running);
    }
  }

  void AddFindingIf(bool aViolated, const std::string& aText)
  {
    if (aViolated) {
      mFindings.push_back(aText);
    }
  }

  const WorkerCapacity mCapacity;
  std::vector<std::string> mFindings;
  std::map<std::string, WorkerEvent> mRunning;
  std::map<std::string, std::pair<int64_t, int64_t>> mUsed;
  std::set<std::string> mStarted;
  std::set<std::string> mCompleted;
};

} // namespace

void ParseEvents(const std::string& aLines, std::vector<WorkerEvent>& aEvents)
{
  std::istringstream lines(aLines);
  std::string line;
  while (std::getline(lines, line)) {
    const json row = json::parse(line, nullptr, false);
    if (!row.is_object()) {
      continue;
    }
    aEvents.push_back(WorkerEvent{ row.value("ms", int64_t(0)),
                                   row.value("worker", ""),
                                   row.value("domain", ""),
                                   row.value("event", ""),
                                   row.value("lease", ""),
                                   row.value("task", ""),
                                   row.value("key", ""),
                                   row.value("cpu_millis", int64_t(0)),
                                   row.value("memory_mb", int64_t(0)),
                                   row.value("resume_from", "") });
  }
}

std::vector<std::string> FindTaskViolations(std::vector<WorkerEvent> aEvents,
                                            const WorkerCapacity& aCapacity)
{
  std::stable_sort(aEvents.begin(), aEvents.end(), OrderedBefore);
  Replay replay(aCapacity);
  for (const WorkerEvent& event : aEvents) {
    replay.Apply(event);
  }
  return replay.Findings();
}

std::vector<std::string> FindRepeatedKeys(
  const std::vector<WorkerEvent>& aEvents)
{
  std::set<std::string> run;
  std::vector<std::string> faults;
  for (const WorkerEvent& event : aEvents) {
    if (event.mEvent == "request" && !event.mKey.empty() &&
        !run.insert(event.mKey).second) {
      faults.push_back("key ran twice: " + event.mKey);
    }
  }
  return faults;
}

int64_t LastStart(const std::vector<WorkerEvent>& aEvents,
                  const std::string& aDomain)
{
  int64_t last = 0;
  for (const WorkerEvent& event : aEvents) {
    if (event.mEvent == "start" && event.mDomain == aDomain) {
      last = std::max(last, event.mMs);
    }
  }
  return last;
}

int CountEvents(const std::vector<WorkerEvent>& aEvents,
                const std::string& aEvent)
{
  return static_cast<int>(
    std::count_if(aEvents.begin(), aEvents.end(), [&](const WorkerEvent& aRow) {
      return aRow.mEvent == aEvent;
    }));
}

} // namespace mulberryvalve
