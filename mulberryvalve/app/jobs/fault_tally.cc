#include "mulberryvalve/app/jobs/fault_tally.h"

namespace mulberryvalve {
namespace {

constexpr Milliseconds kInterval{ 1000 };

} // namespace

std::optional<FailureSummary> FailureLogLimiter::Observe(
  std::string_view aWhat,
  const Failure& aFailure,
  MonotonicTime aNow)
{
  MutexLock lock(mMutex);
  FailureCount& row = mFailures[{ std::string(aWhat), aFailure.mKind }];
  row.mLast = aFailure;
  row.mUnreported++;
  if (row.mReportedAt && aNow < *row.mReportedAt + kInterval) {
    return std::nullopt;
  }
  row.mReportedAt = aNow;
  return FailureSummary{ std::string(aWhat),
                         aFailure,
                         std::exchange(row.mUnreported, 0) };
}

std::vector<FailureSummary> FailureLogLimiter::TakeDue(MonotonicTime aNow)
{
  std::vector<FailureSummary> lines;
  MutexLock lock(mMutex);
  for (auto& [key, row] : mFailures) {
    if (row.mUnreported > 0 && aNow >= *row.mReportedAt + kInterval) {
      row.mReportedAt = aNow;
      lines.push_back(FailureSummary{
        key.first, row.mLast, std::exchange(row.mUnreported, 0) });
    }
  }
  return lines;
}

std::vector<FailureSummary> FailureLogLimiter::TakeRemaining()
{
  std::vector<FailureSummary> lines;
  MutexLock lock(mMutex);
  for (auto& [key, row] : mFailures) {
    if (row.mUnreported > 0) {
      lines.push_back(FailureSummary{
        key.first, row.mLast, std::exchange(row.mUnreported, 0) });
    }
  }
  return lines;
}

} // namespace mulberryvalve
