// JobRetention: for how long an owner keeps what shows that a job is over.
#ifndef MULBERRYVALVE_CORE_JOBS_JOB_RETENTION_H_
#define MULBERRYVALVE_CORE_JOBS_JOB_RETENTION_H_

#include "mulberryvalve/core/base/time.h"
#include "mulberryvalve/core/jobs/job_state.h"

#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace mulberryvalve {

// Several copies of a job's record may be appended, the last of them after the
// job is over: an append without an answer is repeated, and each attempt may
// take effect seconds late. A copy of a job of which nothing is known starts
// the job. So what shows that a job is over (its progress, or its cancellation)
// outlives the last sign that copies may be on their way: its end, its
// cancellation, a copy, and the claim of an owner that can't know of former
// signs. Not thread-safe.
class JobRetention
{
public:
  // aKeepOver is longer than a copy may be on its way, and than callers may ask
  // for a job that is over.
  explicit JobRetention(Milliseconds aKeepOver)
    : mKeepOver(aKeepOver)
  {
  }

  // Records a sign, at aNow, that copies of the record of a job that is over
  // may be on their way.
  void Extend(const JobId& aJob, MonotonicTime aNow);

  // Records that the cancellation of a job that is not known was read at aNow.
  void AddCancellation(const JobId& aJob, MonotonicTime aNow);

  // Returns whether the cancellation of a job was read, and matches it with the
  // job, which is known from now on.
  bool TakeCancellation(const JobId& aJob);

  // Returns at most aMax jobs of which nothing needs to be kept at aNow, the
  // longest expired ones first.
  std::vector<JobId> Expired(MonotonicTime aNow, size_t aMax) const;

  // Returns whether nothing of a job needs to be kept at aNow.
  bool HasExpired(const JobId& aJob, MonotonicTime aNow) const;

  // Forgets a job, with its cancellation.
  void Forget(const JobId& aJob);

  // Records that a job is no longer on the intake, so that its progress is to
  // be removed next. A cancellation of it that came since is kept.
  void OnOffIntake(RetiredJob aJob);

  // Returns at most aMax jobs whose progress is to be removed, once each.
  std::vector<RetiredJob> TakeOffIntake(size_t aMax);

  // Returns whether the progress of a job is to be removed.
  bool HasOffIntake() const { return !mOffIntake.empty(); }

  // Returns the number of cancellations of jobs that are not known.
  size_t UnmatchedCancellations() const { return mCancelled.size(); }

  // Returns the number of jobs and cancellations that are kept.
  size_t Size() const { return mKeepUntil.size(); }

private:
  const Milliseconds mKeepOver;
  std::unordered_map<JobId, MonotonicTime> mKeepUntil;
  // The jobs of mKeepUntil in the order of their times.
  std::set<std::pair<MonotonicTime, JobId>> mByTime;
  // The jobs that are off the intake and whose progress is to be removed.
  std::vector<RetiredJob> mOffIntake;
  // The jobs that are cancelled and not known.
  std::set<JobId> mCancelled;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_JOB_RETENTION_H_
