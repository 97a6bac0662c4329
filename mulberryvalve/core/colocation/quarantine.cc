#include "mulberryvalve/core/colocation/quarantine.h"

#include <algorithm>

namespace mulberryvalve {

Quarantine::Quarantine(QuarantineOptions aOptions)
  : mOptions(aOptions)
{
}

void Quarantine::OnOutcome(const WorkerId& aWorker,
                           ClassIndex aClass,
                           bool aSucceeded,
                           MonotonicTime aNow)
{
  RecordOutcome(aWorker, aClass, aSucceeded);
  if (aSucceeded) {
    mWorkers.erase(aWorker);
    return;
  }
  if (!IsEvidenceAgainst(aWorker, aClass)) {
    return;
  }
  OnCountedFailure(mWorkers[aWorker], aNow);
}

void Quarantine::OnCountedFailure(WorkerRecord& aRecord, MonotonicTime aNow)
{
  aRecord.mConsecutiveFailures++;
  if (!aRecord.mQuarantined &&
      aRecord.mConsecutiveFailures < mOptions.mFailuresToQuarantine) {
    return;
  }
  aRecord.mBackoff = aRecord.mQuarantined
                       ? std::min(aRecord.mBackoff * 2, mOptions.mMaxProbeDelay)
                       : mOptions.mFirstProbeDelay;
  aRecord.mQuarantined = true;
  aRecord.mProbeAt = aNow + aRecord.mBackoff;
}

void Quarantine::RecordOutcome(const WorkerId& aWorker,
                               ClassIndex aClass,
                               bool aSucceeded)
{
  ClassOutcomes& outcomes = mClasses[aClass];
  const auto [last, added] =
    outcomes.mLastSucceeded.try_emplace(aWorker, aSucceeded);
  if (!added && last->second) {
    outcomes.mSucceeded--;
  }
  last->second = aSucceeded;
  outcomes.mSucceeded += aSucceeded ? 1 : 0;
}

bool Quarantine::IsEvidenceAgainst(const WorkerId& aWorker,
                                   ClassIndex aClass) const
{
  const ClassOutcomes& outcomes = mClasses[aClass];
  const auto own = outcomes.mLastSucceeded.find(aWorker);
  const size_t ownCount = own == outcomes.mLastSucceeded.end() ? 0 : 1;
  const size_t ownSuccesses = ownCount == 1 && own->second ? 1 : 0;
  const size_t others = outcomes.mLastSucceeded.size() - ownCount;
  const size_t successes = outcomes.mSucceeded - ownSuccesses;
  return others > 0 &&
         static_cast<double>(successes) >=
           mOptions.mMinPeerSuccessShare * static_cast<double>(others);
}

bool Quarantine::IsExcluded(const WorkerId& aWorker, MonotonicTime aNow) const
{
  const auto found = mWorkers.find(aWorker);
  return found != mWorkers.end() && found->second.mQuarantined &&
         aNow < found->second.mProbeAt;
}

bool Quarantine::IsQuarantined(const WorkerId& aWorker) const
{
  const auto found = mWorkers.find(aWorker);
  return found != mWorkers.end() && found->second.mQuarantined;
}

std::vector<WorkerId> Quarantine::ExcludedWorkers(MonotonicTime aNow) const
{
  std::vector<WorkerId> excluded;
  for (const auto& [worker, record] : mWorkers) {
    if (record.mQuarantined && aNow < record.mProbeAt) {
      excluded.push_back(worker);
    }
  }
  return excluded;
}

void Quarantine::OnPlaced(const WorkerId& aWorker, MonotonicTime aNow)
{
  const auto found = mWorkers.find(aWorker);
  if (found != mWorkers.end() && found->second.mQuarantined) {
    found->second.mProbeAt = aNow + mOptions.mMaxProbeDelay;
  }
}

size_t Quarantine::Size() const
{
  return static_cast<size_t>(
    std::count_if(mWorkers.begin(), mWorkers.end(), [](const auto& aEntry) {
      return aEntry.second.mQuarantined;
    }));
}

} // namespace mulberryvalve
