// FakeWorker: a simulated worker, which adds the tasks it runs to the history.
#ifndef MULBERRYVALVE_TESTS_SCHEDULES_FAKE_WORKER_H_
#define MULBERRYVALVE_TESTS_SCHEDULES_FAKE_WORKER_H_

#include "mulberryvalve/ports/out/worker_port.h"
#include "tests/schedules/history.h"
#include "tests/schedules/world.h"

#include <map>
#include <set>

namespace schedules {

// FakeWorker implements the worker commands of WorkerPort on a clock with its
// own offset and drift.
class FakeWorker
{
public:
  FakeWorker(World& aWorld, History& aHistory, mulberryvalve::WorkerSpec aSpec);

  mulberryvalve::Result<mulberryvalve::SyncReply> Sync(
    const mulberryvalve::SyncRequest& aRequest);
  mulberryvalve::Result<void> Start(
    const mulberryvalve::StartCommand& aCommand);
  mulberryvalve::Result<void> Stop(const mulberryvalve::CommandFence& aFence,
                                   const mulberryvalve::LeaseId& aLease);
  mulberryvalve::Result<mulberryvalve::CheckpointId> Checkpoint(
    const mulberryvalve::CommandFence& aFence,
    const mulberryvalve::LeaseId& aLease);

  // Ends all runs and forgets all state, as a restart of the machine does.
  void Reboot();

  // Ends the runs that are due by now. Call this before reading the history.
  void EndDueRuns();

  const mulberryvalve::WorkerSpec mSpec;
  bool mDead = false;
  int64_t mFrozenUntil = 0;
  int64_t mCutUntil = 0;

private:
  struct Running
  {
    mulberryvalve::StartCommand mCommand;
    size_t mRun = 0;
    int64_t mExpiresAt = 0;
    int64_t mDoneAt = 0;
    bool mFails = false;
  };

  int64_t LocalClock() const;
  int64_t WorldTime(int64_t aReading) const;
  bool IsFenced(const mulberryvalve::CommandFence& aFence);
  void End(const mulberryvalve::LeaseId& aLease,
           mulberryvalve::LeaseEnd aEnd,
           int64_t aAt);

  World& mWorld;
  History& mHistory;
  int64_t mBoot = 1;
  int64_t mBootedAt = 0;
  int64_t mOffsetMs = 0;
  int64_t mRatePpm = 0;
  std::map<mulberryvalve::ShardId, mulberryvalve::Epoch> mFences;
  std::map<mulberryvalve::LeaseId, Running> mRunning;
  std::map<mulberryvalve::LeaseId, mulberryvalve::FinishedLease> mFinished;
  std::set<mulberryvalve::LeaseId> mEnded;
};

} // namespace schedules

#endif // MULBERRYVALVE_TESTS_SCHEDULES_FAKE_WORKER_H_
