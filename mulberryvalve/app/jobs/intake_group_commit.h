// Appends the entries that other instances relay to this one as the owner of a
// shard.
#ifndef MULBERRYVALVE_APP_JOBS_INTAKE_GROUP_COMMIT_H_
#define MULBERRYVALVE_APP_JOBS_INTAKE_GROUP_COMMIT_H_

#include "mulberryvalve/app/jobs/intake_batchers.h"
#include "mulberryvalve/app/jobs/shard_owners.h"
#include "mulberryvalve/core/base/mutex.h"

#include <memory>
#include <thread>
#include <vector>

namespace mulberryvalve {

// Ports of IntakeGroupCommit. All references must outlive it.
struct IntakeGroupCommitPorts
{
  KeyedLog& mLog;
  IntakeBatchers& mBatchers;
  ShardOwners& mOwners;
  const Clock& mClock;
};

// Entries that arrive during an append share the next one (group commit). Each
// shard has its own queue, lock and thread, so that a slow partition delays no
// other. Entries are taken only for shards that this instance owns, and are
// never relayed further. Thread-safe.
class IntakeGroupCommit : public PeerIntakeHandler
{
public:
  // The most bytes of one shard that may wait or be on their way: two calls of
  // the usual limit. More would wait for longer than callers do.
  static constexpr size_t kMaxBytesInFlight = 4194304;

  explicit IntakeGroupCommit(IntakeGroupCommitPorts aPorts);
  ~IntakeGroupCommit() override;
  IntakeGroupCommit(const IntakeGroupCommit&) = delete;
  IntakeGroupCommit& operator=(const IntakeGroupCommit&) = delete;

  // Starts the threads. Call once.
  void Start();

  // BeginStop refuses what was not sent yet and all later entries. Stop waits
  // for the threads; call BeginStop first.
  void BeginStop();
  void Stop();

  // Replies at once if nothing is appended, otherwise on the shard's thread.
  void OnIntake(const PeerQuery& aQuery, Reply aReply) override;

private:
  struct Waiting
  {
    KeyedEntry mEntry;
    MonotonicTime mDeadline;
    PeerQueryResult mAnswer;
    Reply mReply;
  };

  struct Queue
  {
    Mutex mMutex;
    CondVar mCond;
    std::vector<Waiting> mWaiting MV_GUARDED_BY(mMutex);
    // Of the waiting entries and of those that are being appended.
    size_t mBytes MV_GUARDED_BY(mMutex) = 0;
    bool mIsRunning MV_GUARDED_BY(mMutex) = false;
    std::thread mThread;
  };

  void Run(ShardNumber aShard);
  std::vector<Waiting> TakeGroup(Queue& aQueue);
  void Commit(ShardNumber aShard, std::vector<Waiting> aGroup);
  bool Enqueue(ShardNumber aShard, Waiting& aWaiting);
  void Answer(ShardNumber aShard, Waiting& aWaiting, IntakeOutcome aOutcome);
  bool IsInTime(ShardNumber aShard, const RelayedEntry& aRelayed);

  IntakeGroupCommitPorts mPorts;
  std::vector<std::unique_ptr<Queue>> mQueues;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_JOBS_INTAKE_GROUP_COMMIT_H_
