#include "mulberryvalve/app/log/bounded_event_log.h"

#include <atomic>

#include <CppUTest/TestHarness.h>

namespace mulberryvalve {
namespace {

class FixedClock : public Clock
{
public:
  MonotonicTime Now() const override { return {}; }
  WallTime WallNow() const override { return {}; }
};

} // namespace

TEST_GROUP(BoundedEventLogTest){};

// A blocked sink must not block writers, and dropped events must be reported.
TEST(BoundedEventLogTest, BlockedSinkDoesNotBlockWriters)
{
  class BlockingSink : public EventBatchLog
  {
  public:
    void WriteBatch(const std::vector<LoggedEvent>& aEvents) override
    {
      MutexLock lock(mMutex);
      while (mBlocked) {
        mCond.Wait(mMutex);
      }
      mLines += aEvents.size();
      mReportedDrops = mReportedDrops || aEvents.back().mName == "log_dropped";
    }
    void Unblock()
    {
      MutexLock lock(mMutex);
      mBlocked = false;
      mCond.NotifyAll();
    }
    Mutex mMutex;
    CondVar mCond;
    bool mBlocked = true;
    bool mReportedDrops = false;
    size_t mLines = 0;
  };
  BlockingSink sink;
  const FixedClock clock;
  constexpr size_t kEvents = 50000;
  {
    BoundedEventLog log(sink, clock);
    for (size_t number = 0; number < kEvents; number++) {
      log.Write(EventLevel::kInfo, "event", { { "key", "value" } });
    }
    sink.Unblock();
  }
  CHECK(sink.mReportedDrops);
  CHECK(sink.mLines < kEvents);
}

// Guards against events stamped with the time when their batch is written, up
// to 50 ms after the event.
TEST(BoundedEventLogTest, EventsKeepTheTimeOfTheirWriteCall)
{
  class Ticking : public Clock
  {
  public:
    MonotonicTime Now() const override { return {}; }
    WallTime WallNow() const override { return { mNext++ }; }
    mutable std::atomic<int64_t> mNext{ 1 };
  };
  class RecordingSink : public EventBatchLog
  {
  public:
    void WriteBatch(const std::vector<LoggedEvent>& aEvents) override
    {
      mEvents.insert(mEvents.end(), aEvents.begin(), aEvents.end());
    }
    std::vector<LoggedEvent> mEvents;
  };
  RecordingSink recorded;
  {
    Ticking clock;
    BoundedEventLog log(recorded, clock);
    log.Write(EventLevel::kInfo, "first", { { "key", "value" } });
    log.Write(EventLevel::kWarn, "second", {});
    clock.mNext = 1000;
  }
  LONGS_EQUAL(2, recorded.mEvents.size());
  LONGS_EQUAL(1, recorded.mEvents[0].mAt.mMilliseconds);
  LONGS_EQUAL(2, recorded.mEvents[1].mAt.mMilliseconds);
  STRCMP_EQUAL("value", recorded.mEvents[0].mFields.at(0).mValue.c_str());
}

} // namespace mulberryvalve
