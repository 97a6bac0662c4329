#include "mulberryvalve/adapters/cli/ctl_command.h"
#include "mulberryvalve/adapters/cli/job_report.h"

#include <utility>

namespace mulberryvalve {
namespace {

using nlohmann::json;

constexpr const char* kJobsPath = "/v1/jobs";
constexpr const char* kEmptyBody = "{}";

std::string JobPath(const CommandLine& aLine)
{
  return kJobsPath + ("/" + EncodePathSegment(aLine.mOperands.at(0)));
}

void SetTextField(json& aObject,
                  const char* aName,
                  const CommandLine& aLine,
                  Flag aFlag)
{
  if (aLine.Has(aFlag)) {
    aObject[aName] = aLine.Text(aFlag);
  }
}

json JobSubmission(const CommandLine& aLine)
{
  json object{ { "parts", aLine.Number(Flag::kParts) },
               { "kind", aLine.Text(Flag::kKind) },
               { "priority", aLine.Text(Flag::kPriority) },
               { "cpu_millis", aLine.Number(Flag::kCpuMillis) },
               { "memory_mb", aLine.Number(Flag::kMemoryMb) },
               { "accelerators", aLine.Number(Flag::kAccelerators) } };
  SetTextField(object, "name", aLine, Flag::kName);
  SetTextField(object, "home", aLine, Flag::kHome);
  SetTextField(object, "team", aLine, Flag::kTeam);
  SetTextField(object, "class", aLine, Flag::kClass);
  SetTextField(object, "payload", aLine, Flag::kPayload);
  return object;
}

class JobSubmit : public CtlCommand
{
public:
  explicit JobSubmit(CtlPorts aPorts)
    : mPorts(aPorts)
  {
  }

  CtlResult<Report> Run(const CommandLine& aLine) const override
  {
    const auto response =
      PostJson(mPorts.mApi, kJobsPath, JobSubmission(aLine).dump(), {});
    if (!response) {
      return response.error();
    }
    const json& body = response.value();
    const bool existed = body.value("existed", false);
    return Report{ body,
                   "job " + body.value("job", "") +
                     (existed ? " was submitted before"
                              : " is taken and kept by shard " +
                                  body.value("shard", "") + " at offset " +
                                  body.value("offset", json()).dump()) +
                     "\n" };
  }

private:
  CtlPorts mPorts;
};

class JobCancel : public CtlCommand
{
public:
  explicit JobCancel(CtlPorts aPorts)
    : mPorts(aPorts)
  {
  }

  CtlResult<Report> Run(const CommandLine& aLine) const override
  {
    const auto response =
      PostJson(mPorts.mApi,
               JobPath(aLine) + "/cancel",
               kEmptyBody,
               { { "X-Operator", aLine.Text(Flag::kOperator) } });
    if (!response) {
      return response.error();
    }
    return Report{ response.value(),
                   "job " + aLine.mOperands.at(0) + " is being cancelled\n" };
  }

private:
  CtlPorts mPorts;
};

// Fetches one job, or the list of jobs without an operand, and formats it with
// mFormatter.
class JobReportCommand : public CtlCommand
{
public:
  using Formatter = std::string (*)(const json&);

  JobReportCommand(Formatter aFormatter, CtlPorts aPorts)
    : mFormatter(aFormatter)
    , mPorts(aPorts)
  {
  }

  CtlResult<Report> Run(const CommandLine& aLine) const override
  {
    const auto answer = FetchJson(
      mPorts.mApi, aLine.mOperands.empty() ? kJobsPath : JobPath(aLine));
    if (!answer) {
      return answer.error();
    }
    return Report{ answer.value(), mFormatter(answer.value()) };
  }

private:
  const Formatter mFormatter;
  CtlPorts mPorts;
};

} // namespace

std::unique_ptr<CtlCommand> MakeJobCommand(Command aCommand, CtlPorts aPorts)
{
  switch (aCommand) {
    case Command::kJobSubmit:
      return std::make_unique<JobSubmit>(aPorts);
    case Command::kJobCancel:
      return std::make_unique<JobCancel>(aPorts);
    case Command::kJobStatus:
      return std::make_unique<JobReportCommand>(&JobStatusText, aPorts);
    case Command::kJobExplain:
      return std::make_unique<JobReportCommand>(&JobExplanationText, aPorts);
    case Command::kJobList:
      return std::make_unique<JobReportCommand>(&JobListText, aPorts);
    default:
      return nullptr;
  }
}

} // namespace mulberryvalve
