// Estimates run times of tasks from earlier tasks of their queue. Declared run
// times are often wrong by a factor of two or more: most of them at random,
// those of some queues always in one direction.
#ifndef MULBERRYVALVE_CORE_JOBS_RUN_TIME_ESTIMATOR_H_
#define MULBERRYVALVE_CORE_JOBS_RUN_TIME_ESTIMATOR_H_

#include "mulberryvalve/core/jobs/learned_record.h"

#include <cstdint>
#include <unordered_map>

namespace mulberryvalve {

// RunTimeEstimator is not synchronised.
//
// Run times are modelled as log-normal. The estimate lies between the mean run
// time of the queue's tasks and the declared run time corrected by its mean
// error, weighted by which of the two has varied less.
class RunTimeEstimator
{
public:
  // Learn records that a task with the declared run time aDeclared took
  // aActual. Values that are not above zero are ignored.
  void Learn(const QueueId& aQueue,
             Milliseconds aDeclared,
             Milliseconds aActual);

  // Estimate returns the expected run time of a task; aDeclared if too few run
  // times of the queue are known.
  Milliseconds Estimate(const QueueId& aQueue, Milliseconds aDeclared) const;

  // VersionOf returns a number that changes whenever the estimates for a queue
  // may change.
  uint64_t VersionOf(const QueueId& aQueue) const;

  // Save adds what was learned to aRecord. Restore loads it and replaces what
  // was learned about the same queues.
  void Save(LearnedRecord& aRecord) const;
  void Restore(const LearnedRecord& aRecord);

private:
  struct QueueTimes
  {
    LearnedRunTimes mTimes;
    uint64_t mVersion = 0;
  };

  std::unordered_map<QueueId, QueueTimes> mQueues;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_RUN_TIME_ESTIMATOR_H_
