// ShardLoadSimulation: simulates one shard owner and its workers, which reply
// after a delay, on a manual clock, and measures the time that the owner's
// decisions take.
#ifndef MULBERRYVALVE_BENCH_JOBS_SHARD_LOAD_SIMULATION_H_
#define MULBERRYVALVE_BENCH_JOBS_SHARD_LOAD_SIMULATION_H_

#include "mulberryvalve/core/base/enum_table.h"
#include "mulberryvalve/core/jobs/fair_share_policy.h"
#include "mulberryvalve/core/jobs/shard_scheduler.h"

#include <array>
#include <chrono>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <vector>

namespace mulberryvalve {

// CostCategory is a part of the owner's work that is measured separately.
enum class CostCategory
{
  kDecide,
  kRenewal,
  kOrder,
  kIntake,
  kProgress,
};

inline constexpr size_t kCostCategories = 5;

inline constexpr EnumTable<CostCategory, kCostCategories> kCostCategoryNames{
  { {
    { CostCategory::kDecide, "decide" },
    { CostCategory::kRenewal, "hold" },
    { CostCategory::kOrder, "order" },
    { CostCategory::kIntake, "intake" },
    { CostCategory::kProgress, "progress" },
  } }
};

// ShardLoadSimulationOptions are the load of one simulation.
struct ShardLoadSimulationOptions
{
  size_t mWorkers = 350;
  // Rates of submission of batch jobs and of long-running jobs.
  double mJobsPerSecond = 25;
  double mLongRunningJobsPerSecond = 0.65;
  // Factor on the rate of batch jobs in the middle third of the simulation.
  double mBurstFactor = 1;
  Milliseconds mDuration{ 20000 };
  uint64_t mSeed = 1;
  // The number of client accounts, which send the jobs in turn; zero for none.
  size_t mAccounts = 0;
};

// ShardCosts are the results of one simulation; times are in microseconds.
struct ShardCosts
{
  std::array<double, kCostCategories> mMicroseconds{};
  std::array<size_t, kCostCategories> mCalls{};
  // The longest single call of ShardScheduler::Decide.
  double mMaxDecideMicroseconds = 0;
  size_t mRuns = 0;
  size_t mEndedJobs = 0;
  size_t mJobs = 0;
};

// ShardLoadSimulation runs one simulation, once. Not thread-safe.
class ShardLoadSimulation
{
public:
  explicit ShardLoadSimulation(ShardLoadSimulationOptions aOptions);

  // Runs the simulation and returns its total costs.
  ShardCosts Play();

private:
  struct Run
  {
    RunNumber mNumber;
    MonotonicTime mEndsAt;
    ImageNumber mImage = 0;
    bool mServes = false;
    bool mBestEffort = false;
  };

  struct Worker
  {
    WorkerInfo mInfo;
    std::map<TaskRef, Run> mRuns;
    std::vector<RunEndReport> mEnded;
    EndNumber mLastEnd;
    RenewalRequest mRenewal;
    MonotonicTime mRenewalSentAt;
    // Identifies the pending renewal. A renewal that was answered early is not
    // answered again by its scheduled event.
    uint64_t mRenewalNumber = 0;
  };

  enum class EventKind
  {
    kSubmit,
    kSubmitLongRunning,
    kCancelLongRunning,
    kEnd,
    kRenewal,
    kOrderReply,
    kAppend,
    kWorkerList,
  };

  struct Event
  {
    MonotonicTime mAt;
    uint64_t mNumber = 0;
    EventKind mKind = EventKind::kAppend;
    size_t mWorker = 0;
    uint64_t mRenewalNumber = 0;
    TaskOrder mOrder;

    friend bool operator<(const Event& aLeft, const Event& aRight)
    {
      return std::tie(aRight.mAt, aRight.mNumber) <
             std::tie(aLeft.mAt, aLeft.mNumber);
    }
  };

  void AddWorkers();
  void HandleEvent(const Event& aEvent);
  void Submit();
  void SubmitLongRunning();
  void CancelLongRunning();
  void HandleRunEnd(const Event& aEvent);
  void DeliverRenewalReply(Worker& aWorker);
  void SendRenewal(size_t aWorker);
  void HandleOrderReply(const Event& aEvent);
  void Append();
  void DeliverWorkerList();
  void Decide();
  RenewalReply MakeRenewalReply(const Worker& aWorker);
  ClockReading CurrentReading() const;
  JobGraph MakeBatchJob();
  JobGraph MakeLongRunningJob();
  const StepSpec& SpecOf(const TaskRef& aTask) const;
  Event& Post(EventKind aKind, Milliseconds aAfter);
  void QueuePostedEvents();
  Milliseconds RandomInterval(double aPerSecond);
  Milliseconds RandomDuration(Milliseconds aMean);
  template<typename Call>
  void MeasureCost(CostCategory aCategory, Call aCall);

  const ShardLoadSimulationOptions mOptions;
  size_t mSubmittedJobs = 0;
  LearnedPlacementPolicy mPlacement;
  LeastRemainingWorkPolicy mLeastWork;
  FairSharePolicy mOrder{ mLeastWork };
  std::unique_ptr<ShardScheduler> mShard;
  std::mt19937_64 mRandom;
  MonotonicTime mNow;
  MonotonicTime mBegin;
  std::priority_queue<Event> mEvents;
  std::vector<Event> mPosted;
  uint64_t mLastEvent = 0;
  std::vector<Worker> mWorkers;
  std::map<WorkerId, size_t> mIndexes;
  std::map<JobId, std::vector<StepSpec>> mSpecs;
  std::vector<JobId> mLongRunning;
  ShardCosts mCosts;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_BENCH_JOBS_SHARD_LOAD_SIMULATION_H_
