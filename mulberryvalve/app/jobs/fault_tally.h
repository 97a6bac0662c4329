// FailureLogLimiter: failures that repeat become few lines with a count.
#ifndef MULBERRYVALVE_APP_JOBS_FAULT_TALLY_H_
#define MULBERRYVALVE_APP_JOBS_FAULT_TALLY_H_

#include "mulberryvalve/core/base/failure.h"
#include "mulberryvalve/core/base/mutex.h"
#include "mulberryvalve/core/base/time.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace mulberryvalve {

// FailureSummary is a failure to be told, and how often it came since the last
// line of its kind.
struct FailureSummary
{
  std::string mWhat;
  Failure mFailure;
  uint64_t mTimes = 0;
};

// FailureLogLimiter tells the first failure of a kind of each call at once and
// those that follow together, once a second. None is lost: what is left is told
// by TakeDue or TakeRemaining. Thread-safe.
class FailureLogLimiter
{
public:
  // Observe takes in a failure of the call aWhat. It returns a line when one is
  // due.
  std::optional<FailureSummary> Observe(std::string_view aWhat,
                                        const Failure& aFailure,
                                        MonotonicTime aNow);

  // TakeDue returns lines of what came and was not told for a second.
  std::vector<FailureSummary> TakeDue(MonotonicTime aNow);

  // TakeRemaining returns lines of all that was not told.
  std::vector<FailureSummary> TakeRemaining();

private:
  struct FailureCount
  {
    Failure mLast;
    uint64_t mUnreported = 0;
    std::optional<MonotonicTime> mReportedAt;
  };

  Mutex mMutex;
  std::map<std::pair<std::string, FailureKind>, FailureCount> mFailures
    MV_GUARDED_BY(mMutex);
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_JOBS_FAULT_TALLY_H_
