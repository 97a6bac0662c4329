// ShardWorld: one owner with workers that answer after a while, on a manual
// clock. It measures the time that the owner's decisions take.
#ifndef MULBERRYVALVE_BENCH_JOBS_SHARD_WORLD_H_
#define MULBERRYVALVE_BENCH_JOBS_SHARD_WORLD_H_

#include "mulberryvalve/core/base/enum_table.h"
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

// CostPart is a part of the owner's work that is measured by itself.
enum class CostPart
{
  kDecide,
  kHold,
  kOrder,
  kIntake,
  kProgress,
};

inline constexpr size_t kCostParts = 5;

inline constexpr EnumTable<CostPart, kCostParts> kCostPartNames{ { {
  { CostPart::kDecide, "decide" },
  { CostPart::kHold, "hold" },
  { CostPart::kOrder, "order" },
  { CostPart::kIntake, "intake" },
  { CostPart::kProgress, "progress" },
} } };

// ShardWorldOptions are the load of one play.
struct ShardWorldOptions
{
  size_t mWorkers = 350;
  // Hand-ins a second of jobs that end, and of jobs that last.
  double mJobsPerSecond = 25;
  double mLastingPerSecond = 0.65;
  // The hand-ins of jobs that end are this many times as frequent in the middle
  // third.
  double mBurst = 1;
  Milliseconds mLength{ 20000 };
  uint64_t mSeed = 1;
};

// ShardCosts are the results of one play, in microseconds.
struct ShardCosts
{
  std::array<double, kCostParts> mParts{};
  std::array<size_t, kCostParts> mCalls{};
  // The longest call of Decide.
  double mLongestDecide = 0;
  size_t mRuns = 0;
  size_t mJobsOver = 0;
  size_t mJobs = 0;
};

// ShardWorld is played once; not synchronised.
class ShardWorld
{
public:
  explicit ShardWorld(ShardWorldOptions aOptions);

  // Play returns the costs of the whole play.
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
    RenewalRequest mHold;
    MonotonicTime mHoldSentAt;
    // A hold that was answered early answers no second time.
    uint64_t mHoldNumber = 0;
  };

  enum class EventKind
  {
    kSubmit,
    kSubmitLasting,
    kCancelLasting,
    kEnd,
    kHold,
    kAnswer,
    kAppend,
    kList,
  };

  struct Event
  {
    MonotonicTime mAt;
    uint64_t mNumber = 0;
    EventKind mKind = EventKind::kAppend;
    size_t mWorker = 0;
    uint64_t mHoldNumber = 0;
    TaskOrder mOrder;

    friend bool operator<(const Event& aLeft, const Event& aRight)
    {
      return std::tie(aRight.mAt, aRight.mNumber) <
             std::tie(aLeft.mAt, aLeft.mNumber);
    }
  };

  void AddWorkers();
  void Handle(const Event& aEvent);
  void Submit();
  void SubmitLasting();
  void CancelLasting();
  void End(const Event& aEvent);
  void AnswerHold(Worker& aWorker);
  void SendHold(size_t aWorker);
  void Answer(const Event& aEvent);
  void Append();
  void List();
  void Decide();
  RenewalReply ReplyOf(const Worker& aWorker);
  ClockReading Reading() const;
  JobGraph BatchJob();
  JobGraph LastingJob();
  const StepSpec& SpecOf(const TaskRef& aTask) const;
  Event& Post(EventKind aKind, Milliseconds aAfter);
  void Flush();
  Milliseconds Between(double aPerSecond);
  Milliseconds Spread(Milliseconds aMean);
  template<typename Call>
  void Measure(CostPart aPart, Call aCall);

  const ShardWorldOptions mOptions;
  LearnedPlacementPolicy mPlacement;
  LeastRemainingWorkPolicy mOrder;
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

#endif // MULBERRYVALVE_BENCH_JOBS_SHARD_WORLD_H_
