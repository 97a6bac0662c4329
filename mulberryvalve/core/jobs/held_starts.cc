#include "mulberryvalve/core/jobs/held_starts.h"

#include "mulberryvalve/core/jobs/unrecorded_starts.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace mulberryvalve {
namespace {

std::tuple<uint32_t, uint32_t, uint32_t> KeyOf(const TaskRecord& aTask)
{
  return { aTask.mOccurrence, aTask.mStep, aTask.mIndex };
}

} // namespace

bool NamesWorker(const JobRecord& aRecord,
                 const TaskRef& aTask,
                 const WorkerId& aWorker)
{
  TaskRecord wanted;
  wanted.mOccurrence = aTask.mStep.mOccurrence;
  wanted.mStep = aTask.mStep.mStep;
  wanted.mIndex = aTask.mIndex;
  const auto task =
    std::lower_bound(aRecord.mTasks.begin(),
                     aRecord.mTasks.end(),
                     wanted,
                     [](const TaskRecord& aLeft, const TaskRecord& aRight) {
                       return KeyOf(aLeft) < KeyOf(aRight);
                     });
  if (task == aRecord.mTasks.end() || KeyOf(*task) != KeyOf(wanted)) {
    return false;
  }
  const std::vector<WorkerId>& workers = task->mPossibleWorkers;
  return std::find(workers.begin(), workers.end(), aWorker) != workers.end();
}

void HeldStarts::Add(TaskOrder aOrder,
                     bool aMayStartUnrecorded,
                     MonotonicTime aNow)
{
  const TaskRef task = aOrder.mTask;
  HeldStart start;
  start.mOrder = std::move(aOrder);
  start.mHeldSince = aNow;
  start.mMayStartUnrecorded = aMayStartUnrecorded;
  start.mNumber = ++mLastNumber;
  mStarts[task] = std::move(start);
}

bool HeldStarts::Remove(const TaskRef& aTask)
{
  const auto found = mStarts.find(aTask);
  if (found == mStarts.end()) {
    return false;
  }
  mRecordedCount -= found->second.mIsRecorded ? 1 : 0;
  mStarts.erase(found);
  return true;
}

const HeldStart* HeldStarts::Find(const TaskRef& aTask) const
{
  const auto found = mStarts.find(aTask);
  return found == mStarts.end() ? nullptr : &found->second;
}

bool HeldStarts::HasAnyOf(const JobId& aJob) const
{
  const auto entry = mStarts.lower_bound(TaskRef{ StepRef{ aJob, 0, 0 }, 0 });
  return entry != mStarts.end() && entry->first.mStep.mJob == aJob;
}

void HeldStarts::OnRecorded(const JobRecord& aRecord)
{
  const TaskRef first{ StepRef{ aRecord.mId, 0, 0 }, 0 };
  for (auto entry = mStarts.lower_bound(first);
       entry != mStarts.end() && entry->first.mStep.mJob == aRecord.mId;
       ++entry) {
    HeldStart& start = entry->second;
    if (!start.mIsRecorded &&
        NamesWorker(aRecord, entry->first, start.mOrder.mWorker)) {
      start.mIsRecorded = true;
      mRecordedCount++;
    }
  }
}

void HeldStarts::OnAppended()
{
  mIsOverdue = false;
  mHasAppended = true;
}

bool HeldStarts::UpdateOverdue(MonotonicTime aNow)
{
  const bool wasOverdue = mWasOverdue;
  if (std::exchange(mHasAppended, false)) {
    mAppendedAt = aNow;
  }
  if (!mIsOverdue && mCheckOverdueAt < aNow) {
    MonotonicTime since = aNow;
    for (const auto& [task, start] : mStarts) {
      if (!start.mIsRecorded) {
        since = std::min(since, std::max(start.mHeldSince, mAppendedAt));
      }
    }
    mCheckOverdueAt = since + kMaxRecordWait;
    mIsOverdue = mCheckOverdueAt < aNow;
  }
  mWasOverdue = mIsOverdue;
  return mIsOverdue != wasOverdue;
}

std::vector<HeldStart> HeldStarts::Select(
  const std::function<bool(const HeldStart&)>& aCondition) const
{
  std::vector<HeldStart> selected;
  for (const auto& [task, start] : mStarts) {
    if (aCondition(start)) {
      selected.push_back(start);
    }
  }
  std::sort(selected.begin(),
            selected.end(),
            [](const HeldStart& aLeft, const HeldStart& aRight) {
              return aLeft.mNumber < aRight.mNumber;
            });
  return selected;
}

bool HeldStarts::IsStepRecorded(const StepRef& aStep) const
{
  for (auto entry = mStarts.lower_bound(TaskRef{ aStep, 0 });
       entry != mStarts.end() && entry->first.mStep == aStep;
       ++entry) {
    if (!entry->second.mIsRecorded) {
      return false;
    }
  }
  return true;
}

} // namespace mulberryvalve
