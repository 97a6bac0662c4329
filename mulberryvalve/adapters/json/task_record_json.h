// JSON encoding of the tasks in a job's progress.
#ifndef MULBERRYVALVE_ADAPTERS_JSON_TASK_RECORD_JSON_H_
#define MULBERRYVALVE_ADAPTERS_JSON_TASK_RECORD_JSON_H_

#include "mulberryvalve/core/base/failure.h"
#include "mulberryvalve/core/jobs/job_state.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace mulberryvalve {

// AppendTasks appends the members "tasks" and, if a task has possible workers,
// "on" of a JSON object, each after a comma. "tasks" has a row for each task;
// "on" has one for each step, with every worker's name before the indexes of
// the step's tasks that may run there. If a gang failed, "gang_failures" has a
// row for each member that failed first in a run, with the runs.
void AppendTasks(std::string& aText, const std::vector<TaskRecord>& aTasks);

// TaskFromJson decodes a row of "tasks". Error: kMalformed.
Result<TaskRecord> TaskFromJson(const nlohmann::json& aRow);

// AddPossibleWorkers decodes the rows of "on" into aTasks, and adds the tasks
// that have no row of their own. Error: kMalformed.
Result<void> AddPossibleWorkers(const nlohmann::json& aRows,
                                std::vector<TaskRecord>& aTasks);

// AddGangFailures decodes the rows of "gang_failures" into the tasks of aTasks,
// each of which has a row of its own. Error: kMalformed.
Result<void> AddGangFailures(const nlohmann::json& aRows,
                             std::vector<TaskRecord>& aTasks);

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_JSON_TASK_RECORD_JSON_H_
