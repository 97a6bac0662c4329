// Checks of the events that workers recorded. They share no code with the
// scheduler under test.
#ifndef TESTS_PROCESS_HISTORY_CHECK_H_
#define TESTS_PROCESS_HISTORY_CHECK_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace mulberryvalve {

// WorkerEvent is one event recorded by a worker.
struct WorkerEvent
{
  int64_t mMs = 0;
  std::string mWorker;
  std::string mDomain;
  std::string mEvent;
  std::string mLease;
  std::string mTask;
  std::string mKey;
  int64_t mCpuMillis = 0;
  int64_t mMemoryMb = 0;
  std::string mResumeFrom;
};

// WorkerCapacity holds the resources of each worker.
struct WorkerCapacity
{
  int64_t mCpuMillis = 16000;
  int64_t mMemoryMb = 61440;
};

// Parses aLines, one JSON object a line, and appends the events to aEvents.
void ParseEvents(const std::string& aLines, std::vector<WorkerEvent>& aEvents);

// Returns a description of each violation: two attempts of a task at once, an
// attempt after the task completed, a lease started twice, or a worker that
// runs more than aCapacity.
std::vector<std::string> FindTaskViolations(std::vector<WorkerEvent> aEvents,
                                            const WorkerCapacity& aCapacity);

// Returns the idempotency keys whose request ran more than once.
std::vector<std::string> FindRepeatedKeys(
  const std::vector<WorkerEvent>& aEvents);

// Returns when a task was last started in aDomain, or zero.
int64_t LastStart(const std::vector<WorkerEvent>& aEvents,
                  const std::string& aDomain);

// Returns how many events are of kind aEvent.
int CountEvents(const std::vector<WorkerEvent>& aEvents,
                const std::string& aEvent);

} // namespace mulberryvalve

#endif // TESTS_PROCESS_HISTORY_CHECK_H_
