// Ports of a ShardRuntime whose tests control its clock, and wait for its
// events and gauges.
#ifndef MULBERRYVALVE_APP_JOBS_SHARD_RUNTIME_FAKE_H_
#define MULBERRYVALVE_APP_JOBS_SHARD_RUNTIME_FAKE_H_

#include "mulberryvalve/adapters/json/job_log_json.h"
#include "mulberryvalve/app/jobs/jobs_fake.h"

#include <atomic>
#include <map>
#include <string>

namespace mulberryvalve {

// The longest that a test waits for an event.
inline constexpr Milliseconds kTestTimeout{ 20000 };

// A clock that can be put forward, as if the process had been paused.
// Thread-safe.
class PausableClock : public RealClock
{
public:
  MonotonicTime Now() const override
  {
    const MonotonicTime::rep stoppedAt = mStoppedAt;
    return stoppedAt != 0 ? MonotonicTime(MonotonicTime::duration(stoppedAt))
                          : RealClock::Now() + Milliseconds(mPausedMs);
  }
  void Pause(Milliseconds aLength) { mPausedMs += aLength.count(); }
  // From now on the time does not change.
  void Stop() { mStoppedAt = Now().time_since_epoch().count(); }

private:
  std::atomic<MonotonicTime::rep> mStoppedAt{ 0 };
  std::atomic<int64_t> mPausedMs{ 0 };
};

// Counts the intake records that are decoded.
class CountingCodec : public JobLogJson
{
public:
  Result<IntakeItem> DecodeIntake(const KeyedEntry& aEntry) const override
  {
    mDecoded++;
    return JobLogJson::DecodeIntake(aEntry);
  }

  size_t Decoded() const { return mDecoded; }

private:
  mutable std::atomic<size_t> mDecoded{ 0 };
};

// Keeps the last value of each gauge. Thread-safe.
class GaugeRecorder : public NoMetrics
{
public:
  void Set(Gauge aGauge, int64_t aValue) override
  {
    MutexLock lock(mMutex);
    mValues[aGauge] = aValue;
  }

  int64_t Value(Gauge aGauge)
  {
    MutexLock lock(mMutex);
    return mValues[aGauge];
  }

private:
  Mutex mMutex;
  std::map<Gauge, int64_t> mValues MV_GUARDED_BY(mMutex);
};

// Waits for events by name. Thread-safe.
class EventWaiter : public EventLog
{
public:
  void Write(EventLevel,
             std::string_view aName,
             const std::vector<EventField>&) override
  {
    MutexLock lock(mMutex);
    mNames.insert(std::string(aName));
    mCond.NotifyAll();
  }

  void Await(const std::string& aName)
  {
    MutexLock lock(mMutex);
    while (mNames.count(aName) == 0) {
      mCond.Wait(mMutex);
    }
  }

private:
  Mutex mMutex;
  CondVar mCond;
  std::set<std::string> mNames MV_GUARDED_BY(mMutex);
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_JOBS_SHARD_RUNTIME_FAKE_H_
