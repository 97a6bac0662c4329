// Worker: a stand-in for a worker of the platform (PROTOCOL.md, "Running
// tasks" and "Service discovery"), and the judgement of the rule TWICE from
// what the workers saw.
#ifndef MULBERRYVALVE_REVIEW_STANDINS_WORKER_H_
#define MULBERRYVALVE_REVIEW_STANDINS_WORKER_H_

#include "record.h"
#include "store.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <httplib.h>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace review {

// RunHistory is what happened to one run, by the workers' own events.
struct RunHistory
{
  std::string mWorker;
  uint64_t mRun = 0;
  int64_t mStartedAt = 0;
  // Negative while it runs.
  int64_t mEndedAt = -1;
  std::string mHow;
  // When the end was taken note of, by `seen_upto`; negative if it wasn't.
  int64_t mNotedAt = -1;
  // The worker's lease lapsed between the end and the note.
  bool mLapsedBetween = false;
};

// RuleCheck counts the starts that break TWICE: a run that overlaps another
// run of its task, or a start after a run of the task has ended `done` whose
// end was taken note of, without a lapsed lease between the two.
struct RuleCheck
{
  size_t mRuns = 0;
  size_t mDone = 0;
  size_t mOverlaps = 0;
  size_t mStartsAfterDone = 0;
  std::string mFirst;
};

// History collects the runs of all workers. Thread-safe.
class History
{
public:
  // Returns the index of the run that starts now.
  size_t OnStart(const std::string& aTask,
                 const std::string& aWorker,
                 uint64_t aRun);
  void OnEnd(const std::string& aTask, size_t aIndex, const std::string& aHow);
  void OnNoted(const std::string& aTask, size_t aIndex);
  void OnLapse(const std::string& aTask, size_t aIndex);

  // Returns the number of tasks with a run that ended `done`.
  size_t DoneTasks() const;
  RuleCheck Check() const;

private:
  mutable std::mutex mMutex;
  std::map<std::string, std::vector<RunHistory>> mRuns;
  size_t mDoneTasks = 0;
};

struct WorkerOptions
{
  std::string mId;
  std::string mAddress;
  std::string mService;
  std::string mZone;
  std::string mRack;
  int mCpu = 16000;
  int mMemoryMb = 64000;
  int64_t mMaxHoldMs = 6000;
  int64_t mStopMs = 200;
  int64_t mHeartbeatMs = 1100;
  // How long each task works.
  int64_t mTaskMs = 400;
};

// Thread-safe.
class Worker
{
public:
  Worker(WorkerOptions aOptions,
         Store& aStore,
         History& aHistory,
         Record& aRecord);
  ~Worker();

  // The machine loses power, and the worker starts again after aDarkMs under
  // its id and address. Until then nothing is answered. What it ran and knew is
  // gone. Blocks for aDarkMs.
  void LosePower(int64_t aDarkMs);

private:
  struct Running
  {
    uint64_t mRun = 0;
    int64_t mBegunAt = 0;
    int64_t mEndsAt = 0;
    bool mIsStopping = false;
    size_t mIndex = 0;
  };
  struct Ended
  {
    uint64_t mNumber = 0;
    std::string mTask;
    uint64_t mRun = 0;
    std::string mHow;
    size_t mIndex = 0;
  };

  using Handler = void (Worker::*)(const httplib::Request&, httplib::Response&);

  void Handle(Handler aHandler,
              const httplib::Request& aRequest,
              httplib::Response& aResponse);
  bool IsOfThisLife(const httplib::Request& aRequest);
  void AwaitEndOfCall();
  int64_t Clock() const { return NowMs() - mBornAt; }
  void Tick();
  void Heartbeat();
  void End(const std::string& aTask, const std::string& aHow);
  bool IsFenced(const nlohmann::json& aBody, httplib::Response& aResponse);
  void Extend(int64_t aUntil);
  void Start(const httplib::Request& aRequest, httplib::Response& aResponse);
  void Stop(const httplib::Request& aRequest, httplib::Response& aResponse);
  void Hold(const httplib::Request& aRequest, httplib::Response& aResponse);
  void Pace(const httplib::Request& aRequest, httplib::Response& aResponse);

  const WorkerOptions mOptions;
  std::atomic<int64_t> mBornAt{ NowMs() };
  std::atomic<int64_t> mBornUnixMs;
  Store& mStore;
  History& mHistory;
  Record& mRecord;
  httplib::Server mServer;
  int mPort = 0;
  std::mutex mMutex;
  std::condition_variable mHasEnded;
  uint64_t mFence = 0;
  int64_t mUntil = 0;
  uint64_t mLastEnd = 0;
  std::map<std::string, Running> mRunning;
  std::vector<Ended> mEnded;
  // The highest run of each task that was stopped or has ended here.
  std::map<std::string, uint64_t> mClosed;
  std::atomic<bool> mStopping{ false };
  std::atomic<bool> mIsDark{ false };
  std::atomic<uint64_t> mLife{ 1 };
  // The life in which each connection, by the caller's port, was opened.
  std::map<int, uint64_t> mConnections;
  std::thread mThread;
  std::thread mTicker;
  std::thread mHeart;
};

} // namespace review

#endif // MULBERRYVALVE_REVIEW_STANDINS_WORKER_H_
