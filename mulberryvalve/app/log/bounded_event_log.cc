#include "mulberryvalve/app/log/bounded_event_log.h"

#include <chrono>
#include <utility>

namespace mulberryvalve {
namespace {

using Steady = std::chrono::steady_clock;

constexpr size_t kMaxQueued = 4096;
// Events are written in batches to limit the number of thread wake-ups.
constexpr std::chrono::milliseconds kBatchInterval{ 50 };

} // namespace

BoundedEventLog::BoundedEventLog(EventBatchLog& aLog, const Clock& aClock)
  : mLog(aLog)
  , mClock(aClock)
{
  mThread = std::thread([this] { Run(); });
}

BoundedEventLog::~BoundedEventLog()
{
  {
    MutexLock lock(mMutex);
    mStopping = true;
    mCond.NotifyAll();
  }
  mThread.join();
}

void BoundedEventLog::Write(EventLevel aLevel,
                            std::string_view aName,
                            const std::vector<EventField>& aFields)
{
  LoggedEvent event{ mClock.WallNow(), aLevel, std::string(aName), aFields };
  MutexLock lock(mMutex);
  if (mQueue.size() >= kMaxQueued) {
    mDropped++;
    return;
  }
  mQueue.push_back(std::move(event));
  if (mQueue.size() == 1) {
    mCond.NotifyOne();
  }
}

void BoundedEventLog::Run()
{
  bool stopping = false;
  while (!stopping) {
    std::vector<LoggedEvent> events;
    uint64_t dropped = 0;
    {
      MutexLock lock(mMutex);
      while (mQueue.empty() && !mStopping) {
        mCond.Wait(mMutex);
      }
      const Steady::time_point until = Steady::now() + kBatchInterval;
      while (!mStopping && Steady::now() < until) {
        mCond.WaitUntil(mMutex, until);
      }
      stopping = mStopping;
      events.swap(mQueue);
      dropped = std::exchange(mDropped, 0);
    }
    AddDropped(events, dropped);
    if (!events.empty()) {
      mLog.WriteBatch(events);
    }
  }
}

void BoundedEventLog::AddDropped(std::vector<LoggedEvent>& aEvents,
                                 uint64_t aDropped) const
{
  if (aDropped == 0) {
    return;
  }
  aEvents.push_back(LoggedEvent{ mClock.WallNow(),
                                 EventLevel::kWarn,
                                 "log_dropped",
                                 { { "events", std::to_string(aDropped) } } });
}

} // namespace mulberryvalve
