// What JobShard makes of the reports of tasks that serve, and how fast it lets
// the others work beside them.
#include "mulberryvalve/core/jobs/job_shard.h"

#include <algorithm>
#include <vector>

namespace mulberryvalve {
namespace {

constexpr int64_t kPercent = 100;
// Reports of siblings are compared when they are this close in time; a report
// covers half a second.
constexpr Milliseconds kComparable{ 700 };
// A load this low says nothing in comparison.
constexpr double kLeastLoad = 0.12;
// A task that fills and adds this much to the load of a service by itself had
// better work elsewhere.
constexpr double kHeavyPressure = 0.3;
constexpr int kHarmedPercent = 90;

} // namespace

void JobShard::FollowTails(WorkerRoom& aWorker,
                           const HoldReply& aReply,
                           MonotonicTime aSentAt,
                           MonotonicTime aNow)
{
  if (aWorker.mServing == 0) {
    aWorker.mPace = PaceState();
    return;
  }
  int worst = 0;
  ImageNumber worstImage = 0;
  for (const RunningRow& row : aReply.mRunning) {
    if (mBook.FindTask(row.mTask) == nullptr || row.mUsage <= 0) {
      continue;
    }
    const StepSpec& spec = mBook.SpecOf(row.mTask.mStep);
    const int64_t target = spec.mTailTarget.count();
    if (target <= 0) {
      continue;
    }
    LearnFrom(aWorker, row, spec, aNow);
    const int ratio = static_cast<int>(row.mUsage * kPercent / target);
    if (ratio > worst) {
      worst = ratio;
      worstImage = spec.mImageNumber;
    }
  }
  const bool settled = aWorker.mPace.mNextReportFrom <= aSentAt;
  if (settled && worst >= kHarmedPercent &&
      StopHeavy(aWorker, worstImage, worst)) {
    aWorker.mPace.mRatioPercent = worst;
    aWorker.mPace.mNextReportFrom = aNow + kComparable;
    return;
  }
  const int before = aWorker.mPace.mPercent;
  const PaceVerdict verdict =
    OnTailReport(aWorker.mPace, worst, aSentAt, aNow);
  if (verdict == PaceVerdict::kMove) {
    StopFilling(aWorker, "paced low for long");
  }
  if (aWorker.mFilling == 0) {
    aWorker.mPace.mPercent = kFullPace;
  } else if (verdict == PaceVerdict::kChange) {
    NoteWorker(DecisionKind::kWorkerPaced,
               aWorker.mFacts.mId,
               "from " + std::to_string(before) + " to " +
                 std::to_string(aWorker.mPace.mPercent) +
                 " percent, worst tail " + std::to_string(worst) +
                 " percent of its target");
  }
  SendPaces(aWorker);
}

// Siblings of one job have the same load at a time. The least of their reports
// is that of the least disturbed.
void JobShard::LearnFrom(const WorkerRoom& aWorker,
                         const RunningRow& aRow,
                         const StepSpec& aSpec,
                         MonotonicTime aNow)
{
  const double load = mInterference.LoadOf(aSpec.mImageNumber, aRow.mUsage);
  auto& reports = mTails[aRow.mTask.mStep];
  double least = load;
  size_t others = 0;
  for (const auto& [index, report] : reports) {
    if (index != aRow.mTask.mIndex && aNow - report.mAt < kComparable) {
      least = std::min(least, report.mLoad);
      others++;
    }
  }
  reports[aRow.mTask.mIndex] = TailReport{ load, aNow };
  if (others == 0 || least < kLeastLoad || aWorker.mFilling == 0) {
    return;
  }
  mInterference.Learn(
    aSpec.mImageNumber,
    load / least - 1,
    aWorker.Filling(aWorker.mPace.mPercent, 0, 0));
}

// Stops what disturbs a service most by itself. It returns whether there was
// such a task.
bool JobShard::StopHeavy(const WorkerRoom& aWorker,
                         ImageNumber aServing,
                         int aWorst)
{
  const double whole = static_cast<double>(
    std::max<int64_t>(1, aWorker.mFacts.mCapacity.mCpuMillis));
  const std::vector<TaskRef> tasks(aWorker.mTasks.begin(),
                                   aWorker.mTasks.end());
  bool stopped = false;
  for (const TaskRef& ref : tasks) {
    const StepSpec& spec = mBook.SpecOf(ref.mStep);
    if (!spec.mFills ||
        mBook.FindTask(ref)->mPhase != TaskPhase::kRunning) {
      continue;
    }
    const double share = static_cast<double>(spec.mDemand.mCpuMillis) / whole;
    const double weight = mInterference.Weight(aServing, spec.mImageNumber);
    if (share * weight >= kHeavyPressure) {
      OrderStop(ref,
                "weighs " + std::to_string(weight) + " on a tail at " +
                  std::to_string(aWorst) + " percent");
      stopped = true;
    }
  }
  return stopped;
}

// Tells the tasks that fill on a worker its pace, where they do not know it.
void JobShard::SendPaces(const WorkerRoom& aWorker)
{
  for (const TaskRef& ref : aWorker.mTasks) {
    StepTask& task = *mBook.FindTask(ref);
    const int percent = aWorker.mPace.mPercent;
    if (!mBook.SpecOf(ref.mStep).mFills || task.mPacePercent == percent ||
        task.mPhase != TaskPhase::kRunning) {
      continue;
    }
    task.mPacePercent = percent;
    TaskOrder order;
    order.mKind = OrderKind::kPace;
    order.mTask = ref;
    order.mRun = task.mRun;
    order.mWorker = aWorker.mFacts.mId;
    order.mEndpoint = aWorker.mFacts.mEndpoint;
    order.mEpoch = mOptions.mEpoch;
    order.mPercent = percent;
    mOrders.push_back(std::move(order));
  }
}

} // namespace mulberryvalve
