#include "bench/requests/request_sim.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

namespace mulberryvalve::bench {
namespace {

constexpr size_t kInstances = 3;
constexpr size_t kWorkers = 8;
constexpr size_t kSlowWorker = 0;
constexpr size_t kFailingWorker = 1;
constexpr uint32_t kSlots = 8;
constexpr double kMeanServiceUs = 20'000;
constexpr double kSlowFactor = 4;
constexpr double kNoisyFactor = 2.5;
constexpr Microseconds kFailureTime{ 1000 };
constexpr Milliseconds kHop{ 1 };
constexpr Milliseconds kDeadline{ 200 };
constexpr Milliseconds kRun{ 60'000 };
constexpr Milliseconds kWarmUp{ 5000 };
constexpr Milliseconds kWavePeriod{ 6000 };
constexpr Milliseconds kWaveLength{ 2000 };
constexpr Milliseconds kRecheck{ 5 };
constexpr int64_t kQueueLimit = 256;
constexpr int64_t kRetryPercent = 10;
constexpr uint32_t kMaxAttempts = 3;
constexpr int kStatusOk = 200;
constexpr int kStatusError = 500;
constexpr double kFraction = 1.0 / 9007199254740992.0;

WorkerSpec MakeWorker(size_t aIndex)
{
  WorkerSpec worker;
  worker.mId = WorkerId("w-" + std::to_string(aIndex));
  worker.mSlots = kSlots;
  return worker;
}

struct SimRequest
{
  std::unique_ptr<RequestFlow> mFlow;
  MonotonicTime mArrived;
  MonotonicTime mDeadline;
  bool mQueued = false;
  bool mCounted = true;
};

struct SimWorker
{
  uint32_t mRunning = 0;
};

struct SimInstance
{
  std::unique_ptr<UpstreamPolicy> mPolicy;
  std::unique_ptr<UpstreamTable> mTable;
  std::vector<WorkerLoad> mDigestLoads;
  PeerSlotUsage mPeers;
  AdmissionQueue mQueue;
  RetryBudget mBudget;
  bool mTickScheduled = false;
};

class Simulation
{
public:
  explicit Simulation(const SimSettings& aSettings)
    : mSettings(aSettings)
    , mArrivals(aSettings.mSeed)
    , mChoices(aSettings.mSeed + 1)
    , mInstances(kInstances)
    , mWorkers(kWorkers)
  {
    for (size_t i = 0; i < kWorkers; i++) {
      mSpecs.push_back(MakeWorker(i));
    }
    for (size_t i = 0; i < kInstances; i++) {
      SimInstance& instance = mInstances[i];
      mMembers.push_back(
        LiveInstance{ InstanceId("e-" + std::to_string(i)), true });
      instance.mPolicy = mSettings.mPolicy();
      instance.mTable = std::make_unique<UpstreamTable>(
        *instance.mPolicy, mChoices, mSettings.mProtectionEnabled);
    }
  }

  SimResult Run()
  {
    for (size_t i = 0; i < kInstances; i++) {
      Digest(i);
    }
    ScheduleAt(mNow + NextInterarrivalTime(), [this] { Arrive(); });
    while (!mEvents.empty()) {
      const Event event = mEvents.top();
      mEvents.pop();
      mNow = event.mAt;
      if (event.mAt > MonotonicTime(kRun + kDeadline * 2)) {
        break;
      }
      event.mAction();
    }
    return Summary();
  }

private:
  struct Event
  {
    MonotonicTime mAt;
    uint64_t mOrder;
    std::function<void()> mAction;
    friend bool operator<(const Event& aLeft, const Event& aRight)
    {
      return std::pair(aLeft.mAt, aLeft.mOrder) >
             std::pair(aRight.mAt, aRight.mOrder);
    }
  };

  void ScheduleAt(MonotonicTime aAt, std::function<void()> aAction)
  {
    mEvents.push(Event{ aAt, mNextOrder++, std::move(aAction) });
  }

  Microseconds Exponential(double aMeanUs)
  {
    const double uniform =
      (static_cast<double>(mArrivals.Below(1ULL << 53)) + 1) * kFraction;
    return Microseconds(
      static_cast<int64_t>(std::max(1.0, -std::log(uniform) * aMeanUs)));
  }

  // The load is relative to the capacity of the healthy workers. The slow
  // worker is weighted by its speed and the fast-failing one is excluded;
  // slowdowns by batch waves are not taken into account.
  Microseconds NextInterarrivalTime()
  {
    const double workers = kWorkers - 2 + 1 / kSlowFactor;
    const double perUs = workers * kSlots / kMeanServiceUs;
    return Exponential(100.0 / (perUs * mSettings.mLoadPercent));
  }

  bool InBatchWave() const
  {
    return mNow.time_since_epoch() % kWavePeriod < kWaveLength;
  }

  void Arrive()
  {
    const uint64_t id = mNextRequest++;
    const Microseconds work = Exponential(kMeanServiceUs);
    const size_t instance = mArrivals.Below(kInstances);
    SimRequest& request = mRequests[id];
    request.mArrived = mNow;
    request.mDeadline = mNow + kDeadline;
    request.mCounted = mNow >= MonotonicTime(kWarmUp);
    mWork[id] = work;
    request.mFlow =
      std::make_unique<RequestFlow>(FlowRequest{ RequestKind::kIdempotent,
                                                 IdempotencyKey(),
                                                 AttemptId(),
                                                 false,
                                                 kMaxAttempts });
    mInstances[instance].mBudget.RecordFirstAttempt(mNow);
    Advance(instance, id);
    const MonotonicTime next = mNow + NextInterarrivalTime();
    if (next < MonotonicTime(kRun)) {
      ScheduleAt(next, [this] { Arrive(); });
    }
  }

  void Advance(size_t aInstance, uint64_t aId)
  {
    SimRequest& request = mRequests.at(aId);
    SimInstance& instance = mInstances[aInstance];
    if (request.mFlow->Step() == FlowStep::kCheckRetryBudget) {
      const bool allowed =
        mNow < request.mDeadline &&
        (!mSettings.mProtectionEnabled ||
         instance.mBudget.TryAcquireRetry(kRetryPercent, mNow));
      mResult.mRetries += allowed && request.mCounted ? 1 : 0;
      request.mFlow->OnCheckRetryBudget(allowed);
      if (allowed) {
        const MonotonicTime at = EarliestRetryTime(1, mNow, mChoices);
        ScheduleAt(at, [this, aInstance, aId] { Acquire(aInstance, aId); });
        return;
      }
    }
    if (request.mFlow->Step() == FlowStep::kDone) {
      Finish(aId);
      return;
    }
    Acquire(aInstance, aId);
  }

  void Acquire(size_t aInstance, uint64_t aId)
  {
    SimInstance& instance = mInstances[aInstance];
    SimRequest& request = mRequests.at(aId);
    if (instance.mQueue.Waiting() == 0 && TrySend(aInstance, aId)) {
      return;
    }
    const int64_t limit = mSettings.mProtectionEnabled ? kQueueLimit : 0;
    if (instance.mQueue.TryEnqueue(aId, request.mDeadline, limit, mNow) !=
        AdmissionResult::kQueued) {
      request.mFlow->OnNoUpstream(RequestReason::kOverloaded);
      Finish(aId);
      return;
    }
    request.mQueued = true;
    Tick(aInstance);
  }

  const PeerSlotUsage& PeersOf(size_t aInstance)
  {
    if (mSettings.mSharedCounter) {
      UpdatePeers(aInstance);
    }
    return mInstances[aInstance].mPeers;
  }

  bool TrySend(size_t aInstance, uint64_t aId)
  {
    SimRequest& request = mRequests.at(aId);
    UpstreamTable& table = *mInstances[aInstance].mTable;
    const PeerSlotUsage& peers = PeersOf(aInstance);
    const auto worker =
      table.Reserve(mSpecs, request.mFlow->TriedWorkers(), peers, mNow);
    if (!worker) {
      return false;
    }
    request.mFlow->OnAcquireUpstream(worker->mId, AttemptId("a"));
    const auto index =
      static_cast<size_t>(std::stoul(worker->mId.Text().substr(2)));
    const MonotonicTime sent = mNow;
    ScheduleAt(mNow + kHop, [this, aInstance, aId, index, sent] {
      ReachWorker(aInstance, aId, index, sent);
    });
    return true;
  }

  void ReachWorker(size_t aInstance,
                   uint64_t aId,
                   size_t aWorker,
                   MonotonicTime aSent)
  {
    SimWorker& worker = mWorkers[aWorker];
    if (worker.mRunning >= kSlots) {
      mResult.mRefusals++;
      ScheduleAt(mNow + kHop, [this, aInstance, aId, aWorker, aSent] {
        Reply(aInstance,
              aId,
              aWorker,
              aSent,
              UpstreamReply{ SendResult::kRefused, 429, "", false });
      });
      return;
    }
    worker.mRunning++;
    mResult.mMaxRunning =
      std::max<uint64_t>(mResult.mMaxRunning, worker.mRunning);
    const bool fails = aWorker == kFailingWorker;
    const MonotonicTime end =
      mNow + (fails ? kFailureTime : ServiceTime(aId, aWorker));
    const int status = fails ? kStatusError : kStatusOk;
    ScheduleAt(end, [this, aWorker] { mWorkers[aWorker].mRunning--; });
    ScheduleAt(end + kHop, [this, aInstance, aId, aWorker, aSent, status] {
      Reply(aInstance,
            aId,
            aWorker,
            aSent,
            UpstreamReply{ SendResult::kAnswered, status, "", false });
    });
  }

  Microseconds ServiceTime(uint64_t aId, size_t aWorker) const
  {
    const double slow = aWorker == kSlowWorker ? kSlowFactor : 1;
    const double noisy = InBatchWave() && aWorker % 2 == 1 ? kNoisyFactor : 1;
    const auto work = static_cast<double>(mWork.at(aId).count());
    return Microseconds(static_cast<int64_t>(work * slow * noisy));
  }

  // An answer past the deadline counts as lost, as the connection times out.
  void Reply(size_t aInstance,
             uint64_t aId,
             size_t aWorker,
             MonotonicTime aSent,
             UpstreamReply aReply)
  {
    const auto found = mRequests.find(aId);
    AttemptEnd end{
      mSpecs[aWorker].mId, AttemptResult::kSuccess, false, mNow - aSent
    };
    if (aReply.mResult == SendResult::kRefused) {
      end.mResult = AttemptResult::kRefused;
    } else if (aReply.mStatus >= kStatusError) {
      end.mResult = AttemptResult::kError;
    }
    mInstances[aInstance].mTable->Release(end, mNow);
    if (end.mResult == AttemptResult::kSuccess) {
      mInstances[aInstance].mQueue.RecordServiceTime(end.mElapsed);
    }
    found->second.mFlow->OnSend(std::move(aReply));
    Advance(aInstance, aId);
    Grant(aInstance);
  }

  void Grant(size_t aInstance)
  {
    SimInstance& instance = mInstances[aInstance];
    while (const auto first = instance.mQueue.First()) {
      SimRequest& request = mRequests.at(*first);
      const bool late =
        !instance.mQueue.CanMeetDeadline(request.mDeadline, mNow);
      if (!late && !TrySend(aInstance, *first)) {
        CountIdle();
        return;
      }
      instance.mQueue.Remove(*first, request.mDeadline, !late, mNow);
      if (late) {
        request.mFlow->OnNoUpstream(RequestReason::kOverloaded);
        Finish(*first);
      }
    }
  }

  void Tick(size_t aInstance)
  {
    if (mInstances[aInstance].mTickScheduled) {
      return;
    }
    mInstances[aInstance].mTickScheduled = true;
    ScheduleAt(mNow + kRecheck, [this, aInstance] {
      mInstances[aInstance].mTickScheduled = false;
      Grant(aInstance);
      if (mInstances[aInstance].mQueue.Waiting() > 0) {
        Tick(aInstance);
      }
    });
  }

  // Samples the share of healthy slots that are idle while requests are queued.
  void CountIdle()
  {
    uint32_t idle = 0;
    for (size_t i = 0; i < kWorkers; i++) {
      idle += i == kFailingWorker ? 0 : kSlots - mWorkers[i].mRunning;
    }
    mIdleSum += idle;
    mIdleSamples++;
  }

  void Digest(size_t aInstance)
  {
    mInstances[aInstance].mDigestLoads = mInstances[aInstance].mTable->Loads();
    ScheduleAt(mNow + kHop, [this] {
      for (size_t i = 0; i < kInstances; i++) {
        UpdatePeers(i);
      }
    });
    ScheduleAt(mNow + mSettings.mDigestInterval,
               [this, aInstance] { Digest(aInstance); });
  }

  void UpdatePeers(size_t aInstance)
  {
    std::map<WorkerId, uint32_t> peers;
    for (size_t i = 0; i < kInstances; i++) {
      if (i == aInstance) {
        continue;
      }
      const auto loads = mSettings.mSharedCounter
                           ? mInstances[i].mTable->Loads()
                           : mInstances[i].mDigestLoads;
      for (const WorkerLoad& load : loads) {
        peers[load.mWorker] += load.mInFlight;
      }
    }
    for (const WorkerSpec& worker : mSpecs) {
      const uint32_t used = peers[worker.mId];
      uint32_t limit = kSlots;
      if (mSettings.mSharedCounter) {
        limit = kSlots - std::min(kSlots, used);
      } else if (mSettings.mProtectionEnabled) {
        limit = SlotLimit(WorkerSlots{ worker.mId, kSlots, used },
                          mMembers,
                          mMembers[aInstance].mId);
      }
      mInstances[aInstance].mPeers[worker.mId] = WorkerSlotUsage{ used, limit };
    }
  }

  void Finish(uint64_t aId)
  {
    const SimRequest& request = mRequests.at(aId);
    if (request.mCounted) {
      Count(request);
    }
    mRequests.erase(aId);
    mWork.erase(aId);
  }

  void Count(const SimRequest& aRequest)
  {
    mResult.mRequests++;
    const RequestOutcome& outcome = aRequest.mFlow->Outcome();
    if (outcome.mStatus != RequestStatus::kAnswered) {
      mResult.mNotRun++;
    } else if (outcome.mUpstreamStatus >= kStatusError) {
      mResult.mErrors++;
    } else if (mNow > aRequest.mDeadline) {
      mResult.mLate++;
    } else {
      mResult.mOnTime++;
    }
    if (outcome.mStatus == RequestStatus::kAnswered) {
      mLatencies.push_back(mNow - aRequest.mArrived);
    }
  }

  Microseconds Quantile(double aPart)
  {
    if (mLatencies.empty()) {
      return Microseconds(0);
    }
    const auto last = static_cast<double>(mLatencies.size() - 1);
    return mLatencies[static_cast<size_t>(last * aPart)];
  }

  SimResult Summary()
  {
    std::sort(mLatencies.begin(), mLatencies.end());
    mResult.mP50 = Quantile(0.5);
    mResult.mP99 = Quantile(0.99);
    mResult.mOverruns = mResult.mMaxRunning > kSlots ? 1 : 0;
    mResult.mIdleWhileQueued =
      mIdleSamples == 0 ? 0 : mIdleSum / static_cast<double>(mIdleSamples);
    return mResult;
  }

  const SimSettings& mSettings;
  RandomFake mArrivals;
  RandomFake mChoices;
  MonotonicTime mNow{ Milliseconds(0) };
  std::priority_queue<Event> mEvents;
  uint64_t mNextOrder = 0;
  uint64_t mNextRequest = 1;
  std::vector<WorkerSpec> mSpecs;
  std::vector<LiveInstance> mMembers;
  std::vector<SimInstance> mInstances;
  std::vector<SimWorker> mWorkers;
  std::map<uint64_t, SimRequest> mRequests;
  std::map<uint64_t, Microseconds> mWork;
  std::vector<Microseconds> mLatencies;
  double mIdleSum = 0;
  uint64_t mIdleSamples = 0;
  SimResult mResult;
};

} // namespace

SimResult Simulate(const SimSettings& aSettings)
{
  return Simulation(aSettings).Run();
}

} // namespace mulberryvalve::bench
