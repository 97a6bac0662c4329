#include "mulberryvalve/core/jobs/unrecorded_start_list.h"

#include "mulberryvalve/core/jobs/held_starts.h"

namespace mulberryvalve {
namespace {

// Sorts before every start of a task of aJob.
std::pair<TaskRef, WorkerId> FirstKeyOf(const JobId& aJob)
{
  return { TaskRef{ StepRef{ aJob, 0, 0 }, 0 }, WorkerId() };
}

} // namespace

void UnrecordedStartList::OnSent(const TaskRef& aTask,
                                 const WorkerId& aWorker,
                                 uint32_t aPart)
{
  mStarts[{ aTask, aWorker }] = Start{ aPart, false };
  if (mStarts.size() > kMaxStarts) {
    mStarts.clear();
    mIsComplete = false;
  }
}

void UnrecordedStartList::OnTaken(const std::vector<JobRecord>& aRecords)
{
  for (const JobRecord& record : aRecords) {
    for (auto entry = mStarts.lower_bound(FirstKeyOf(record.mId));
         entry != mStarts.end() && entry->first.first.mStep.mJob == record.mId;
         ++entry) {
      Start& start = entry->second;
      start.mIsTaken = start.mIsTaken || start.mPart == record.mPart;
    }
  }
}

void UnrecordedStartList::OnDurable(const JobRecord& aRecord)
{
  auto entry = mStarts.lower_bound(FirstKeyOf(aRecord.mId));
  while (entry != mStarts.end() &&
         entry->first.first.mStep.mJob == aRecord.mId) {
    const auto& [task, worker] = entry->first;
    const Start& start = entry->second;
    const bool isOver = aRecord.mPart == 0 && IsOver(aRecord.mPhase);
    const bool isCovered = start.mIsTaken && start.mPart == aRecord.mPart;
    const bool isForgotten =
      isOver || isCovered || NamesWorker(aRecord, task, worker);
    entry = isForgotten ? mStarts.erase(entry) : std::next(entry);
  }
}

std::optional<std::vector<UnrecordedStart>> UnrecordedStartList::On(
  const std::set<WorkerId>& aWorkers) const
{
  if (!mIsComplete) {
    return std::nullopt;
  }
  std::vector<UnrecordedStart> starts;
  for (const auto& [key, start] : mStarts) {
    if (aWorkers.count(key.second) != 0) {
      starts.push_back(UnrecordedStart{ key.first, key.second });
    }
  }
  return starts;
}

} // namespace mulberryvalve
