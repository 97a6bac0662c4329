// The inputs of ShardRuntime: the shard's records, read at takeover, and after
// that the job intake and the worker list.
#include "mulberryvalve/app/jobs/keyed_cursor.h"
#include "mulberryvalve/app/jobs/shard_runtime.h"

#include <algorithm>
#include <utility>

namespace mulberryvalve {
namespace {

using Steady = std::chrono::steady_clock;

constexpr Milliseconds kLoadRetryDelay{ 200 };
constexpr Milliseconds kIntakeReadTimeout{ 1000 };
constexpr Milliseconds kIntakeRetryDelay{ 200 };
constexpr Milliseconds kWorkerListInterval{ 400 };
// Progress waits while a removal from the intake hangs, so one that failed is
// not repeated soon.
constexpr Milliseconds kRetireRetryDelay{ 5000 };
// Former owners that a line names.
constexpr size_t kMaxNamedOwners = 4;

// Returns the progress record of the job that aEntry submitted if that job is
// finished, otherwise nullptr.
const JobRecord* RecordOfEndedJob(const JobLogCodec& aCodec,
                                  const KeyedEntry& aEntry,
                                  const std::map<JobId, JobRecord>& aRecords)
{
  const std::optional<JobId> job = aCodec.SubmittedJobId(aEntry);
  const auto found = job ? aRecords.find(*job) : aRecords.end();
  const bool isFinished =
    found != aRecords.end() && IsOver(found->second.mPhase);
  return isFinished ? &found->second : nullptr;
}

// Returns until how many milliseconds after aClaimedAt runs of each former
// owner may last and by which evidence, for the newest kMaxNamedOwners.
std::string FormatRunsEnds(const ShardScheduler& aShard,
                           MonotonicTime aClaimedAt)
{
  const std::vector<RunsEnd> ends = aShard.EndsOfFormerRuns();
  const size_t named = std::min(ends.size(), kMaxNamedOwners);
  std::string text;
  for (auto end = ends.end() - static_cast<long>(named); end != ends.end();
       ++end) {
    text += text.empty() ? "" : " ";
    text += std::to_string(end->mEpoch.Value()) + ":" +
            std::string(kRunsEndEvidenceNames.Name(end->mEvidence));
    if (end->mBy) {
      const auto left =
        std::chrono::duration_cast<Milliseconds>(*end->mBy - aClaimedAt);
      text += ":" + std::to_string(left.count());
    }
  }
  return text;
}

} // namespace

// The log holds a higher epoch than the group assigned if the group's
// generation has restarted from 1.
void ShardRuntime::FindCompetingEpoch()
{
  const Result<KeyedPage> page =
    mPorts.mLog.ReadLatest(Place(KeyedTopic::kProgress));
  if (!page) {
    LogFailure("find_rival", page.error());
    return;
  }
  for (const KeyedEntry& entry : page.value().mEntries) {
    const Result<ProgressItem> item = mPorts.mCodec.DecodeProgress(entry);
    if (item && std::holds_alternative<OwnershipRecord>(item.value())) {
      const Epoch epoch = std::get<OwnershipRecord>(item.value()).mEpoch;
      mCompetingEpoch = std::max(mCompetingEpoch.load(), epoch.Value());
    }
  }
}

bool ShardRuntime::Load()
{
  const MonotonicTime claimedAt = mPorts.mClock.Now();
  mWatchdog.Begin(OwnerActivity::kLoading, claimedAt);
  const std::optional<ShardRecords> read = ReadRecords();
  if (!read) {
    return false;
  }
  LogCallSize size = SizeOf(read->mProgress.mEntries);
  size += SizeOf(read->mIntake.mEntries);
  mWatchdog.RecordLoad(size);
  ShardSchedulerOptions options;
  options.mEpoch = mOptions.mEpoch;
  options.mShard = mOptions.mShard;
  options.mShards = mOptions.mShards;
  options.mMovesWorkers = mOptions.mMovesWorkers;
  options.mLease = mOptions.mLease;
  options.mProofLimit = mOptions.mProofLimit;
  options.mKeepOver = mOptions.mKeepOver;
  auto shard =
    std::make_unique<ShardScheduler>(options, mPorts.mPolicies, claimedAt);
  RestoreMoves(*read, *shard);
  const std::map<JobId, JobRecord> records =
    RestoreProgress(read->mProgress.mEntries, *shard);
  const size_t jobs =
    RestoreIntake(read->mIntake.mEntries, records, claimedAt, *shard);
  LogEvent(EventLevel::kInfo,
           "shard_loaded",
           { { "jobs", std::to_string(jobs) },
             { "records", std::to_string(records.size()) },
             { "read_records", std::to_string(size.mRecords) },
             { "read_bytes", std::to_string(size.mBytes) },
             { "intake_next", std::to_string(read->mIntake.mNext) },
             { "former_runs", FormatRunsEnds(*shard, claimedAt) } });
  mPorts.mMetrics.Add(Counter::kTakeovers, 1);
  mPorts.mMetrics.Record(Timing::kTakeoverUs, mPorts.mClock.Now() - claimedAt);
  mWatchdog.End(OwnerActivity::kLoading, mPorts.mClock.Now());
  MutexLock lock(mMutex);
  mShard = std::move(shard);
  mIntakeReadAt = claimedAt;
  mIntakeReadTo = read->mIntake.mNext;
  mConfig = mPorts.mConfig.Current();
  mShard->OnConfig(*mConfig);
  StartRenewals();
  RequestDecisionPass();
  return true;
}

// Returns nothing if the ownership is over.
std::optional<ShardRuntime::ShardRecords> ShardRuntime::ReadRecords()
{
  Result<KeyedPage> progress = Fail(FailureKind::kNotReady);
  Result<KeyedPage> intake = Fail(FailureKind::kNotReady);
  while (true) {
    std::thread intakeReader([&] {
      if (!intake) {
        intake = mPorts.mLog.ReadLatest(Place(KeyedTopic::kIntake));
      }
    });
    if (!progress) {
      progress = mPorts.mLog.ReadLatest(Place(KeyedTopic::kProgress));
    }
    intakeReader.join();
    if (progress && intake) {
      return ShardRecords{ std::move(progress.value()),
                           std::move(intake.value()) };
    }
    const Failure failure = progress ? intake.error() : progress.error();
    LogActivityFailure(OwnerActivity::kLoading, failure);
    if (!IsRetryable(failure.mKind)) {
      GiveUpAndLeaveGroup("the records can't be read");
      return std::nullopt;
    }
    if (!SleepUntil(Steady::now() + kLoadRetryDelay)) {
      return std::nullopt;
    }
  }
}

// Passes on what former owners recorded, except for the progress of jobs, which
// is returned.
std::map<JobId, JobRecord> ShardRuntime::RestoreProgress(
  const std::vector<KeyedEntry>& aEntries,
  ShardScheduler& aShard)
{
  std::map<JobId, JobRecord> records;
  for (const KeyedEntry& entry : aEntries) {
    Result<ProgressItem> item = mPorts.mCodec.DecodeProgress(entry);
    if (!item) {
      LogFailure("progress_record", item.error());
    } else if (auto* record = std::get_if<JobRecord>(&item.value())) {
      JobRecord& merged = records[record->mId];
      MergePart(merged, std::move(*record));
    } else if (auto* worker = std::get_if<UsedWorkerRecord>(&item.value())) {
      aShard.RestoreWorker(*worker);
    } else if (auto* learned = std::get_if<LearnedRecord>(&item.value())) {
      aShard.RestoreLearned(*learned);
    } else if (auto* claim = std::get_if<OwnershipRecord>(&item.value())) {
      if (claim->mEpoch < mOptions.mEpoch) {
        aShard.RestoreFormerOwner(FormerOwner{ claim->mEpoch,
                                               claim->mPeer,
                                               claim->mProcess,
                                               claim->mActiveFor,
                                               claim->mRecordsUse,
                                               claim->mFormerRunsLeft });
        ApplyObservation(*claim, aShard);
      }
    }
  }
  return records;
}

// An owner that told its age is known to have recorded its newest proof by a
// time, which may be long before its successor's claim.
void ShardRuntime::ApplyObservation(const OwnershipRecord& aFormer,
                                    ShardScheduler& aShard) const
{
  if (!aFormer.mActiveFor) {
    return;
  }
  const std::optional<MonotonicTime> provedBy =
    mOptions.mObservations.WasActiveFor(aFormer.mEpoch, *aFormer.mActiveFor);
  if (provedBy) {
    aShard.OnFormerOwnerProof(
      aFormer.mEpoch, *provedBy, RunsEndEvidence::kObserved);
  }
}

// Passes on the jobs and cancellations. Returns the number of jobs that are not
// over.
size_t ShardRuntime::RestoreIntake(const std::vector<KeyedEntry>& aEntries,
                                   const std::map<JobId, JobRecord>& aRecords,
                                   MonotonicTime aClaimedAt,
                                   ShardScheduler& aShard)
{
  std::vector<JobId> cancelled;
  std::set<JobId> onIntake;
  size_t jobs = 0;
  for (const KeyedEntry& entry : aEntries) {
    if (const auto submitted = mPorts.mCodec.SubmittedJobId(entry)) {
      onIntake.insert(*submitted);
    }
    const JobRecord* finished =
      RecordOfEndedJob(mPorts.mCodec, entry, aRecords);
    if (finished != nullptr) {
      // Only the phase of a finished job is still queried, so its specification
      // is not decoded.
      JobGraph graph;
      graph.mId = finished->mId;
      aShard.RestoreJob(std::move(graph), finished);
      continue;
    }
    Result<IntakeItem> item = mPorts.mCodec.DecodeIntake(entry);
    if (!item) {
      LogFailure("intake_record", item.error());
    } else if (auto* job = std::get_if<JobGraph>(&item.value())) {
      const auto record = aRecords.find(job->mId);
      aShard.RestoreJob(std::move(*job),
                        record == aRecords.end() ? nullptr : &record->second);
      jobs++;
    } else if (auto* cancel = std::get_if<JobCancellation>(&item.value())) {
      cancelled.push_back(cancel->mJob);
    }
  }
  for (const JobId& job : cancelled) {
    aShard.OnJobCancelled(job, aClaimedAt);
  }
  for (const auto& [id, record] : aRecords) {
    // The former owner ended before it removed the progress too. Former owners
    // can add none after the claim, so the job is not one that was missed.
    if (onIntake.count(id) == 0) {
      aShard.RestoreProgressOffIntake(record);
    }
  }
  return jobs;
}

// Removes what is kept no longer from the intake. Jobs that are not removed,
// because an append is refused or gets no answer, are tried again later.
void ShardRuntime::RetireJobs()
{
  if (Steady::now() < mRetireJobsAt) {
    return;
  }
  std::vector<JobId> jobs;
  uint64_t readTo = 0;
  {
    MutexLock lock(mMutex);
    jobs = mShard->TakeRetirableJobs(mPorts.mClock.Now());
    readTo = mIntakeReadTo;
  }
  if (jobs.empty()) {
    return;
  }
  const Result<void> removed = RemoveFromIntake(jobs, readTo);
  if (!removed && removed.error().mKind == FailureKind::kConflict) {
    mPorts.mMetrics.Add(Counter::kIntakeRemovalConflicts, 1);
    return;
  }
  if (!removed) {
    LogFailure("drop_from_intake", removed.error());
    mRetireJobsAt = Steady::now() + kRetireRetryDelay;
    return;
  }
  MutexLock lock(mMutex);
  mShard->OnRemovedFromIntake(jobs, mPorts.mClock.Now());
}

// The removal takes effect only if the intake holds nothing that this owner has
// not read: a copy of a job that it does not know, or a job that was handed in
// again before a removal that is late. Errors: those of KeyedLog::AppendAt;
// some of aJobs may have been removed.
Result<void> ShardRuntime::RemoveFromIntake(const std::vector<JobId>& aJobs,
                                            uint64_t aReadTo)
{
  std::vector<KeyedEntry> tombstones;
  for (const JobId& job : aJobs) {
    const std::vector<KeyedEntry> both =
      mPorts.mCodec.EncodeIntakeTombstones(job);
    tombstones.insert(tombstones.end(), both.begin(), both.end());
  }
  uint64_t end = aReadTo;
  for (const auto& part :
       SplitEntries(std::move(tombstones), mPorts.mLog.Limits())) {
    Result<void> done =
      mPorts.mLog.AppendAt(Place(KeyedTopic::kIntake), end, part);
    if (!done) {
      return done;
    }
    end += part.size();
  }
  return Done();
}

void ShardRuntime::FollowIntake()
{
  KeyedCursor cursor(mPorts.mLog, Place(KeyedTopic::kIntake), IntakeReadTo());
  // All entries that were on the log at this time have been read.
  MonotonicTime readUpTo;
  while (!mIsOwnershipOver) {
    const MonotonicTime sentAt = mPorts.mClock.Now();
    mPorts.mMetrics.Add(Counter::kLogReads, 1);
    const Result<KeyedChanges> changes = cursor.Next(kIntakeReadTimeout);
    if (changes) {
      ApplyIntake(changes.value().mEntries, readUpTo, mPorts.mClock.Now());
      if (changes.value().mReachesEnd) {
        readUpTo = sentAt;
        OnIntakeRead(readUpTo, cursor.Position());
      }
      continue;
    }
    LogFailure("read_intake", changes.error());
    if (!SleepUntil(Steady::now() + kIntakeRetryDelay)) {
      return;
    }
  }
}

void ShardRuntime::ApplyIntake(const std::vector<KeyedEntry>& aEntries,
                               MonotonicTime aNotBefore,
                               MonotonicTime aReadAt)
{
  if (aEntries.empty()) {
    return;
  }
  std::vector<IntakeItem> items;
  for (const KeyedEntry& entry : aEntries) {
    Result<IntakeItem> item = mPorts.mCodec.DecodeIntake(entry);
    if (item) {
      items.push_back(std::move(item.value()));
    } else {
      LogFailure("intake_record", item.error());
    }
  }
  mWatchdog.OnForeignWrite(aReadAt);
  MutexLock lock(mMutex);
  const MonotonicTime now = mPorts.mClock.Now();
  for (IntakeItem& item : items) {
    if (auto* job = std::get_if<JobGraph>(&item)) {
      mShard->OnJobSubmitted(std::move(*job), aNotBefore, now);
    } else if (auto* cancel = std::get_if<JobCancellation>(&item)) {
      mShard->OnJobCancelled(cancel->mJob, now);
    } else if (auto* move = std::get_if<WorkerMove>(&item)) {
      ApplyMove(*move);
    }
  }
  RequestDecisionPass();
}

uint64_t ShardRuntime::IntakeReadTo() const
{
  MutexLock lock(mMutex);
  return mIntakeReadTo;
}

// aReadTo is the offset up to which the intake has been applied, which is its
// end as far as it is known.
void ShardRuntime::OnIntakeRead(MonotonicTime aReadUpTo, uint64_t aReadTo)
{
  MutexLock lock(mMutex);
  mIntakeReadTo = aReadTo;
  mIntakeReadAt = mPorts.mClock.Now();
  mShard->OnIntakeRead(aReadUpTo);
}

ShardWorkers ShardRuntime::CurrentWorkers() const
{
  MutexLock lock(mMutex);
  return mShard->Room().Workers();
}

void ShardRuntime::FollowWorkers()
{
  const std::unique_ptr<WorkerFeed> feed = mPorts.mWorkerFeeds.Open();
  Steady::time_point next = Steady::now();
  while (SleepUntil(next)) {
    next = Steady::now() + kWorkerListInterval;
    const Result<std::vector<WorkerInfo>> all = feed->Next();
    if (!all) {
      LogFailure("read_workers", all.error());
      continue;
    }
    const ShardWorkers workers = CurrentWorkers();
    std::vector<WorkerInfo> mine;
    for (const WorkerInfo& facts : all.value()) {
      if (workers.Owns(facts.mId, ShardOfWorker(facts.mId, mOptions.mShards))) {
        mine.push_back(facts);
      }
    }
    MutexLock lock(mMutex);
    mShard->OnWorkerList(mine, mPorts.mClock.Now());
    StartRenewals();
    RequestDecisionPass();
  }
}

} // namespace mulberryvalve
