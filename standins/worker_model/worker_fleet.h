// All workers of a process and the timer thread that ends their tasks.

#pragma once

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "standins/worker_model/worker.h"

namespace mulberryvalve::standins {

// Owns the workers and a timer thread that waits for the earliest deadline of
// all workers. Thread-safe.
class WorkerFleet : private DeadlineListener
{
public:
  // Creates one worker for each of `aSettings`, whose ids must be unique, and
  // starts the timer thread. The references must outlive the fleet.
  WorkerFleet(const std::vector<WorkerSettings>& aSettings,
              const Clock& aClock,
              WorkerEventSink& aEventLog);

  // Stops the timer thread.
  ~WorkerFleet() override;

  WorkerFleet(const WorkerFleet&) = delete;
  WorkerFleet& operator=(const WorkerFleet&) = delete;

  // The worker with that id, or nullptr.
  Worker* Find(const std::string& aId);

  // All workers, sorted by id.
  std::vector<Worker*> All();

private:
  struct Entry
  {
    std::unique_ptr<Worker> mWorker;
    // Guarded by the fleet's `mMutex`.
    SteadyTime mNextDeadline;
  };

  void OnDeadline(const std::string& aWorker, SteadyTime aDeadline) override;
  void Run();

  // Returns the workers whose deadline has passed and resets their deadlines to
  // `SteadyTime::max()`. Requires `mMutex` to be held.
  std::vector<Entry*> TakeDueEntries(SteadyTime aNow);

  // The earliest deadline of all workers. Requires `mMutex` to be held.
  SteadyTime NextDeadline() const;

  const Clock& mClock;
  // Constant after construction, except for the deadlines.
  std::map<std::string, Entry> mEntries;
  std::mutex mMutex;
  std::condition_variable mCondition;
  SteadyTime mWakeAt;
  bool mStopped = false;
  std::thread mThread;
};

} // namespace mulberryvalve::standins
