// RequestPathFake: the request path of one instance, with a log and upstreams
// in memory.
#ifndef MULBERRYVALVE_APP_REQUESTS_REQUEST_PATH_FAKE_H_
#define MULBERRYVALVE_APP_REQUESTS_REQUEST_PATH_FAKE_H_

#include "mulberryvalve/app/requests/request_router.h"
#include "mulberryvalve/app/streams/stream_follower.h"
#include "mulberryvalve/core/requests/random_fake.h"

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace mulberryvalve {

// LogFake is an in-memory log with a single stream. Thread-safe.
class LogFake : public LogService
{
public:
  Result<AppendedRange> Append(const StreamName& aStream,
                               const std::vector<LogRecord>& aRecords) override;
  Result<LogPage> Read(const StreamName& aStream,
                       Offset aFrom,
                       uint32_t aLimit,
                       Milliseconds aWait) override;

  // SetOutage sets whether all calls fail.
  void SetOutage(bool aOutage);

private:
  Mutex mMutex;
  CondVar mCondVar;
  bool mOutage MV_GUARDED_BY(mMutex) = false;
  std::vector<StoredRecord> mRecords MV_GUARDED_BY(mMutex);
};

// UpstreamsFake replaces all upstreams. Each attempt takes mServiceTime and
// returns mReply. Thread-safe.
class UpstreamsFake : public UpstreamPort
{
public:
  explicit UpstreamsFake(uint32_t aSlots)
    : mSlots(aSlots)
  {
  }

  UpstreamReply Send(const WorkerSpec& aWorker,
                     const UpstreamCall& aCall) override;

  // SetReply sets the reply and the service time of later attempts.
  void SetReply(UpstreamReply aReply, Milliseconds aServiceTime);

  // RunCount returns how many times a request with aKey was run.
  int RunCount(const std::string& aKey);

  // MaxConcurrentRuns returns the peak number of concurrent runs on one worker.
  uint32_t MaxConcurrentRuns();

private:
  const uint32_t mSlots;
  Mutex mMutex;
  UpstreamReply mReply MV_GUARDED_BY(mMutex){ SendResult::kAnswered,
                                              200,
                                              "done",
                                              false };
  Milliseconds mServiceTime MV_GUARDED_BY(mMutex){ 0 };
  std::map<std::string, int> mRuns MV_GUARDED_BY(mMutex);
  std::map<WorkerId, uint32_t> mRunning MV_GUARDED_BY(mMutex);
  uint32_t mMaxConcurrentRuns MV_GUARDED_BY(mMutex) = 0;
};

// UpstreamSourceFake returns a fixed snapshot.
class UpstreamSourceFake : public UpstreamSource
{
public:
  explicit UpstreamSourceFake(UpstreamSnapshot aSnapshot)
    : mSnapshot(std::make_shared<const UpstreamSnapshot>(std::move(aSnapshot)))
  {
  }

  std::shared_ptr<const UpstreamSnapshot> Now() override { return mSnapshot; }

private:
  const std::shared_ptr<const UpstreamSnapshot> mSnapshot;
};

// ClockFake reads the real monotonic clock, as waits in these tests are real.
class ClockFake : public Clock
{
public:
  MonotonicTime Now() const override;
  WallTime WallNow() const override { return WallTime(); }
};

// MetricsFake discards all metrics.
class MetricsFake : public Metrics
{
public:
  void Add(Counter, uint64_t) override {}
  void Set(Gauge, int64_t) override {}
  void Record(Timing, Microseconds) override {}
};

// MakeUpstreams returns a snapshot with aWorkers upstreams of aSlots slots each
// and a bundle in force.
UpstreamSnapshot MakeUpstreams(int aWorkers, int aSlots);

// RequestPathFake is one instance; its log and workers must outlive it.
class RequestPathFake
{
public:
  RequestPathFake(const std::string& aName,
                  LogFake& aLog,
                  UpstreamsFake& aWorkers,
                  UpstreamSnapshot aView);
  ~RequestPathFake();

  // Call handles one request; an empty key makes it idempotent. Thread-safe.
  RequestOutcome Call(const std::string& aKey,
                      Milliseconds aLimit = Milliseconds(2000),
                      bool aFirstAsk = false);

private:
  ClockFake mClock;
  MetricsFake mMetrics;
  RandomFake mRandom{ 1 };
  const WriterId mSelf;
  StreamReplica<KeyStateMachine> mState;
  StreamFollower mFollower;
  StreamWriter mWriter;
  KeyStore mKeys;
  UpstreamSourceFake mSource;
  RoundRobinPolicy mPolicy;
  UpstreamTable mTable;
  SlotDispatcher mSlots;
  RequestRouter mRouter;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_REQUESTS_REQUEST_PATH_FAKE_H_
