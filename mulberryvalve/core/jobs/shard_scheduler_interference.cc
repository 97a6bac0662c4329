// Interference: how ShardScheduler learns from the tail latencies of serving
// tasks how much best-effort tasks slow them down, and how it paces the
// best-effort tasks.
#include "mulberryvalve/core/base/scale.h"
#include "mulberryvalve/core/jobs/shard_scheduler.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>
#include <vector>

namespace mulberryvalve {
namespace {

// The loads of sibling tasks are compared only if they were reported within
// this time of each other. A report covers half a second.
constexpr Milliseconds kSiblingReportWindow{ 700 };
// Sibling loads below this are too low for a comparison.
constexpr double kMinComparableLoad = 0.3;
constexpr size_t kMinSiblings = 2;
// The recorded peak of a load decays, in units of load per second, since loads
// vary by about half over time: a peak that did not recur for some periods is
// forgotten.
constexpr double kMinPeakLoad = 0.4;
constexpr double kPeakDecayPerSecond = 0.01;
constexpr double kMaxBearablePressure = 0.8;
// With this, both implementations of PressureLimit admit the same at most.
constexpr double kMaxTolerableSoon = 2.0;
// The tolerable pressure is rounded to steps, so that a small change of the
// expected load does not make the search evaluate a worker again.
constexpr double kToleranceStepsPerUnit = 10;
// A best-effort task that adds this much to the load of a service on its own
// should run on another worker.
constexpr double kDisturbingPressure = 0.5;
constexpr int kHarmedTailPercent = 110;

} // namespace

void ShardScheduler::UpdatePacing(WorkerEntry& aWorker,
                                  const std::vector<ReportedRun>& aRunning,
                                  MonotonicTime aSentAt,
                                  MonotonicTime aNow)
{
  if (aWorker.mServingTasks == 0) {
    aWorker.mPace = PaceState();
    aWorker.mTolerableSoon = 0;
    QueuePaceOrders(aWorker, aRunning);
    return;
  }
  const std::vector<BestEffortShare> fullPaceShares =
    aWorker.BestEffortShares();
  const std::vector<BestEffortShare> reportedShares =
    ReportedBestEffortShares(aWorker, aRunning);
  std::vector<ServingReport> reports;
  double bearablePressure = kMaxBearablePressure;
  double tolerableSoon = kMaxTolerableSoon;
  int worstTailPercent = 0;
  ImageNumber worstServingImage = 0;
  for (const ReportedRun& run : aRunning) {
    const RunReport& row = run.mRow;
    if (run.mPlace.mTask == nullptr || row.mUsage <= 0) {
      continue;
    }
    const StepSpec& spec = *run.mPlace.mSpec;
    const int64_t target = spec.mTailLatencyTarget.count();
    if (target <= 0) {
      continue;
    }
    ServingReport report;
    report.mLoad = mInterference.LoadFromTail(spec.mImageNumber, row.mUsage);
    report.mLimit = mInterference.LoadLimit(spec.mImageNumber, target);
    const double peak =
      LearnInterference(aWorker, run, report.mLoad, reportedShares, aNow);
    bearablePressure = std::min(bearablePressure, report.mLimit / peak - 1);
    if (mPolicies.mPlacement.NeedsExpectedLoad()) {
      const double expected =
        mServiceLoads.Of(row.mTask.mStep)
          .ExpectedLoad(
            row.mTask.mIndex,
            mInterference.Pressure(spec.mImageNumber, reportedShares),
            aNow);
      tolerableSoon = std::min(tolerableSoon, report.mLimit / expected - 1);
    }
    report.mPressure =
      mInterference.Pressure(spec.mImageNumber, fullPaceShares);
    reports.push_back(report);
    const int tailPercent = static_cast<int>(row.mUsage * kPercent / target);
    if (tailPercent > worstTailPercent) {
      worstTailPercent = tailPercent;
      worstServingImage = spec.mImageNumber;
    }
  }
  aWorker.mTolerablePressure = bearablePressure;
  if (mPolicies.mPlacement.NeedsExpectedLoad()) {
    aWorker.mTolerableSoon =
      std::round(tolerableSoon * kToleranceStepsPerUnit) /
      kToleranceStepsPerUnit;
  }
  aWorker.mPace.mTailPercentOfTarget = worstTailPercent;
  if (aWorker.mBestEffortTasks == 0) {
    aWorker.mPace = PaceState();
    aWorker.mPace.mTailPercentOfTarget = worstTailPercent;
    return;
  }
  if (worstTailPercent >= kHarmedTailPercent) {
    StopDisturbingTasks(aWorker, worstServingImage, worstTailPercent);
  }
  const int previousPercent = aWorker.mPace.mPercent;
  const PaceAction verdict = UpdatePace(aWorker.mPace, reports, aSentAt, aNow);
  if (verdict == PaceAction::kEvict) {
    StopBestEffortTasks(aWorker,
                        "the tail latency stays at " +
                          std::to_string(worstTailPercent) +
                          " percent of its target");
  } else if (verdict == PaceAction::kChange) {
    mDecisions.AddWorker(DecisionKind::kWorkerPaced,
                         aWorker.mInfo.mId,
                         "from " + std::to_string(previousPercent) + " to " +
                           std::to_string(aWorker.mPace.mPercent) +
                           " percent, worst tail latency " +
                           std::to_string(worstTailPercent) +
                           " percent of its target");
  }
  if (aWorker.mPace.mPercent != previousPercent) {
    aWorker.mBestEffortChangedAt = aNow;
  }
  QueuePaceOrders(aWorker, aRunning);
}

// Returns the share of the worker's processors that the best-effort tasks of
// each image used, as reported.
std::vector<BestEffortShare> ShardScheduler::ReportedBestEffortShares(
  const WorkerEntry& aWorker,
  const std::vector<ReportedRun>& aRunning) const
{
  const auto capacity = static_cast<double>(aWorker.CpuCapacity());
  std::map<ImageNumber, double> shares;
  for (const ReportedRun& run : aRunning) {
    if (run.mPlace.mTask == nullptr) {
      continue;
    }
    const StepSpec& spec = *run.mPlace.mSpec;
    if (spec.mBestEffort) {
      shares[spec.mImageNumber] +=
        static_cast<double>(run.mRow.mUsage) / capacity;
    }
  }
  std::vector<BestEffortShare> filling;
  filling.reserve(shares.size());
  for (const auto& [image, share] : shares) {
    filling.push_back(BestEffortShare{ image, share });
  }
  return filling;
}

// Returns the peak load of a serving task. The tasks of one step have about the
// same load at any time. If the load of this one exceeds the median of the
// others, whose loads are corrected for known interference, the excess is
// attributed to the best-effort tasks beside it.
double ShardScheduler::LearnInterference(
  const WorkerEntry& aWorker,
  const ReportedRun& aRun,
  double aLoad,
  const std::vector<BestEffortShare>& aBestEffortShares,
  MonotonicTime aNow)
{
  const StepSpec& spec = *aRun.mPlace.mSpec;
  const TaskRef& ref = aRun.mRow.mTask;
  auto& reports = mServiceLoads.Of(ref.mStep).Tasks();
  const double pressure =
    mInterference.Pressure(spec.mImageNumber, aBestEffortShares);
  ServiceLoad& ownLoad = reports[ref.mIndex];
  const double elapsedSeconds =
    std::chrono::duration<double>(aNow - ownLoad.mReportedAt).count();
  ownLoad.mLoad = aLoad / (1 + pressure);
  ownLoad.mPeak =
    std::max({ kMinPeakLoad,
               ownLoad.mLoad,
               ownLoad.mPeak - kPeakDecayPerSecond * elapsedSeconds });
  ownLoad.mReportedAt = aNow;
  const bool isSettled =
    aNow - aWorker.mBestEffortChangedAt >= kSiblingReportWindow;
  if (aBestEffortShares.empty() || !isSettled) {
    return ownLoad.mPeak;
  }
  std::vector<double> siblingLoads;
  siblingLoads.reserve(reports.size());
  for (const auto& [index, report] : reports) {
    if (index != ref.mIndex &&
        aNow - report.mReportedAt < kSiblingReportWindow) {
      siblingLoads.push_back(report.mLoad);
    }
  }
  if (siblingLoads.size() < kMinSiblings) {
    return ownLoad.mPeak;
  }
  const auto median =
    siblingLoads.begin() + static_cast<long>(siblingLoads.size() / 2);
  std::nth_element(siblingLoads.begin(), median, siblingLoads.end());
  if (*median >= kMinComparableLoad) {
    mInterference.Learn(
      spec.mImageNumber, aLoad / *median - 1, aBestEffortShares);
  }
  return ownLoad.mPeak;
}

// Stops the best-effort tasks that disturb a service heavily on their own.
// Returns whether there were any.
bool ShardScheduler::StopDisturbingTasks(const WorkerEntry& aWorker,
                                         ImageNumber aServing,
                                         int aTailPercent)
{
  const auto capacity = static_cast<double>(aWorker.CpuCapacity());
  const std::vector<TaskRef> tasks(aWorker.mTasks.begin(),
                                   aWorker.mTasks.end());
  bool stopped = false;
  for (const TaskRef& ref : tasks) {
    const StepSpec& spec = mJobTable.SpecOf(ref.mStep);
    if (!spec.mBestEffort ||
        mJobTable.FindTask(ref)->mPhase != TaskPhase::kRunning ||
        mJobTable.FindTask(ref)->mIgnoresPressureLimit) {
      continue;
    }
    const double share =
      static_cast<double>(spec.mDemand.mCpuMillis) / capacity;
    const double weight = mInterference.Weight(aServing, spec.mImageNumber);
    if (share * weight >= kDisturbingPressure) {
      OrderStop(ref,
                "weighs " + std::to_string(weight) + " on a tail at " +
                  std::to_string(aTailPercent) + " percent");
      stopped = true;
    }
  }
  return stopped;
}

// Sends the worker's pace to the best-effort tasks in its report that were not
// told it yet.
void ShardScheduler::QueuePaceOrders(const WorkerEntry& aWorker,
                                     const std::vector<ReportedRun>& aRunning)
{
  for (const ReportedRun& run : aRunning) {
    const TaskProgress* task = run.mPlace.mTask;
    const bool isCurrentRun = task != nullptr && task->mRun == run.mRow.mRun &&
                              task->mWorker == aWorker.mInfo.mId;
    if (isCurrentRun) {
      QueuePaceOrder(aWorker, run.mRow.mTask, run.mPlace);
    }
  }
}

// Sends the worker's pace to a task there, if it is a running best-effort task
// that was not told it yet.
void ShardScheduler::QueuePaceOrder(const WorkerEntry& aWorker,
                                    const TaskRef& aTask,
                                    const TaskLookup& aPlace)
{
  TaskProgress& task = *aPlace.mTask;
  const int percent = aWorker.mPace.mPercent;
  if (!aPlace.mSpec->mBestEffort || task.mPacePercent == percent ||
      task.mPhase != TaskPhase::kRunning) {
    return;
  }
  task.mPacePercent = percent;
  TaskOrder order = MakeOrder(OrderKind::kPace, aTask, task.mRun, aWorker);
  order.mPercent = percent;
  mPendingOrders.push_back(std::move(order));
}

} // namespace mulberryvalve
