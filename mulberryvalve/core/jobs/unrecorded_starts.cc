#include "mulberryvalve/core/jobs/unrecorded_starts.h"

#include <xxhash.h>

namespace mulberryvalve {

size_t BucketOf(const TaskRef& aTask)
{
  constexpr int kOccurrenceShift = 32;
  const StepRef& step = aTask.mStep;
  const uint64_t seed =
    (static_cast<uint64_t>(step.mOccurrence) << kOccurrenceShift) | step.mStep;
  const std::string& job = step.mJob.Text();
  return (XXH64(job.data(), job.size(), seed) + aTask.mIndex) % kStartBuckets;
}

size_t BucketOf(const WorkerId& aWorker)
{
  const std::string& text = aWorker.Text();
  return XXH64(text.data(), text.size(), 0) % kStartBuckets;
}

bool MayStartUnrecorded(const TaskRef& aTask, const WorkerId& aWorker)
{
  return BucketOf(aTask) == BucketOf(aWorker);
}

} // namespace mulberryvalve
