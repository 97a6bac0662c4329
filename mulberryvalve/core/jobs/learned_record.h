// What an owner learned about images and queues, recorded for the next owner.
#ifndef MULBERRYVALVE_CORE_JOBS_LEARNED_RECORD_H_
#define MULBERRYVALVE_CORE_JOBS_LEARNED_RECORD_H_

#include "mulberryvalve/core/jobs/job_graph.h"

#include <vector>

namespace mulberryvalve {

// LearnedInterference is how much one best-effort image slows down one serving
// image.
struct LearnedInterference
{
  ImageId mServingImage;
  ImageId mBestEffortImage;
  double mWeight = 0;
  int mObservations = 0;
};

// LearnedMinTail is the lowest tail latency, in milliseconds, observed for an
// image.
struct LearnedMinTail
{
  ImageId mServingImage;
  int64_t mMinTail = 0;
};

// SeriesStats accumulates count, mean and sum of squared deviations of a
// series.
struct SeriesStats
{
  int mCount = 0;
  double mMean = 0;
  double mSquares = 0;

  // Add adds one value to the series.
  void Add(double aValue)
  {
    mCount += 1;
    const double before = aValue - mMean;
    mMean += before / mCount;
    mSquares += before * (aValue - mMean);
  }

  // Variance returns the sample variance; zero for fewer than two values.
  double Variance() const { return mCount < 2 ? 0 : mSquares / (mCount - 1); }
};

// LearnedRunTimes are statistics over the logarithms of run times of a queue:
// of the actual milliseconds, and of the ratio of actual to declared
// milliseconds.
struct LearnedRunTimes
{
  QueueId mQueue;
  SeriesStats mDurations;
  SeriesStats mDeclarationErrors;
};

// LearnedRecord is a value type. If it is lost, everything is learned again.
struct LearnedRecord
{
  std::vector<LearnedInterference> mPairs;
  std::vector<LearnedMinTail> mTails;
  std::vector<LearnedRunTimes> mTimes;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_LEARNED_RECORD_H_
