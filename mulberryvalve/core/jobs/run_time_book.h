// RunTimeBook: how long tasks take, learned by queue. It answers the pattern of
// declared run times that are off by a factor of two and more, most of them by
// chance and some queues' always to one side.
#ifndef MULBERRYVALVE_CORE_JOBS_RUN_TIME_BOOK_H_
#define MULBERRYVALVE_CORE_JOBS_RUN_TIME_BOOK_H_

#include "mulberryvalve/core/jobs/learned_record.h"

#include <cstdint>
#include <unordered_map>

namespace mulberryvalve {

// RunTimeBook is not synchronised.
//
// Run times are taken as log-normal. What a task is expected to take lies
// between what its queue's tasks took and what was declared for it, nearer to
// the one that has told more so far.
class RunTimeBook
{
public:
  // Learn takes in that a task for which aDeclared was given took aActual, both
  // above zero; others are passed over.
  void Learn(const QueueId& aQueue,
             Milliseconds aDeclared,
             Milliseconds aActual);

  // Estimate returns what a task will take; it is aDeclared for a queue of
  // which little was seen.
  Milliseconds Estimate(const QueueId& aQueue, Milliseconds aDeclared) const;

  // VersionOf returns a number that changes with what Estimate returns for a
  // queue.
  uint64_t VersionOf(const QueueId& aQueue) const;

  // Save adds what is known to aRecord; Restore takes it back, in place of what
  // is known of the same queues.
  void Save(LearnedRecord& aRecord) const;
  void Restore(const LearnedRecord& aRecord);

private:
  struct QueueTimes
  {
    LearnedTimes mTimes;
    uint64_t mVersion = 0;
  };

  std::unordered_map<QueueId, QueueTimes> mQueues;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_RUN_TIME_BOOK_H_
