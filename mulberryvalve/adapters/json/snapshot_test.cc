#include "mulberryvalve/adapters/json/record_codec.h"
#include "mulberryvalve/core/config/config_state_machine.h"
#include "mulberryvalve/core/keys/key_state_machine.h"
#include "mulberryvalve/core/ledger/shard_state_machine.h"
#include "mulberryvalve/core/snapshot/snapshot_plan.h"
#include "mulberryvalve/core/snapshot/snapshot_search.h"
#include "mulberryvalve/core/snapshot/snapshot_tracker.h"

#include <nlohmann/json.hpp>
#include <random>

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

constexpr size_t kFinishedKept = 6;
constexpr size_t kKeysKept = 8;
constexpr size_t kMaxAnswers = 1024;
constexpr uint64_t kHistories = 1200;
constexpr uint64_t kRecords = 120;

// Returns the whole state of a fold as text in a canonical order.
template<typename Fold>
std::string CanonicalState(const Fold& aFold)
{
  SnapshotPart part{ aFold.Folded(), 0, aFold.Capture().mItems };
  nlohmann::json lines = nlohmann::json::parse(
    EncodeRecord(LogRecord{ RecordHeader(), part }))["items"];
  std::sort(lines.begin(), lines.end());
  return lines.dump();
}

std::string IndexState(const ShardStateMachine& aLedger)
{
  std::string text;
  for (const auto& [priority, since, id] : aLedger.Waiting()) {
    text += id.Text() + ":" + std::to_string(since.Value()) + " ";
  }
  for (const auto& [worker, tasks] : aLedger.TasksByWorker()) {
    text += worker.Text() + "=" + std::to_string(tasks.size()) + " ";
  }
  for (const auto& [id, job] : aLedger.Jobs()) {
    for (const uint32_t count : job.mTasksByState) {
      text += std::to_string(count) + ",";
    }
  }
  text += std::to_string(aLedger.PendingHandovers().size()) + "/";
  return text + std::to_string(aLedger.TasksToCancel().size());
}

// History is an in-memory log with records of several writers. Each record is
// encoded and decoded when it is appended.
class History
{
public:
  explicit History(uint64_t aSeed)
    : mRandom(aSeed)
  {
  }

  uint64_t RandomBelow(uint64_t aEnd) { return mRandom() % aEnd; }

  void Append(WriterId aWriter, Epoch aEpoch, Record aBody)
  {
    const uint64_t sequence = ++mSequences[aWriter];
    AppendWith(aWriter, aEpoch, sequence, std::move(aBody));
  }

  void AppendWith(WriterId aWriter,
                  Epoch aEpoch,
                  uint64_t aSequence,
                  Record aBody)
  {
    const LogRecord record{ RecordHeader{ aWriter, aSequence, aEpoch, {} },
                            std::move(aBody) };
    const Result<LogRecord> read = DecodeRecord(EncodeRecord(record));
    CHECK_TRUE(static_cast<bool>(read));
    mLog.push_back(StoredRecord{ Offset(mLog.size() + 1), read.value() });
  }

  void AppendDuplicate()
  {
    if (!mLog.empty()) {
      mLog.push_back(StoredRecord{ Offset(mLog.size() + 1),
                                   mLog[RandomBelow(mLog.size())].mRecord });
    }
  }

  const std::vector<StoredRecord>& Log() const { return mLog; }

private:
  std::mt19937_64 mRandom;
  std::map<WriterId, uint64_t> mSequences;
  std::vector<StoredRecord> mLog;
};

WriterId Writer(uint64_t aIndex)
{
  return WriterId{ InstanceId("i" + std::to_string(aIndex)), Incarnation(1) };
}

JobId Job(uint64_t aIndex)
{
  return JobId("a-0.j" + std::to_string(aIndex));
}

Record RandomShardRecord(History& aHistory)
{
  const JobId job = Job(aHistory.RandomBelow(12));
  const TaskId task = MakeTaskId(job, aHistory.RandomBelow(2));
  const Attempt attempt(1 + aHistory.RandomBelow(3));
  const WorkerId worker("w" + std::to_string(aHistory.RandomBelow(3)));
  switch (aHistory.RandomBelow(14)) {
    case 0:
    case 1:
      return JobSubmitted{ JobSpec{ job, {}, 2 } };
    case 2:
    case 3:
    case 4:
      return TaskAssigned{ task, attempt, worker };
    case 5:
    case 6:
      return TaskStarted{ task, attempt };
    case 7:
    case 8:
      return TaskFinished{ task, attempt, TaskState::kCompleted, "r" };
    case 9:
      return TaskEvicted{
        task, attempt, EvictionCause::kAttemptFailed, CheckpointId("7@x")
      };
    case 10:
      return JobCancelRequested{ job, OperatorId("o") };
    case 11:
      return TaskCancelled{ task };
    case 12:
      return TaskHandedOver{ task, ShardId("b-0") };
    default:
      return TaskReceived{
        task,          job, {},
        attempt,       {},  static_cast<uint32_t>(1 + aHistory.RandomBelow(3)),
        ShardId("b-0")
      };
  }
}

