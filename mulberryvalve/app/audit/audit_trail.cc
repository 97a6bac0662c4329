#include "mulberryvalve/app/audit/audit_trail.h"

#include "mulberryvalve/core/snapshot/snapshot_tracker.h"

#include <algorithm>
#include <deque>
#include <iterator>
#include <utility>

namespace mulberryvalve {
namespace {

constexpr uint32_t kPageRecords = 500;
// Maximum number of records that one call reads back in a stream.
constexpr uint64_t kWindowRecords = 100'000;

struct Window
{
  Offset mFrom;
  bool mSkipsRecords = false;
};

// Returns the window to read of the stream that aPage belongs to. The window of
// a stream without retained records starts at its next offset.
Window WindowOf(const LogPage& aPage)
{
  const uint64_t next = aPage.mNext.Value();
  const uint64_t oldest = std::max<uint64_t>(aPage.mOldest.Value(), 1);
  const uint64_t begin =
    next > kWindowRecords ? next - kWindowRecords : uint64_t{ 1 };
  return { Offset(std::max(oldest, begin)), std::max(oldest, begin) > 1 };
}

bool IsNewer(const AuditEntry& aLeft, const AuditEntry& aRight)
{
  return aLeft.mAt.mMilliseconds > aRight.mAt.mMilliseconds;
}

} // namespace

AuditTrail::AuditTrail(LogService& aLog, const ShardMap& aShards)
  : mLog(aLog)
  , mShards(aShards)
{
}

Result<AuditPage> AuditTrail::Read(size_t aLimit)
{
  if (mBusy.exchange(true)) {
    return Fail(FailureKind::kOverloaded, "audit", "another audit is read");
  }
  Result<AuditPage> page = ReadAll(aLimit);
  mBusy = false;
  return page;
}

Result<AuditPage> AuditTrail::ReadAll(size_t aLimit)
{
  AuditPage page;
  ConfigAuditProjection config{ ConfigStream() };
  const Result<void> read = ReadStream(ConfigStream(), config, aLimit, page);
  if (!read) {
    return read.error();
  }
  for (const ShardId& shard : mShards.Shards()) {
    const StreamName stream = ShardMap::StreamOf(shard);
    ShardAuditProjection projection(stream);
    const Result<void> done = ReadStream(stream, projection, aLimit, page);
    if (!done) {
      return done.error();
    }
  }
  return page;
}

Result<void> AuditTrail::Scan(const StreamName& aStream,
                              Offset aFrom,
                              Offset aEnd,
                              const RecordVisitor& aVisitor)
{
  while (aFrom < aEnd) {
    const Result<LogPage> page =
      mLog.Read(aStream, aFrom, kPageRecords, Milliseconds(0));
    if (!page) {
      return page.error();
    }
    const auto& records = page.value().mRecords;
    if (records.empty() || records.back().mOffset < aFrom) {
      break;
    }
    for (const StoredRecord& stored : records) {
      aVisitor(stored);
    }
    aFrom = records.back().mOffset.Next();
  }
  return Done();
}

Result<void> AuditTrail::ReadStream(const StreamName& aStream,
                                    AuditProjection& aProjection,
                                    size_t aLimit,
                                    AuditPage& aPage)
{
  // A read past the end returns the stream's bounds without any records.
  const Result<LogPage> bounds =
    mLog.Read(aStream, Offset(INT64_MAX), 1, Milliseconds(0));
  if (!bounds) {
    return bounds.error();
  }
  const Offset end = bounds.value().mNext;
  const Window window = WindowOf(bounds.value());
  SnapshotTracker snapshots(SnapshotContent::kKept);
  if (window.mSkipsRecords) {
    aPage.mTruncated = true;
    const Result<void> searched =
      Scan(aStream, window.mFrom, end, [&](const StoredRecord& aStored) {
        snapshots.OnRecord(aStored);
      });
    if (!searched) {
      return searched.error();
    }
  }
  std::deque<AuditEntry> newest;
  const auto visit = [&](const StoredRecord& aStored) {
    const auto& snapshot = snapshots.Newest();
    if (snapshot && snapshot->mCoveredOffset.Next() == aStored.mOffset) {
      aProjection.Restore(*snapshot);
    }
    if (auto entry = aProjection.Apply(aStored)) {
      newest.push_back(std::move(*entry));
    }
    if (newest.size() > aLimit) {
      newest.pop_front();
      aPage.mTruncated = true;
    }
  };
  const Result<void> read = Scan(aStream, window.mFrom, end, visit);
  if (!read) {
    return read.error();
  }
  auto& all = aPage.mEntries;
  all.insert(all.end(),
             std::make_move_iterator(newest.rbegin()),
             std::make_move_iterator(newest.rend()));
  std::stable_sort(all.begin(), all.end(), IsNewer);
  if (all.size() > aLimit) {
    all.resize(aLimit);
    aPage.mTruncated = true;
  }
  return Done();
}

} // namespace mulberryvalve
