// HeldTaskReport: which tasks a new owner holds back for workers of former
// owners, why it waits for these workers, and how each wait ended.
#ifndef MULBERRYVALVE_CORE_JOBS_HELD_TASK_REPORT_H_
#define MULBERRYVALVE_CORE_JOBS_HELD_TASK_REPORT_H_

#include "mulberryvalve/core/jobs/inherited_wait.h"
#include "mulberryvalve/core/jobs/inherited_workers.h"
#include "mulberryvalve/core/jobs/job_decision.h"
#include "mulberryvalve/core/jobs/job_table.h"
#include "mulberryvalve/core/jobs/worker_messages.h"
#include "mulberryvalve/core/jobs/worker_table.h"

#include <array>
#include <map>
#include <vector>

namespace mulberryvalve {

// HeldTaskStats is what metrics tell of held tasks. All but mReleases are zero
// while no task is held.
struct HeldTaskStats
{
  size_t mTasks = 0;
  size_t mWorkers = 0;
  // Until the longest wait ends.
  Milliseconds mLongestWait{ 0 };
  // The waits that ended since the last call, in the order of WaitRelease.
  std::array<size_t, kWaitReleaseNames.mRows.size()> mReleases{};
};

// Only reports: nothing is decided by it. Not thread-safe.
class HeldTaskReport
{
public:
  // The references must outlive this object. The ownership began at aClaimedAt.
  HeldTaskReport(const JobTable& aJobs,
                 const WorkerTable& aWorkers,
                 const InheritedWorkers& aInherited,
                 MonotonicTime aClaimedAt);

  // Records a worker that was added to the inherited ones. Does nothing if it
  // was recorded before.
  void OnInherited(const WorkerId& aWorker);

  // Records that a list of workers was read.
  void OnWorkerList() { mHasWorkerList = true; }

  // OnAnswered records the answer of a worker with all its ends, OnEndsOmitted
  // one without, and OnGone that its process has ended. They do nothing if the
  // worker is not waited for.
  void OnAnswered(const WorkerId& aWorker, MonotonicTime aNow);
  void OnEndsOmitted(const WorkerId& aWorker);
  void OnGone(const WorkerId& aWorker, MonotonicTime aNow);

  // Records that the wait for a worker was shortened by what is known of former
  // owners. Does nothing if the worker is not waited for.
  void OnWaitShortened(const WorkerId& aWorker);

  // Records the end of a run that a worker listed.
  void OnRunEnded(const RunEndReport& aRow);

  // Call Update after the inherited waits that are due have ended. Returns what
  // is to be logged: the held tasks initially, at most once a second when their
  // counts change, at once when the last worker without a note is released
  // and when nothing is held any more; and the ends of waits, of the workers
  // that were waited for longest.
  std::vector<JobDecision> Update(MonotonicTime aNow);

  // Returns the present stats. The number of held tasks is that of the last
  // count, a second old at most.
  HeldTaskStats TakeStats(MonotonicTime aNow);

private:
  // Wait is what is known of a worker that is waited for.
  struct Wait
  {
    WaitEvidence mEvidence = WaitEvidence::kNoNote;
    MonotonicTime mLimit;
    // The ends or proofs of the former owners shortened the wait.
    bool mIsShortened = false;
  };

  void Release(const WorkerId& aWorker,
               WaitRelease aRelease,
               MonotonicTime aNow);
  JobDecision DescribeRelease(const WorkerId& aWorker,
                              const Wait& aWait,
                              WaitRelease aRelease,
                              MonotonicTime aNow) const;
  void ReleaseExpired(MonotonicTime aNow);
  WorkerListing ListingOf(const WorkerId& aWorker) const;
  void ReportHeldTasks(MonotonicTime aNow);
  JobDecision DescribeHeldTasks(MonotonicTime aNow) const;
  std::string FormatHeldTasks(MonotonicTime aNow) const;
  HeldTaskCounts Count() const;
  size_t CountHeldTasks(const JobEntry& aJob, const ReadyStepKey& aStep) const;
  void CountEndedTasks(HeldTaskCounts& aCounts) const;
  void CountWorkers(HeldTaskCounts& aCounts) const;
  bool IsHeld(const TaskRef& aTask) const;
  bool MayRun(const JobEntry& aJob, const TaskRef& aTask) const;

  const JobTable& mJobs;
  const WorkerTable& mWorkers;
  const InheritedWorkers& mInherited;
  const MonotonicTime mClaimedAt;
  bool mHasWorkerList = false;
  // The workers that are waited for.
  std::map<WorkerId, Wait> mWaits;
  // The end of the last run of each task of which one was listed, while workers
  // are waited for.
  std::map<TaskRef, RunEndReport> mEnds;
  std::array<size_t, kWaitReleaseNames.mRows.size()> mReleases{};
  std::vector<JobDecision> mDecisions;
  // The counts that were last logged, and when to count again.
  HeldTaskCounts mReported;
  MonotonicTime mReportAt;
  bool mReportedUnnoted = false;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_HELD_TASK_REPORT_H_
