#include "mulberryvalve/core/jobs/former_owners.h"

#include "mulberryvalve/core/jobs/clock_rate.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace mulberryvalve {
namespace {

// Two clocks' rates differ by 2% at most.

// Returns the longest time here that aTime on a former owner's clock can take.
Milliseconds LongestOf(Milliseconds aTime)
{
  return Milliseconds((aTime.count() * kPerMille + kSlowestRatePerMille - 1) /
                      kSlowestRatePerMille);
}

} // namespace

void FormerOwners::Add(FormerOwner aOwner)
{
  const Epoch epoch = aOwner.mEpoch;
  mOwners.emplace(epoch, Entry{ std::move(aOwner) });
}

void FormerOwners::OnEnded(Epoch aEpoch, MonotonicTime aEndedBy)
{
  const auto found = mOwners.find(aEpoch);
  if (found == mOwners.end()) {
    return;
  }
  std::optional<MonotonicTime>& endedBy = found->second.mEndedBy;
  endedBy = std::min(endedBy.value_or(aEndedBy), aEndedBy);
}

void FormerOwners::OnLastProof(Epoch aEpoch,
                               MonotonicTime aProvedBy,
                               RunsEndEvidence aEvidence)
{
  const auto found = mOwners.find(aEpoch);
  if (found == mOwners.end() || !found->second.mOwner.mActiveFor) {
    return;
  }
  Entry& entry = found->second;
  if (!entry.mProvedBy || aProvedBy < *entry.mProvedBy) {
    entry.mProvedBy = aProvedBy;
    entry.mProofEvidence = aEvidence;
  }
}

// The answer was given before it arrived, so what is left of a lease from then
// on ends no later than counted from its arrival. An owner that has ended sends
// nothing more, so each of its answers holds for good.
void FormerOwners::OnTold(const FormerOwnerEnd& aEnd)
{
  OnEnded(aEnd.mEpoch, aEnd.mEndedBy);
  const auto found = mOwners.find(aEnd.mEpoch);
  if (found == mOwners.end() || !aEnd.mTold) {
    return;
  }
  Entry& entry = found->second;
  entry.mTells = true;
  entry.mAskedOf.insert(aEnd.mAskedOf.begin(), aEnd.mAskedOf.end());
  for (const ToldWorker& told : aEnd.mTold->mWorkers) {
    entry.mLeasesEndBy[told.mWorker] =
      told.mLeasesLeft ? aEnd.mReceivedAt + LongestOf(*told.mLeasesLeft)
                       : MonotonicTime();
    if (aEnd.mTold->mUnrecorded) {
      entry.mUnrecorded[told.mWorker].clear();
    }
  }
  if (!aEnd.mTold->mUnrecorded) {
    return;
  }
  for (const UnrecordedStart& start : *aEnd.mTold->mUnrecorded) {
    const auto told = entry.mUnrecorded.find(start.mWorker);
    if (told != entry.mUnrecorded.end()) {
      told->second.push_back(start.mTask);
    }
  }
}

std::vector<FormerOwnerQuestion> FormerOwners::Questions(
  const std::vector<WorkerId>& aPending) const
{
  std::vector<FormerOwnerQuestion> questions;
  for (const auto& [epoch, entry] : mOwners) {
    const bool hasEnded = entry.mEndedBy.has_value();
    if (entry.mOwner.mPeer.mAddress.empty() || (hasEnded && !entry.mTells)) {
      continue;
    }
    FormerOwnerQuestion question{ entry.mOwner, {} };
    for (const WorkerId& worker : aPending) {
      if (entry.mAskedOf.count(worker) == 0 &&
          question.mWorkers.size() < kMaxToldWorkers) {
        question.mWorkers.push_back(worker);
      }
    }
    if (!hasEnded || !question.mWorkers.empty()) {
      questions.push_back(std::move(question));
    }
  }
  return questions;
}

// Returns by when the runs of aEpoch have ended by what later owners recorded
// of it, or nothing if none did.
std::optional<MonotonicTime> FormerOwners::EndRecordedByOthers(
  Epoch aEpoch,
  const WorkerTable& aWorkers) const
{
  std::optional<MonotonicTime> by;
  for (auto later = mOwners.upper_bound(aEpoch); later != mOwners.end();
       ++later) {
    const Entry& entry = later->second;
    const auto left = entry.mOwner.mFormerRunsLeft.find(aEpoch);
    if (entry.mProvedBy && left != entry.mOwner.mFormerRunsLeft.end()) {
      const MonotonicTime end =
        aWorkers.EndOfRunsLeft(*entry.mProvedBy, left->second);
      by = std::min(by.value_or(end), end);
    }
  }
  return by;
}

