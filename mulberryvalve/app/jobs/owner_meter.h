// OwnerDelayMetrics: how far the owner of a shard is behind what it has to do.
#ifndef MULBERRYVALVE_APP_JOBS_OWNER_METER_H_
#define MULBERRYVALVE_APP_JOBS_OWNER_METER_H_

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

// OwnerDelay is a time that grows when an owner is behind.
enum class OwnerDelay
{
  kProofAge,     // since its ownership was proved
  kIntakeGap,    // between two reads of what callers handed in
  kPass,         // of one decision pass
  kLockWait,     // for the shard's lock, before an answer is taken in
  kRenewalGap,   // between two renewals of a worker that runs something
  kOrderWait,    // from the decision of an order to its sending
  kCancelToStop, // from the reading of a cancellation to an answered stop
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

// OwnerDelayMetrics keeps the longest delay of each kind since the last report,
// so that measuring stays cheap however much happens. Thread-safe; no method
// blocks for long.
class OwnerDelayMetrics
{
public:
  // aMetrics must outlive this object. The ownership begins at aSince.
  OwnerDelayMetrics(Metrics& aMetrics, MonotonicTime aSince);

  // Observe takes in one delay. Negative ones count as zero.
  void Observe(OwnerDelay aDelay, Microseconds aLength);

  // Report gives the longest delays of each second to the metrics. It returns
  // them as fields of a line when the owner is behind, at most once a second.
  std::optional<std::vector<EventField>> Report(MonotonicTime aNow);

  // OwnershipFields returns for how long the shard was owned, the age of its
  // last proof, and the processor time of the process meanwhile.
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

#endif // MULBERRYVALVE_APP_JOBS_OWNER_METER_H_
