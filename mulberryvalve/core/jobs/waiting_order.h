// WaitingOrder: which of the steps that wait for a worker is served first.
#ifndef MULBERRYVALVE_CORE_JOBS_WAITING_ORDER_H_
#define MULBERRYVALVE_CORE_JOBS_WAITING_ORDER_H_

#include "mulberryvalve/core/base/time.h"
#include "mulberryvalve/core/jobs/job_graph.h"

#include <cstdint>
#include <tuple>
#include <vector>

namespace mulberryvalve {

// OpenStep names a step of a job that is not over by numbers, in the order of
// acceptance. mArrivalNumber is the job's place in that order.
struct OpenStep
{
  uint64_t mArrivalNumber = 0;
  uint32_t mOccurrence = 0;
  uint32_t mStep = 0;

  friend bool operator<(const OpenStep& aLeft, const OpenStep& aRight)
  {
    return std::tie(aLeft.mArrivalNumber, aLeft.mOccurrence, aLeft.mStep) <
           std::tie(aRight.mArrivalNumber, aRight.mOccurrence, aRight.mStep);
  }
};

// WaitingStep is one step with waiting tasks whose turn has come.
struct WaitingStep
{
  OpenStep mStep;
  // The lowest number is served first.
  int mPriority = 0;
  MonotonicTime mAcceptedAt;
  // When the job must be over to be in time.
  MonotonicTime mObjectiveAt;
  // Thousandths of a core times milliseconds that the job has left; zero for
  // tasks that last.
  int64_t mRestOfWork = 0;
};

// WaitingOrder sorts the steps that wait. Implementations hold no state that
// needs a lock.
class WaitingOrder
{
public:
  virtual ~WaitingOrder() = default;

  // Sort puts aSteps into the order in which they are served at aNow.
  virtual void Sort(std::vector<WaitingStep>& aSteps,
                    MonotonicTime aNow) const = 0;
};

// ArrivalOrder serves by priority and then by acceptance.
class ArrivalOrder : public WaitingOrder
{
public:
  void Sort(std::vector<WaitingStep>& aSteps,
            MonotonicTime aNow) const override;
};

// LeastWorkOrder serves, within a priority, the job that has the least work
// left first, and tasks that last before all others. So that no size starves,
// the work counts for less and less once a job is many objectives old.
// It answers the pattern of a burst of jobs beyond the room, which in the order
// of acceptance makes nearly all of them late.
class LeastWorkOrder : public WaitingOrder
{
public:
  void Sort(std::vector<WaitingStep>& aSteps,
            MonotonicTime aNow) const override;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_WAITING_ORDER_H_
