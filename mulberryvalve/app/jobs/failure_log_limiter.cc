#include "mulberryvalve/app/jobs/failure_log_limiter.h"

namespace mulberryvalve {
namespace {

constexpr Milliseconds kLogInterval{ 1000 };

} // namespace

std::optional<FailureSummary> FailureLogLimiter::Observe(
  std::string_view aCall,
  const Failure& aFailure,
  MonotonicTime aNow)
{
  MutexLock lock(mMutex);
  FailureCount& failure = mFailures[{ std::string(aCall), aFailure.mKind }];
  failure.mLastFailure = aFailure;
  failure.mUnreported++;
  if (failure.mReportedAt && aNow < *failure.mReportedAt + kLogInterval) {
    return std::nullopt;
  }
  failure.mReportedAt = aNow;
  return FailureSummary{ std::string(aCall),
                         aFailure,
                         std::exchange(failure.mUnreported, 0) };
}

std::vector<FailureSummary> FailureLogLimiter::TakeDue(MonotonicTime aNow)
{
  std::vector<FailureSummary> summaries;
  MutexLock lock(mMutex);
  for (auto& [key, failure] : mFailures) {
    if (failure.mUnreported > 0 &&
        aNow >= *failure.mReportedAt + kLogInterval) {
      failure.mReportedAt = aNow;
      summaries.push_back(
        FailureSummary{ key.first,
                        failure.mLastFailure,
                        std::exchange(failure.mUnreported, 0) });
    }
  }
  return summaries;
}

std::vector<FailureSummary> FailureLogLimiter::TakeRemaining()
{
  std::vector<FailureSummary> summaries;
  MutexLock lock(mMutex);
  for (auto& [key, failure] : mFailures) {
    if (failure.mUnreported > 0) {
      summaries.push_back(
        FailureSummary{ key.first,
                        failure.mLastFailure,
                        std::exchange(failure.mUnreported, 0) });
    }
  }
  return summaries;
}

} // namespace mulberryvalve
