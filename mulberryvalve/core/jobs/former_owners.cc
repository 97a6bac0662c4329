#include "mulberryvalve/core/jobs/former_owners.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace mulberryvalve {

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

std::vector<FormerOwner> FormerOwners::Unsettled() const
{
  std::vector<FormerOwner> owners;
  for (const auto& [epoch, entry] : mOwners) {
    if (!entry.mEndedBy && !entry.mOwner.mPeer.mAddress.empty()) {
      owners.push_back(entry.mOwner);
    }
  }
  return owners;
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

// An owner that is newer than the last user in the worker's record has not used
// the worker, unless it would not have recorded that.
bool FormerOwners::MayHaveUsed(const Entry& aEntry, Epoch aLastUser)
{
  return aEntry.mOwner.mEpoch <= aLastUser || !aEntry.mOwner.mRecordsUse;
}

std::optional<MonotonicTime> FormerOwners::RunsEndBy(
  std::optional<Epoch> aLastUser,
  const WorkerTable& aWorkers) const
{
  const Epoch any(std::numeric_limits<uint64_t>::max());
  const bool isKnown = aLastUser && mOwners.count(*aLastUser) != 0;
  const Epoch lastUser = isKnown ? aLastUser.value_or(any) : any;
  std::optional<MonotonicTime> last;
  for (const auto& [epoch, entry] : mOwners) {
    if (!MayHaveUsed(entry, lastUser)) {
      continue;
    }
    const std::optional<MonotonicTime> end = EndOfRuns(entry, aWorkers).mBy;
    if (!end) {
      return std::nullopt;
    }
    last = std::max(last.value_or(*end), *end);
  }
  return last;
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
