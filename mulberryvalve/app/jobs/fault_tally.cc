#include "mulberryvalve/app/jobs/fault_tally.h"

namespace mulberryvalve {
namespace {

constexpr Milliseconds kInterval{ 1000 };

} // namespace

std::optional<FaultLine> FaultTally::Note(std::string_view aWhat,
                                          const Failure& aFailure,
                                          MonotonicTime aNow)
{
  MutexLock lock(mMutex);
  Row& row = mRows[{ std::string(aWhat), aFailure.mKind }];
  row.mLast = aFailure;
  row.mUntold++;
  if (row.mToldAt && aNow < *row.mToldAt + kInterval) {
    return std::nullopt;
  }
  row.mToldAt = aNow;
  return FaultLine{ std::string(aWhat),
                    aFailure,
                    std::exchange(row.mUntold, 0) };
}

std::vector<FaultLine> FaultTally::Due(MonotonicTime aNow)
{
  std::vector<FaultLine> lines;
  MutexLock lock(mMutex);
  for (auto& [key, row] : mRows) {
    if (row.mUntold > 0 && aNow >= *row.mToldAt + kInterval) {
      row.mToldAt = aNow;
      lines.push_back(
        FaultLine{ key.first, row.mLast, std::exchange(row.mUntold, 0) });
    }
  }
  return lines;
}

std::vector<FaultLine> FaultTally::Rest()
{
  std::vector<FaultLine> lines;
  MutexLock lock(mMutex);
  for (auto& [key, row] : mRows) {
    if (row.mUntold > 0) {
      lines.push_back(
        FaultLine{ key.first, row.mLast, std::exchange(row.mUntold, 0) });
    }
  }
  return lines;
}

} // namespace mulberryvalve
