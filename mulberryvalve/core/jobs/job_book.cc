#include "mulberryvalve/core/jobs/job_book.h"

#include <utility>

namespace mulberryvalve {
namespace {

OpenStep KeyOfStep(const JobEntry& aJob, const StepRef& aStep)
{
  return OpenStep{ aJob.mArrivalNumber, aStep.mOccurrence, aStep.mStep };
}

} // namespace

JobEntry* JobBook::Add(JobGraph aGraph)
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
  job.mOccurrences.resize(job.mGraph.Occurrences());
  for (auto& steps : job.mOccurrences) {
    for (const StepSpec& spec : job.mGraph.mSteps) {
      StepState& step = steps.emplace_back();
      step.mTasks.resize(spec.mCount);
      step.mWaiting = spec.mCount;
      job.mTaskCount += spec.mCount;
    }
  }
  if (job.mGraph.mRecurrence.mTimes > 0) {
    mRecurring.insert(id);
  }
  for (uint32_t occurrence = 0; occurrence < job.mOccurrences.size();
       occurrence++) {
    for (uint32_t step = 0; step < job.mGraph.mSteps.size(); step++) {
      AddIfReady(job, StepRef{ id, occurrence, step });
    }
  }
  return &job;
}

void JobBook::Restore(JobEntry& aJob, const JobRecord& aRecord)
{
  aJob.mPhase = aRecord.mPhase;
  aJob.mShown = aRecord.mPhase;
  for (const TaskRecord& record : aRecord.mTasks) {
    const TaskRef ref{ { aJob.mGraph.mId, record.mOccurrence, record.mStep },
                       record.mIndex };
    StepTask* task = FindTask(ref);
    if (task == nullptr) {
      continue;
    }
    task->mFailures = record.mFailures;
    aJob.mHasFailures = aJob.mHasFailures || record.mFailures > 0;
    task->mCounted = record.mCounted;
    task->mCheckpoint = record.mCheckpoint;
    aJob.mBegun = true;
    if (record.mDone) {
      Finish(ref);
    }
  }
  if (IsOver(aJob.mPhase)) {
    Close(aJob);
  }
  UpdateWaitingCount(aJob);
}

JobEntry* JobBook::Find(const JobId& aId)
{
  const auto found = mJobs.find(aId);
  return found == mJobs.end() ? nullptr : &found->second;
}

const JobEntry* JobBook::Find(const JobId& aId) const
{
  const auto found = mJobs.find(aId);
  return found == mJobs.end() ? nullptr : &found->second;
}

const StepTask* JobBook::FindTask(const TaskRef& aTask) const
{
  return const_cast<JobBook*>(this)->Locate(aTask).mTask;
}

StepTask* JobBook::FindTask(const TaskRef& aTask)
{
  return Locate(aTask).mTask;
}

TaskPlace JobBook::Locate(const TaskRef& aTask)
{
  JobEntry* job = Find(aTask.mStep.mJob);
  if (job == nullptr || aTask.mStep.mOccurrence >= job->mOccurrences.size()) {
    return TaskPlace();
  }
  auto& steps = job->mOccurrences[aTask.mStep.mOccurrence];
  if (aTask.mStep.mStep >= steps.size() ||
      aTask.mIndex >= steps[aTask.mStep.mStep].mTasks.size()) {
    return TaskPlace();
  }
  return TaskPlace{ job,
                    &job->mGraph.mSteps[aTask.mStep.mStep],
                    &steps[aTask.mStep.mStep].mTasks[aTask.mIndex] };
}

StepState& JobBook::StepOf(const StepRef& aStep)
{
  return mJobs.at(aStep.mJob).mOccurrences[aStep.mOccurrence][aStep.mStep];
}

const StepSpec& JobBook::SpecOf(const StepRef& aStep) const
{
  return mJobs.at(aStep.mJob).mGraph.mSteps[aStep.mStep];
}

void JobBook::Place(const TaskRef& aTask,
                    const WorkerId& aWorker,
                    RunNumber aRun)
{
  JobEntry& job = mJobs.at(aTask.mStep.mJob);
  StepState& step = StepOf(aTask.mStep);
  StepTask& task = step.mTasks[aTask.mIndex];
  step.mWaiting--;
  step.mSiblings[aWorker]++;
  task.mPhase = TaskPhase::kStarting;
  task.mWorker = aWorker;
  task.mRun = aRun;
  task.mPacePercent = 100;
  task.mIsTolerated = false;
  task.mAnsweredAt = MonotonicTime();
  task.mStartedAt = MonotonicTime();
  job.mBegun = true;
  UpdateWaitingCount(job);
  if (step.mWaiting == 0) {
    step.mWaitingSince = MonotonicTime();
    mReadySteps.erase(KeyOfStep(job, aTask.mStep));
  }
}

