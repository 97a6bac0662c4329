#include "mulberryvalve/core/jobs/unread_jobs.h"

#include <algorithm>
#include <utility>

namespace mulberryvalve {

void UnreadJobs::OnLogRead(MonotonicTime aReadUpTo)
{
  mReadUpTo = std::max(mReadUpTo, aReadUpTo);
  for (auto entry = mWorkers.begin(); entry != mWorkers.end();) {
    std::map<EndNumber, TimedEnd>& ends = entry->second.mEnds;
    for (auto end = ends.begin(); end != ends.end();) {
      end =
        MayBeUnread(end->second.mReportedAt) ? std::next(end) : ends.erase(end);
    }
    entry = entry->second.Empty() ? mWorkers.erase(entry) : std::next(entry);
  }
}

void UnreadJobs::KeepEnd(const WorkerId& aWorker,
                         const RunEndReport& aRow,
                         MonotonicTime aNow)
{
  mWorkers[aWorker].mEnds.emplace(aRow.mNumber, TimedEnd{ aRow, aNow });
}

std::vector<RunReport> UnreadJobs::KeepRuns(const WorkerId& aWorker,
                                            std::vector<RunReport> aRuns,
                                            MonotonicTime aNow)
{
  const auto found = mWorkers.find(aWorker);
  if (aRuns.empty() && found == mWorkers.end()) {
    return {};
  }
  WorkerReports& reports = mWorkers[aWorker];
  const std::map<TaskRef, TimedRun> former = std::exchange(reports.mRuns, {});
  std::vector<RunReport> unwanted;
  for (RunReport& run : aRuns) {
    const auto earlier = former.find(run.mTask);
    const bool isSameRun =
      earlier != former.end() && earlier->second.mRow.mRun == run.mRun;
    const MonotonicTime reportedAt =
      isSameRun ? earlier->second.mReportedAt : aNow;
    if (MayBeUnread(reportedAt)) {
      const TaskRef task = run.mTask;
      reports.mRuns[task] = TimedRun{ std::move(run), reportedAt };
    } else {
      unwanted.push_back(std::move(run));
    }
  }
  if (reports.Empty()) {
    mWorkers.erase(aWorker);
  }
  return unwanted;
}

void UnreadJobs::ForgetWorker(const WorkerId& aWorker)
{
  mWorkers.erase(aWorker);
}

UnreadJobs::KeptReports UnreadJobs::Take(const JobId& aJob)
{
  KeptReports kept;
  for (auto entry = mWorkers.begin(); entry != mWorkers.end();) {
    auto& [worker, reports] = *entry;
    for (auto end = reports.mEnds.begin(); end != reports.mEnds.end();) {
      if (end->second.mRow.mTask.mStep.mJob == aJob) {
        kept.mEnds.push_back(KeptEnd{ worker, end->second.mRow });
        end = reports.mEnds.erase(end);
      } else {
        ++end;
      }
    }
    auto run = reports.mRuns.lower_bound(TaskRef{ { aJob, 0, 0 }, 0 });
    while (run != reports.mRuns.end() && run->first.mStep.mJob == aJob) {
      kept.mRuns.push_back(KeptRun{ worker, run->second.mRow });
      run = reports.mRuns.erase(run);
    }
    entry = reports.Empty() ? mWorkers.erase(entry) : std::next(entry);
  }
  return kept;
}

std::optional<EndNumber> UnreadJobs::FirstEnd(const WorkerId& aWorker) const
{
  const auto found = mWorkers.find(aWorker);
  if (found == mWorkers.end() || found->second.mEnds.empty()) {
    return std::nullopt;
  }
  return found->second.mEnds.begin()->first;
}

} // namespace mulberryvalve
