#include "mulberryvalve/core/jobs/run_time_estimator.h"

#include <cmath>

namespace mulberryvalve {
namespace {

// The number of run times needed before a queue is estimated from them.
constexpr int kMinCount = 8;
// Added to the variances of the logarithms, so that neither is zero.
constexpr double kMinVariance = 0.01;

double LogOf(Milliseconds aTime)
{
  return std::log(static_cast<double>(aTime.count()));
}

} // namespace

void RunTimeEstimator::Learn(const QueueId& aQueue,
                             Milliseconds aDeclared,
                             Milliseconds aActual)
{
  if (aDeclared.count() <= 0 || aActual.count() <= 0) {
    return;
  }
  QueueTimes& queue = mQueues[aQueue];
  queue.mVersion++;
  LearnedRunTimes& times = queue.mTimes;
  times.mQueue = aQueue;
  times.mDurations.Add(LogOf(aActual));
  times.mDeclarationErrors.Add(LogOf(aActual) - LogOf(aDeclared));
}

Milliseconds RunTimeEstimator::Estimate(const QueueId& aQueue,
                                        Milliseconds aDeclared) const
{
  const auto found = mQueues.find(aQueue);
  if (found == mQueues.end() || aDeclared.count() <= 0 ||
      found->second.mTimes.mDurations.mCount < kMinCount) {
    return aDeclared;
  }
  const LearnedRunTimes& times = found->second.mTimes;
  const double durationVariance = times.mDurations.Variance() + kMinVariance;
  const double errorVariance =
    times.mDeclarationErrors.Variance() + kMinVariance;
  // The source with the lower variance gets the higher weight.
  const double declaredWeight =
    durationVariance / (durationVariance + errorVariance);
  const double corrected = LogOf(aDeclared) + times.mDeclarationErrors.mMean;
  const double expected =
    declaredWeight * corrected + (1 - declaredWeight) * times.mDurations.mMean;
  return Milliseconds(std::lround(std::exp(expected)));
}

uint64_t RunTimeEstimator::VersionOf(const QueueId& aQueue) const
{
  const auto found = mQueues.find(aQueue);
  return found == mQueues.end() ? 0 : found->second.mVersion;
}

void RunTimeEstimator::Save(LearnedRecord& aRecord) const
{
  for (const auto& [queue, times] : mQueues) {
    aRecord.mTimes.push_back(times.mTimes);
  }
}

void RunTimeEstimator::Restore(const LearnedRecord& aRecord)
{
  for (const LearnedRunTimes& times : aRecord.mTimes) {
    QueueTimes& queue = mQueues[times.mQueue];
    queue.mTimes = times;
    queue.mVersion++;
  }
}

} // namespace mulberryvalve
