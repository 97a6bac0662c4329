#include "mulberryvalve/app/jobs/shard_count_resolver.h"

#include <charconv>
#include <string>
#include <utility>

namespace mulberryvalve {
namespace {

constexpr TopicPartition kPlace{ KeyedTopic::kShardCount, 0 };
constexpr const char* kKey = "shards";
// All instances append under the same epoch and sequence number, so the first
// append takes effect and the log takes the others for its repetitions.
constexpr Epoch kOnlyEpoch{ 1 };
constexpr uint64_t kOnlySequence = 1;

std::optional<uint32_t> Parse(const std::string& aText)
{
  uint32_t count = 0;
  const char* end = aText.data() + aText.size();
  const auto read = std::from_chars(aText.data(), end, count);
  const bool valid = read.ec == std::errc() && read.ptr == end && count >= 1 &&
                     count <= kMaxShardCount;
  return valid ? std::make_optional(count) : std::nullopt;
}

} // namespace

ShardCountResolver::ShardCountResolver(MilliCores aProcessor,
                                       ShardCountPorts aPorts)
  : mProcessor(aProcessor)
  , mPorts(aPorts)
  , mBegunAt(aPorts.mClock.Now())
{
}

std::optional<uint32_t> ShardCountResolver::Attempt()
{
  if (const std::optional<uint32_t> count = ReadRecorded()) {
    return count;
  }
  const MonotonicTime now = mPorts.mClock.Now();
  if (!MayRecord(now) || !IsWorkerCountSettled(now)) {
    return std::nullopt;
  }
  Record();
  return ReadRecorded();
}

std::optional<uint32_t> ShardCountResolver::ReadRecorded()
{
  mIsUnrecorded = false;
  const Result<KeyedPage> page = mPorts.mLog.ReadLatest(kPlace);
  if (!page) {
    return std::nullopt;
  }
  for (const KeyedEntry& entry : page.value().mEntries) {
    if (entry.mKey != kKey || !entry.mValue) {
      continue;
    }
    const std::optional<uint32_t> count = Parse(*entry.mValue);
    if (!count) {
      mPorts.mEvents.Write(
        EventLevel::kError, "shard_count_refused", { { "key", kKey } });
    }
    return count;
  }
  mIsUnrecorded = true;
  return std::nullopt;
}

// Instances that may not own shards are many, and leave it to the others.
bool ShardCountResolver::MayRecord(MonotonicTime aNow) const
{
  return mIsUnrecorded && aNow >= mBegunAt + kMinObservation &&
         mPorts.mLayout.Current().MayOwnShards(mProcessor);
}

bool ShardCountResolver::IsWorkerCountSettled(MonotonicTime aNow)
{
  const Result<std::vector<WorkerInfo>> workers = mPorts.mWorkers.Next();
  if (!workers) {
    return false;
  }
  if (workers.value().size() > mWorkerCount) {
    mWorkerCount = workers.value().size();
    mWorkerCountSince = aNow;
  }
  const bool isQuiet =
    mWorkerCount > 0 && aNow >= mWorkerCountSince + kQuietTime;
  return isQuiet || aNow >= mBegunAt + kMaxObservation;
}

void ShardCountResolver::Record()
{
  const MilliCores largest = mPorts.mLayout.Current().mLargestCpu;
  const uint32_t count = ShardCountFor(mWorkerCount, largest);
  const Result<void> done =
    mPorts.mLog.AppendFenced(AppendFence{ kPlace, kOnlyEpoch, kOnlySequence },
                             { KeyedEntry{ kKey, std::to_string(count) } });
  mPorts.mEvents.Write(done ? EventLevel::kInfo : EventLevel::kWarn,
                       "shard_count_proposed",
                       { { "shards", std::to_string(count) },
                         { "workers", std::to_string(mWorkerCount) },
                         { "largest_cpu", std::to_string(largest) },
                         { "accepted", done ? "yes" : "no" } });
}

} // namespace mulberryvalve