Record RandomConfigRecord(History& aHistory, const ConfigStateMachine& aFold)
{
  const BundleVersion newest = aFold.Newest();
  const DomainId domain("d" + std::to_string(aHistory.RandomBelow(3)));
  const std::string document = "doc" + std::to_string(aHistory.RandomBelow(30));
  switch (aHistory.RandomBelow(4)) {
    case 0:
      return BundlePublished{ newest.Next(), newest, document, {} };
    case 1:
      if (newest == BundleVersion()) {
        return BundleSignedOff{ BundleVersion(1), "none", {} };
      }
      return BundleSignedOff{ newest, aFold.Published(newest)->mDigest, {} };
    case 2:
      return BundlePublished{ BundleVersion(3), BundleVersion(2), "late", {} };
    default:
      return DomainChanged{ domain,
                            DomainState(aHistory.RandomBelow(2)),
                            aHistory.RandomBelow(3) == 0
                              ? Offset()
                              : aFold.Domain(domain).mOffset,
                            OperatorId("o"),
                            "why" };
  }
}

Record RandomKeyRecord(History& aHistory)
{
  const IdempotencyKey key("k" + std::to_string(aHistory.RandomBelow(20)));
  const AttemptId attempt("a" + std::to_string(aHistory.RandomBelow(3)));
  if (aHistory.RandomBelow(2) == 0) {
    return KeyClaimed{ key, attempt };
  }
  return KeySettled{
    key, attempt, RequestStatus(aHistory.RandomBelow(3)), RequestReason::kNone,
    200, "body"
  };
}

Record RandomRecord(History& aHistory, const ShardStateMachine&)
{
  return RandomShardRecord(aHistory);
}
Record RandomRecord(History& aHistory, const ConfigStateMachine& aFold)
{
  return RandomConfigRecord(aHistory, aFold);
}
Record RandomRecord(History& aHistory, const KeyStateMachine&)
{
  return RandomKeyRecord(aHistory);
}

// Applies the records that aFold has not applied yet.
template<typename Fold>
void FoldAll(const History& aHistory, Fold& aFold)
{
  const auto& log = aHistory.Log();
  for (size_t at = aFold.Folded().Value(); at < log.size(); at++) {
    aFold.Apply(log[at]);
  }
}

// Appends a random history with snapshots, some of them incomplete or with
// duplicate parts, and checks that restoring the newest complete snapshot and
// applying the tail gives the same state as folding the whole log. Returns 1 if
// there was a complete snapshot, else 0.
template<typename Fold>
size_t CheckRestoreEqualsFullFold(uint64_t aSeed,
                                  const Fold& aEmpty,
                                  bool aUsesClaims)
{
  History history(aSeed);
  Fold full = aEmpty;
  SnapshotOptions options;
  options.mPartBytes = 600;
  Epoch epoch;
  uint64_t owner = 0;
  while (history.Log().size() < kRecords) {
    const uint64_t choice = history.RandomBelow(40);
    if (aUsesClaims && (epoch == Epoch() || choice == 0)) {
      owner = history.RandomBelow(3);
      history.Append(Writer(owner), Epoch(), ShardClaimed{});
      epoch = Epoch(history.Log().size());
    } else if (choice == 1) {
      history.AppendDuplicate();
    } else if (choice < 4 && full.Folded() != Offset()) {
      auto records = SplitSnapshot(full.Capture(), options);
      if (history.RandomBelow(3) == 0) {
        records.resize(history.RandomBelow(records.size()) + 1);
      }
      const bool fenced = history.RandomBelow(4) == 0 && aUsesClaims;
      for (Record& record : records) {
        if (fenced && history.RandomBelow(4) == 0) {
          history.Append(Writer(3), Epoch(), ShardClaimed{});
        }
        history.Append(Writer(owner), epoch, std::move(record));
        if (history.RandomBelow(8) == 0) {
          history.AppendDuplicate();
        }
      }
      epoch = fenced ? Epoch() : epoch;
    } else {
      const uint64_t writer = history.RandomBelow(5) == 0 ? 4 : owner;
      history.Append(Writer(writer), epoch, RandomRecord(history, full));
    }
    FoldAll(history, full);
  }
  const size_t oldest = history.RandomBelow(history.Log().size() / 2);
  SnapshotSearch search(Offset(oldest + 1));
  for (size_t at = oldest; at < history.Log().size(); at++) {
    search.OnRecord(history.Log()[at]);
  }
  if (search.Found() == nullptr) {
    return 0;
  }
  Fold restored = aEmpty;
  CHECK_TRUE(restored.Restore(*search.Found()));
  CHECK_FALSE(full.Restore(*search.Found()));
  for (const StoredRecord& stored : search.Tail()) {
    restored.Apply(stored);
  }
  STRCMP_EQUAL(CanonicalState(full).c_str(), CanonicalState(restored).c_str());
  if constexpr (std::is_same_v<Fold, ShardStateMachine>) {
    STRCMP_EQUAL(IndexState(full).c_str(), IndexState(restored).c_str());
  }
  return 1;
}

