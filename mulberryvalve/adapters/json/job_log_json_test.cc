// Round trips of job log records and rejection of malformed ones.
#include "mulberryvalve/adapters/json/job_log_json.h"
#include "mulberryvalve/ports/out/keyed_log.h"

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

JobGraph FullJob()
{
  JobGraph job;
  job.mId = JobId("5c0e7a21d94b36f8");
  job.mQueue = QueueId("a.example/x/");
  job.mRules = QueueRules{ ServiceId("s"), 2, 4, 250, Milliseconds(1000) };
  job.mSpecification = "text \"quoted\"";
  StepSpec step;
  step.mCount = 3;
  step.mDemand = Resources{ 1500, 256, 1 };
  step.mEstimate = Milliseconds(900);
  job.mSteps.push_back(step);
  step.mDependsOn = { 0 };
  step.mCheckpointing = step.mGang = step.mSameRack = step.mSpeculative = true;
  step.mLongRunning = step.mBestEffort = true;
  step.mRequiredLabel = WorkerLabel("a");
  step.mDataRack = RackId("r1");
  step.mMaxPerWorker = 2;
  step.mImage = ImageId("i");
  step.mTailLatencyTarget = Milliseconds(18);
  step.mMaxUnavailable = 1;
  job.mSteps.push_back(step);
  job.mRecurrence =
    Recurrence{ 3, WallTime{ 1780000000000 }, Milliseconds(2000) };
  job.mAcceptedAt = WallTime{ 1780000000500 };
  job.mAccount = ClientAccountId("acme");
  return job;
}

} // namespace

TEST_GROUP(JobLogJsonTest){};

TEST(JobLogJsonTest, JobRoundTrips)
{
  const JobLogJson codec;
  const JobGraph job = FullJob();
  const KeyedEntry entry = codec.Encode(job);
  const Result<IntakeItem> item = codec.DecodeIntake(entry);
  CHECK(item.has_value());
  const auto& decoded = std::get<JobGraph>(item.value());
  // Comparing the encodings compares the jobs, since every field with a value
  // other than its default is written.
  STRCMP_EQUAL(entry.mValue->c_str(), codec.Encode(decoded).mValue->c_str());
  CHECK_EQUAL(3U, decoded.Occurrences());
  CHECK_EQUAL(1780000000500, decoded.mAcceptedAt.mMilliseconds);
  STRCMP_EQUAL("acme", decoded.mAccount.Text().c_str());
  CHECK(decoded.mSteps[1].mGang);
  CHECK_EQUAL(18, decoded.mSteps[1].mTailLatencyTarget.count());
  CHECK_FALSE(decoded.mSteps[0].mGang);
}

TEST(JobLogJsonTest, ProgressRoundTrips)
{
  const JobLogJson codec;
  JobRecord record;
  record.mId = JobId("5c0e7a21d94b36f8");
  record.mPhase = JobPhase::kRunning;
  record.mTasks.push_back(TaskRecord{
    1, 2, 3, true, 4, { RunNumber(5), RunNumber(3) }, CheckpointId("c") });
  const Result<ProgressItem> item = codec.DecodeProgress(codec.Encode(record));
  const auto& decoded = std::get<JobRecord>(item.value());
  CHECK(decoded.mPhase == JobPhase::kRunning);
  CHECK_EQUAL(1U, decoded.mTasks.size());
  CHECK(decoded.mTasks[0].mDone);
  CHECK_EQUAL(2U, decoded.mTasks[0].mProcessedEnds.size());
  CHECK_EQUAL(3U, decoded.mTasks[0].mProcessedEnds[1].Value());
  STRCMP_EQUAL("c", decoded.mTasks[0].mCheckpoint.Text().c_str());
}

