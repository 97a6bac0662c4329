// A shard's intake with several copies of each record, appended late and twice,
// beside cancellations, removals and changes of owner.
#ifndef MULBERRYVALVE_CORE_JOBS_INTAKE_COPIES_FAKE_H_
#define MULBERRYVALVE_CORE_JOBS_INTAKE_COPIES_FAKE_H_

#include "mulberryvalve/core/jobs/shard_simulation_fake.h"

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace mulberryvalve {

// IntakeCopies draws appends of jobs, cancellations and removals by a seed and
// lets them take effect late. Its owners run the ShardScheduler. Not
// thread-safe.
class IntakeCopies
{
public:
  static constexpr Milliseconds kTick{ 100 };
  // The longest time until an append without an answer takes effect.
  static constexpr Milliseconds kMaxLate{ 6000 };
  // Longer than a copy lives: kMaxLate after the last attempt of a client, who
  // tries for kMaxTries ticks.
  static constexpr Milliseconds kKeepOver{ 8000 };
  static constexpr int kMaxTries = 10;

  explicit IntakeCopies(uint64_t aSeed);

  // Plays aLength with clients and changes of owner.
  void Play(Milliseconds aLength);

  // Lets everything under way take effect, and the last owner work on until it
  // may have removed all that is over.
  void Settle();

  // Returns what was found, each beginning with the invariant's name.
  const std::vector<std::string>& Violations() const { return mViolations; }

  // Returns the number of records on the intake.
  size_t Keys() const { return mJobs.size() + mCancelled.size(); }

  // Returns the number of jobs that were handed in and not cancelled.
  size_t OpenJobs() const;

  // Returns the number of copies that took effect after the cancellation of
  // their job.
  size_t LateCopies() const { return mLateCopies; }

private:
  enum class RecordKind
  {
    kJob,
    kCancellation,
    kRemoval,
  };

  struct Record
  {
    RecordKind mKind = RecordKind::kJob;
    JobId mJob;
  };

  struct Append
  {
    MonotonicTime mAt;
    std::vector<Record> mRecords;
    // Of removals: where the intake has to end, and whose it is, unless its
    // answer is lost.
    std::optional<uint64_t> mEnd;
    std::optional<size_t> mAnswerTo;
  };

  struct Owner
  {
    std::unique_ptr<ShardScheduler> mShard;
    uint64_t mReadTo = 0;
    // It reads nothing before this time.
    MonotonicTime mPausedUntil;
    bool mIsActive = true;
  };

  uint64_t Draw(uint64_t aBelow);
  void Claim();
  void SubmitOrCancel();
  void SendCopies(const Record& aRecord);
  void ApplyDueAppends();
  void Apply(const Append& aAppend);
  void StepOwner(size_t aOwner);
  void Read(Owner& aOwner);
  void Retire(size_t aOwner);
  void Persist(Owner& aOwner);
  void Decide(Owner& aOwner);
  void Carry(Owner& aOwner, const TaskOrder& aOrder);
  RenewalReply ReportOfWorker(const RenewalRequest& aRequest);
  ClockReading WorkerClock() const;
  void Step();

  std::mt19937_64 mRandom;
  const LearnedPlacementPolicy mPlacement;
  const LeastRemainingWorkPolicy mOrder;
  MonotonicTime mNow{ std::chrono::seconds(1000) };
  // The worker, which answers at once, its runs and their ends.
  WorkerInfo mWorker;
  std::map<TaskRef, RunNumber> mRuns;
  std::vector<RunEndReport> mEnds;
  uint64_t mLastEnd = 0;
  std::vector<Record> mLog;
  std::set<JobId> mJobs;
  std::set<JobId> mCancelled;
  std::map<JobId, JobRecord> mProgress;
  std::vector<Append> mUnderWay;
  std::vector<Owner> mOwners;
  uint64_t mLastJob = 0;
  // When a cancellation first took effect.
  std::map<JobId, MonotonicTime> mCancelledAt;
  size_t mLateCopies = 0;
  std::vector<std::string> mViolations;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_INTAKE_COPIES_FAKE_H_
