// LearnedRecord: what an owner has learned of images and queues, for its
// successor.
#ifndef MULBERRYVALVE_CORE_JOBS_LEARNED_RECORD_H_
#define MULBERRYVALVE_CORE_JOBS_LEARNED_RECORD_H_

#include "mulberryvalve/core/jobs/job_graph.h"

#include <vector>

namespace mulberryvalve {

// LearnedPair is how hard one image that fills presses on one that serves.
struct LearnedPair
{
  ImageId mServing;
  ImageId mFilling;
  double mWeight = 0;
  int mObservations = 0;
};

// LearnedTail is the least tail in milliseconds that was seen of an image.
struct LearnedTail
{
  ImageId mServing;
  int64_t mLeastTail = 0;
};

// SeriesStats are the number, the mean and the sum of squared deviations of a
// series.
struct SeriesStats
{
  int mCount = 0;
  double mMean = 0;
  double mSquares = 0;

  // Add takes in one value.
  void Add(double aValue)
  {
    mCount += 1;
    const double before = aValue - mMean;
    mMean += before / mCount;
    mSquares += before * (aValue - mMean);
  }

  // Variance is zero for fewer than two values.
  double Variance() const { return mCount < 2 ? 0 : mSquares / (mCount - 1); }
};

// LearnedTimes are the run times of a queue: logarithms of the milliseconds
// taken, and of these by the milliseconds declared.
struct LearnedTimes
{
  QueueId mQueue;
  SeriesStats mTaken;
  SeriesStats mError;
};

// LearnedRecord is a value type. It may be lost: then all is learned anew.
struct LearnedRecord
{
  std::vector<LearnedPair> mPairs;
  std::vector<LearnedTail> mTails;
  std::vector<LearnedTimes> mTimes;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_LEARNED_RECORD_H_