template<typename Fold>
void CheckManyHistories(const Fold& aEmpty, bool aUsesClaims)
{
  size_t restarts = 0;
  for (uint64_t seed = 1; seed <= kHistories; seed++) {
    restarts += CheckRestoreEqualsFullFold(seed, aEmpty, aUsesClaims);
  }
  CHECK_TRUE(restarts > kHistories / 2);
}

// Passes the records to a SnapshotTracker and returns its newest snapshot.
std::optional<Snapshot> NewestSnapshot(
  const std::vector<std::pair<Epoch, Record>>& aLog)
{
  SnapshotTracker tracker(SnapshotContent::kDropped);
  uint64_t offset = 100;
  for (const auto& [epoch, record] : aLog) {
    tracker.OnRecord(StoredRecord{
      Offset(++offset),
      LogRecord{ RecordHeader{ Writer(0), offset, epoch, {} }, record } });
  }
  return tracker.Newest();
}

} // namespace

TEST_GROUP(Snapshot){};

TEST(Snapshot, ShardFromSnapshotAndTailEqualsFullFold)
{
  CheckManyHistories(ShardStateMachine(ShardId("a-0"), kFinishedKept), true);
}

TEST(Snapshot, ConfigFromSnapshotAndTailEqualsFullFold)
{
  CheckManyHistories(ConfigStateMachine(), false);
}

TEST(Snapshot, KeysFromSnapshotAndTailEqualFullFold)
{
  CheckManyHistories(
    KeyStateMachine(KeyStateMachineLimits{ kKeysKept, kMaxAnswers }), false);
}

TEST(Snapshot, OnlyCompleteSnapshotsOfTheCurrentEpochCount)
{
  const Epoch old(5);
  const Record begun = SnapshotBegun{ Offset(9), 2 };
  const Record first = SnapshotPart{ Offset(9), 0, {} };
  const Record second = SnapshotPart{ Offset(9), 1, {} };
  const Record ended = SnapshotEnded{ Offset(9), 2 };
  const Record claim = ShardClaimed{};
  struct Row
  {
    std::vector<std::pair<Epoch, Record>> mLog;
    bool mComplete;
  };
  const Row rows[] = {
    { { { old, begun }, { old, first }, { old, second }, { old, ended } },
      true },
    { { { old, begun }, { old, first }, { old, ended } }, false },
    { { { old, begun }, { old, second }, { old, first }, { old, ended } },
      false },
    { { { old, first }, { old, second }, { old, ended } }, false },
    { { { old, begun }, { old, first }, { old, second } }, false },
    { { { old, begun },
        { old, first },
        { old, first },
        { old, second },
        { old, ended } },
      true },
    { { { old, begun },
        { old, first },
        { Epoch(), claim },
        { old, second },
        { old, ended } },
      false },
    { { { Epoch(), claim },
        { old, begun },
        { old, first },
        { old, second },
        { old, ended } },
      false },
    { { { Epoch(), claim },
        { Epoch(101), begun },
        { Epoch(101), first },
        { Epoch(101), second },
        { Epoch(101), ended } },
      true },
  };
  for (const Row& row : rows) {
    CHECK_EQUAL(row.mComplete, NewestSnapshot(row.mLog).has_value());
  }
}

TEST(Snapshot, IsDueByCountAndBeforeTheOldestNeededRecordExpires)
{
  struct Row
  {
    uint64_t mCovered;
    uint64_t mFolded;
    uint64_t mOldest;
    bool mDue;
  };
  const Row rows[] = {
    { 0, 10, 1, false },       { 0, 19'999, 1, false },
    { 0, 20'000, 1, true },    { 900, 1000, 500, false },
    { 600, 1000, 500, true },  { 400, 1000, 500, true },
    { 990, 1000, 995, false }, { 0, 1000, 2, true },
  };
  for (const Row& row : rows) {
    const StreamSpan span{ Offset(row.mCovered),
                           Offset(row.mFolded),
                           Offset(row.mOldest) };
    CHECK_EQUAL(row.mDue, SnapshotDue(span, SnapshotOptions()));
  }
}

TEST(Snapshot, FinishedJobsBeyondTheLimitAreForgotten)
{
  History history(1);
  history.Append(Writer(0), Epoch(), ShardClaimed{});
  for (uint64_t job = 0; job < 2 * kFinishedKept; job++) {
    const TaskId task = MakeTaskId(Job(job), 0);
    history.Append(
      Writer(0), Epoch(1), JobSubmitted{ JobSpec{ Job(job), {}, 1 } });
    history.Append(
      Writer(0), Epoch(1), TaskAssigned{ task, Attempt(1), WorkerId("w") });
    history.Append(Writer(0),
                   Epoch(1),
                   TaskFinished{ task, Attempt(1), TaskState::kCompleted, "" });
  }
  ShardStateMachine ledger(ShardId("a-0"), kFinishedKept);
  FoldAll(history, ledger);
  CHECK_EQUAL(kFinishedKept, ledger.Jobs().size());
  CHECK_TRUE(ledger.FindJob(Job(0)) == nullptr);
}

} // namespace mulberryvalve
