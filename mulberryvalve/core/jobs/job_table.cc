#include "mulberryvalve/core/jobs/job_table.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace mulberryvalve {
namespace {

ReadyStepKey KeyOfStep(const JobEntry& aJob, const StepRef& aStep)
{
  return ReadyStepKey{ aJob.mArrivalNumber, aStep.mOccurrence, aStep.mStep };
}

bool HasEnds(const TaskProgress& aTask)
{
  return !aTask.mProcessedEnds.empty() || aTask.mDone;
}

bool HasProgress(const TaskProgress& aTask)
{
  return HasEnds(aTask) || IsPlaced(aTask.mPhase) ||
         !aTask.mFormerWorkers.empty();
}

// A completed task is never started again, so nobody needs to know where runs
// of it are left.
std::vector<WorkerId> PossibleWorkersOf(const TaskProgress& aTask)
{
  if (aTask.mDone) {
    return {};
  }
  std::vector<WorkerId> workers = aTask.mFormerWorkers;
  const bool isNamed =
    std::find(workers.begin(), workers.end(), aTask.mWorker) != workers.end();
  if (IsPlaced(aTask.mPhase) && !isNamed) {
    workers.push_back(aTask.mWorker);
  }
  return workers;
}

TaskRecord ToTaskRecord(const StepState& aState,
                        uint32_t aOccurrence,
                        uint32_t aStep,
                        uint32_t aIndex)
{
  const TaskProgress& task = aState.mTasks[aIndex];
  TaskRecord record;
  record.mOccurrence = aOccurrence;
  record.mStep = aStep;
  record.mIndex = aIndex;
  record.mPossibleWorkers = PossibleWorkersOf(task);
  if (HasEnds(task)) {
    record.mDone = task.mDone;
    record.mFailures = task.mFailures;
    record.mProcessedEnds = task.mProcessedEnds;
    record.mCheckpoint = task.mCheckpoint;
  }
  for (const auto& [run, member] : aState.mFailedGangRuns) {
    if (member == aIndex) {
      record.mFailedGangRuns.push_back(run);
    }
  }
  return record;
}

// Returns whether a run of the task has ended. A record that only names workers
// may be of a start that was not sent.
bool HasEnds(const TaskRecord& aRecord)
{
  return aRecord.mDone || aRecord.mFailures > 0 ||
         !aRecord.mProcessedEnds.empty() || !aRecord.mCheckpoint.Empty();
}

} // namespace

JobEntry* JobTable::Add(JobGraph aGraph)
{
  const JobId id = aGraph.mId;
  const auto [found, isNew] = mJobs.try_emplace(id);
  if (!isNew) {
    return nullptr;
  }
  JobEntry& job = found->second;
  job.mGraph = std::move(aGraph);
  job.mArrivalNumber = ++mLastArrivalNumber;
  UpdateWaitingCount(job);
  for (StepSpec& spec : job.mGraph.mSteps) {
    spec.mImageNumber = mImages.NumberOf(spec.mImage);
  }
  job.mTaskCount = job.mGraph.Occurrences() * job.mGraph.TasksPerOccurrence();
  if (job.mGraph.mRecurrence.mTimes > 0) {
    mRecurring.insert(id);
  }
  OpenDueOccurrences(job);
  return &job;
}

// Returns the steps of an occurrence, which are created on the first call.
std::vector<StepState>& JobTable::Open(JobEntry& aJob, uint32_t aOccurrence)
{
  const auto [found, isNew] = aJob.mOccurrences.try_emplace(aOccurrence);
  if (!isNew) {
    return found->second;
  }
  for (const StepSpec& spec : aJob.mGraph.mSteps) {
    StepState& step = found->second.emplace_back();
    step.mTasks.resize(spec.mCount);
    step.mWaiting = spec.mCount;
  }
  return found->second;
}

// A step is added when it becomes ready, so occurrences that were due before
// need no look.
void JobTable::OpenDueOccurrences(JobEntry& aJob)
{
  const auto steps = static_cast<uint32_t>(aJob.mGraph.mSteps.size());
  for (;
       aJob.mNextDue < aJob.mGraph.Occurrences() && IsDue(aJob, aJob.mNextDue);
       aJob.mNextDue++) {
    Open(aJob, aJob.mNextDue);
    for (uint32_t step = 0; step < steps; step++) {
      AddIfReady(aJob, StepRef{ aJob.mGraph.mId, aJob.mNextDue, step });
    }
  }
}

