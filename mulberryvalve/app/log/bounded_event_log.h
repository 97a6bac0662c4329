// BoundedEventLog: an asynchronous event log that never blocks its writers.
#ifndef MULBERRYVALVE_APP_LOG_BOUNDED_EVENT_LOG_H_
#define MULBERRYVALVE_APP_LOG_BOUNDED_EVENT_LOG_H_

#include "mulberryvalve/core/base/mutex.h"
#include "mulberryvalve/ports/out/clock.h"
#include "mulberryvalve/ports/out/event_log.h"

#include <cstdint>
#include <string>
#include <thread>
#include <vector>

namespace mulberryvalve {

// BoundedEventLog forwards events, stamped with the time of the Write call, to
// another log in batches on its own thread. Events that exceed the bounded
// queue because that log is slow are dropped, and a separate event reports
// their number. Thread-safe; Write does not block.
class BoundedEventLog : public EventLog
{
public:
  // aLog and aClock must outlive this object.
  BoundedEventLog(EventBatchLog& aLog, const Clock& aClock);

  // The destructor writes all queued events.
  ~BoundedEventLog() override;
  BoundedEventLog(const BoundedEventLog&) = delete;
  BoundedEventLog& operator=(const BoundedEventLog&) = delete;

  void Write(EventLevel aLevel,
             std::string_view aName,
             const std::vector<EventField>& aFields) override;

private:
  void Run();
  void AddDropped(std::vector<LoggedEvent>& aEvents, uint64_t aDropped) const;

  EventBatchLog& mLog;
  const Clock& mClock;
  Mutex mMutex;
  CondVar mCond;
  std::vector<LoggedEvent> mQueue MV_GUARDED_BY(mMutex);
  uint64_t mDropped MV_GUARDED_BY(mMutex) = 0;
  bool mStopping MV_GUARDED_BY(mMutex) = false;
  std::thread mThread;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_LOG_BOUNDED_EVENT_LOG_H_