// Returns the entry with the earliest time by which aEntry's owner had appended
// for the last time: its own, or one of a later owner that appended after its
// claim was on the log, as only those record use. The log refuses an owner once
// a later one has claimed.
const FormerOwners::Entry& FormerOwners::EarliestProof(
  const Entry& aEntry) const
{
  const Entry* earliest = &aEntry;
  for (auto later = mOwners.upper_bound(aEntry.mOwner.mEpoch);
       later != mOwners.end();
       ++later) {
    const Entry& entry = later->second;
    if (entry.mOwner.mRecordsUse && entry.mProvedBy &&
        *entry.mProvedBy < *earliest->mProvedBy) {
      earliest = &entry;
    }
  }
  return *earliest;
}

// Each bound holds, so the earliest one is used.
RunsEnd FormerOwners::EndOfRuns(const Entry& aEntry,
                                const WorkerTable& aWorkers) const
{
  RunsEnd end;
  end.mEpoch = aEntry.mOwner.mEpoch;
  if (aEntry.mProvedBy) {
    const Entry& last = EarliestProof(aEntry);
    end.mBy = aWorkers.EndOfRunsProvedAt(*last.mProvedBy);
    end.mEvidence = last.mProofEvidence;
  }
  const auto recorded = EndRecordedByOthers(end.mEpoch, aWorkers);
  if (recorded && (!end.mBy || *recorded < *end.mBy)) {
    end.mBy = recorded;
    end.mEvidence = RunsEndEvidence::kRecorded;
  }
  if (aEntry.mEndedBy) {
    const MonotonicTime by = aWorkers.EndOfRunsOrderedBy(*aEntry.mEndedBy);
    if (!end.mBy || by < *end.mBy) {
      end.mBy = by;
      end.mEvidence = RunsEndEvidence::kEnded;
    }
  }
  return end;
}

std::vector<RunsEnd> FormerOwners::EndsOfRuns(const WorkerTable& aWorkers) const
{
  std::vector<RunsEnd> ends;
  for (const auto& [epoch, entry] : mOwners) {
    ends.push_back(EndOfRuns(entry, aWorkers));
  }
  return ends;
}

// What an owner told of a worker counts if it is earlier than the bounds for
// all workers.
std::optional<MonotonicTime> FormerOwners::EndOfRunsOn(
  const WorkerId& aWorker,
  const Entry& aEntry,
  const WorkerTable& aWorkers) const
{
  const std::optional<MonotonicTime> end = EndOfRuns(aEntry, aWorkers).mBy;
  const auto told = aEntry.mLeasesEndBy.find(aWorker);
  if (told == aEntry.mLeasesEndBy.end()) {
    return end;
  }
  return std::min(end.value_or(told->second), told->second);
}

// Returns the owners that may have used a worker whose record names aLastUser.
// An owner that is newer than that one has not used it, unless it would not
// have recorded that.
std::vector<const FormerOwners::Entry*> FormerOwners::PossibleUsers(
  std::optional<Epoch> aLastUser) const
{
  const bool isKnown = aLastUser && mOwners.count(*aLastUser) != 0;
  std::vector<const Entry*> users;
  for (const auto& [epoch, entry] : mOwners) {
    if (!isKnown || epoch <= *aLastUser || !entry.mOwner.mRecordsUse) {
      users.push_back(&entry);
    }
  }
  return users;
}

std::optional<MonotonicTime> FormerOwners::RunsEndBy(
  const WorkerId& aWorker,
  std::optional<Epoch> aLastUser,
  const WorkerTable& aWorkers) const
{
  std::optional<MonotonicTime> last;
  for (const Entry* user : PossibleUsers(aLastUser)) {
    const auto end = EndOfRunsOn(aWorker, *user, aWorkers);
    if (!end) {
      return std::nullopt;
    }
    last = std::max(last.value_or(*end), *end);
  }
  return last;
}

std::optional<std::vector<TaskRef>> FormerOwners::UnrecordedStartsOn(
  const WorkerId& aWorker,
  std::optional<Epoch> aLastUser) const
{
  const std::vector<const Entry*> users = PossibleUsers(aLastUser);
  if (users.empty()) {
    return std::nullopt;
  }
  std::vector<TaskRef> tasks;
  for (const Entry* user : users) {
    const auto told = user->mUnrecorded.find(aWorker);
    if (told == user->mUnrecorded.end()) {
      return std::nullopt;
    }
    tasks.insert(tasks.end(), told->second.begin(), told->second.end());
  }
  return tasks;
}

std::optional<Epoch> FormerOwners::Newest() const
{
  if (mOwners.empty()) {
    return std::nullopt;
  }
  return mOwners.rbegin()->first;
}

std::vector<Epoch> FormerOwners::TakeAll()
{
  std::vector<Epoch> epochs;
  for (const auto& [epoch, entry] : std::exchange(mOwners, {})) {
    epochs.push_back(epoch);
  }
  return epochs;
}

} // namespace mulberryvalve
