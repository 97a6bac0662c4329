#include "mulberryvalve/adapters/json/record_codec.h"

#include <random>
#include <string>
#include <utility>
#include <vector>

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

constexpr uint32_t kSeed = 20261;
constexpr int kRandomTexts = 20000;

TaskDemand Demand()
{
  TaskDemand demand;
  demand.mKind = TaskKind::kWatcher;
  demand.mPriority = Priority::kUrgent;
  demand.mTeam = TeamId("nursery");
  demand.mClass = TaskClass("pick");
  demand.mResources = { 1500, 2048, 1 };
  demand.mPayload = "{\"run_ms\":5}";
  return demand;
}

TaskItem SnapshotTask()
{
  TaskItem item;
  TaskEntry& task = item.mTask;
  task.mId = TaskId("north.0.a/0");
  task.mJob = JobId("north.0.a");
  task.mState = TaskState::kHandedOver;
  task.mAttempt = Attempt(3);
  task.mWorker = WorkerId("w");
  task.mEpoch = Epoch(4);
  task.mCheckpoint = CheckpointId("5@l");
  task.mEvictionCause = EvictionCause::kPriority;
  task.mFailures = 2;
  task.mHandover = 1;
  task.mTarget = ShardId("south.0");
  task.mCancelRequested = true;
  task.mWaitingSince = Offset(9);
  task.mReason = "why";
  task.mHistory = { { Offset(9),
                      { 12 },
                      TaskState::kRunning,
                      Attempt(3),
                      WorkerId("w"),
                      "because" } };
  item.mHandoverPending = true;
  return item;
}

std::vector<SnapshotItem> SnapshotItems()
{
  const WriterId writer{ InstanceId("in-1"), Incarnation(7) };
  return {
    WriterItem{ writer, 5, Offset(6) },
    ClaimItem{ writer, Epoch(4), true, true },
    JobItem{ JobSpec{ JobId("north.0.a"), Demand(), 7 }, true },
    SnapshotTask(),
    FinishedJobItem{ JobId("north.0.b") },
    MovedTaskItem{ TaskId("north.0.c/0"), 2 },
    BundleItem{ BundleVersion(2), "{}", OperatorId("ann"), Offset(3) },
    InForceItem{ BundleVersion(2), "{}", Offset(4) },
    DomainItem{ DomainId("north"),
                DomainState::kOut,
                Offset(5),
                OperatorId("ann"),
                "works" },
    KeyItem{
      IdempotencyKey("k"),
      writer,
      AttemptId("a-1"),
      Offset(8),
      KeyOutcome{
        RequestStatus::kAnswered, RequestReason::kAnswerLost, 200, "{}" } },
  };
}

// Returns one record of each type, with no field at its default value.
std::vector<Record> Samples()
{
  const TaskId task("north.0.a/0");
  const Attempt attempt(3);
  return {
    BundlePublished{
      BundleVersion(2), BundleVersion(1), "{}", OperatorId("ann") },
    BundleSignedOff{ BundleVersion(2), "digest", OperatorId("ann") },
    DomainChanged{ DomainId("north"),
                   DomainState::kOut,
                   Offset(4),
                   OperatorId("ann"),
                   "caf\u00e9 \"quoted\"" },
    ShardClaimed{},
    ShardReleased{},
    JobSubmitted{ JobSpec{ JobId("north.0.a"), Demand(), 7 } },
    JobCancelRequested{ JobId("north.0.a"), OperatorId("ann") },
    TaskAssigned{ task, attempt, WorkerId("w") },
    TaskStarted{ task, attempt },
    TaskFinished{ task, attempt, TaskState::kFailed, "why" },
    TaskCheckpointing{ task, attempt, EvictionCause::kDomainOut },
    TaskEvicted{
      task, attempt, EvictionCause::kInterference, CheckpointId("5@l") },
    TaskCancelled{ task },
    TaskImpossible{ task, "too large" },
    TaskHandedOver{ task, ShardId("south.0") },
    TaskHandoverConfirmed{ task },
    TaskReceived{ task,
                  JobId("north.0.a"),
                  Demand(),
                  attempt,
                  CheckpointId("5@l"),
                  2,
                  ShardId("north.0") },
    KeyClaimed{ IdempotencyKey("k"), AttemptId("a-1") },
    KeySettled{ IdempotencyKey("k"),
                AttemptId("a-1"),
                RequestStatus::kAnswered,
                RequestReason::kAnswerLost,
                200,
                "{\"ok\":true}" },
    AuditNote{ "worker w", "in", "quarantined", "failed 5 of 5" },
    SnapshotBegun{ Offset(4), 2 },
    SnapshotPart{ Offset(4), 1, SnapshotItems() },
    SnapshotEnded{ Offset(4), 2 },
    UnreadableRecord{},
  };
}