TEST(JobLogJsonTest, ProgressIsEncodedAsTaskRows)
{
  const JobLogJson codec;
  JobRecord record;
  record.mPhase = JobPhase::kCompleted;
  STRCMP_EQUAL(R"({"phase":"completed","tasks":[]})",
               codec.Encode(record).mValue->c_str());
  record.mTasks.push_back(
    TaskRecord{ 0, 0, 4294967295, false, 0, {}, CheckpointId() });
  record.mTasks.push_back(
    TaskRecord{ 1,
                2,
                3,
                true,
                4,
                { RunNumber(18446744073709551615U), RunNumber(3) },
                CheckpointId("a\"b\n") });
  STRCMP_EQUAL(R"({"phase":"completed","tasks":[[0,0,4294967295,0,0,[],""],)"
               R"([1,2,3,1,4,[18446744073709551615,3],"a\"b\n"]]})",
               codec.Encode(record).mValue->c_str());
}

TEST(JobLogJsonTest, PossibleWorkersRoundTrip)
{
  const JobLogJson codec;
  JobRecord record{ JobId("5c0e7a21d94b36f8"), JobPhase::kQueued, {} };
  TaskRecord ended{ 0, 1, 2, false, 1, { RunNumber(5) }, CheckpointId("c") };
  ended.mPossibleWorkers = { WorkerId("a\"b"), WorkerId("w-2") };
  record.mTasks.push_back(ended);
  for (const uint32_t index : { 3, 7 }) {
    TaskRecord started;
    started.mStep = 1;
    started.mIndex = index;
    started.mPossibleWorkers = { WorkerId("w-2") };
    record.mTasks.push_back(started);
  }
  const KeyedEntry entry = codec.Encode(record);
  STRCMP_EQUAL(R"({"phase":"queued","tasks":[[0,1,2,0,1,[5],"c"]],)"
               R"("on":[[0,1,"a\"b",2,"w-2",2,3,7]]})",
               entry.mValue->c_str());
  const Result<ProgressItem> item = codec.DecodeProgress(entry);
  const auto& decoded = std::get<JobRecord>(item.value());
  CHECK_EQUAL(3U, decoded.mTasks.size());
  for (size_t task = 0; task < decoded.mTasks.size(); task++) {
    CHECK(record.mTasks[task].mPossibleWorkers ==
          decoded.mTasks[task].mPossibleWorkers);
    CHECK_EQUAL(record.mTasks[task].mStep, decoded.mTasks[task].mStep);
    CHECK_EQUAL(record.mTasks[task].mIndex, decoded.mTasks[task].mIndex);
  }
  CHECK_EQUAL(1, decoded.mTasks[0].mFailures);
  CHECK_EQUAL(0U, decoded.mTasks[1].mProcessedEnds.size());
}

TEST(JobLogJsonTest, FailedRunsOfAGangRoundTrip)
{
  const JobLogJson codec;
  JobRecord record{ JobId("5c0e7a21d94b36f8"), JobPhase::kRunning, {} };
  for (const uint32_t index : { 2, 5 }) {
    TaskRecord member{ 0, 1, index, false, 1, { RunNumber(5) }, {} };
    member.mFailedGangRuns = { RunNumber(4 + index), RunNumber(9) };
    record.mTasks.push_back(member);
  }
  const KeyedEntry entry = codec.Encode(record);
  const Result<ProgressItem> item = codec.DecodeProgress(entry);
  const auto& decoded = std::get<JobRecord>(item.value());
  CHECK_EQUAL(2U, decoded.mTasks.size());
  for (size_t task = 0; task < decoded.mTasks.size(); task++) {
    CHECK(record.mTasks[task].mFailedGangRuns ==
          decoded.mTasks[task].mFailedGangRuns);
  }
}

