#include "mulberryvalve/app/log/bounded_event_log.h"

#include <chrono>
#include <utility>

namespace mulberryvalve {
namespace {

using Steady = std::chrono::steady_clock;

constexpr size_t kMaxQueued = 4096;
// Events are written in groups, since each wake-up of a thread costs time.
constexpr std::chrono::milliseconds kGroup{ 50 };

} // namespace

BoundedEventLog::BoundedEventLog(EventLog& aLog)
  : mLog(aLog)
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
  Event event{ aLevel, std::string(aName), {} };
  event.mFields.reserve(aFields.size());
  for (const EventField& field : aFields) {
    event.mFields.push_back({ std::string(field.mKey), field.mValue });
  }
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
    std::vector<Event> events;
    uint64_t dropped = 0;
    {
      MutexLock lock(mMutex);
      while (mQueue.empty() && !mStopping) {
        mCond.Wait(mMutex);
      }
      const Steady::time_point until = Steady::now() + kGroup;
      while (!mStopping && Steady::now() < until) {
        mCond.WaitUntil(mMutex, until);
      }
      stopping = mStopping;
      events.swap(mQueue);
      dropped = std::exchange(mDropped, 0);
    }
    for (const Event& event : events) {
      Pass(event);
    }
    if (dropped > 0) {
      mLog.Write(EventLevel::kWarn,
                 "log_dropped",
                 { { "events", std::to_string(dropped) } });
    }
  }
}

void BoundedEventLog::Pass(const Event& aEvent)
{
  std::vector<EventField> fields;
  fields.reserve(aEvent.mFields.size());
  for (const OwnedField& field : aEvent.mFields) {
    fields.push_back({ field.mKey, field.mValue });
  }
  mLog.Write(aEvent.mLevel, aEvent.mName, fields);
}

} // namespace mulberryvalve
