// DecisionLog: the decisions of a shard's owner until they are reported.
#ifndef MULBERRYVALVE_CORE_JOBS_DECISION_LOG_H_
#define MULBERRYVALVE_CORE_JOBS_DECISION_LOG_H_

#include "mulberryvalve/core/jobs/job_decision.h"

#include <cstddef>
#include <string>
#include <vector>

namespace mulberryvalve {

// Returns a decision about a run of a task.
JobDecision TaskDecision(DecisionKind aKind,
                         const TaskRef& aTask,
                         const WorkerId& aWorker,
                         RunNumber aRun,
                         std::string aWhy);

// Not thread-safe.
class DecisionLog
{
public:
  // Further decisions are dropped until Take is called.
  static constexpr size_t kMaxDecisions = 4096;

  // Add a decision: any, one about a run, a job or a worker.
  void Add(JobDecision aDecision);
  void AddTask(DecisionKind aKind,
               const TaskRef& aTask,
               const WorkerId& aWorker,
               RunNumber aRun,
               std::string aWhy);
  void AddJob(DecisionKind aKind, const JobId& aJob, std::string aWhy);
  void AddWorker(DecisionKind aKind, const WorkerId& aWorker, std::string aWhy);

  // Returns the decisions since the last call, oldest first.
  std::vector<JobDecision> Take();

private:
  std::vector<JobDecision> mDecisions;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_DECISION_LOG_H_
