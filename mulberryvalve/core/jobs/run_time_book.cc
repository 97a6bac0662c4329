#include "mulberryvalve/core/jobs/run_time_book.h"

#include <cmath>

namespace mulberryvalve {
namespace {

// Fewer times than this say little of a queue.
constexpr int kLeastCount = 8;
// The least spread, of logarithms, that is reckoned with.
constexpr double kLeastVariance = 0.01;

double LogOf(Milliseconds aTime)
{
  return std::log(static_cast<double>(aTime.count()));
}

} // namespace

void RunTimeBook::Learn(const QueueId& aQueue,
                        Milliseconds aDeclared,
                        Milliseconds aTaken)
{
  if (aDeclared.count() <= 0 || aTaken.count() <= 0) {
    return;
  }
  LearnedTimes& times = mQueues[aQueue];
  times.mQueue = aQueue;
  times.mTaken.Add(LogOf(aTaken));
  times.mError.Add(LogOf(aTaken) - LogOf(aDeclared));
}

Milliseconds RunTimeBook::Expect(const QueueId& aQueue,
                                 Milliseconds aDeclared) const
{
  const auto found = mQueues.find(aQueue);
  if (found == mQueues.end() || aDeclared.count() <= 0 ||
      found->second.mTaken.mCount < kLeastCount) {
    return aDeclared;
  }
  const LearnedTimes& times = found->second;
  const double ofTaken = times.mTaken.Variance() + kLeastVariance;
  const double ofError = times.mError.Variance() + kLeastVariance;
  // What scatters less is the better guess.
  const double trust = ofTaken / (ofTaken + ofError);
  const double corrected = LogOf(aDeclared) + times.mError.mMean;
  const double expected = trust * corrected + (1 - trust) * times.mTaken.mMean;
  return Milliseconds(std::lround(std::exp(expected)));
}

void RunTimeBook::Save(LearnedRecord& aRecord) const
{
  for (const auto& [queue, times] : mQueues) {
    aRecord.mTimes.push_back(times);
  }
}

void RunTimeBook::Restore(const LearnedRecord& aRecord)
{
  for (const LearnedTimes& times : aRecord.mTimes) {
    mQueues[times.mQueue] = times;
  }
}

} // namespace mulberryvalve