TEST(JobLogJsonTest, OddRowsOfFailedRunsAreRefused)
{
  for (const char* row : { "[0,0]",
                           "[0,0,1]",
                           "[0,0,1,-3]",
                           "[0,0,9,3]",
                           "7",
                           R"(["a",0,1,3])" }) {
    const std::string text =
      R"({"phase":"running","tasks":[[0,0,1,0,1,[5],""]],"gang_failures":[)" +
      std::string(row) + "]}";
    const Result<ProgressItem> item =
      JobLogJson().DecodeProgress({ "job/x", text });
    CHECK_FALSE(item.has_value());
    CHECK(FailureKind::kMalformed == item.error().mKind);
  }
}

// Owners of earlier versions did not record where tasks may run.
TEST(JobLogJsonTest, RecordWithoutPossibleWorkersIsDecoded)
{
  const Result<ProgressItem> item = JobLogJson().DecodeProgress(
    { "job/x", R"({"phase":"queued","tasks":[[0,0,1,0,0,[5],""]]})" });
  const auto& decoded = std::get<JobRecord>(item.value());
  CHECK_EQUAL(1U, decoded.mTasks.size());
  CHECK(decoded.mTasks[0].mPossibleWorkers.empty());
}

TEST(JobLogJsonTest, MalformedPossibleWorkersAreRejected)
{
  for (const char* rows : { "[1]",
                            "[[]]",
                            "[[0,0]]",
                            R"([[0,0,"w"]])",
                            R"([[0,0,1,"w"]])",
                            R"([[0,0,"",1]])",
                            R"([[0,0,"w",1,"v"]])",
                            R"([[0,0,"w","v",1]])",
                            R"([[0,0,"w",-1]])",
                            R"([[0,0,"w",4294967296]])",
                            R"([[0,0,"w",1.5]])",
                            R"([[0,0,"w",null]])",
                            R"([["0",0,"w",1]])",
                            R"([[0,-1,"w",1]])" }) {
    const std::string text =
      std::string(R"({"phase":"queued","tasks":[],"on":)") + rows + "}";
    const Result<ProgressItem> item =
      JobLogJson().DecodeProgress({ "job/x", text });
    CHECK_FALSE(item.has_value());
    if (!item) {
      CHECK(item.error().mKind == FailureKind::kMalformed);
    }
  }
  const Result<ProgressItem> noRows = JobLogJson().DecodeProgress(
    { "job/x", R"({"phase":"queued","tasks":[],"on":1})" });
  const Result<ProgressItem> noTasks =
    JobLogJson().DecodeProgress({ "job/x", R"({"phase":"queued","tasks":1})" });
  CHECK_FALSE(noRows.has_value());
  CHECK(noRows.error().mKind == noTasks.error().mKind);
}

TEST(JobLogJsonTest, LearnedRecordRoundTrips)
{
  const JobLogJson codec;
  LearnedRecord learned;
  learned.mPairs.push_back(
    LearnedInterference{ ImageId("s"), ImageId("f"), 0.125, 7 });
  learned.mTails.push_back(LearnedMinTail{ ImageId("s"), 4 });
  learned.mTimes.push_back(LearnedRunTimes{
    QueueId("q"), SeriesStats{ 9, 7.5, 2.25 }, SeriesStats{ 9, -0.5, 4 } });
  const KeyedEntry entry = codec.Encode(learned);
  const Result<ProgressItem> item = codec.DecodeProgress(entry);
  const auto& decoded = std::get<LearnedRecord>(item.value());
  STRCMP_EQUAL(entry.mValue->c_str(), codec.Encode(decoded).mValue->c_str());
  DOUBLES_EQUAL(0.125, decoded.mPairs[0].mWeight, 1e-9);
  DOUBLES_EQUAL(-0.5, decoded.mTimes[0].mDeclarationErrors.mMean, 1e-9);
  CHECK_EQUAL(4, decoded.mTails[0].mMinTail);
}

TEST(JobLogJsonTest, RejectsMalformedLearnedRecord)
{
  const JobLogJson codec;
  const KeyedEntry entry{
    codec.Encode(LearnedRecord()).mKey,
    R"({"pairs":[{"serving":1}],"tails":[],"times":[]})"
  };
  CHECK_FALSE(codec.DecodeProgress(entry).has_value());
}

