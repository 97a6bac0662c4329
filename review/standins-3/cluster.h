// The workers of a service, as the users' protocol page describes them, in one
// process. Each has an HTTP server of its own and registers in the store.
#ifndef REVIEW_STANDINS_3_CLUSTER_H_
#define REVIEW_STANDINS_3_CLUSTER_H_

#include "http_server.h"
#include "record.h"
#include "store.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace review {

// How the runs of a step behave. A step is named "JOB.STEP".
struct StepBehaviour
{
  uint32_t mCount = 1;
  bool mGang = false;
  // The work of a run. Runs of a step that lasts don't end by themselves.
  std::optional<Ms> mWork;
};

struct WorkerSpec
{
  std::string mId;
  std::string mRack;
  int64_t mCpu = 16000;
  // The worker's kind, which is the first of its labels.
  std::string mKind = "a";
};

// A start or an end that a worker has carried out.
struct RunEvent
{
  Steady::time_point mAt;
  std::string mWorker;
  std::string mTask;
  uint64_t mRun = 0;
  // "start", or how the run ended; "gone" if its worker was lost with it.
  std::string mWhat;
  std::string mCheckpoint;
};

// A run that a worker has now.
struct RunningTask
{
  std::string mWorker;
  std::string mTask;
  uint64_t mRun = 0;
};

// Cluster is thread-safe.
class Cluster
{
public:
  Cluster(Store& aStore,
          Record& aRecord,
          std::string aService,
          std::string aZone,
          const std::string& aAddress,
          const std::vector<WorkerSpec>& aWorkers);
  ~Cluster();
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  void Describe(const std::string& aStep, const StepBehaviour& aBehaviour);

  // Lose ends a worker for good, without a word: what runs there ends, its
  // connections close, and its entry is removed after three heartbeats.
  void Lose(const std::string& aWorker);

  // Darken ends a worker for good as Lose does, but its machine loses power:
  // nothing closes its connections, and calls to it get no answer.
  void Darken(const std::string& aWorker);

  // Spoil has a worker fail all that it runs, while it answers as before.
  void Spoil(const std::string& aWorker, bool aIsBad);

  // EndAll ends all runs of a step by themselves, aHow.
  void EndAll(const std::string& aStep, const std::string& aHow);

  std::vector<RunEvent> Events() const;
  std::vector<RunningTask> Running() const;

private:
  struct Run
  {
    uint64_t mRun = 0;
    Steady::time_point mStartedAt;
    std::string mCheckpoint;
  };
  struct End
  {
    uint64_t mNumber = 0;
    std::string mTask;
    uint64_t mRun = 0;
    std::string mHow;
    std::string mCheckpoint;
  };
  struct Worker
  {
    WorkerSpec mSpec;
    uint64_t mBorn = 0;
    Steady::time_point mBegan;
    bool mIsUp = true;
    bool mIsBad = false;
    uint64_t mFence = 0;
    int64_t mUntil = 0;
    uint64_t mSequence = 0;
    uint64_t mLastEnd = 0;
    std::map<std::string, Run> mRuns;
    std::map<std::string, uint64_t> mHighestEnded;
    std::vector<End> mEnds;
    std::unique_ptr<HttpServer> mServer;
  };
  // The runs of one gang, by "STEP/RUN".
  struct Gang
  {
    bool mIsWorking = false;
    bool mIsBroken = false;
    Steady::time_point mWorkingSince;
  };
  struct Place
  {
    Worker* mWorker = nullptr;
    std::string mTask;
  };

  Worker& Find(const std::string& aWorker);
  void EndWorker(Worker& aWorker, const std::string& aHow);
  Response Handle(Worker& aWorker, const Request& aRequest);
  Response Start(Worker& aWorker, const nlohmann::json& aBody);
  Response Stop(Worker& aWorker, const nlohmann::json& aBody);
  Response Hold(Worker& aWorker,
                const nlohmann::json& aBody,
                std::unique_lock<std::mutex>& aLock);
  static int64_t ClockOf(const Worker& aWorker);
  static Response Answer(const Worker& aWorker,
                         int aStatus,
                         const std::string& aReason);
  static void Extend(Worker& aWorker, const nlohmann::json& aBody);
  const StepBehaviour& BehaviourOf(const std::string& aTask) const;
  static std::string StepOf(const std::string& aTask);
  void EndRun(Worker& aWorker,
              const std::string& aTask,
              const std::string& aHow);
  void Note(const Worker& aWorker,
            const std::string& aTask,
            uint64_t aRun,
            const std::string& aWhat,
            const std::string& aCheckpoint);
  void Tick();
  void TickWorker(Worker& aWorker, Steady::time_point aNow);
  void TickGangs(Steady::time_point aNow);
  void TickGang(const std::string& aKey,
                const std::vector<Place>& aMembers,
                Steady::time_point aNow);
  void Heartbeat(Worker& aWorker);
  void RunTicks();
  void RunHeartbeats();

  Store& mStore;
  Record& mRecord;
  const std::string mService;
  const std::string mZone;
  mutable std::mutex mMutex;
  std::condition_variable mChanged;
  std::map<std::string, StepBehaviour> mSteps;
  std::vector<std::unique_ptr<Worker>> mWorkers;
  std::map<std::string, Steady::time_point> mRemoveAt;
  std::map<std::string, Gang> mGangs;
  std::vector<RunEvent> mEvents;
  bool mStopping = false;
  std::thread mTicks;
  std::thread mHeartbeats;
};

} // namespace review

#endif // REVIEW_STANDINS_3_CLUSTER_H_