void JobBook::Settle(const TaskRef& aTask)
{
  JobEntry& job = mJobs.at(aTask.mStep.mJob);
  StepState& step = StepOf(aTask.mStep);
  StepTask& task = step.mTasks[aTask.mIndex];
  if (--step.mSiblings[task.mWorker] == 0) {
    step.mSiblings.erase(task.mWorker);
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

void JobBook::Finish(const TaskRef& aTask)
{
  JobEntry& job = mJobs.at(aTask.mStep.mJob);
  StepState& step = StepOf(aTask.mStep);
  StepTask& task = step.mTasks[aTask.mIndex];
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

void JobBook::OpenDue(WallTime aNow)
{
  mCurrentTime = aNow;
  for (const JobId& id : mRecurring) {
    JobEntry& job = mJobs.at(id);
    for (uint32_t occurrence = 0; occurrence < job.mOccurrences.size();
         occurrence++) {
      for (uint32_t step = 0; step < job.mGraph.mSteps.size(); step++) {
        AddIfReady(job, StepRef{ id, occurrence, step });
      }
    }
  }
}

void JobBook::Close(JobEntry& aJob)
{
  UpdateWaitingCount(aJob);
  for (uint32_t occurrence = 0; occurrence < aJob.mOccurrences.size();
       occurrence++) {
    for (uint32_t step = 0; step < aJob.mGraph.mSteps.size(); step++) {
      mReadySteps.erase(OpenStep{ aJob.mArrivalNumber, occurrence, step });
    }
  }
  mRecurring.erase(aJob.mGraph.mId);
}

void JobBook::Retire(const JobId& aId)
{
  mJobs.erase(aId);
}

JobRecord JobBook::ToRecord(const JobEntry& aJob) const
{
  JobRecord record{ aJob.mGraph.mId, aJob.mPhase, {} };
  if (IsOver(aJob.mPhase)) {
    return record;
  }
  for (uint32_t occurrence = 0; occurrence < aJob.mOccurrences.size();
       occurrence++) {
    const auto& steps = aJob.mOccurrences[occurrence];
    for (uint32_t step = 0; step < steps.size(); step++) {
      const auto& tasks = steps[step].mTasks;
      for (uint32_t index = 0; index < tasks.size(); index++) {
        const StepTask& task = tasks[index];
        if (task.mCounted.empty() && !task.mDone) {
          continue;
        }
        record.mTasks.push_back(TaskRecord{ occurrence,
                                            step,
                                            index,
                                            task.mDone,
                                            task.mFailures,
                                            task.mCounted,
                                            task.mCheckpoint });
      }
    }
  }
  return record;
}

bool JobBook::AllDone(const JobEntry& aJob)
{
  return aJob.mFinished == aJob.mTaskCount;
}

size_t JobBook::Waiting(const QueueId& aQueue) const
{
  const auto found = mWaiting.find(aQueue);
  return found == mWaiting.end() ? 0 : found->second;
}

// Adds a job to the count of waiting jobs, or removes it.
void JobBook::UpdateWaitingCount(JobEntry& aJob)
{
  const bool waits = !aJob.mBegun && !IsOver(aJob.mPhase);
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

bool JobBook::IsReady(const JobEntry& aJob, const StepRef& aStep) const
{
  const Recurrence& recurrence = aJob.mGraph.mRecurrence;
  if (recurrence.mTimes > 0) {
    const int64_t due = recurrence.mFirst.mMilliseconds +
                        recurrence.mInterval.count() * aStep.mOccurrence;
    if (mCurrentTime.mMilliseconds < due) {
      return false;
    }
  }
  const auto& steps = aJob.mOccurrences[aStep.mOccurrence];
  for (const uint32_t dependency : aJob.mGraph.mSteps[aStep.mStep].mAfter) {
    if (steps[dependency].mDone < steps[dependency].mTasks.size()) {
      return false;
    }
  }
  return true;
}

void JobBook::AddIfReady(JobEntry& aJob, const StepRef& aStep)
{
  const StepState& step = aJob.mOccurrences[aStep.mOccurrence][aStep.mStep];
  if (step.mWaiting > 0 && !IsOver(aJob.mPhase) && IsReady(aJob, aStep)) {
    mReadySteps.emplace(KeyOfStep(aJob, aStep), &aJob);
  }
}

void JobBook::AddReadySuccessors(JobEntry& aJob, const StepRef& aStep)
{
  for (uint32_t step = 0; step < aJob.mGraph.mSteps.size(); step++) {
    AddIfReady(aJob, StepRef{ aStep.mJob, aStep.mOccurrence, step });
  }
}

} // namespace mulberryvalve
