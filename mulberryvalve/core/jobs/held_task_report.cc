#include "mulberryvalve/core/jobs/held_task_report.h"

#include "mulberryvalve/core/jobs/remaining_time.h"

#include <algorithm>
#include <set>
#include <string>
#include <utility>

namespace mulberryvalve {
namespace {

// Held tasks are counted and logged at most this often, with at most this many
// workers named.
constexpr Milliseconds kReportInterval{ 1000 };
constexpr size_t kMaxNamedWorkers = 8;

// Returns the last of aWorkers, for which the wait is longest, at most
// kMaxNamedWorkers.
std::string FormatWorkerNames(const std::vector<WorkerId>& aWorkers)
{
  std::string names;
  const size_t named = std::min(aWorkers.size(), kMaxNamedWorkers);
  for (size_t number = 0; number < named; number++) {
    names += " " + aWorkers[aWorkers.size() - 1 - number].Text();
  }
  return names;
}

} // namespace

HeldTaskReport::HeldTaskReport(const JobTable& aJobs,
                               const WorkerTable& aWorkers,
                               const InheritedWorkers& aInherited,
                               MonotonicTime aClaimedAt)
  : mJobs(aJobs)
  , mWorkers(aWorkers)
  , mInherited(aInherited)
  , mClaimedAt(aClaimedAt)
{
}

void HeldTaskReport::OnInherited(const WorkerId& aWorker)
{
  if (!mInherited.MayRunTasks(aWorker)) {
    return;
  }
  const InheritedWorker& inherited = *mInherited.Find(aWorker);
  mWaits.emplace(
    aWorker, Wait{ EvidenceOfNote(inherited), inherited.mWaitUntil, false });
}

void HeldTaskReport::OnAnswered(const WorkerId& aWorker, MonotonicTime aNow)
{
  Release(aWorker, WaitRelease::kAnswered, aNow);
}

void HeldTaskReport::OnEndsOmitted(const WorkerId& aWorker)
{
  const auto found = mWaits.find(aWorker);
  if (found != mWaits.end()) {
    found->second.mEvidence = WaitEvidence::kEndsOmitted;
    found->second.mIsShortened = false;
  }
}

void HeldTaskReport::OnGone(const WorkerId& aWorker, MonotonicTime aNow)
{
  Release(aWorker, WaitRelease::kGone, aNow);
}

void HeldTaskReport::OnWaitShortened(const WorkerId& aWorker)
{
  const auto found = mWaits.find(aWorker);
  if (found != mWaits.end()) {
    found->second.mIsShortened = true;
  }
}

void HeldTaskReport::OnRunEnded(const RunEndReport& aRow)
{
  if (mWaits.empty()) {
    return;
  }
  RunEndReport& last = mEnds[aRow.mTask];
  if (last.mRun < aRow.mRun) {
    last = aRow;
  }
}

std::vector<JobDecision> HeldTaskReport::Update(MonotonicTime aNow)
{
  ReleaseExpired(aNow);
  ReportHeldTasks(aNow);
  if (mWaits.empty()) {
    mEnds.clear();
  }
  return std::exchange(mDecisions, {});
}

HeldTaskStats HeldTaskReport::TakeStats(MonotonicTime aNow)
{
  HeldTaskStats stats;
  stats.mReleases = std::exchange(mReleases, {});
  stats.mTasks = mReported.mTasks;
  if (stats.mTasks > 0) {
    stats.mWorkers = mInherited.PendingCount();
    stats.mLongestWait = RemainingUntil(mInherited.LatestWaitEnd(), aNow);
  }
  return stats;
}

// The last workers to be released are logged, which were waited for longest.
void HeldTaskReport::Release(const WorkerId& aWorker,
                             WaitRelease aRelease,
                             MonotonicTime aNow)
{
  const auto found = mWaits.find(aWorker);
  if (found == mWaits.end()) {
    return;
  }
  const Wait wait = found->second;
  mWaits.erase(found);
  mReleases[static_cast<size_t>(aRelease)]++;
  if (mWaits.size() < kMaxNamedWorkers) {
    mDecisions.push_back(DescribeRelease(aWorker, wait, aRelease, aNow));
  }
}

JobDecision HeldTaskReport::DescribeRelease(const WorkerId& aWorker,
                                            const Wait& aWait,
                                            WaitRelease aRelease,
                                            MonotonicTime aNow) const
{
  EndedWait ended;
  ended.mReason = WaitReason{ aWait.mEvidence, ListingOf(aWorker) };
  ended.mRelease = aRelease;
  ended.mHeldFor = std::chrono::duration_cast<Milliseconds>(aNow - mClaimedAt);
  ended.mLimit = RemainingUntil(aWait.mLimit, mClaimedAt);
  JobDecision decision;
  decision.mKind = DecisionKind::kWorkerReleased;
  decision.mWorker = aWorker;
  decision.mReason = std::string(kWaitReleaseNames.Name(aRelease));
  decision.mEndedWait = ended;
  return decision;
}

// The other releases are recorded when they happen.
void HeldTaskReport::ReleaseExpired(MonotonicTime aNow)
{
  std::vector<std::pair<WorkerId, WaitRelease>> expired;
  for (const auto& [worker, wait] : mWaits) {
    if (!mInherited.MayRunTasks(worker)) {
      expired.emplace_back(worker,
                           wait.mIsShortened ? WaitRelease::kRunsBounded
                                             : WaitRelease::kWaitExpired);
    }
  }
  for (const auto& [worker, release] : expired) {
    Release(worker, release, aNow);
  }
}

// A worker that is no longer known was removed since it was not listed.
WorkerListing HeldTaskReport::ListingOf(const WorkerId& aWorker) const
{
  if (!mHasWorkerList) {
    return WorkerListing::kUnread;
  }
  const WorkerEntry* worker = mWorkers.Find(aWorker);
  return worker != nullptr && worker->mListed ? WorkerListing::kListed
                                              : WorkerListing::kUnlisted;
}

void HeldTaskReport::ReportHeldTasks(MonotonicTime aNow)
{
  const bool allResolved = mInherited.PendingCount() == 0;
  const bool due =
    aNow >= mReportAt || mReportedUnnoted != mInherited.HasUnnotedWorkers();
  if (allResolved ? mReported == HeldTaskCounts() : !due) {
    return;
  }
  mReportedUnnoted = mInherited.HasUnnotedWorkers();
  mReportAt = aNow + kReportInterval;
  const HeldTaskCounts counts = allResolved ? HeldTaskCounts() : Count();
  if (counts == mReported) {
    return;
  }
  mReported = counts;
  mDecisions.push_back(DescribeHeldTasks(aNow));
}

JobDecision HeldTaskReport::DescribeHeldTasks(MonotonicTime aNow) const
{
  JobDecision decision;
  decision.mKind = DecisionKind::kTasksHeld;
  decision.mHeldTasks = mReported.mTasks;
  if (mReported.mTasks > 0) {
    decision.mHeldCounts = mReported;
    decision.mReason = FormatHeldTasks(aNow);
    return decision;
  }
  decision.mHeldFor =
    std::chrono::duration_cast<Milliseconds>(aNow - mClaimedAt);
  decision.mReason = "none left, " +
                     std::to_string(decision.mHeldFor->count()) +
                     " ms after the claim";
  return decision;
}

std::string HeldTaskReport::FormatHeldTasks(MonotonicTime aNow) const
{
  const Milliseconds left = RemainingUntil(mInherited.LatestWaitEnd(), aNow);
  return std::to_string(mReported.mTasks) + " tasks of " +
         std::to_string(mReported.mJobs) + " jobs for " +
         std::to_string(mReported.mWorkers) +
         " workers of the former owner, for " + std::to_string(left.count()) +
         " ms at most:" + FormatWorkerNames(mInherited.PendingWorkers());
}

HeldTaskCounts HeldTaskReport::Count() const
{
  HeldTaskCounts counts;
  std::set<const JobEntry*> jobs;
  for (const auto& [step, job] : mJobs.ReadySteps()) {
    const size_t tasks = CountHeldTasks(*job, step);
    if (tasks > 0) {
      jobs.insert(job);
      counts.mTasks += tasks;
    }
  }
  counts.mJobs = jobs.size();
  if (counts.mTasks > 0) {
    CountEndedTasks(counts);
    CountWorkers(counts);
  }
  return counts;
}

size_t HeldTaskReport::CountHeldTasks(const JobEntry& aJob,
                                      const ReadyStepKey& aStep) const
{
  const StepState& step = aJob.mOccurrences.at(aStep.mOccurrence)[aStep.mStep];
  const StepRef ref{ aJob.mGraph.mId, aStep.mOccurrence, aStep.mStep };
  if (!mInherited.HasUnnotedWorkers() && !mInherited.BlocksStep(ref)) {
    return 0;
  }
  size_t tasks = 0;
  for (uint32_t index = 0; index < step.mTasks.size(); index++) {
    const bool isWaiting = step.mTasks[index].mPhase == TaskPhase::kWaiting;
    tasks += isWaiting && MayRun(aJob, TaskRef{ ref, index }) ? 1 : 0;
  }
  return tasks;
}

void HeldTaskReport::CountEndedTasks(HeldTaskCounts& aCounts) const
{
  for (const auto& [task, end] : mEnds) {
    if (IsHeld(task)) {
      aCounts.mEndedTasks++;
      aCounts.mLapsedTasks += end.mEndKind == EndKind::kLapsed ? 1 : 0;
    }
  }
}

// Precondition: a run of the task has ended, so that its step is ready.
bool HeldTaskReport::IsHeld(const TaskRef& aTask) const
{
  const JobEntry* job = mJobs.Find(aTask.mStep.mJob);
  const TaskProgress* task = mJobs.FindTask(aTask);
  if (job == nullptr || task == nullptr || IsOver(job->mPhase) ||
      task->mPhase != TaskPhase::kWaiting) {
    return false;
  }
  return MayRun(*job, aTask);
}

bool HeldTaskReport::MayRun(const JobEntry& aJob, const TaskRef& aTask) const
{
  return mInherited.MayRun(
    aTask, aJob.mGraph.mSteps[aTask.mStep.mStep], aJob.mMayHaveFormerRuns);
}

void HeldTaskReport::CountWorkers(HeldTaskCounts& aCounts) const
{
  aCounts.mWorkers = mInherited.PendingCount();
  for (const auto& [worker, wait] : mWaits) {
    const InheritedWorker* inherited = mInherited.Find(worker);
    const bool isAssumed =
      inherited != nullptr && inherited->mIsAssumed && !wait.mIsShortened;
    const bool isUnlisted = ListingOf(worker) == WorkerListing::kUnlisted;
    aCounts.mByEvidence[static_cast<size_t>(wait.mEvidence)]++;
    aCounts.mAssumed += isAssumed ? 1 : 0;
    aCounts.mUnlisted += isUnlisted ? 1 : 0;
  }
}

} // namespace mulberryvalve
