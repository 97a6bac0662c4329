// Job reports: formats jobs, as the API returns them, as text.
#ifndef MULBERRYVALVE_ADAPTERS_CLI_JOB_REPORT_H_
#define MULBERRYVALVE_ADAPTERS_CLI_JOB_REPORT_H_

#include <nlohmann/json.hpp>
#include <string>

namespace mulberryvalve {

// JobSummaryText returns what was requested and the task counts by state.
// Thread-safe.
std::string JobSummaryText(const nlohmann::json& aJob);

// JobStatusText returns the summary and a table of the tasks. Thread-safe.
std::string JobStatusText(const nlohmann::json& aJob);

// JobExplanationText returns the summary and for each task its history, with
// times since the first change and causes, the placement decisions and what it
// waits for. Thread-safe.
std::string JobExplanationText(const nlohmann::json& aJob);

// JobListText returns one line per job. Thread-safe.
std::string JobListText(const nlohmann::json& aJobs);

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_CLI_JOB_REPORT_H_