TEST(JobLogJsonTest, WorkerRemainingLeaseRoundTrips)
{
  const JobLogJson codec;
  UsedWorkerRecord worker;
  worker.mId = WorkerId("w");
  worker.mEndpoint = Endpoint{ "10.0.0.1", 80 };
  worker.mWorkerIncarnation = WorkerIncarnation(7);
  Result<ProgressItem> item = codec.DecodeProgress(codec.Encode(worker));
  CHECK_FALSE(
    std::get<UsedWorkerRecord>(item.value()).mRemainingLease.has_value());
  worker.mRemainingLease = Milliseconds(0);
  item = codec.DecodeProgress(codec.Encode(worker));
  CHECK_EQUAL(
    0,
    std::get<UsedWorkerRecord>(item.value()).mRemainingLease.value().count());
}

namespace {

UsedWorkerRecord WorkerWith(std::optional<std::vector<TaskRef>> aPossibleTasks)
{
  UsedWorkerRecord worker;
  worker.mId = WorkerId("w");
  worker.mEndpoint = Endpoint{ "10.0.0.1", 80 };
  worker.mPossibleTasks = std::move(aPossibleTasks);
  return worker;
}

UsedWorkerRecord RoundTrip(const UsedWorkerRecord& aWorker)
{
  const JobLogJson codec;
  const Result<ProgressItem> item = codec.DecodeProgress(codec.Encode(aWorker));
  CHECK(item.has_value());
  return std::get<UsedWorkerRecord>(item.value());
}

} // namespace

// Guards against a duplicate start: a task missing from the worker record would
// be started again.
TEST(JobLogJsonTest, WorkerPossibleTasksRoundTrip)
{
  const StepRef step{ JobId("a\"b"), 0, 1 };
  const StepRef other{ JobId("c"), 4294967295, 0 };
  const std::vector<TaskRef> tasks = { { step, 0 },
                                       { step, 4294967295 },
                                       { other, 7 } };
  CHECK(tasks == RoundTrip(WorkerWith(tasks)).mPossibleTasks.value());
  CHECK(RoundTrip(WorkerWith(std::vector<TaskRef>()))
          .mPossibleTasks.value()
          .empty());
  CHECK_FALSE(RoundTrip(WorkerWith(std::nullopt)).mPossibleTasks.has_value());
}

// The log service rejects larger records.
TEST(JobLogJsonTest, WorkerWithMaxPossibleTasksFitsInARecord)
{
  constexpr size_t kMaxIdBytes = 256;
  constexpr size_t kLogRecordBytes = 262144;
  std::vector<TaskRef> tasks;
  for (uint32_t number = 0; number < kMaxNotedTasks; number++) {
    std::string id = std::to_string(number);
    id.resize(kMaxIdBytes, 'x');
    tasks.push_back(TaskRef{ { JobId(id), 4294967295, 255 }, 65535 });
  }
  const KeyedEntry entry = JobLogJson().Encode(WorkerWith(tasks));
  CHECK(entry.mValue->size() < kLogRecordBytes);
  CHECK(tasks == RoundTrip(WorkerWith(tasks)).mPossibleTasks.value());
  tasks.push_back(tasks.front());
  CHECK_FALSE(JobLogJson()
                .DecodeProgress(JobLogJson().Encode(WorkerWith(tasks)))
                .has_value());
}

TEST(JobLogJsonTest, RejectsMalformedPossibleTasks)
{
  for (const char* rows : { "1",
                            "{}",
                            "[1]",
                            "[[]]",
                            R"([["j",0,0]])",
                            R"([["j",0,0,[]]])",
                            R"([["j",0,0,[-1]]])",
                            R"([["j",0,0,[1.5]]])",
                            R"([["j",0,0,[4294967296]]])",
                            R"([["j",0,4294967296,[1]]])",
                            R"([["j","0",0,[1]]])",
                            R"([[7,0,0,[1]]])",
                            R"([["j",0,0,[1],0]])" }) {
    const std::string text =
      R"({"address":"a","port":1,"service":"s","may_run":)" +
      std::string(rows) + "}";
    CHECK_FALSE(JobLogJson().DecodeProgress({ "worker/w", text }).has_value());
  }
}

