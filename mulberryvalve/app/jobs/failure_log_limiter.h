// Limits the rate at which repeated failures are logged.
#ifndef MULBERRYVALVE_APP_JOBS_FAILURE_LOG_LIMITER_H_
#define MULBERRYVALVE_APP_JOBS_FAILURE_LOG_LIMITER_H_

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

// A failure to log, and its number of occurrences since it was last logged.
struct FailureSummary
{
  std::string mCall;
  Failure mFailure;
  uint64_t mTimes = 0;
};

// Counts failures by call and kind. The first one is logged at once,
// repetitions at most once a second with their count. No failure is lost: the
// remaining ones are returned by TakeDue or TakeRemaining. Thread-safe.
class FailureLogLimiter
{
public:
  // Counts a failure of the call aCall. Returns a summary if it should be
  // logged now.
  std::optional<FailureSummary> Observe(std::string_view aCall,
                                        const Failure& aFailure,
                                        MonotonicTime aNow);

  // Returns summaries of failures that were not logged yet, if their call and
  // kind was last logged at least a second ago.
  std::vector<FailureSummary> TakeDue(MonotonicTime aNow);

  // Returns summaries of all failures that were not logged yet.
  std::vector<FailureSummary> TakeRemaining();

private:
  struct FailureCount
  {
    Failure mLastFailure;
    uint64_t mUnreported = 0;
    std::optional<MonotonicTime> mReportedAt;
  };

  Mutex mMutex;
  std::map<std::pair<std::string, FailureKind>, FailureCount> mFailures
    MV_GUARDED_BY(mMutex);
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_JOBS_FAILURE_LOG_LIMITER_H_
