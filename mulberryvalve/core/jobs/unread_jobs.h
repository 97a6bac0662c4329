// UnreadJobs: what workers report of jobs that the owner has not read from the
// log yet.
#ifndef MULBERRYVALVE_CORE_JOBS_UNREAD_JOBS_H_
#define MULBERRYVALVE_CORE_JOBS_UNREAD_JOBS_H_

#include "mulberryvalve/core/base/time.h"
#include "mulberryvalve/core/jobs/worker_messages.h"

#include <map>
#include <optional>
#include <vector>

namespace mulberryvalve {

// A job is on the log before any owner starts it. So a report of a job that is
// unknown here shows either a job that another owner has read earlier, or one
// that is over and forgotten. Which of the two is known once the log has been
// read up to what was there when the report arrived. Until then the reports are
// kept: such a run is not stopped, and such an end is not acknowledged.
// Not thread-safe.
class UnreadJobs
{
public:
  // KeptEnd is an end together with the worker that reported it.
  struct KeptEnd
  {
    WorkerId mWorker;
    RunEndReport mRow;
  };

  // KeptRun is a run together with the worker that reported it.
  struct KeptRun
  {
    WorkerId mWorker;
    RunReport mRow;
  };

  // KeptReports are the reports of one job, the ends of each worker in the
  // order of their numbers.
  struct KeptReports
  {
    std::vector<KeptEnd> mEnds;
    std::vector<KeptRun> mRuns;
  };

  // Records that the log has been read up to what was there at aReadUpTo, and
  // drops the ends that are certainly not of an unread job.
  void OnLogRead(MonotonicTime aReadUpTo);

  // Returns whether a report of an unknown job that arrived at aReportedAt may
  // be of a job that was not read yet.
  bool MayBeUnread(MonotonicTime aReportedAt) const
  {
    return aReportedAt > mReadUpTo;
  }

  // Keeps an end of an unknown job that a worker reported at aNow. Ends of a
  // worker are passed in the order of their numbers.
  void KeepEnd(const WorkerId& aWorker,
               const RunEndReport& aRow,
               MonotonicTime aNow);

  // Keeps the runs of unknown jobs in a worker's newest report, which arrived
  // at aNow, in place of those of its former report. Returns the runs that are
  // certainly not of an unread job, which are not kept.
  std::vector<RunReport> KeepRuns(const WorkerId& aWorker,
                                  std::vector<RunReport> aRuns,
                                  MonotonicTime aNow);

  // Forgets the reports of a worker whose process has ended.
  void ForgetWorker(const WorkerId& aWorker);

  // Returns what was reported of a job, and forgets it.
  KeptReports Take(const JobId& aJob);

  // Returns the number of the first end of a worker that is kept, if there is
  // one. That end and later ones must not be acknowledged.
  std::optional<EndNumber> FirstEnd(const WorkerId& aWorker) const;

private:
  struct TimedEnd
  {
    RunEndReport mRow;
    MonotonicTime mReportedAt;
  };

  struct TimedRun
  {
    RunReport mRow;
    // When the run was reported first.
    MonotonicTime mReportedAt;
  };

  struct WorkerReports
  {
    std::map<EndNumber, TimedEnd> mEnds;
    std::map<TaskRef, TimedRun> mRuns;

    bool Empty() const { return mEnds.empty() && mRuns.empty(); }
  };

  MonotonicTime mReadUpTo;
  std::map<WorkerId, WorkerReports> mWorkers;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_UNREAD_JOBS_H_
