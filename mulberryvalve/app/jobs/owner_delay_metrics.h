// Measures how far a shard's owner is behind its work.
#ifndef MULBERRYVALVE_APP_JOBS_OWNER_DELAY_METRICS_H_
#define MULBERRYVALVE_APP_JOBS_OWNER_DELAY_METRICS_H_

#include "mulberryvalve/core/base/enum_table.h"
#include "mulberryvalve/core/base/mutex.h"
#include "mulberryvalve/core/base/time.h"
#include "mulberryvalve/ports/out/event_log.h"
#include "mulberryvalve/ports/out/metrics.h"

#include <array>
#include <ctime>
#include <optional>
#include <vector>

namespace mulberryvalve {

// A duration that grows when an owner is behind.
enum class OwnerDelay
{
  kProofAge,     // since the last proof of ownership
  kIntakeGap,    // since the last read of the job intake
  kPass,         // duration of a decision pass
  kLockWait,     // of a worker's reply for the shard's mutex
  kRenewalGap,   // between two renewals of a worker with running tasks
  kOrderWait,    // from the decision for an order to its sending
  kCancelToStop, // from reading a cancellation to an acknowledged stop
};

inline constexpr EnumTable<OwnerDelay, 7> kOwnerDelayNames{ { {
  { OwnerDelay::kProofAge, "proof_age_ms" },
  { OwnerDelay::kIntakeGap, "intake_gap_ms" },
  { OwnerDelay::kPass, "pass_ms" },
  { OwnerDelay::kLockWait, "lock_wait_ms" },
  { OwnerDelay::kRenewalGap, "renewal_gap_ms" },
  { OwnerDelay::kOrderWait, "order_wait_ms" },
  { OwnerDelay::kCancelToStop, "cancel_to_stop_ms" },
} } };

// Keeps only the longest delay of each kind since the last report, so that the
// cost does not grow with the number of events. Thread-safe; no method blocks
// for long.
class OwnerDelayMetrics
{
public:
  // aMetrics must outlive this object. The ownership begins at aSince.
  OwnerDelayMetrics(Metrics& aMetrics, MonotonicTime aSince);

  // Records one delay. A negative one counts as zero.
  void Observe(OwnerDelay aDelay, Microseconds aLength);

  // Records the longest delays since the last report in the metrics, at most
  // once a second. Returns them as fields of a log event if any of them reaches
  // its threshold.
  std::optional<std::vector<EventField>> Report(MonotonicTime aNow);

  // Returns how long the shard has been owned, the age of the last proof of
  // ownership, and the processor time that the process has used meanwhile.
  std::vector<EventField> OwnershipFields(MonotonicTime aNow,
                                          MonotonicTime aProvedAt) const;

private:
  static constexpr size_t kDelays = kOwnerDelayNames.mRows.size();

  Metrics& mMetrics;
  const MonotonicTime mSince;
  const std::clock_t mProcessorSince;
  Mutex mMutex;
  std::array<Microseconds, kDelays> mLongest MV_GUARDED_BY(mMutex){};
  MonotonicTime mReportAt MV_GUARDED_BY(mMutex);
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_JOBS_OWNER_DELAY_METRICS_H_
