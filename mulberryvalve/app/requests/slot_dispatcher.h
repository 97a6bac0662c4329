// SlotDispatcher: allocates upstream slots to request attempts. Requests that
// find no free slot are queued by deadline.
#ifndef MULBERRYVALVE_APP_REQUESTS_SLOT_DISPATCHER_H_
#define MULBERRYVALVE_APP_REQUESTS_SLOT_DISPATCHER_H_

#include "mulberryvalve/app/requests/upstream_directory.h"
#include "mulberryvalve/app/requests/upstream_table.h"
#include "mulberryvalve/core/model/request.h"
#include "mulberryvalve/core/requests/admission_queue.h"

#include <map>
#include <optional>
#include <unordered_set>

namespace mulberryvalve {

// SlotGrant is a slot at mWorker, or the reason why none was granted.
struct SlotGrant
{
  std::optional<WorkerSpec> mWorker;
  RequestReason mReason = RequestReason::kNone;
};

// SlotDispatcher is thread-safe. A slot is taken without holding the lock of
// the queue when no request is queued.
class SlotDispatcher
{
public:
  // All references must outlive the dispatcher.
  SlotDispatcher(UpstreamTable& aTable,
                 UpstreamSource& aSource,
                 const Clock& aClock);

  // Acquire takes a slot at an upstream that is not in aTried, blocking until
  // aDeadline at most. Reasons for a refusal: kNoUpstream when there is no such
  // upstream; kOverloaded when the queue is full or the deadline cannot be met;
  // kDeadlinePassed.
  SlotGrant Acquire(const std::unordered_set<WorkerId>& aTried,
                    MonotonicTime aDeadline);

  // Release returns a slot.
  void Release(const AttemptEnd& aEnd);

private:
  std::optional<WorkerSpec> TryReserve(
    const std::unordered_set<WorkerId>& aTried);
  bool HasUntriedUpstream(const std::unordered_set<WorkerId>& aTried);
  bool IsQueueEmpty();
  SlotGrant WaitForSlot(const std::unordered_set<WorkerId>& aTried,
                        MonotonicTime aDeadline);
  std::optional<SlotGrant> TryGrantToFirst(
    QueueTicket aTicket,
    const std::unordered_set<WorkerId>& aTried,
    MonotonicTime aDeadline) MV_REQUIRES(mMutex);
  MonotonicTime NextWakeTime(QueueTicket aTicket, MonotonicTime aDeadline) const
    MV_REQUIRES(mMutex);
  void WakeFirst() MV_REQUIRES(mMutex);

  UpstreamTable& mTable;
  UpstreamSource& mSource;
  const Clock& mClock;
  Mutex mMutex;
  AdmissionQueue mQueue MV_GUARDED_BY(mMutex);
  std::map<QueueTicket, CondVar*> mWaiters MV_GUARDED_BY(mMutex);
  QueueTicket mNextTicket MV_GUARDED_BY(mMutex) = 1;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_REQUESTS_SLOT_DISPATCHER_H_
