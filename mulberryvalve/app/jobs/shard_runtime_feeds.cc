// What ShardRuntime reads: the shard's records when it takes over, then what
// callers hand in and the list of workers.
#include "mulberryvalve/app/jobs/keyed_cursor.h"
#include "mulberryvalve/app/jobs/shard_runtime.h"

#include <utility>

namespace mulberryvalve {
namespace {

using Steady = std::chrono::steady_clock;

constexpr Milliseconds kIntakeWait{ 1000 };
constexpr Milliseconds kRetryIntake{ 200 };
constexpr Milliseconds kWorkerInterval{ 400 };

// Returns the record of the job that aEntry handed in, if that is over.
const JobRecord* RecordOfOver(const JobLogCodec& aCodec,
                              const KeyedEntry& aEntry,
                              const std::map<JobId, JobRecord>& aRecords)
{
  const std::optional<JobId> job = aCodec.JobOf(aEntry);
  const auto found = job ? aRecords.find(*job) : aRecords.end();
  const bool over = found != aRecords.end() && IsOver(found->second.mPhase);
  return over ? &found->second : nullptr;
}

} // namespace

// A higher epoch than the group gives stands on the log when the group began
// to count anew.
void ShardRuntime::FindRival()
{
  const Result<KeyedPage> page =
    mPorts.mLog.Newest(Place(KeyedTopic::kProgress));
  if (!page) {
    LogFault("find_rival", page.error());
    return;
  }
  for (const KeyedEntry& entry : page.value().mEntries) {
    const Result<ProgressItem> item = mPorts.mCodec.DecodeProgress(entry);
    if (item && std::holds_alternative<OwnerNote>(item.value())) {
      mRival = std::get<OwnerNote>(item.value()).mEpoch.Value();
    }
  }
}

bool ShardRuntime::Load()
{
  const MonotonicTime claimedAt = mPorts.mClock.Now();
  Result<KeyedPage> progress = Fail(FailureKind::kNotReady);
  Result<KeyedPage> intake = Fail(FailureKind::kNotReady);
  mWatch.Begin(OwnerActivity::kLoading, claimedAt);
  while (true) {
    std::thread other([&] {
      if (!intake) {
        intake = mPorts.mLog.Newest(Place(KeyedTopic::kIntake));
      }
    });
    if (!progress) {
      progress = mPorts.mLog.Newest(Place(KeyedTopic::kProgress));
    }
    other.join();
    if (progress && intake) {
      break;
    }
    const Failure failure = progress ? intake.error() : progress.error();
    LogFaultOf(OwnerActivity::kLoading, failure);
    if (!MendsByRepetition(failure.mKind)) {
      GiveUpToOthers("the records can't be read");
      return false;
    }
    if (!PauseUntil(Steady::now() + kRetryLoad)) {
      return false;
    }
  }
  LogVolume volume = VolumeOf(progress.value().mEntries);
  volume += VolumeOf(intake.value().mEntries);
  mWatch.NoteLoad(volume);
  JobShardOptions options;
  options.mEpoch = mOptions.mEpoch;
  options.mLease = mOptions.mLease;
  options.mProofLimit = mOptions.mProofLimit;
  options.mKeepOver = mOptions.mKeepOver;
  auto shard = std::make_unique<JobShard>(options, mPorts.mPolicies, claimedAt);
  std::map<JobId, JobRecord> records;
  for (const KeyedEntry& entry : progress.value().mEntries) {
    Result<ProgressItem> item = mPorts.mCodec.DecodeProgress(entry);
    if (!item) {
      LogFault("progress_record", item.error());
    } else if (auto* record = std::get_if<JobRecord>(&item.value())) {
      records[record->mId] = std::move(*record);
    } else if (auto* worker = std::get_if<KnownWorker>(&item.value())) {
      shard->InheritWorker(*worker);
    } else if (auto* learned = std::get_if<LearnedRecord>(&item.value())) {
      shard->InheritLearned(*learned);
    }
  }
  std::vector<JobId> cancelled;
  size_t jobs = 0;
  for (const KeyedEntry& entry : intake.value().mEntries) {
    const JobRecord* over = RecordOfOver(mPorts.mCodec, entry, records);
    if (over != nullptr) {
      // Nothing but its phase is asked for any more.
      JobGraph graph;
      graph.mId = over->mId;
      shard->Inherit(std::move(graph), over);
      continue;
    }
    Result<IntakeItem> item = mPorts.mCodec.DecodeIntake(entry);
    if (!item) {
      LogFault("intake_record", item.error());
    } else if (auto* job = std::get_if<JobGraph>(&item.value())) {
      const auto record = records.find(job->mId);
      shard->Inherit(std::move(*job),
                     record == records.end() ? nullptr : &record->second);
      jobs++;
    } else if (auto* cancel = std::get_if<JobCancellation>(&item.value())) {
      cancelled.push_back(cancel->mJob);
    }
  }
  for (const JobId& job : cancelled) {
    shard->OnCancel(job, claimedAt);
  }
  mIntakeNext = intake.value().mNext;
  LogEvent(EventLevel::kInfo,
           "shard_loaded",
           { { "jobs", std::to_string(jobs) },
             { "records", std::to_string(records.size()) },
             { "read_records", std::to_string(volume.mRecords) },
             { "read_bytes", std::to_string(volume.mBytes) },
             { "intake_next", std::to_string(mIntakeNext) } });
  mPorts.mMetrics.Add(Counter::kTakeovers, 1);
  mPorts.mMetrics.Record(Timing::kTakeoverUs, mPorts.mClock.Now() - claimedAt);
  mWatch.End(OwnerActivity::kLoading, mPorts.mClock.Now());
  MutexLock lock(mMutex);
  mShard = std::move(shard);
  mIntakeReadAt = claimedAt;
  mConfig = mPorts.mConfig.Present();
  mShard->OnConfig(*mConfig);
  OpenLanes();
  DecideSoon();
  return true;
}

void ShardRuntime::DropFromIntake(const std::vector<JobId>& aRetired)
{
  std::vector<KeyedEntry> drops;
  for (const JobId& job : aRetired) {
    const std::vector<KeyedEntry> both = mPorts.mCodec.DropIntake(job);
    drops.insert(drops.end(), both.begin(), both.end());
  }
  for (const auto& part : EntryParts(std::move(drops), mPorts.mLog.Limits())) {
    const Result<void> done =
      mPorts.mLog.Append(Place(KeyedTopic::kIntake), part);
    if (!done) {
      LogFault("drop_from_intake", done.error());
    }
  }
}

void ShardRuntime::FollowIntake()
{
  KeyedCursor cursor(mPorts.mLog, Place(KeyedTopic::kIntake), mIntakeNext);
  MonotonicTime lastSentAt;
  while (!mOver) {
    const MonotonicTime sentAt = mPorts.mClock.Now();
    mPorts.mMetrics.Add(Counter::kLogReads, 1);
    const Result<KeyedChanges> changes = cursor.Next(kIntakeWait);
    if (changes) {
      // What the last read did not bring came after that was asked for.
      TakeIntake(changes.value().mEntries, lastSentAt, mPorts.mClock.Now());
      lastSentAt = sentAt;
      continue;
    }
    LogFault("read_intake", changes.error());
    if (!PauseUntil(Steady::now() + kRetryIntake)) {
      return;
    }
  }
}

void ShardRuntime::TakeIntake(const std::vector<KeyedEntry>& aEntries,
                              MonotonicTime aNotBefore,
                              MonotonicTime aReadAt)
{
  if (aEntries.empty()) {
    MutexLock lock(mMutex);
    mIntakeReadAt = aReadAt;
    return;
  }
  std::vector<IntakeItem> items;
  for (const KeyedEntry& entry : aEntries) {
    Result<IntakeItem> item = mPorts.mCodec.DecodeIntake(entry);
    if (item) {
      items.push_back(std::move(item.value()));
    } else {
      LogFault("intake_record", item.error());
    }
  }
  mWatch.OnOthersWrite(aReadAt);
  MutexLock lock(mMutex);
  mIntakeReadAt = aReadAt;
  const MonotonicTime now = mPorts.mClock.Now();
  for (IntakeItem& item : items) {
    if (auto* job = std::get_if<JobGraph>(&item)) {
      mShard->OnJob(std::move(*job), aNotBefore, now);
    } else if (auto* cancel = std::get_if<JobCancellation>(&item)) {
      mShard->OnCancel(cancel->mJob, now);
    }
  }
  DecideSoon();
}

void ShardRuntime::FollowWorkers()
{
  const std::unique_ptr<WorkerFeed> feed = mPorts.mFeeds.Open();
  Steady::time_point next = Steady::now();
  while (PauseUntil(next)) {
    next = Steady::now() + kWorkerInterval;
    const Result<std::vector<WorkerFacts>> all = feed->Next();
    if (!all) {
      LogFault("read_workers", all.error());
      continue;
    }
    std::vector<WorkerFacts> mine;
    for (const WorkerFacts& facts : all.value()) {
      if (ShardOfWorker(facts.mId, mOptions.mShards) == mOptions.mShard) {
        mine.push_back(facts);
      }
    }
    MutexLock lock(mMutex);
    mShard->OnWorkers(mine, mPorts.mClock.Now());
    OpenLanes();
    DecideSoon();
  }
}

} // namespace mulberryvalve
