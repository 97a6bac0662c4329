// World: a fake fleet for measuring placement policies. Workers, requests and
// tasks behave by a hidden interference table; decisions are the real ones.
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

// Faults are what a scenario adds to steady load.
struct Faults
{
  std::string mName;
  bool mLoadShift = false;
  bool mNoisyWave = false;
  bool mSizesOff = false;
  bool mDomainOut = false;
  bool mWorkersFail = false;
  bool mLogOutage = false;
};

// Site is a user's fleet.
struct Site
{
  std::string mName;
  int mDomains = 3;
  int mWorkers = 50;
  double mRequestsPerWorker = 20;
  double mJobsPerSecond = 3;
};

// Figures are what one run shows.
struct Figures
{
  uint64_t mRequests = 0;
  uint64_t mLate = 0;
  double mP99Ms = 0;
  double mCompleted = 0;
  double mTransition = 0;
  double mRedoneSeconds = 0;
  uint64_t mEvictions = 0;
  uint64_t mFailed = 0;
  uint64_t mExceeded = 0;
  uint64_t mDecisionHash = 0;
};

constexpr Milliseconds kStep{ 250 };
constexpr Milliseconds kRun{ 120000 };
constexpr Milliseconds kBreakAt{ 30000 };
constexpr Milliseconds kOutAt{ 40000 };
constexpr Milliseconds kBackAt{ 70000 };
constexpr Milliseconds kTransitionEnds{ 90000 };
constexpr double kDeadlineMs = 100;
constexpr int64_t kUsageLagMs = 2000;

// World runs one scenario once. Everything follows from the seed.
class World
{
public:
  World(const Site& aSite,
        const Faults& aFaults,
        PolicyKind aPolicy,
        uint64_t aSeed);

  // Run plays the scenario to its end.
  Figures Run();

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
    bool mWillBreak = false;
    bool mBroken = false;
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
  void Break(Worker& aWorker);
  void Arrive();
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
  bool Between(Milliseconds aFrom, Milliseconds aTo) const;

  Site mSite;
  Faults mFaults;
  PolicyKind mKind;
  std::mt19937_64 mRandom;
  MonotonicTime mNow;
  Milliseconds mElapsed{ 0 };
  std::vector<Domain> mDomains;
  std::array<double, kClasses> mTail{};
  std::array<std::array<double, kClasses>, kClasses> mPair{};
  std::array<double, kClasses> mUse{};
  std::array<double, kClasses> mRun{};
  std::array<uint64_t, 4000> mHistogram{};
  uint64_t mJobs = 0;
  Figures mFigures;
};

} // namespace mulberryvalve::bench

#endif // BENCH_PLACEMENT_WORLD_H_