// Guards against invalid UTF-8 that crashes the owner and every successor that
// reads the record.
TEST(JobLogJsonTest, InvalidUtf8IsReplacedAndDecodes)
{
  const JobLogJson codec;
  const std::string invalidUtf8 = "a\xff\xc3z";
  JobGraph job = FullJob();
  job.mSpecification = invalidUtf8;
  job.mRules.mService = ServiceId(invalidUtf8);
  job.mSteps[1].mImage = ImageId(invalidUtf8);
  CHECK(codec.DecodeIntake(codec.Encode(job)).has_value());
  JobRecord record{ job.mId, JobPhase::kRunning, {} };
  record.mTasks.resize(1);
  record.mTasks[0].mCheckpoint = CheckpointId(invalidUtf8);
  CHECK(codec.DecodeProgress(codec.Encode(record)).has_value());
  CHECK(
    codec.DecodeProgress(codec.Encode(OwnershipRecord{ Epoch(1), invalidUtf8 }))
      .has_value());
  LearnedRecord learned;
  learned.mTails.push_back(LearnedMinTail{ ImageId(invalidUtf8), 1 });
  CHECK(codec.DecodeProgress(codec.Encode(learned)).has_value());
}

// Progress of a large job is in several records, each of which is removed.
TEST(JobLogJsonTest, PartsOfAJobHaveRecordsOfTheirOwn)
{
  const JobLogJson codec;
  JobRecord record{ JobId("a/b"), JobPhase::kRunning, {} };
  record.mTasks.resize(1);
  std::string keys;
  for (const uint32_t part : { 0, 1, 12 }) {
    record.mPart = part;
    const KeyedEntry entry = codec.Encode(record);
    keys += entry.mKey + " ";
    const auto item = codec.DecodeProgress(entry);
    const auto& decoded = std::get<JobRecord>(item.value());
    CHECK_EQUAL(part, decoded.mPart);
    CHECK(record.mId == decoded.mId);
    CHECK_EQUAL(1U, decoded.mTasks.size());
  }
  STRCMP_EQUAL("job/a/b part/1/a/b part/12/a/b ", keys.c_str());
  keys.clear();
  for (const KeyedEntry& entry :
       codec.EncodeProgressTombstones(RetiredJob{ JobId("a/b"), 3 })) {
    CHECK_FALSE(entry.mValue.has_value());
    keys += entry.mKey + " ";
  }
  STRCMP_EQUAL("part/2/a/b part/1/a/b job/a/b ", keys.c_str());
  for (const char* key :
       { "part/", "part/x/a", "part/1", "part/99999999999/a" }) {
    CHECK_FALSE(
      codec
        .DecodeProgress(KeyedEntry{ key, R"({"phase":"queued","tasks":[]})" })
        .has_value());
  }
}

