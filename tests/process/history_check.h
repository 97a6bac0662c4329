// Checks of what workers recorded. They share no code with the decisions.
#ifndef TESTS_PROCESS_HISTORY_CHECK_H_
#define TESTS_PROCESS_HISTORY_CHECK_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace mulberryvalve {

// WorkerEvent is one line of a worker's record.
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

// WorkerCapacity is what each worker has.
struct WorkerCapacity
{
  int64_t mCpuMillis = 16000;
  int64_t mMemoryMb = 61440;
};

// ParseEvents appends the events of aLines, JSON objects one a line.
void ParseEvents(const std::string& aLines, std::vector<WorkerEvent>& aEvents);

// FindTaskViolations returns what is wrong with the tasks' attempts: two at
// once, one after the task completed, a lease started twice, a worker committed
// beyond aCapacity. Empty when nothing is.
std::vector<std::string> FindTaskViolations(std::vector<WorkerEvent> aEvents,
                                            const WorkerCapacity& aCapacity);

// FindRepeatedKeys returns the keys that ran more than once.
std::vector<std::string> FindRepeatedKeys(
  const std::vector<WorkerEvent>& aEvents);

// LastStart returns when the last task started in aDomain, or zero.
int64_t LastStart(const std::vector<WorkerEvent>& aEvents,
                  const std::string& aDomain);

// CountEvents returns how many events of one kind there are.
int CountEvents(const std::vector<WorkerEvent>& aEvents,
                const std::string& aEvent);

} // namespace mulberryvalve

#endif // TESTS_PROCESS_HISTORY_CHECK_H_