void JobTable::Restore(JobEntry& aJob, const JobRecord& aRecord)
{
  aJob.mPhase = aRecord.mPhase;
  aJob.mDurablePhase = aRecord.mPhase;
  aJob.mPartCount = aRecord.mPart + 1;
  for (const TaskRecord& record : aRecord.mTasks) {
    const TaskRef ref{ { aJob.mGraph.mId, record.mOccurrence, record.mStep },
                       record.mIndex };
    TaskProgress* task = FindTask(ref);
    if (task == nullptr) {
      continue;
    }
    task->mFailures = record.mFailures;
    for (const RunNumber run : record.mFailedGangRuns) {
      StepOf(ref.mStep).mFailedGangRuns.emplace(run, ref.mIndex);
    }
    aJob.mHasFailures = aJob.mHasFailures || record.mFailures > 0;
    task->mProcessedEnds = record.mProcessedEnds;
    task->mCheckpoint = record.mCheckpoint;
    task->mFormerWorkers = record.mPossibleWorkers;
    aJob.mHasFormerEnds = aJob.mHasFormerEnds || HasEnds(record);
    // Earlier versions recorded lasting gangs as done.
    if (record.mDone && !SpecOf(ref.mStep).mLongRunning) {
      Finish(ref);
    }
  }
  if (IsOver(aJob.mPhase)) {
    RemoveReadySteps(aJob);
  }
  UpdateWaitingCount(aJob);
}

JobEntry* JobTable::Find(const JobId& aId)
{
  const auto found = mJobs.find(aId);
  return found == mJobs.end() ? nullptr : &found->second;
}

const JobEntry* JobTable::Find(const JobId& aId) const
{
  const auto found = mJobs.find(aId);
  return found == mJobs.end() ? nullptr : &found->second;
}

const TaskProgress* JobTable::FindTask(const TaskRef& aTask) const
{
  return const_cast<JobTable*>(this)->Locate(aTask).mTask;
}

TaskProgress* JobTable::FindTask(const TaskRef& aTask)
{
  return Locate(aTask).mTask;
}

TaskLookup JobTable::Locate(const TaskRef& aTask)
{
  JobEntry* job = Find(aTask.mStep.mJob);
  if (job == nullptr || aTask.mStep.mOccurrence >= job->mGraph.Occurrences() ||
      aTask.mStep.mStep >= job->mGraph.mSteps.size() ||
      aTask.mIndex >= job->mGraph.mSteps[aTask.mStep.mStep].mCount) {
    return TaskLookup();
  }
  // By another owner's clock it may be due before it is here.
  std::vector<StepState>& steps = Open(*job, aTask.mStep.mOccurrence);
  return TaskLookup{ job,
                     &job->mGraph.mSteps[aTask.mStep.mStep],
                     &steps[aTask.mStep.mStep].mTasks[aTask.mIndex] };
}

StepState& JobTable::StepOf(const StepRef& aStep)
{
  return mJobs.at(aStep.mJob).mOccurrences.at(aStep.mOccurrence)[aStep.mStep];
}

const StepState& JobTable::StepOf(const StepRef& aStep) const
{
  return mJobs.at(aStep.mJob).mOccurrences.at(aStep.mOccurrence)[aStep.mStep];
}

const StepSpec& JobTable::SpecOf(const StepRef& aStep) const
{
  return mJobs.at(aStep.mJob).mGraph.mSteps[aStep.mStep];
}

bool JobTable::Assign(const TaskRef& aTask,
                      const WorkerId& aWorker,
                      RunNumber aRun)
{
  JobEntry& job = mJobs.at(aTask.mStep.mJob);
  StepState& step = StepOf(aTask.mStep);
  TaskProgress& task = step.mTasks[aTask.mIndex];
  step.mWaiting--;
  step.mTasksPerWorker[aWorker]++;
  task.mPhase = TaskPhase::kStarting;
  task.mWorker = aWorker;
  task.mRun = aRun;
  task.mPacePercent = 100;
  task.mIgnoresPressureLimit = false;
  task.mRunsIn = WorkerIncarnation();
  task.mAnsweredAt = MonotonicTime();
  task.mStartedAt = MonotonicTime();
  if (step.mWaiting == 0) {
    step.mWaitingSince = MonotonicTime();
    mReadySteps.erase(KeyOfStep(job, aTask.mStep));
  }
  const bool isRecorded = std::find(task.mFormerWorkers.begin(),
                                    task.mFormerWorkers.end(),
                                    aWorker) != task.mFormerWorkers.end();
  if (!isRecorded) {
    MarkDirty(aTask);
  }
  return !isRecorded;
}

