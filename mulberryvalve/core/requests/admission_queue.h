// AdmissionQueue: a bounded queue of requests that wait for a slot, earliest
// deadline first. Requests that cannot meet their deadline are rejected on
// arrival.
#ifndef MULBERRYVALVE_CORE_REQUESTS_ADMISSION_QUEUE_H_
#define MULBERRYVALVE_CORE_REQUESTS_ADMISSION_QUEUE_H_

#include "mulberryvalve/core/base/enum_table.h"
#include "mulberryvalve/core/base/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <utility>

namespace mulberryvalve {

// QueueTicket identifies a waiting request. It is unique within one queue.
using QueueTicket = uint64_t;

// AdmissionResult is the result of TryEnqueue.
enum class AdmissionResult
{
  kQueued,
  kQueueFull,
  kTooLate,
};

inline constexpr EnumTable<AdmissionResult, 3> kAdmissionResultNames{ { {
  { AdmissionResult::kQueued, "queued" },
  { AdmissionResult::kQueueFull, "queue_full" },
  { AdmissionResult::kTooLate, "too_late" },
} } };

// AdmissionQueue estimates the wait of a new request as the number of queued
// requests with an earlier deadline times the moving average of the interval
// between grants. To that it adds the expected service time: the moving average
// plus three mean deviations. Does not read the clock. Not thread-safe.
class AdmissionQueue
{
public:
  // TryEnqueue queues a request. It returns kQueueFull when aLimit requests are
  // waiting already, and kTooLate when the request is unlikely to meet
  // aDeadline. aTicket must not be in the queue.
  AdmissionResult TryEnqueue(QueueTicket aTicket,
                             MonotonicTime aDeadline,
                             int64_t aLimit,
                             MonotonicTime aNow);

  // First returns the waiting request with the earliest deadline, or nothing
  // when the queue is empty.
  std::optional<QueueTicket> First() const;

  // Remove removes a request from the queue. aGranted is true when the request
  // got a slot, and false when it expired or was abandoned.
  void Remove(QueueTicket aTicket,
              MonotonicTime aDeadline,
              bool aGranted,
              MonotonicTime aNow);

  // RecordServiceTime adds the service time of one attempt to the moving
  // averages.
  void RecordServiceTime(Microseconds aElapsed);

  // CanMeetDeadline returns true when a request that gets a slot at aNow is
  // likely to be answered before aDeadline.
  bool CanMeetDeadline(MonotonicTime aDeadline, MonotonicTime aNow) const;

  // Waiting returns the number of queued requests.
  size_t Waiting() const { return mWaiting.size(); }

private:
  Microseconds PredictedWait(MonotonicTime aDeadline) const;

  std::set<std::pair<MonotonicTime, QueueTicket>> mWaiting;
  int64_t mMeanServiceUs = 0;
  int64_t mMeanDeviationUs = 0;
  int64_t mMeanGrantIntervalUs = 0;
  std::optional<MonotonicTime> mLastGrantAt;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_REQUESTS_ADMISSION_QUEUE_H_