// Each claim keeps a record of its own until it is removed. Records of earlier
// versions, one for the newest claim, are readable.
TEST(JobLogJsonTest, ClaimsHaveARecordForEachEpoch)
{
  const JobLogJson codec;
  const OwnershipRecord claim{
    Epoch(640), "entry-1", Endpoint{ "10.0.0.7", 7380 }, Incarnation(99)
  };
  const KeyedEntry entry = codec.Encode(claim);
  STRCMP_EQUAL("owner/640", entry.mKey.c_str());
  const auto item = codec.DecodeProgress(entry);
  const auto& decoded = std::get<OwnershipRecord>(item.value());
  CHECK(claim.mEpoch == decoded.mEpoch);
  CHECK(claim.mProcess == decoded.mProcess);
  STRCMP_EQUAL("10.0.0.7", decoded.mPeer.mAddress.c_str());
  CHECK_EQUAL(7380, decoded.mPeer.mPort);
  const auto tombstones = codec.EncodeOwnershipTombstones(Epoch(640));
  CHECK_EQUAL(2U, tombstones.size());
  STRCMP_EQUAL("owner/640", tombstones[0].mKey.c_str());
  STRCMP_EQUAL("owner", tombstones[1].mKey.c_str());
  CHECK_FALSE(tombstones[0].mValue || tombstones[1].mValue);
  const auto former = codec.DecodeProgress(
    KeyedEntry{ "owner", R"({"epoch":64,"instance":"entry-2"})" });
  CHECK(std::get<OwnershipRecord>(former.value()).mPeer.mAddress.empty());
}

TEST(JobLogJsonTest, ClaimsTellHowLongTheirOwnerWasActive)
{
  const JobLogJson codec;
  OwnershipRecord claim{ Epoch(640), "entry-1" };
  const auto decode = [&](const std::string& aValue) {
    return codec.DecodeProgress(KeyedEntry{ "owner/640", aValue });
  };
  // Records of earlier versions don't tell.
  const auto former = decode(R"({"epoch":640,"instance":"entry-1"})");
  CHECK_FALSE(std::get<OwnershipRecord>(former.value()).mActiveFor.has_value());
  const int64_t year = int64_t{ 365 } * 24 * 3600 * 1000;
  for (const int64_t activeMs : { int64_t{ 0 }, int64_t{ 9500 }, year }) {
    claim.mActiveFor = Milliseconds(activeMs);
    const auto item = codec.DecodeProgress(codec.Encode(claim));
    CHECK(claim.mActiveFor ==
          std::get<OwnershipRecord>(item.value()).mActiveFor);
  }
  for (const char* malformed :
       { "-1", "1.5", "\"9\"", "null", "[]", "9223372036854775807" }) {
    CHECK_FALSE(decode(R"({"epoch":640,"instance":"e","active_for_ms":)" +
                       std::string(malformed) + "}")
                  .has_value());
  }
}

// Guards against progress lost at a change of owner: the largest record that
// can be written, with the shortest rows, must be readable.
TEST(JobLogJsonTest, LargestProgressRecordDecodes)
{
  const JobLogJson codec;
  const KeyedLogLimits limits;
  JobRecord record{ JobId("5c0e7a21d94b36f8"), JobPhase::kRunning, {} };
  record.mTasks.resize(1);
  const size_t first = RecordBytes(codec.Encode(record));
  record.mTasks.resize(2);
  const size_t row = RecordBytes(codec.Encode(record)) - first;
  record.mTasks.resize(1 + (limits.mRecordBytes - first) / row);
  const KeyedEntry entry = codec.Encode(record);
  CHECK(RecordBytes(entry) <= limits.mRecordBytes);
  CHECK(RecordBytes(entry) + row > limits.mRecordBytes);
  const Result<ProgressItem> item = codec.DecodeProgress(entry);
  CHECK(item.has_value());
  CHECK_EQUAL(record.mTasks.size(),
              std::get<JobRecord>(item.value()).mTasks.size());
}

TEST(JobLogJsonTest, RejectsMalformedEntries)
{
  const JobLogJson codec;
  CHECK_FALSE(codec.DecodeIntake({ "id", "{" }).has_value());
  CHECK_FALSE(codec.DecodeIntake({ "id", "{}" }).has_value());
  CHECK_FALSE(codec.DecodeProgress({ "job/x", "{}" }).has_value());
  CHECK_FALSE(codec.DecodeProgress({ "other", "{}" }).has_value());
  const auto dropped = codec.DecodeIntake({ "id", std::nullopt });
  CHECK(std::holds_alternative<Tombstone>(dropped.value()));
}

} // namespace mulberryvalve
