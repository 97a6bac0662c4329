#include "mulberryvalve/core/jobs/former_workers.h"

#include <algorithm>
#include <utility>

namespace mulberryvalve {

void FormerWorkers::Add(const WorkerId& aWorker, FormerWorker aKnown)
{
  const auto [row, isNew] = mWorkers.emplace(aWorker, std::move(aKnown));
  if (!isNew) {
    return;
  }
  const FormerWorker& known = row->second;
  mWaits.emplace(known.mUntil, aWorker);
  if (!known.mMayRun) {
    mHoldingAll++;
    return;
  }
  for (const TaskRef& task : *known.mMayRun) {
    mHeld[task]++;
  }
}

void FormerWorkers::Remove(const WorkerId& aWorker)
{
  SetOver(aWorker, MonotonicTime());
  mWorkers.erase(aWorker);
}

void FormerWorkers::SetOver(const WorkerId& aWorker, MonotonicTime aNow)
{
  const auto row = mWorkers.find(aWorker);
  if (row == mWorkers.end()) {
    return;
  }
  FormerWorker& known = row->second;
  if (mWaits.erase({ known.mUntil, aWorker }) != 0) {
    CountOut(known);
  }
  known.mUntil = std::min(known.mUntil, aNow);
  known.mMayRun.emplace();
}

const FormerWorker* FormerWorkers::Find(const WorkerId& aWorker) const
{
  const auto found = mWorkers.find(aWorker);
  return found == mWorkers.end() ? nullptr : &found->second;
}

void FormerWorkers::Advance(MonotonicTime aProvedAt)
{
  while (!mWaits.empty() && mWaits.begin()->first <= aProvedAt) {
    const WorkerId worker = mWaits.begin()->second;
    SetOver(worker, aProvedAt);
  }
}

bool FormerWorkers::IsWaitedFor(const WorkerId& aWorker) const
{
  const FormerWorker* known = Find(aWorker);
  return known != nullptr && mWaits.count({ known->mUntil, aWorker }) != 0;
}

bool FormerWorkers::HoldsAnyOf(const StepRef& aStep) const
{
  const auto first = mHeld.lower_bound(TaskRef{ aStep, 0 });
  return first != mHeld.end() && first->first.mStep == aStep;
}

std::vector<WorkerId> FormerWorkers::Waited() const
{
  std::vector<WorkerId> workers;
  workers.reserve(mWaits.size());
  for (const auto& [until, worker] : mWaits) {
    workers.push_back(worker);
  }
  return workers;
}

MonotonicTime FormerWorkers::LongestWait() const
{
  return mWaits.empty() ? MonotonicTime() : mWaits.rbegin()->first;
}

void FormerWorkers::CountOut(const FormerWorker& aKnown)
{
  if (!aKnown.mMayRun) {
    mHoldingAll--;
    return;
  }
  for (const TaskRef& task : *aKnown.mMayRun) {
    const auto held = mHeld.find(task);
    if (--held->second == 0) {
      mHeld.erase(held);
    }
  }
}

} // namespace mulberryvalve
