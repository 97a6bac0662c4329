#include "tests/schedules/fake_instance.h"
#include "tests/schedules/schedule.h"

namespace schedules {

using namespace mulberryvalve;

namespace {

constexpr int64_t kSecond = 1000 * kMs;

// Submits jobs at a fixed rate to one instance, without faults.
class AppendLoadRun
{
public:
  AppendLoadRun()
    : mWorld(1, DisabledMechanism::kNone)
    , mFleet{ ShardMap({ DomainId("a") }, 1), {}, {}, {} }
  {
    mWorld.mFaultsEnabled = false;
    // Nested calls would run one after another on the simulated clock; a depth
    // above the nesting limit makes them take no time.
    mWorld.mNestingDepth = kDepthWithoutCallLatency;
    mWorld.mPageRecords = kLoadPageRecords;
    auto list = std::make_shared<std::vector<WorkerSpec>>();
    for (int i = 0; i < kLoadWorkers; i++) {
      WorkerSpec spec;
      spec.mId = WorkerId("w" + std::to_string(i));
      spec.mDomain = DomainId("a");
      spec.mCapacity = Resources{ kLoadWorkerCpu, kLoadWorkerCpu, 0 };
      list->push_back(spec);
      mFleet.mWorkers[spec.mId] =
        std::make_unique<FakeWorker>(mWorld, mHistory, spec);
    }
    mFleet.mWorkerLists[DomainId("a")] = std::move(list);
    mFleet.mInstances.push_back(std::make_unique<FakeInstance>(
      mWorld,
      mFleet,
      WriterId{ InstanceId("a0"), Incarnation(1) },
      DomainId("a")));
  }

  AppendLoad Run(int64_t aStartsPerSecond)
  {
    FakeInstance& life = *mFleet.mInstances.back();
    life.Begin();
    mWorld.RunUntil(4 * kSecond);
    const uint64_t appends = mWorld.mAppends;
    const size_t records = mWorld.mStreams["shard/a.0"].mRecords.size();
    for (int step = 0; step < kLoadSeconds * kLoadSteps; step++) {
      JobSpec job;
      job.mId = JobId("a.0.j" + std::to_string(step));
      job.mParts = static_cast<uint32_t>(aStartsPerSecond / kLoadSteps);
      job.mDemand.mResources = Resources{ 1, 1, 0 };
      life.mWriters.at(ShardId("a.0"))
        ->Submit(
          { JobSubmitted{ job } }, Epoch(), [](const Result<Offset>&) {});
      mWorld.RunUntil(mWorld.mNow + kSecond / kLoadSteps);
    }
    AppendLoad load;
    const auto made = static_cast<int64_t>(mWorld.mAppends - appends);
    const size_t now = mWorld.mStreams["shard/a.0"].mRecords.size();
    load.mStarts = static_cast<int64_t>(mHistory.mRuns.size());
    load.mAppendsPerSecond = made / kLoadSeconds;
    load.mRecordsPerAppend = static_cast<int64_t>(now - records) / made;
    return load;
  }

private:
  static constexpr int kDepthWithoutCallLatency = 100;
  static constexpr size_t kLoadPageRecords = 2000;
  static constexpr int kLoadWorkers = 40;
  static constexpr int64_t kLoadWorkerCpu = 1000;
  static constexpr int kLoadSeconds = 10;
  static constexpr int kLoadSteps = 10;

  World mWorld;
  Fleet mFleet;
  History mHistory;
};

} // namespace

AppendLoad MeasureAppends(int64_t aStartsPerSecond)
{
  return AppendLoadRun().Run(aStartsPerSecond);
}

} // namespace schedules
