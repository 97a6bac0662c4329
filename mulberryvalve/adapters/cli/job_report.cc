#include "mulberryvalve/adapters/cli/job_report.h"

#include "mulberryvalve/adapters/cli/text_table.h"
#include "mulberryvalve/core/model/task.h"

#include <algorithm>
#include <optional>

namespace mulberryvalve {
namespace {

using nlohmann::json;

std::string StatesText(const json& aJob)
{
  const json states = aJob.value("states", json::object());
  std::string text;
  for (const auto& [state, count] : states.items()) {
    text += (text.empty() ? "" : ", ") + count.dump() + " " + state;
  }
  return text;
}

std::string AttemptText(const json& aRow)
{
  const auto attempt = aRow.value("attempt", int64_t{ 0 });
  return attempt == 0 ? "" : "attempt " + std::to_string(attempt);
}

std::string NextStepText(TaskState aState)
{
  switch (aState) {
    case TaskState::kQueued:
      return "waits for a worker";
    case TaskState::kEvicted:
      return "waits for a worker to resume on";
    case TaskState::kAssigned:
      return "waits for the worker to confirm its start";
    case TaskState::kCheckpointing:
      return "is stopping after a checkpoint";
    default:
      return "";
  }
}

std::string WaitingText(const json& aTask)
{
  const auto state = kTaskStateNames.Find(aTask.value("state", ""));
  return state ? NextStepText(*state) : "";
}

std::string RuledOutText(const json& aDecision)
{
  std::string text;
  for (const json& row : aDecision.value("ruled_out", json::array())) {
    text += (text.empty() ? "" : ", ") + row.value("bound", "") + " on " +
            row.value("workers", json(0)).dump() + " workers";
  }
  return text;
}

std::string NearestWorkersText(const json& aDecision)
{
  std::string text;
  for (const json& worker : aDecision.value("nearest", json::array())) {
    text += (text.empty() ? "" : ", ") + worker.get<std::string>();
  }
  return text;
}

std::string DecisionReasonText(const json& aDecision)
{
  std::string text = aDecision.value("cause", "");
  const std::string bounds = RuledOutText(aDecision);
  if (!bounds.empty()) {
    text += (text.empty() ? "" : "; ") + ("kept off by " + bounds);
  }
  const std::string nearest = NearestWorkersText(aDecision);
  if (!nearest.empty()) {
    text += (text.empty() ? "" : "; ") + ("nearest to room: " + nearest);
  }
  const size_t candidates = aDecision.value("candidates", json::array()).size();
  if (candidates > 0) {
    text += (text.empty() ? "" : "; ") +
            ("best of " + std::to_string(candidates) + " candidates");
  }
  return text;
}

// Returns a table of scheduling decisions on the task, or nothing if the answer
// has none. Only the owner of the task's shard reports them.
std::string DecisionsText(const json& aTask)
{
  const json decisions = aTask.value("decisions", json::array());
  if (decisions.empty()) {
    return "";
  }
  TextTable table({ "    AGO", "DECIDED", "ATTEMPT", "WORKER", "WHY" });
  for (const json& decision : decisions) {
    table.Add({ "    " + PrintElapsed(-decision.value("ago_ms", int64_t{ 0 })),
                decision.value("kind", ""),
                AttemptText(decision),
                decision.value("worker", ""),
                DecisionReasonText(decision) });
  }
  return table.Print();
}

int64_t FirstChangeTime(const json& aJob)
{
  std::optional<int64_t> first;
  for (const json& task : aJob.value("tasks", json::array())) {
    for (const json& change : task.value("history", json::array())) {
      const auto at = change.value("at_ms", int64_t{ 0 });
      first = std::min(first.value_or(at), at);
    }
  }
  return first.value_or(0);
}

std::string HistoryText(const json& aTask, int64_t aStartMs)
{
  TextTable table({ "    AFTER", "STATE", "ATTEMPT", "WORKER", "CAUSE" });
  for (const json& change : aTask.value("history", json::array())) {
    const auto at = change.value("at_ms", aStartMs);
    table.Add({ "    " + PrintElapsed(at - aStartMs),
                change.value("state", ""),
                AttemptText(change),
                change.value("worker", ""),
                change.value("reason", "") });
  }
  return table.Print();
}

std::string TaskExplanationText(const json& aTask, int64_t aStartMs)
{
  std::string text = "  task " + aTask.value("task", "") + " is " +
                     aTask.value("state", "") + "\n";
  text += HistoryText(aTask, aStartMs);
  text += DecisionsText(aTask);
  const std::string waiting = WaitingText(aTask);
  if (!waiting.empty()) {
    text += "    now: " + waiting + "\n";
  }
  return text;
}

} // namespace

std::string JobSummaryText(const json& aJob)
{
  std::string text = "job " + aJob.value("job", "") + ": ";
  text += aJob.value("parts", json()).dump() + " " + aJob.value("kind", "") +
          " tasks of class " + aJob.value("class", "") + ", priority " +
          aJob.value("priority", "");
  const std::string team = aJob.value("team", "");
  text += team.empty() ? "\n" : ", team " + team + "\n";
  text += "  each " + aJob.value("cpu_millis", json()).dump() +
          " thousandths of a processor, " +
          aJob.value("memory_mb", json()).dump() + " MiB, " +
          aJob.value("accelerators", json()).dump() + " accelerators\n";
  text += "  " + StatesText(aJob) + "\n";
  if (aJob.value("cancel_requested", false)) {
    text += "  cancellation was requested\n";
  }
  return text;
}

std::string JobStatusText(const json& aJob)
{
  TextTable table({ "  TASK", "STATE", "ATTEMPT", "WORKER", "CAUSE" });
  for (const json& task : aJob.value("tasks", json::array())) {
    table.Add({ "  " + task.value("task", ""),
                task.value("state", ""),
                AttemptText(task),
                task.value("worker", ""),
                task.value("reason", "") });
  }
  return JobSummaryText(aJob) + table.Print();
}

std::string JobExplanationText(const json& aJob)
{
  const int64_t begin = FirstChangeTime(aJob);
  std::string text = JobSummaryText(aJob);
  text += "  submitted " + PrintWallTime(begin) + "\n";
  for (const json& task : aJob.value("tasks", json::array())) {
    text += TaskExplanationText(task, begin);
  }
  return text;
}

std::string JobListText(const json& aJobs)
{
  TextTable table({ "JOB", "KIND", "PRIORITY", "TASKS" });
  for (const json& job : aJobs.value("jobs", json::array())) {
    table.Add({ job.value("job", ""),
                job.value("kind", ""),
                job.value("priority", ""),
                StatesText(job) });
  }
  return table.Print();
}

} // namespace mulberryvalve
