// The order in which steps that wait for a worker are served.
#ifndef MULBERRYVALVE_CORE_JOBS_QUEUEING_POLICY_H_
#define MULBERRYVALVE_CORE_JOBS_QUEUEING_POLICY_H_

#include "mulberryvalve/core/base/time.h"
#include "mulberryvalve/core/jobs/job_graph.h"

#include <cstdint>
#include <tuple>
#include <vector>

namespace mulberryvalve {

// A result later than this many objectives is of no use to a caller.
inline constexpr int64_t kUsefulObjectives = 3;

// ReadyStepKey identifies a step of an unfinished job and sorts by order of
// acceptance. mArrivalNumber is the position of the job in that order.
struct ReadyStepKey
{
  uint64_t mArrivalNumber = 0;
  uint32_t mOccurrence = 0;
  uint32_t mStep = 0;

  friend bool operator<(const ReadyStepKey& aLeft, const ReadyStepKey& aRight)
  {
    return std::tie(aLeft.mArrivalNumber, aLeft.mOccurrence, aLeft.mStep) <
           std::tie(aRight.mArrivalNumber, aRight.mOccurrence, aRight.mStep);
  }
};

// AccountShare is what the order of a step depends on in its client account.
struct AccountShare
{
  // The job is beyond the rate that the account may send.
  bool mIsBeyondRate = false;
  // The account has far more running than its share among those that compete.
  bool mIsAboveShare = false;
};

// WaitingStep is one step with waiting tasks that are ready.
struct WaitingStep
{
  ReadyStepKey mStep;
  // Lower numbers are served first.
  int mPriority = 0;
  MonotonicTime mAcceptedAt;
  // Since when the step's occurrence could be served: the acceptance of the
  // job, or a later due time if the job recurs.
  MonotonicTime mDueAt;
  // When the job must be finished to meet its objective.
  MonotonicTime mObjectiveAt;
  // Remaining work of the job in thousandths of a core times milliseconds; zero
  // for long-running tasks.
  int64_t mRemainingWork = 0;
  // Duration of the steps of the job's critical path that have not completed;
  // zero for long-running tasks.
  Milliseconds mRemainingChain{ 0 };
  bool mIsLongRunning = false;
  AccountShare mShare;
};

// QueueingPolicy sorts the waiting steps. Implementations hold no state that
// needs a lock.
class QueueingPolicy
{
public:
  virtual ~QueueingPolicy() = default;

  // Sort sorts aSteps into the order in which they are served at aNow.
  virtual void Sort(std::vector<WaitingStep>& aSteps,
                    MonotonicTime aNow) const = 0;
};

// FifoPolicy serves by priority, then first come, first served.
class FifoPolicy : public QueueingPolicy
{
public:
  void Sort(std::vector<WaitingStep>& aSteps,
            MonotonicTime aNow) const override;
};

// LeastRemainingWorkPolicy serves, within a priority, long-running tasks first
// and then the job with the least remaining work. In a burst of more jobs than
// there is capacity, serving in order of acceptance would make nearly all of
// them late. To avoid starvation of large jobs, the work of a job counts for
// less and less once its age is many times its objective.
class LeastRemainingWorkPolicy : public QueueingPolicy
{
public:
  void Sort(std::vector<WaitingStep>& aSteps,
            MonotonicTime aNow) const override;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_QUEUEING_POLICY_H_