void JobTable::MarkStarted(const JobId& aJob)
{
  JobEntry& job = mJobs.at(aJob);
  job.mStartCount++;
  UpdateWaitingCount(job);
}

void JobTable::TakeBackStart(const JobId& aJob)
{
  JobEntry& job = mJobs.at(aJob);
  if (job.mStartCount > 0) {
    job.mStartCount--;
  }
  UpdateWaitingCount(job);
}

void JobTable::Unassign(const TaskRef& aTask)
{
  JobEntry& job = mJobs.at(aTask.mStep.mJob);
  StepState& step = StepOf(aTask.mStep);
  TaskProgress& task = step.mTasks[aTask.mIndex];
  if (--step.mTasksPerWorker[task.mWorker] == 0) {
    step.mTasksPerWorker.erase(task.mWorker);
  }
  task.mWorker = WorkerId();
  if (task.mDone) {
    task.mPhase = TaskPhase::kDone;
    return;
  }
  task.mPhase = TaskPhase::kWaiting;
  step.mWaiting++;
  AddIfReady(job, aTask.mStep);
}

void JobTable::Finish(const TaskRef& aTask)
{
  JobEntry& job = mJobs.at(aTask.mStep.mJob);
  StepState& step = StepOf(aTask.mStep);
  TaskProgress& task = step.mTasks[aTask.mIndex];
  if (task.mDone) {
    return;
  }
  task.mDone = true;
  step.mDone++;
  job.mFinished++;
  if (task.mPhase == TaskPhase::kWaiting) {
    task.mPhase = TaskPhase::kDone;
    step.mWaiting--;
  }
  if (step.mWaiting == 0) {
    mReadySteps.erase(KeyOfStep(job, aTask.mStep));
  }
  if (step.mDone == step.mTasks.size()) {
    AddReadySuccessors(job, aTask.mStep);
  }
}

void JobTable::AddDueSteps(WallTime aNow)
{
  mCurrentTime = aNow;
  for (const JobId& id : mRecurring) {
    OpenDueOccurrences(mJobs.at(id));
  }
}

void JobTable::RemoveReadySteps(JobEntry& aJob)
{
  UpdateWaitingCount(aJob);
  for (const auto& [occurrence, steps] : aJob.mOccurrences) {
    for (uint32_t step = 0; step < steps.size(); step++) {
      mReadySteps.erase(ReadyStepKey{ aJob.mArrivalNumber, occurrence, step });
    }
  }
  mRecurring.erase(aJob.mGraph.mId);
}

void JobTable::Forget(const JobId& aId)
{
  mJobs.erase(aId);
}

uint32_t JobTable::PartOf(const TaskRef& aTask) const
{
  const JobEntry& job = mJobs.at(aTask.mStep.mJob);
  uint64_t tasksBefore =
    aTask.mIndex + aTask.mStep.mOccurrence * job.mGraph.TasksPerOccurrence();
  for (uint32_t step = 0; step < aTask.mStep.mStep; step++) {
    tasksBefore += job.mGraph.mSteps[step].mCount;
  }
  return static_cast<uint32_t>(tasksBefore / kTasksPerRecord);
}

void JobTable::MarkDirty(const TaskRef& aTask)
{
  JobEntry& job = mJobs.at(aTask.mStep.mJob);
  const uint32_t part = PartOf(aTask);
  job.mDirtyParts.insert(part);
  job.mPartCount = std::max(job.mPartCount, part + 1);
}

void JobTable::MarkPhaseDirty(JobEntry& aJob)
{
  aJob.mDirtyParts.insert(0);
}

