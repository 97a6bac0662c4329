// World: simulates a fleet to compare placement policies. Workers, requests and
// tasks follow an interference table that policies can not see; the decisions
// are made by the production code.
#ifndef BENCH_PLACEMENT_WORLD_H_
#define BENCH_PLACEMENT_WORLD_H_

#include "bench/placement/policies.h"
#include "mulberryvalve/core/colocation/colocation_controller.h"
#include "mulberryvalve/core/ledger/shard_state_machine.h"
#include "mulberryvalve/core/reconcile/reconcile.h"
#include "mulberryvalve/core/scheduler/scheduling_round.h"

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace mulberryvalve::bench {

// ScenarioFaults are the disturbances that a scenario adds to steady load.
struct ScenarioFaults
{
  std::string mName;
  bool mLoadShift = false;
  bool mInterferenceWave = false;
  bool mWrongDemands = false;
  bool mDomainOut = false;
  bool mWorkersFail = false;
  bool mLogOutage = false;
};

// Site describes the fleet and the load of one user.
struct Site
{
  std::string mName;
  int mDomains = 3;
  int mWorkers = 50;
  double mRequestsPerWorker = 20;
  double mJobsPerSecond = 3;
};

// RunMetrics are the results of one run.
struct RunMetrics
{
  uint64_t mRequests = 0;
  uint64_t mLateRequests = 0;
  double mP99Ms = 0;
  double mCompleted = 0;
  double mTransitionCompleted = 0;
  double mRedoneSeconds = 0;
  uint64_t mEvictions = 0;
  uint64_t mFailed = 0;
  uint64_t mOvercommitments = 0;
  uint64_t mDecisionHash = 0;
};

constexpr Milliseconds kTimeStep{ 250 };
constexpr Milliseconds kRun{ 120000 };
constexpr Milliseconds kFailWorkersAt{ 30000 };
constexpr Milliseconds kTakeOutAt{ 40000 };
constexpr Milliseconds kReturnAt{ 70000 };
constexpr Milliseconds kTransitionEnd{ 90000 };
constexpr double kDeadlineMs = 100;
constexpr int64_t kUsageLagMs = 2000;

// World runs one scenario once. The result depends only on the arguments.
class World
{
public:
  World(const Site& aSite,
        const ScenarioFaults& aFaults,
        PolicyKind aPolicy,
        uint64_t aSeed);

  // Runs the scenario to its end.
  RunMetrics Run();

private:
  static constexpr size_t kClasses = 5;

  struct Lease
  {
    TaskId mTask;
    Attempt mAttempt;
    std::shared_ptr<const TaskDemand> mDemand;
    size_t mClass = 0;
    double mCores = 0;
    double mRunMs = 0;
    double mProgressMs = 0;
    int mThrottle = 100;
    CheckpointId mCheckpoint;
  };
  struct Worker
  {
    WorkerSpec mSpec;
    std::map<LeaseId, Lease> mLeases;
    std::map<LeaseId, FinishedLease> mFinished;
    std::map<TaskId, CheckpointId> mStopped;
    std::deque<UsageReport> mReports;
    std::deque<std::vector<double>> mLatencies;
    double mBusy = 0;
    bool mWillFail = false;
    bool mFailing = false;
  };
  struct Domain
  {
    DomainId mId;
    ShardId mShard;
    std::unique_ptr<ShardStateMachine> mLedger;
    std::unique_ptr<PlacementPolicy> mPolicy;
    std::unique_ptr<ColocationController> mColocation;
    std::vector<Worker> mWorkers;
    uint64_t mSequence = 0;
    bool mOut = false;
  };

  void BuildDomain(int aIndex, int aWorkers);
  double AdvisoryLoadOf(const Domain& aDomain, const WorkerId& aWorker) const;
  void Submit(Domain& aDomain, size_t aClass, uint32_t aParts);
  void FailWorker(Worker& aWorker);
  void GenerateLoad();
  void ServeRequests(Worker& aWorker, double aRate);
  double Slowdown(const Worker& aWorker, const Lease* aOf) const;
  void Progress(Domain& aDomain);
  void Report(Worker& aWorker);
  void Sync(Domain& aDomain);
  void Round(Domain& aDomain);
  void Execute(Domain& aDomain, const TaskCommand& aCommand);
  void Start(Domain& aDomain, Worker& aWorker, const TaskCommand& aCommand);
  void Append(Domain& aDomain, Record aRecord);
  void HandOver(Domain& aFrom, const TaskHandedOver& aRecord);
  void CheckCommitments(const Domain& aDomain);
  double Uniform();
  double Normal();
  bool IsBetween(Milliseconds aFrom, Milliseconds aTo) const;

  Site mSite;
  ScenarioFaults mFaults;
  PolicyKind mKind;
  std::mt19937_64 mRandom;
  MonotonicTime mNow;
  Milliseconds mElapsed{ 0 };
  std::vector<Domain> mDomains;
  std::array<double, kClasses> mLatencyIncreasePerCore{};
  std::array<std::array<double, kClasses>, kClasses> mPairSlowdown{};
  std::array<double, kClasses> mUse{};
  std::array<double, kClasses> mRun{};
  std::array<uint64_t, 4000> mHistogram{};
  uint64_t mJobs = 0;
  RunMetrics mMetrics;
};

} // namespace mulberryvalve::bench

#endif // BENCH_PLACEMENT_WORLD_H_
