#include "mulberryvalve/core/jobs/job_retention.h"

#include <utility>

namespace mulberryvalve {

void JobRetention::Extend(const JobId& aJob, MonotonicTime aNow)
{
  const MonotonicTime until = aNow + mKeepOver;
  const auto [found, isNew] = mKeepUntil.try_emplace(aJob, until);
  if (!isNew) {
    if (until <= found->second) {
      return;
    }
    mByTime.erase({ found->second, aJob });
    found->second = until;
  }
  mByTime.emplace(until, aJob);
}

void JobRetention::AddCancellation(const JobId& aJob, MonotonicTime aNow)
{
  mCancelled.insert(aJob);
  Extend(aJob, aNow);
}

bool JobRetention::TakeCancellation(const JobId& aJob)
{
  return mCancelled.erase(aJob) != 0;
}

std::vector<JobId> JobRetention::Expired(MonotonicTime aNow, size_t aMax) const
{
  std::vector<JobId> jobs;
  for (const auto& [until, job] : mByTime) {
    if (until > aNow || jobs.size() >= aMax) {
      break;
    }
    jobs.push_back(job);
  }
  return jobs;
}

bool JobRetention::HasExpired(const JobId& aJob, MonotonicTime aNow) const
{
  const auto found = mKeepUntil.find(aJob);
  return found != mKeepUntil.end() && found->second <= aNow;
}

void JobRetention::Forget(const JobId& aJob)
{
  const auto found = mKeepUntil.find(aJob);
  if (found != mKeepUntil.end()) {
    mByTime.erase({ found->second, aJob });
    mKeepUntil.erase(found);
  }
  mCancelled.erase(aJob);
}

void JobRetention::OnOffIntake(RetiredJob aJob)
{
  mOffIntake.push_back(std::move(aJob));
}

std::vector<RetiredJob> JobRetention::TakeOffIntake(size_t aMax)
{
  std::vector<RetiredJob> jobs;
  while (!mOffIntake.empty() && jobs.size() < aMax) {
    jobs.push_back(std::move(mOffIntake.back()));
    mOffIntake.pop_back();
  }
  return jobs;
}

} // namespace mulberryvalve