std::vector<JobRecord> JobTable::TakeDirtyParts(JobEntry& aJob) const
{
  std::vector<JobRecord> records;
  const std::set<uint32_t> dirtyParts = std::exchange(aJob.mDirtyParts, {});
  if (IsOver(aJob.mPhase)) {
    records.push_back(JobRecord{ aJob.mGraph.mId, aJob.mPhase, {} });
    return records;
  }
  for (const uint32_t part : dirtyParts) {
    records.push_back(JobRecord{ aJob.mGraph.mId, aJob.mPhase, {}, part });
  }
  for (const auto& [occurrence, steps] : aJob.mOccurrences) {
    uint64_t number = occurrence * aJob.mGraph.TasksPerOccurrence();
    for (uint32_t step = 0; step < steps.size(); step++) {
      const auto& tasks = steps[step].mTasks;
      for (uint32_t index = 0; index < tasks.size(); index++) {
        const auto part = static_cast<uint32_t>(number++ / kTasksPerRecord);
        const auto dirty = dirtyParts.find(part);
        if (dirty == dirtyParts.end() || !HasProgress(tasks[index])) {
          continue;
        }
        records[static_cast<size_t>(std::distance(dirtyParts.begin(), dirty))]
          .mTasks.push_back(ToTaskRecord(steps[step], occurrence, step, index));
      }
    }
  }
  return records;
}

// Records of earlier versions count the failures of each member, but do not
// name the runs; a member fails at most once in a run.
int JobTable::FailedAttempts(const StepState& aStep, uint32_t aIndex)
{
  const auto runs = static_cast<int>(aStep.mFailedGangRuns.size());
  return std::max(runs, aStep.mTasks[aIndex].mFailures);
}

bool JobTable::HasPlacedTask(const JobEntry& aJob)
{
  for (const auto& [occurrence, steps] : aJob.mOccurrences) {
    for (const StepState& step : steps) {
      if (!step.mTasksPerWorker.empty()) {
        return true;
      }
    }
  }
  return false;
}

bool JobTable::AllDone(const JobEntry& aJob)
{
  return aJob.mFinished == aJob.mTaskCount;
}

size_t JobTable::Waiting(const QueueId& aQueue) const
{
  const auto found = mWaiting.find(aQueue);
  return found == mWaiting.end() ? 0 : found->second;
}

// Adds a job to the count of waiting jobs, or removes it.
void JobTable::UpdateWaitingCount(JobEntry& aJob)
{
  const bool waits = !aJob.HasStarted() && !IsOver(aJob.mPhase);
  if (waits == aJob.mIsCountedAsWaiting) {
    return;
  }
  aJob.mIsCountedAsWaiting = waits;
  size_t& count = mWaiting[aJob.mGraph.mQueue];
  if (waits) {
    count++;
  } else if (--count == 0) {
    mWaiting.erase(aJob.mGraph.mQueue);
  }
}

bool JobTable::IsDue(const JobEntry& aJob, uint32_t aOccurrence) const
{
  if (aOccurrence < aJob.mNextDue) {
    return true; // though the time of day may have been set back
  }
  const Recurrence& recurrence = aJob.mGraph.mRecurrence;
  const int64_t due = recurrence.mFirst.mMilliseconds +
                      recurrence.mInterval.count() * aOccurrence;
  return recurrence.mTimes == 0 || mCurrentTime.mMilliseconds >= due;
}

bool JobTable::IsReady(const JobEntry& aJob, const StepRef& aStep) const
{
  if (!IsDue(aJob, aStep.mOccurrence)) {
    return false;
  }
  const auto& steps = aJob.mOccurrences.at(aStep.mOccurrence);
  for (const uint32_t dependency : aJob.mGraph.mSteps[aStep.mStep].mDependsOn) {
    if (steps[dependency].mDone < steps[dependency].mTasks.size()) {
      return false;
    }
  }
  return true;
}

void JobTable::AddIfReady(JobEntry& aJob, const StepRef& aStep)
{
  const StepState& step = aJob.mOccurrences.at(aStep.mOccurrence)[aStep.mStep];
  if (step.mWaiting > 0 && !IsOver(aJob.mPhase) && IsReady(aJob, aStep)) {
    mReadySteps.emplace(KeyOfStep(aJob, aStep), &aJob);
  }
}

void JobTable::AddReadySuccessors(JobEntry& aJob, const StepRef& aStep)
{
  for (uint32_t step = 0; step < aJob.mGraph.mSteps.size(); step++) {
    AddIfReady(aJob, StepRef{ aStep.mJob, aStep.mOccurrence, step });
  }
}

} // namespace mulberryvalve
