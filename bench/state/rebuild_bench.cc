// Measures the rebuild of a shard from a snapshot and the records after it, and
// the bytes a second that an instance sends as digests.
#include "mulberryvalve/adapters/json/record_codec.h"
#include "mulberryvalve/adapters/ws_peer/peer_status_codec.h"
#include "mulberryvalve/core/ledger/shard_state_machine.h"
#include "mulberryvalve/core/snapshot/snapshot_plan.h"
#include "mulberryvalve/core/snapshot/snapshot_search.h"

#include <chrono>
#include <cstdio>
#include <malloc.h>
#include <string>
#include <vector>

namespace mulberryvalve {
namespace {

constexpr uint64_t kTail = 1000;
constexpr double kDigestsPerSecond = 2.0;

double MillisecondsSince(std::chrono::steady_clock::time_point aBegin)
{
  return std::chrono::duration<double, std::milli>(
           std::chrono::steady_clock::now() - aBegin)
    .count();
}

size_t HeapBytes()
{
  return mallinfo2().uordblks;
}

StoredRecord MakeStoredRecord(uint64_t aOffset, Epoch aEpoch, Record aBody)
{
  const WriterId writer{ InstanceId("i"), Incarnation(1) };
  return StoredRecord{ Offset(aOffset),
                       LogRecord{ RecordHeader{ writer, aOffset, aEpoch, {} },
                                  std::move(aBody) } };
}

JobSubmitted SingleTaskJob(uint64_t aIndex)
{
  JobSpec spec;
  spec.mId = JobId("a.0.nightly-pick-list-" + std::to_string(aIndex));
  spec.mDemand.mResources.mCpuMillis = 1000;
  spec.mDemand.mPayload = R"({"run_ms":1000})";
  return JobSubmitted{ spec };
}

// Returns a ledger with aTasks started tasks.
ShardStateMachine LedgerWithRunningTasks(uint64_t aTasks)
{
  ShardStateMachine ledger(ShardId("a.0"));
  uint64_t offset = 0;
  ledger.Apply(MakeStoredRecord(++offset, Epoch(), ShardClaimed{}));
  for (uint64_t i = 0; i < aTasks; i++) {
    JobSubmitted job = SingleTaskJob(i);
    const TaskId task = MakeTaskId(job.mJob.mId, 0);
    const WorkerId worker("a-w-" + std::to_string(i % 2100));
    ledger.Apply(MakeStoredRecord(++offset, Epoch(), std::move(job)));
    ledger.Apply(MakeStoredRecord(
      ++offset, Epoch(1), TaskAssigned{ task, Attempt(1), worker }));
    ledger.Apply(
      MakeStoredRecord(++offset, Epoch(1), TaskStarted{ task, Attempt(1) }));
  }
  return ledger;
}

void MeasureRebuild(uint64_t aTasks)
{
  std::vector<std::string> texts;
  uint64_t covers = 0;
  size_t bytes = 0;
  auto begin = std::chrono::steady_clock::now();
  double captureMs = 0;
  {
    const ShardStateMachine ledger = LedgerWithRunningTasks(aTasks);
    begin = std::chrono::steady_clock::now();
    Snapshot snapshot = ledger.Capture();
    captureMs = MillisecondsSince(begin);
    covers = snapshot.mCoveredOffset.Value();
    uint64_t offset = covers;
    for (Record& record :
         SplitSnapshot(std::move(snapshot), SnapshotOptions())) {
      texts.push_back(EncodeRecord(
        MakeStoredRecord(++offset, Epoch(1), std::move(record)).mRecord));
      bytes += texts.back().size();
    }
    for (uint64_t i = 0; i < kTail; i++) {
      texts.push_back(EncodeRecord(
        MakeStoredRecord(++offset, Epoch(), SingleTaskJob(aTasks + i))
          .mRecord));
    }
  }
  malloc_trim(0);
  const size_t heap = HeapBytes();
  begin = std::chrono::steady_clock::now();
  ShardStateMachine rebuilt(ShardId("a.0"));
  {
    SnapshotSearch search(Offset(covers + 1));
    for (const std::string& text : texts) {
      search.OnRecord(
        StoredRecord{ search.Next(), DecodeRecord(text).value() });
    }
    rebuilt.Restore(*search.Found());
    for (const StoredRecord& stored : search.Tail()) {
      rebuilt.Apply(stored);
    }
  }
  const double rebuildMs = MillisecondsSince(begin);
  const uint64_t tasks = aTasks + kTail;
  std::printf("rebuild tasks=%llu capture_ms=%.1f rebuild_ms=%.1f "
              "us_a_task=%.2f snapshot_bytes_a_task=%.0f "
              "memory_bytes_a_task=%.0f jobs=%zu\n",
              static_cast<unsigned long long>(tasks),
              captureMs,
              rebuildMs,
              1000.0 * rebuildMs / static_cast<double>(tasks),
              static_cast<double>(bytes) / static_cast<double>(aTasks),
              static_cast<double>(HeapBytes() - heap) /
                static_cast<double>(tasks),
              rebuilt.Jobs().size());
}

PeerStatus DigestOf(int aDomains, int aLoads)
{
  PeerStatus digest;
  digest.mSender = { InstanceId("highland-3"), Incarnation(1796384075598179) };
  digest.mDomain = DomainId("highland");
  digest.mCallerEndpoint = Endpoint{ "10.20.30.40", 8080 };
  digest.mSequence = 123456;
  digest.mBundle = {
    BundleVersion(812), Offset(99123), "2c0caf378b84d8ff21035f31dacbb25a", ""
  };
  for (int i = 0; i < aDomains; i++) {
    digest.mDomains.push_back(
      { DomainId("domain-" + std::to_string(i)), DomainState::kIn, Offset(9) });
  }
  digest.mOwned.push_back(ShardId("highland.0"));
  for (int i = 0; i < aLoads; i++) {
    digest.mLoad.push_back({ WorkerId("highland-w-" + std::to_string(i)), 8 });
  }
  return digest;
}

void MeasureDigests(int aInstances, int aDomains, int aLoads)
{
  const size_t bytes =
    EncodePeerStatus(DigestOf(aDomains, aLoads)).value().size();
  const double sent = static_cast<double>(bytes) * kDigestsPerSecond *
                      static_cast<double>(aInstances - 1);
  std::printf("digest instances=%d domains=%d loaded_workers=%d bytes=%zu "
              "sent_bytes_a_second=%.0f\n",
              aInstances,
              aDomains,
              aLoads,
              bytes,
              sent);
}

} // namespace
} // namespace mulberryvalve

int main()
{
  for (const uint64_t tasks : { 1'000, 10'000, 100'000 }) {
    mulberryvalve::MeasureRebuild(tasks);
  }
  for (const int instances : { 9, 27, 81 }) {
    mulberryvalve::MeasureDigests(instances, 11, 0);
    mulberryvalve::MeasureDigests(instances, 11, 50);
  }
  return 0;
}
