#include "mulberryvalve/core/bundle/bundle.h"
#include "mulberryvalve/core/shards/shard_map.h"
#include "tests/schedules/schedule.h"

namespace schedules {

using namespace mulberryvalve;

namespace {

class Collector
{
public:
  Collector(World& aWorld, History& aHistory)
    : mWorld(aWorld)
    , mHistory(aHistory)
  {
  }

  // Records when the ends of runs became durable. An end counts only if the
  // owner wrote it under the epoch in force.
  void CollectEndRecords()
  {
    for (const auto& [name, stream] : mWorld.mStreams) {
      WriterId owner;
      uint64_t epoch = 0;
      std::map<WriterId, uint64_t> seen;
      for (size_t i = 0; i < stream.mRecords.size(); i++) {
        const RecordHeader& header = stream.mRecords[i].mRecord.mHeader;
        const mulberryvalve::Record& body = stream.mRecords[i].mRecord.mBody;
        if (header.mSequence <= seen[header.mWriter]) {
          continue;
        }
        seen[header.mWriter] = header.mSequence;
        const auto* end = std::get_if<TaskFinished>(&body);
        if (std::holds_alternative<ShardClaimed>(body)) {
          owner = header.mWriter;
          epoch = i + 1;
        } else if (std::holds_alternative<ShardReleased>(body) &&
                   header.mEpoch.Value() == epoch) {
          epoch = 0;
        } else if (end != nullptr && epoch != 0 && header.mWriter == owner &&
                   header.mEpoch.Value() == epoch) {
          SetEndDurable(*end, stream.mDurableAt[i]);
        }
      }
    }
  }

  void SetEndDurable(const TaskFinished& aEnd, int64_t aDurable)
  {
    for (schedules::Run& run : mHistory.mRuns) {
      if (run.mTask == aEnd.mTask.Text() &&
          run.mAttempt == aEnd.mAttempt.Value()) {
        run.mEndDurableAt = std::min(run.mEndDurableAt, aDurable);
      }
    }
  }

  // Copies configuration records from the log. A record that was appended more
  // than once, by writer and sequence number, counts once.
  void CollectConfigRecords()
  {
    std::map<WriterId, uint64_t> seen;
    const World::Stream& config = mWorld.mStreams[ConfigStream().Text()];
    for (size_t i = 0; i < config.mRecords.size(); i++) {
      const RecordHeader& header = config.mRecords[i].mRecord.mHeader;
      if (header.mSequence <= seen[header.mWriter]) {
        continue;
      }
      seen[header.mWriter] = header.mSequence;
      const uint64_t offset = i + 1;
      const mulberryvalve::Record& body = config.mRecords[i].mRecord.mBody;
      if (const auto* change = std::get_if<DomainChanged>(&body)) {
        mHistory.mDomainRecords.push_back(
          DomainRecord{ change->mDomain.Text(),
                        change->mState == DomainState::kOut,
                        offset,
                        change->mExpected.Value(),
                        config.mDurableAt[i],
                        change->mReason });
      } else if (const auto* published = std::get_if<BundlePublished>(&body)) {
        mHistory.mBundleRecords.push_back(
          BundleRecord{ false,
                        published->mVersion.Value(),
                        published->mExpected.Value(),
                        offset });
        mDigests[published->mVersion.Value()].emplace_back(
          BundleDigest(published->mDocument));
      } else if (const auto* signedOff = std::get_if<BundleSignedOff>(&body)) {
        const auto& digests = mDigests[signedOff->mVersion.Value()];
        if (!digests.empty() && digests.front() == signedOff->mDigest) {
          mHistory.mBundleRecords.push_back(
            BundleRecord{ true, signedOff->mVersion.Value(), 0, offset });
        }
      }
    }
  }

private:
  World& mWorld;
  History& mHistory;
  std::map<uint64_t, std::vector<std::string>> mDigests;
};

} // namespace

void CollectEnds(World& aWorld, History& aHistory)
{
  Collector(aWorld, aHistory).CollectEndRecords();
}

void CollectConfig(World& aWorld, History& aHistory)
{
  Collector(aWorld, aHistory).CollectConfigRecords();
}

} // namespace schedules
