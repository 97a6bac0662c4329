#include "mulberryvalve/app/jobs/append_batcher.h"

#include <chrono>
#include <iterator>
#include <string>
#include <utility>

namespace mulberryvalve {
namespace {

// Consecutive callers that are refused return at times far apart.
constexpr uint64_t kSpreadStep = 193;

LogCallEnd EndOf(const Result<void>& aOutcome)
{
  if (aOutcome) {
    return LogCallEnd::kAnswered;
  }
  return aOutcome.error().mKind == FailureKind::kLogAnswerLost
           ? LogCallEnd::kLost
           : LogCallEnd::kRefused;
}

} // namespace

Result<void> AppendBatcher::Append(const KeyedEntry& aEntry,
                                   const AppendTerms& aTerms)
{
  const KeyedLogLimits limits = mLog.Limits();
  if (!FitsRecord(aEntry, limits)) {
    return Fail(FailureKind::kTooLarge,
                aEntry.mKey,
                std::to_string(RecordBytes(aEntry)) + " bytes");
  }
  return AppendAll({ aEntry }, aTerms);
}

Result<void> AppendBatcher::AppendAll(const std::vector<KeyedEntry>& aEntries,
                                      const AppendTerms& aTerms)
{
  size_t bytes = 0;
  for (const KeyedEntry& entry : aEntries) {
    bytes += RecordBytes(entry) + kRecordOverhead;
  }
  const size_t maxBytes = mLog.Limits().mRequestBytes;
  MutexLock lock(mMutex);
  mAvailability.OnOtherAnswer(aTerms.mHeardAt);
  WaitForRoom(bytes, maxBytes);
  if (mOpenBatch == nullptr) {
    mOpenBatch = std::make_shared<Batch>();
  }
  const std::shared_ptr<Batch> batch = mOpenBatch;
  const size_t part = batch->mParts.size();
  batch->mParts.push_back(Part{ aEntries, aTerms.mSendBy });
  batch->mBytes += bytes;
  if (WaitForTurn(*batch)) {
    Send(*batch);
  }
  return OutcomeOf(*batch, batch->mParts[part]);
}

Milliseconds AppendBatcher::LastCallTime()
{
  MutexLock lock(mMutex);
  return mLastCallTime;
}

std::optional<MonotonicTime> AppendBatcher::PendingSince()
{
  MutexLock lock(mMutex);
  return mAvailability.PendingSince();
}

MonotonicTime AppendBatcher::RetryAt()
{
  MutexLock lock(mMutex);
  return mAvailability.RetryAt(mClock.Now(), mNextSpread += kSpreadStep);
}

// If entries of aBytes do not fit into the open batch, which may have
// aMaxBytes, waits until that batch is sent or refused.
void AppendBatcher::WaitForRoom(size_t aBytes, size_t aMaxBytes)
{
  while (mOpenBatch != nullptr && mOpenBatch->mBytes + aBytes > aMaxBytes) {
    mCond.Wait(mMutex);
  }
}

// Returns true if the caller has to send aBatch, false if it is done. The first
// caller of a batch that gets its turn sends it for all of them.
bool AppendBatcher::WaitForTurn(Batch& aBatch)
{
  while (!aBatch.mDone) {
    if (aBatch.mSent) {
      mCond.Wait(mMutex);
      continue;
    }
    const MonotonicTime now = mClock.Now();
    switch (mAvailability.NextTurn(now)) {
      case AppendTurn::kSend:
        return true;
      case AppendTurn::kWait:
        mCond.WaitUntil(mMutex,
                        std::chrono::steady_clock::now() +
                          (mAvailability.WaitUntil() - now));
        break;
      case AppendTurn::kRefuse:
        Finish(
          aBatch,
          Fail(FailureKind::kLogUnavailable, "append", "no answer lately"));
        mOpenBatch.reset();
        break;
    }
  }
  return false;
}

// Releases mMutex for the time of the call.
void AppendBatcher::Send(Batch& aBatch)
{
  aBatch.mSent = true;
  mOpenBatch.reset();
  mCond.NotifyAll();
  const std::vector<KeyedEntry> entries = TakeEntriesInTime(aBatch);
  if (entries.empty()) {
    Finish(aBatch, Done());
    return;
  }
  const MonotonicTime begunAt = mClock.Now();
  mAvailability.OnCallBegan(begunAt);
  mMutex.Unlock();
  Result<void> outcome = mLog.Append(mPlace, entries);
  mMutex.Lock();
  const MonotonicTime now = mClock.Now();
  mAvailability.OnCallEnded(begunAt, EndOf(outcome), now);
  if (outcome) {
    mLastCallTime = std::chrono::ceil<Milliseconds>(now - begunAt);
  }
  Finish(aBatch, std::move(outcome));
}

// Marks the parts that are too late for a call that begins now, and returns the
// entries of the others.
std::vector<KeyedEntry> AppendBatcher::TakeEntriesInTime(Batch& aBatch)
{
  const MonotonicTime now = mClock.Now();
  std::vector<KeyedEntry> entries;
  for (Part& part : aBatch.mParts) {
    part.mIsLate = now >= part.mSendBy;
    if (!part.mIsLate) {
      std::move(part.mEntries.begin(),
                part.mEntries.end(),
                std::back_inserter(entries));
    }
  }
  return entries;
}

void AppendBatcher::Finish(Batch& aBatch, Result<void> aOutcome)
{
  aBatch.mOutcome = std::move(aOutcome);
  aBatch.mDone = true;
  mCond.NotifyAll();
}

// Each caller is told a time of its own to come back.
Result<void> AppendBatcher::OutcomeOf(const Batch& aBatch, const Part& aPart)
{
  Result<void> outcome =
    aPart.mIsLate
      ? Fail(FailureKind::kLogUnavailable, "append", "the time is over")
      : aBatch.mOutcome;
  if (!outcome) {
    outcome.error().mRetryAt =
      mAvailability.RetryAt(mClock.Now(), mNextSpread += kSpreadStep);
  }
  return outcome;
}

} // namespace mulberryvalve
