#include "mulberryvalve/core/jobs/run_time_book.h"

#include <cmath>

namespace mulberryvalve {
namespace {

// Fewer times than this say little of a queue.
constexpr int kMinCount = 8;
// The least spread, of logarithms, that is reckoned with.
constexpr double kMinVariance = 0.01;

double LogOf(Milliseconds aTime)
{
  return std::log(static_cast<double>(aTime.count()));
}

} // namespace

void RunTimeBook::Learn(const QueueId& aQueue,
                        Milliseconds aDeclared,
                        Milliseconds aActual)
{
  if (aDeclared.count() <= 0 || aActual.count() <= 0) {
    return;
  }
  QueueTimes& queue = mQueues[aQueue];
  queue.mVersion++;
  LearnedTimes& times = queue.mTimes;
  times.mQueue = aQueue;
  times.mTaken.Add(LogOf(aActual));
  times.mError.Add(LogOf(aActual) - LogOf(aDeclared));
}

Milliseconds RunTimeBook::Estimate(const QueueId& aQueue,
                                   Milliseconds aDeclared) const
{
  const auto found = mQueues.find(aQueue);
  if (found == mQueues.end() || aDeclared.count() <= 0 ||
      found->second.mTimes.mTaken.mCount < kMinCount) {
    return aDeclared;
  }
  const LearnedTimes& times = found->second.mTimes;
  const double durationVariance = times.mTaken.Variance() + kMinVariance;
  const double errorVariance = times.mError.Variance() + kMinVariance;
  // What scatters less is the better guess.
  const double declaredWeight =
    durationVariance / (durationVariance + errorVariance);
  const double corrected = LogOf(aDeclared) + times.mError.mMean;
  const double expected =
    declaredWeight * corrected + (1 - declaredWeight) * times.mTaken.mMean;
  return Milliseconds(std::lround(std::exp(expected)));
}

uint64_t RunTimeBook::VersionOf(const QueueId& aQueue) const
{
  const auto found = mQueues.find(aQueue);
  return found == mQueues.end() ? 0 : found->second.mVersion;
}

void RunTimeBook::Save(LearnedRecord& aRecord) const
{
  for (const auto& [queue, times] : mQueues) {
    aRecord.mTimes.push_back(times.mTimes);
  }
}

void RunTimeBook::Restore(const LearnedRecord& aRecord)
{
  for (const LearnedTimes& times : aRecord.mTimes) {
    QueueTimes& queue = mQueues[times.mQueue];
    queue.mTimes = times;
    queue.mVersion++;
  }
}

} // namespace mulberryvalve
