#include "mulberryvalve/core/jobs/intake_copies_fake.h"

#include <algorithm>
#include <utility>

namespace mulberryvalve {
namespace {

// How many ticks pass between two new jobs, and between two changes of owner,
// on average.
constexpr uint64_t kJobTicks = 8;
constexpr uint64_t kOwnerTicks = 150;
constexpr uint64_t kMaxCopies = 3;
constexpr uint64_t kRecentJobs = 12;
// The owner reads a record within this time, unless it stands still.
constexpr Milliseconds kReadWithin{ 3000 };
// One in so many ticks of an owner is the first of a standstill.
constexpr uint64_t kPauseTicks = 200;
constexpr Milliseconds kMaxPause{ 2000 };

} // namespace

IntakeCopies::IntakeCopies(uint64_t aSeed)
  : mRandom(aSeed)
{
  mWorker.mId = WorkerId("w");
  mWorker.mEndpoint = Endpoint{ "a", 1 };
  mWorker.mService = ServiceId("s");
  mWorker.mCapacity = Resources{ 16000000, 64000000, 0 };
  Claim();
}

void IntakeCopies::Play(Milliseconds aLength)
{
  for (const MonotonicTime until = mNow + aLength; mNow < until;) {
    if (Draw(kJobTicks) == 0) {
      SubmitOrCancel();
    }
    if (Draw(kOwnerTicks) == 0) {
      Claim();
    }
    Step();
  }
}

void IntakeCopies::Settle()
{
  const MonotonicTime until = mNow + 2 * kMaxLate + 3 * kKeepOver;
  while (mNow < until) {
    Step();
  }
}

size_t IntakeCopies::OpenJobs() const
{
  return static_cast<size_t>(
    std::count_if(mJobs.begin(), mJobs.end(), [&](const JobId& aJob) {
      return mCancelledAt.count(aJob) == 0;
    }));
}

uint64_t IntakeCopies::Draw(uint64_t aBelow)
{
  return mRandom() % aBelow;
}

// A new owner restores what the intake and the progress hold. Former owners may
// go on for a while: their removals take effect, their progress does not.
void IntakeCopies::Claim()
{
  for (Owner& owner : mOwners) {
    owner.mIsActive = owner.mIsActive && Draw(2) == 0;
  }
  Owner owner;
  ShardSchedulerOptions options;
  options.mEpoch = Epoch(mOwners.size() + 1);
  options.mKeepOver = kKeepOver;
  owner.mShard = std::make_unique<ShardScheduler>(
    options, SchedulingPolicies{ mPlacement, mOrder }, mNow);
  ClusterConfig config;
  config.mVersion = 1;
  owner.mShard->OnConfig(config);
  for (const JobId& id : mJobs) {
    const auto record = mProgress.find(id);
    owner.mShard->RestoreJob(OneStepJob(id.Text(), 1, 1),
                             record == mProgress.end() ? nullptr
                                                       : &record->second);
  }
  for (const JobId& id : mCancelled) {
    owner.mShard->OnJobCancelled(id, mNow);
  }
  for (const auto& [id, record] : mProgress) {
    if (mJobs.count(id) == 0) {
      owner.mShard->RestoreProgressOffIntake(record);
    }
  }
  owner.mReadTo = mLog.size();
  mOwners.push_back(std::move(owner));
}

void IntakeCopies::SubmitOrCancel()
{
  if (mLastJob == 0 || Draw(2) == 0) {
    SendCopies(
      Record{ RecordKind::kJob, JobId("j" + std::to_string(++mLastJob)) });
    return;
  }
  const uint64_t age = Draw(std::min(mLastJob, kRecentJobs));
  SendCopies(Record{ RecordKind::kCancellation,
                     JobId("j" + std::to_string(mLastJob - age)) });
}

// A client repeats its call for at most kMaxTries ticks, and each append may
// take effect late.
void IntakeCopies::SendCopies(const Record& aRecord)
{
  for (uint64_t copies = 1 + Draw(kMaxCopies); copies > 0; copies--) {
    const auto tries = static_cast<int64_t>(Draw(kMaxTries));
    const auto late = static_cast<int64_t>(Draw(kMaxLate.count()));
    const bool isPrompt = Draw(2) == 0;
    Append append;
    append.mAt = mNow + tries * kTick + Milliseconds(isPrompt ? 0 : late);
    append.mRecords.push_back(aRecord);
    mUnderWay.push_back(std::move(append));
  }
}

void IntakeCopies::ApplyDueAppends()
{
  std::vector<Append> due;
  const auto later = std::stable_partition(
    mUnderWay.begin(), mUnderWay.end(), [&](const Append& aAppend) {
      return aAppend.mAt <= mNow;
    });
  std::move(mUnderWay.begin(), later, std::back_inserter(due));
  mUnderWay.erase(mUnderWay.begin(), later);
  for (const Append& append : due) {
    Apply(append);
  }
}

void IntakeCopies::Apply(const Append& aAppend)
{
  if (aAppend.mEnd && *aAppend.mEnd != mLog.size()) {
    return;
  }
  std::vector<JobId> removed;
  for (const Record& record : aAppend.mRecords) {
    mLog.push_back(record);
    switch (record.mKind) {
      case RecordKind::kJob:
        mJobs.insert(record.mJob);
        mLateCopies += mCancelledAt.count(record.mJob);
        break;
      case RecordKind::kCancellation:
        mCancelled.insert(record.mJob);
        mCancelledAt.emplace(record.mJob, mNow);
        break;
      case RecordKind::kRemoval:
        mJobs.erase(record.mJob);
        mCancelled.erase(record.mJob);
        removed.push_back(record.mJob);
        break;
    }
  }
  if (aAppend.mAnswerTo && mOwners[*aAppend.mAnswerTo].mIsActive) {
    mOwners[*aAppend.mAnswerTo].mShard->OnRemovedFromIntake(removed, mNow);
  }
}

void IntakeCopies::Step()
{
  mNow += kTick;
  ApplyDueAppends();
  for (size_t owner = 0; owner < mOwners.size(); owner++) {
    if (mOwners[owner].mIsActive) {
      StepOwner(owner);
    }
  }
}

void IntakeCopies::StepOwner(size_t aOwner)
{
  Owner& owner = mOwners[aOwner];
  if (mNow < owner.mPausedUntil) {
    return;
  }
  if (Draw(kPauseTicks) == 0) {
    owner.mPausedUntil = mNow + Milliseconds(Draw(kMaxPause.count()));
    return;
  }
  if (Draw(3) != 0) {
    Read(owner);
  }
  Retire(aOwner);
  if (aOwner + 1 == mOwners.size()) {
    Persist(owner);
    Decide(owner);
  }
}

void IntakeCopies::Read(Owner& aOwner)
{
  for (; aOwner.mReadTo < mLog.size(); aOwner.mReadTo++) {
    const Record& record = mLog[aOwner.mReadTo];
    if (record.mKind == RecordKind::kJob) {
      JobGraph job = OneStepJob(record.mJob.Text(), 1, 1);
      job.mRules.mService = mWorker.mService;
      aOwner.mShard->OnJobSubmitted(std::move(job), mNow, mNow);
    } else if (record.mKind == RecordKind::kCancellation) {
      aOwner.mShard->OnJobCancelled(record.mJob, mNow);
    }
  }
}

void IntakeCopies::Retire(size_t aOwner)
{
  Owner& owner = mOwners[aOwner];
  const std::vector<JobId> jobs = owner.mShard->TakeRetirableJobs(mNow);
  if (jobs.empty()) {
    return;
  }
  const bool isLate = Draw(4) == 0;
  Append append;
  append.mAt = mNow + Milliseconds(isLate ? Draw(kMaxLate.count()) : 0);
  append.mEnd = owner.mReadTo;
  if (!isLate) {
    append.mAnswerTo = aOwner;
  }
  for (const JobId& job : jobs) {
    append.mRecords.push_back(Record{ RecordKind::kRemoval, job });
  }
  mUnderWay.push_back(std::move(append));
}

void IntakeCopies::Persist(Owner& aOwner)
{
  const ProgressBatch batch = aOwner.mShard->TakeProgress(mNow);
  for (const JobRecord& record : batch.mJobs) {
    mProgress[record.mId] = record;
  }
  for (const RetiredJob& job : batch.mRetired) {
    mProgress.erase(job.mId);
  }
  aOwner.mShard->OnDurable(batch);
}

void IntakeCopies::Decide(Owner& aOwner)
{
  aOwner.mShard->OnWorkerList({ mWorker }, mNow);
  const std::optional<RenewalRequest> renewal =
    aOwner.mShard->NextRenewal(mWorker.mId, true, mNow);
  if (renewal) {
    const RenewalReply reply = ReportOfWorker(*renewal);
    aOwner.mShard->OnRenewalReply(*renewal, reply, mNow, mNow);
  }
  const OwnershipProof proof{ mNow, true, mNow };
  for (const TaskOrder& order :
       aOwner.mShard->Decide(proof, mNow, WallTime())) {
    Carry(aOwner, order);
  }
}

// Carries an order out. A job whose cancellation was not read yet may be
// started.
void IntakeCopies::Carry(Owner& aOwner, const TaskOrder& aOrder)
{
  const JobId& job = aOrder.mTask.mStep.mJob;
  if (aOrder.mKind == OrderKind::kStart) {
    const auto cancelled = mCancelledAt.find(job);
    if (cancelled != mCancelledAt.end() &&
        cancelled->second + kReadWithin < mNow) {
      mViolations.push_back("UNASKED: " + job.Text() +
                            " is started after its cancellation");
    }
    mRuns[aOrder.mTask] = aOrder.mRun;
  } else if (mRuns.erase(aOrder.mTask) != 0) {
    RunEndReport end;
    end.mNumber = EndNumber(++mLastEnd);
    end.mTask = aOrder.mTask;
    end.mRun = aOrder.mRun;
    end.mEndKind = EndKind::kStopped;
    mEnds.push_back(end);
  }
  aOwner.mShard->OnOrder(
    aOrder, OrderReply{ OrderOutcome::kAccepted, WorkerClock() }, mNow);
}

RenewalReply IntakeCopies::ReportOfWorker(const RenewalRequest& aRequest)
{
  mEnds.erase(std::remove_if(mEnds.begin(),
                             mEnds.end(),
                             [&](const RunEndReport& aEnd) {
                               return aEnd.mNumber <= aRequest.mSeen;
                             }),
              mEnds.end());
  RenewalReply reply;
  reply.mOutcome = OrderOutcome::kAccepted;
  reply.mReading = WorkerClock();
  reply.mEnded = mEnds;
  for (const auto& [task, run] : mRuns) {
    RunReport row;
    row.mTask = task;
    row.mRun = run;
    row.mPercent = 100;
    reply.mRunning.push_back(row);
  }
  return reply;
}

ClockReading IntakeCopies::WorkerClock() const
{
  ClockReading reading;
  reading.mWorkerIncarnation = WorkerIncarnation(1);
  reading.mClock = WorkerTime{
    std::chrono::duration_cast<Milliseconds>(mNow.time_since_epoch()).count()
  };
  return reading;
}

} // namespace mulberryvalve
