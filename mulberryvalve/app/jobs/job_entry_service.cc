#include "mulberryvalve/app/jobs/job_entry_service.h"

#include <algorithm>

namespace mulberryvalve {
namespace {

// The answer to a caller needs this much of the time that the caller waits.
constexpr Milliseconds kAnswerReserve{ 150 };
constexpr Milliseconds kRetryDelay{ 100 };
constexpr Milliseconds kPeerTimeout{ 600 };
// A question is asked again only while its caller has this much time left.
constexpr Milliseconds kMinTimeToRetry{ 100 };

} // namespace

JobEntryService::JobEntryService(ShardNumber aShards, JobEntryPorts aPorts)
  : mShards(aShards)
  , mPorts(aPorts)
{
  for (ShardNumber shard = 0; shard < mShards; shard++) {
    mIntakeBatchers.push_back(std::make_unique<AppendBatcher>(
      mPorts.mLog, KeyedPlace{ KeyedTopic::kIntake, shard }));
  }
}

Result<void> JobEntryService::Submit(const JobGraph& aJob,
                                     MonotonicTime aDeadline)
{
  JobGraph job = aJob;
  job.mAcceptedAt = mPorts.mClock.WallNow();
  const KeyedEntry entry = mPorts.mCodec.Encode(job);
  // A job that no owner could read would be accepted and forgotten.
  const Result<IntakeItem> readable = mPorts.mCodec.DecodeIntake(entry);
  if (!readable) {
    const bool tooLarge = readable.error().mKind == FailureKind::kTooLarge;
    return Fail(tooLarge ? FailureKind::kTooLarge : FailureKind::kInvalidInput,
                readable.error().mField,
                readable.error().mDetail);
  }
  return Append(job.mId, entry, "submit", aDeadline);
}

Result<void> JobEntryService::Cancel(const JobId& aJob, MonotonicTime aDeadline)
{
  return Append(
    aJob, mPorts.mCodec.Encode(JobCancellation{ aJob }), "cancel", aDeadline);
}

// The record is the same at each try, so a try that took effect unseen does no
// harm. Only when every try is known to have done nothing is the caller told
// that nothing was taken.
Result<void> JobEntryService::Append(const JobId& aJob,
                                     const KeyedEntry& aEntry,
                                     const char* aOperation,
                                     MonotonicTime aDeadline)
{
  const ShardNumber shard = ShardOfJob(aJob, mShards);
  const MonotonicTime begin = mPorts.mClock.Now();
  bool mayHaveTakenEffect = false;
  Failure last;
  int tries = 0;
  do {
    tries++;
    mPorts.mMetrics.Add(Counter::kLogAppends, 1);
    const Result<void> done = mIntakeBatchers[shard]->Append(aEntry);
    if (done) {
      mPorts.mMetrics.Record(Timing::kAppendUs, mPorts.mClock.Now() - begin);
      mPorts.mEvents.Write(EventLevel::kInfo,
                           "job_recorded",
                           { { "job", aJob.Text() },
                             { "what", aOperation },
                             { "tries", std::to_string(tries) },
                             { "shard", std::to_string(shard) } });
      return Done();
    }
    last = done.error();
    mPorts.mMetrics.Add(Counter::kLogFailures, 1);
    if (last.mKind == FailureKind::kLogAnswerLost) {
      mayHaveTakenEffect = true;
    } else if (!mayHaveTakenEffect) {
      break; // nothing was done, and the caller can come back later
    }
    Pause();
  } while (!mStop.IsSet() && mPorts.mClock.Now() + kAnswerReserve < aDeadline);
  mPorts.mEvents.Write(
    EventLevel::kWarn,
    mayHaveTakenEffect ? "job_unknown" : "job_refused",
    { { "job", aJob.Text() },
      { "what", aOperation },
      { "tries", std::to_string(tries) },
      { "kind", std::string(kFailureKindNames.Name(last.mKind)) },
      { "detail", last.mDetail } });
  if (mayHaveTakenEffect) {
    return Fail(FailureKind::kUnknownOutcome, aOperation, last.mDetail);
  }
  const bool tooLarge = last.mKind == FailureKind::kTooLarge;
  return Fail(tooLarge ? FailureKind::kTooLarge : FailureKind::kLogUnavailable,
              aOperation,
              last.mDetail);
}

Result<std::optional<JobPhase>> JobEntryService::Phase(const JobId& aJob,
                                                       MonotonicTime aDeadline)
{
  PeerQuestion question;
  question.mShard = ShardOfJob(aJob, mShards);
  question.mJob = aJob;
  const Result<PeerAnswer> answer = Ask(question, aDeadline);
  if (!answer) {
    return answer.error();
  }
  return answer.value().mPhase;
}

Result<uint64_t> JobEntryService::Waiting(const QueueId& aQueue,
                                          MonotonicTime aDeadline)
{
  uint64_t sum = 0;
  for (ShardNumber shard = 0; shard < mShards; shard++) {
    PeerQuestion question;
    question.mKind = PeerQuestionKind::kWaitingJobs;
    question.mShard = shard;
    question.mQueue = aQueue;
    const Result<PeerAnswer> answer = Ask(question, aDeadline);
    if (!answer) {
      return answer.error();
    }
    sum += answer.value().mWaiting;
  }
  return sum;
}

Result<PeerAnswer> JobEntryService::Ask(const PeerQuestion& aQuestion,
                                        MonotonicTime aDeadline)
{
  Failure lastFailure =
    Fail(FailureKind::kNotReady, "owner", "nobody is known");
  do {
    const PeerAnswer own = mPorts.mMemberships.OnQuestion(aQuestion);
    if (own.mOwns) {
      return own;
    }
    const auto owner = mPorts.mMemberships.OwnerOf(aQuestion.mShard);
    if (owner) {
      const auto left = std::chrono::duration_cast<Milliseconds>(
        aDeadline - mPorts.mClock.Now());
      Result<PeerAnswer> answer = mPorts.mPeers.Ask(
        *owner, aQuestion, std::clamp(left, Milliseconds(1), kPeerTimeout));
      if (answer && answer.value().mOwns) {
        return answer;
      }
      lastFailure =
        answer ? Fail(FailureKind::kNotReady, "owner", "has not loaded yet")
               : answer.error();
    }
    mPorts.mMemberships.InvalidateOwner(aQuestion.mShard);
    Pause();
  } while (!mStop.IsSet() && mPorts.mClock.Now() + kMinTimeToRetry < aDeadline);
  mPorts.mEvents.Write(
    EventLevel::kWarn,
    "question_unanswered",
    { { "job", aQuestion.mJob.Text() },
      { "shard", std::to_string(aQuestion.mShard) },
      { "kind", std::string(kFailureKindNames.Name(lastFailure.mKind)) },
      { "why", lastFailure.mDetail } });
  return Fail(FailureKind::kNotReady, "owner", lastFailure.mDetail);
}

void JobEntryService::Pause()
{
  mStop.WaitUntil(std::chrono::steady_clock::now() + kRetryDelay);
}

} // namespace mulberryvalve
