// A simulated worker: its leases, tasks, request slots and resource usage.

#pragma once

#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>

#include "standins/base/clock.h"
#include "standins/record/worker_event_sink.h"
#include "standins/worker_model/running_task.h"
#include "standins/worker_model/usage_history.h"
#include "standins/worker_model/worker_faults.h"
#include "standins/worker_model/worker_types.h"

namespace mulberryvalve::standins {

// A running request, which occupies a slot until `Worker::EndRequest`.
struct RequestTicket
{
  SteadyTime mBegunAt;
  // When its work is done.
  SteadyTime mEndsAt;
};

using RequestResult = outcome::unchecked<RequestTicket, RequestErrorCode>;

// Is notified of each new deadline of a worker, which may be earlier than its
// previous ones. Called with the worker's lock held, so it must not call the
// worker.
class DeadlineListener
{
public:
  virtual ~DeadlineListener() = default;

  virtual void OnDeadline(const std::string& aWorker, SteadyTime aDeadline) = 0;
};

// Executes the commands of the schedulers. Never blocks: a task ends when
// `Advance` or a command finds that its end has passed. Thread-safe, with one
// lock per worker.
class Worker
{
public:
  // The references must outlive the worker. Its own clock (`ClockMs`) starts at
  // 0 at construction.
  Worker(WorkerSettings aSettings,
         const Clock& aClock,
         WorkerEventSink& aEventLog,
         DeadlineListener& aDeadlines);

  const WorkerSettings& Settings() const { return mSettings; }
  WorkerFaults& Faults() { return mFaults; }

  // Renews leases, deletes the reports of acknowledged finished tasks and
  // returns the worker's state. Errors: `kFenced`.
  CommandResult<SyncReport> Sync(const SyncCommand& aCommand);

  // Starts a task and returns the worker's time. Idempotent by lease. Errors:
  // `kFenced`, `kTooLate`, `kLeaseStopped`, `kOtherBoot`, `kBadCheckpoint`.
  CommandResult<ClockMs> Start(const StartCommand& aCommand);

  // Stops a task, or rejects later starts of a lease that is unknown; returns
  // the worker's time. Idempotent. Errors: `kFenced`.
  CommandResult<ClockMs> Stop(const LeaseCommand& aCommand);

  // Takes a checkpoint and returns its id. Errors: `kFenced`, `kNoLease`.
  CommandResult<std::string> Checkpoint(const LeaseCommand& aCommand);

  // Sets the speed of a task and returns the worker's time. Errors: `kFenced`,
  // `kNoLease`.
  CommandResult<ClockMs> Throttle(const LeaseCommand& aCommand,
                                  int64_t aPercent);

  // Rejects all later requests.
  void Drain();

  // Allocates a slot for a request, rejects it or fails it. The caller waits
  // until the ticket's `mEndsAt` and then calls `EndRequest`.
  RequestResult BeginRequest(const RequestCommand& aCommand);

  // Releases the slot of `aTicket`.
  void EndRequest(const RequestCommand& aCommand, const RequestTicket& aTicket);

  // Ends the tasks that are due and takes a usage sample if one is due. Returns
  // when to call it next.
  SteadyTime Advance();

private:
  using TaskMap = std::map<std::string, RunningTask>;

  // The methods below require `mMutex` to be held.
  ClockMs NowMs() const;
  std::optional<CommandError> CheckFence(const Issuer& aIssuer);
  void EndDueTasks(ClockMs aNow);
  void EndTask(TaskMap::iterator aTask, const TaskEnd& aEnd);
  void NotifyDeadline(const RunningTask& aTask);
  void SampleUsage(ClockMs aNow);
  const UsageReport& ReportedUsage(ClockMs aNow);
  int64_t UsedCpuMillis() const;
  WorkerEvent MakeTaskEvent(WorkerEventKind aKind,
                            const RunningTask& aTask) const;
  WorkerEvent MakeRequestEvent(WorkerEventKind aKind,
                               const RequestCommand& aCommand) const;

  const WorkerSettings mSettings;
  const Clock& mClock;
  WorkerEventSink& mEventLog;
  DeadlineListener& mDeadlines;
  const SteadyTime mStartedAt;
  WorkerFaults mFaults;

  std::mutex mMutex;
  std::map<std::string, uint64_t> mHighestFences;
  TaskMap mRunning;
  std::map<std::string, FinishedReport> mFinished;
  // All leases that were ever started, including finished ones.
  std::set<std::string> mStarted;
  // Leases for which a stop arrived before the start.
  std::set<std::string> mStoppedBeforeStart;
  UsageHistory mUsage;
  UsageReport mLastReported;
  ClockMs mNextSampleAt = 0;
  int64_t mBusySlots = 0;
  bool mDraining = false;
};

} // namespace mulberryvalve::standins
