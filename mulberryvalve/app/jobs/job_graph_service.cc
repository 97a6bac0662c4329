#include "mulberryvalve/app/jobs/job_graph_service.h"

#include "mulberryvalve/app/jobs/shard_runtime.h"

#include <algorithm>

namespace mulberryvalve {
namespace {

constexpr Milliseconds kAskTimeout{ 600 };
// A query is retried only while its caller has at least this much time
// remaining.
constexpr Milliseconds kMinTimeToRetry{ 100 };

} // namespace

JobGraphService::JobGraphService(ShardNumber aShards,
                                 JobGraphServicePorts aPorts,
                                 IntakeRelaying aRelaying)
  : mShards(aShards)
  , mPorts(aPorts)
  , mAppender(aShards,
              IntakeAppenderPorts{ aPorts.mLog,
                                   { aPorts.mPeers,
                                     aPorts.mMemberships,
                                     aPorts.mClock,
                                     aPorts.mMetrics,
                                     aPorts.mEvents } },
              aRelaying)
{
}

Result<void> JobGraphService::Submit(const JobGraph& aJob,
                                     MonotonicTime aDeadline)
{
  JobGraph job = aJob;
  job.mAcceptedAt = mPorts.mClock.WallNow();
  const KeyedEntry entry = mPorts.mCodec.Encode(job);
  // Checked because a job that no owner can decode would be accepted but never
  // run.
  const Result<IntakeItem> readable = mPorts.mCodec.DecodeIntake(entry);
  if (!readable) {
    const bool isTooLarge = readable.error().mKind == FailureKind::kTooLarge;
    return Fail(isTooLarge ? FailureKind::kTooLarge
                           : FailureKind::kInvalidInput,
                readable.error().mField,
                readable.error().mDetail);
  }
  return Append(job.mId, entry, "submit", aDeadline);
}

Result<void> JobGraphService::Cancel(const JobId& aJob, MonotonicTime aDeadline)
{
  return Append(
    aJob, mPorts.mCodec.Encode(JobCancellation{ aJob }), "cancel", aDeadline);
}

// Every attempt appends the same record, so repeating an attempt that took
// effect unnoticed does no harm. The caller is told that nothing was accepted
// only if every attempt is known to have had no effect.
Result<void> JobGraphService::Append(const JobId& aJob,
                                     const KeyedEntry& aEntry,
                                     const char* aOperation,
                                     MonotonicTime aDeadline)
{
  const ShardNumber shard = ShardOfJob(aJob, mShards);
  const MonotonicTime begin = mPorts.mClock.Now();
  bool mayHaveTakenEffect = false;
  bool shouldRepeat = false;
  Failure last;
  int attempts = 0;
  do {
    attempts++;
    const MonotonicTime attemptedAt = mPorts.mClock.Now();
    const Result<void> done = mAppender.Attempt(shard, aEntry, aDeadline);
    if (done) {
      mPorts.mMetrics.Record(Timing::kAppendUs, mPorts.mClock.Now() - begin);
      mPorts.mEvents.Write(EventLevel::kInfo,
                           "job_recorded",
                           { { "job", aJob.Text() },
                             { "what", aOperation },
                             { "tries", std::to_string(attempts) },
                             { "shard", std::to_string(shard) } });
      return Done();
    }
    last = done.error();
    mayHaveTakenEffect =
      mayHaveTakenEffect || last.mKind == FailureKind::kLogAnswerLost;
    // If nothing was appended, the caller can safely come back later.
    shouldRepeat =
      mayHaveTakenEffect && mAppender.IsTimeToRepeat(attemptedAt, aDeadline);
    if (shouldRepeat) {
      Pause();
    }
  } while (shouldRepeat && !mStop.IsSet());
  mPorts.mEvents.Write(
    EventLevel::kWarn,
    mayHaveTakenEffect ? "job_unknown" : "job_refused",
    { { "job", aJob.Text() },
      { "what", aOperation },
      { "tries", std::to_string(attempts) },
      { "kind", std::string(kFailureKindNames.Name(last.mKind)) },
      { "detail", last.mDetail } });
  if (mayHaveTakenEffect) {
    return Fail(FailureKind::kUnknownOutcome, aOperation, last.mDetail);
  }
  const bool isTooLarge = last.mKind == FailureKind::kTooLarge;
  Failure refused =
    Fail(isTooLarge ? FailureKind::kTooLarge : FailureKind::kLogUnavailable,
         aOperation,
         last.mDetail);
  refused.mRetryAt = last.mRetryAt;
  return refused;
}

Result<std::optional<JobPhase>> JobGraphService::Phase(const JobId& aJob,
                                                       MonotonicTime aDeadline)
{
  PeerQuery question;
  question.mShard = ShardOfJob(aJob, mShards);
  question.mJob = aJob;
  const Result<PeerQueryResult> answer = Ask(question, aDeadline);
  if (!answer) {
    return answer.error();
  }
  return answer.value().mPhase;
}

Result<uint64_t> JobGraphService::CountWaitingJobs(const QueueId& aQueue,
                                                   MonotonicTime aDeadline)
{
  uint64_t sum = 0;
  for (ShardNumber shard = 0; shard < mShards; shard++) {
    PeerQuery question;
    question.mKind = PeerQueryKind::kWaitingJobs;
    question.mShard = shard;
    question.mQueue = aQueue;
    const Result<PeerQueryResult> answer = Ask(question, aDeadline);
    if (!answer) {
      return answer.error();
    }
    sum += answer.value().mWaiting;
  }
  return sum;
}

Result<PeerQueryResult> JobGraphService::Ask(const PeerQuery& aQuestion,
                                             MonotonicTime aDeadline)
{
  Failure lastFailure =
    Fail(FailureKind::kNotReady, "owner", "nobody is known");
  do {
    const PeerQueryResult localAnswer = mPorts.mMemberships.OnQuery(aQuestion);
    if (localAnswer.mOwns) {
      return localAnswer;
    }
    const auto owner = mPorts.mMemberships.OwnerOf(aQuestion.mShard);
    if (owner) {
      const auto remaining = std::chrono::duration_cast<Milliseconds>(
        aDeadline - mPorts.mClock.Now());
      Result<PeerQueryResult> answer = mPorts.mPeers.Ask(
        *owner, aQuestion, std::clamp(remaining, Milliseconds(1), kAskTimeout));
      if (answer) {
        mPorts.mMemberships.OnPeerAnswer(aQuestion.mShard, answer.value());
      }
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

void JobGraphService::Pause()
{
  mStop.WaitUntil(std::chrono::steady_clock::now() +
                  IntakeAppender::kRetryDelay);
}

} // namespace mulberryvalve
