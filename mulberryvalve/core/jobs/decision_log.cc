#include "mulberryvalve/core/jobs/decision_log.h"

#include <utility>

namespace mulberryvalve {

JobDecision TaskDecision(DecisionKind aKind,
                         const TaskRef& aTask,
                         const WorkerId& aWorker,
                         RunNumber aRun,
                         std::string aWhy)
{
  JobDecision decision;
  decision.mKind = aKind;
  decision.mJob = aTask.mStep.mJob;
  decision.mTask = aTask;
  decision.mWorker = aWorker;
  decision.mRun = aRun.Value();
  decision.mReason = std::move(aWhy);
  return decision;
}

void DecisionLog::Add(JobDecision aDecision)
{
  if (mDecisions.size() < kMaxDecisions) {
    mDecisions.push_back(std::move(aDecision));
  }
}

void DecisionLog::AddTask(DecisionKind aKind,
                          const TaskRef& aTask,
                          const WorkerId& aWorker,
                          RunNumber aRun,
                          std::string aWhy)
{
  Add(TaskDecision(aKind, aTask, aWorker, aRun, std::move(aWhy)));
}

void DecisionLog::AddJob(DecisionKind aKind,
                         const JobId& aJob,
                         std::string aWhy)
{
  JobDecision decision;
  decision.mKind = aKind;
  decision.mJob = aJob;
  decision.mReason = std::move(aWhy);
  Add(std::move(decision));
}

void DecisionLog::AddWorker(DecisionKind aKind,
                            const WorkerId& aWorker,
                            std::string aWhy)
{
  JobDecision decision;
  decision.mKind = aKind;
  decision.mWorker = aWorker;
  decision.mReason = std::move(aWhy);
  Add(std::move(decision));
}

std::vector<JobDecision> DecisionLog::Take()
{
  return std::exchange(mDecisions, {});
}

} // namespace mulberryvalve
