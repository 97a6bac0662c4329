// A stand-in of a worker, as PROTOCOL.md describes it. A task's specification
// says how long it works, as "ms=200".
#ifndef REVIEW_STANDINS_2_WORKER_H_
#define REVIEW_STANDINS_2_WORKER_H_

#include "record.h"
#include "store.h"

#include <condition_variable>
#include <deque>
#include <memory>
#include <optional>
#include <thread>

namespace review {

struct WorkerSettings
{
  std::string mId;
  std::string mAddress;
  std::string mService;
  std::string mZone;
  std::string mRack;
  int64_t mCpu = 16000;
  int64_t mMemoryMb = 64000;
  int64_t mMaxHoldMs = 10000;
  int64_t mHeartbeatMs = 1100;
  // How long a start takes, in milliseconds.
  int64_t mStartMs = 0;
  // The first label of the worker.
  std::string mKind = "a";
};

// Thread-safe.
class Worker
{
public:
  Worker(WorkerSettings aSettings, Store& aStore, Record& aRecord);
  ~Worker();
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  const std::string& Id() const { return mSettings.mId; }

  // Ends the process of the worker and starts it again under the same id, as
  // another kind if aKind is not empty.
  void Restart(int aDownMs, const std::string& aKind = "");

  std::string Kind();

  // Returns the number of tasks at work.
  size_t Running();
  // Returns the tasks at work that belong to a job.
  size_t RunningOf(const std::string& aJob);

private:
  struct Run
  {
    int64_t mNumber = 0;
    int64_t mEndsAt = 0;
    std::string mCheckpoint;
  };
  struct End
  {
    int64_t mNumber = 0;
    std::string mTask;
    int64_t mRun = 0;
    std::string mHow;
    std::string mCheckpoint;
  };

  Response Handle(const Request& aRequest);
  Response Start(const Request& aRequest);
  Response Stop(const Request& aRequest);
  Response Hold(const Request& aRequest);
  int64_t ClockMs() const { return NowMs() - mBornAt; }
  void Begin();
  void ExtendLease(int64_t aUntil);
  void Finish(const std::string& aTask, const std::string& aHow);
  void RunTimers();
  void RunHeartbeat();
  void Register();

  const WorkerSettings mSettings;
  std::string mKind;
  Store& mStore;
  Record& mRecord;
  std::mutex mMutex;
  std::condition_variable mChanged;
  bool mStopping = false;
  bool mIsUp = true;
  int64_t mBornAt = 0;
  int64_t mBornUnixMs = 0;
  int64_t mFence = 0;
  int64_t mLeaseUntil = 0;
  int64_t mLastEnd = 0;
  int64_t mSequence = 0;
  uint64_t mIncarnation = 0;
  std::map<std::string, Run> mRuns;
  std::deque<End> mEnds;
  // The highest run of each task that was stopped or has ended here.
  std::map<std::string, int64_t> mPast;
  std::unique_ptr<Server> mServer;
  std::thread mTimers;
  std::thread mHeartbeat;
};

} // namespace review

#endif // REVIEW_STANDINS_2_WORKER_H_