LogRecord WithHeader(Record aBody)
{
  return { { { InstanceId("in-1"), Incarnation(7) }, 9, Epoch(4), { 1234 } },
           std::move(aBody) };
}

} // namespace

TEST_GROUP(RecordCodec){};

TEST(RecordCodec, EveryTypeRoundTrips)
{
  const std::vector<Record> samples = Samples();
  for (size_t index = 0; index < samples.size(); index++) {
    const std::string text = EncodeRecord(WithHeader(samples[index]));
    const Result<LogRecord> read = DecodeRecord(text);
    CHECK_TEXT(read.has_value(), text.c_str());
    CHECK_EQUAL(samples[index].index(), read.value().mBody.index());
    STRCMP_EQUAL(text.c_str(), EncodeRecord(read.value()).c_str());
  }
}

TEST(RecordCodec, SamplesCoverEveryType)
{
  std::vector<bool> seen(std::variant_size_v<Record>);
  for (const Record& sample : Samples()) {
    seen[sample.index()] = true;
  }
  for (size_t index = 0; index < seen.size(); index++) {
    CHECK_TEXT(seen[index], std::to_string(index).c_str());
  }
}

TEST(RecordCodec, RejectsInvalidText)
{
  const std::string head = R"({"by":"i","life":1,"seq":1,"type":)";
  const struct
  {
    std::string mText;
    FailureKind mKind;
  } rows[] = {
    { "", FailureKind::kMalformed },
    { "[]", FailureKind::kMalformed },
    { "{", FailureKind::kMalformed },
    { "{\"type\":\"\xff\xfe\"}", FailureKind::kMalformed },
    { std::string(100'000, '['), FailureKind::kMalformed },
    { std::string(kMaxRecordBytes + 1, ' '), FailureKind::kTooLarge },
    { head + R"("no_such_kind"})", FailureKind::kMalformed },
    { head + R"(7})", FailureKind::kMalformed },
    { head + R"("task_cancelled"})", FailureKind::kInvalidInput },
    { head + R"("task_cancelled","task":{}})", FailureKind::kInvalidInput },
    { head + R"("task_started","task":"t","attempt":-1})",
      FailureKind::kInvalidInput },
    { head + R"("task_started","task":"t","attempt":1e99})",
      FailureKind::kInvalidInput },
    { head + R"("domain_changed","domain":"d","state":"half","expected":0,)" +
        R"("operator":"o"})",
      FailureKind::kInvalidInput },
  };
  for (const auto& row : rows) {
    const Result<LogRecord> read = DecodeRecord(row.mText);
    CHECK_TEXT(!read, row.mText.substr(0, 80).c_str());
    CHECK_TEXT(read.error().mKind == row.mKind,
               row.mText.substr(0, 80).c_str());
  }
}

TEST(RecordCodec, SurvivesRandomByteMutations)
{
  std::mt19937 random(kSeed);
  const std::vector<Record> samples = Samples();
  for (int round = 0; round < kRandomTexts; round++) {
    std::string text =
      EncodeRecord(WithHeader(samples[random() % samples.size()]));
    for (uint32_t change = random() % 4 + 1; change > 0; change--) {
      text[random() % text.size()] = static_cast<char>(random());
    }
    const Result<LogRecord> read = DecodeRecord(text);
    if (read) {
      CHECK(DecodeRecord(EncodeRecord(read.value())).has_value());
    }
  }
}

} // namespace mulberryvalve
