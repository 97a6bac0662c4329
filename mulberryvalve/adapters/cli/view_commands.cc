#include "mulberryvalve/adapters/cli/ctl_command.h"
#include "mulberryvalve/adapters/cli/view_report.h"
#include "mulberryvalve/core/model/request.h"

#include <utility>

namespace mulberryvalve {
namespace {

using nlohmann::json;

class ViewCommand : public CtlCommand
{
public:
  using Formatter = std::string (*)(const json&);

  ViewCommand(std::string aPath, Formatter aFormatter, CtlPorts aPorts)
    : mPath(std::move(aPath))
    , mFormatter(aFormatter)
    , mPorts(aPorts)
  {
  }

  CtlResult<Report> Run(const CommandLine& aLine) const override
  {
    std::string path = mPath;
    if (aLine.Has(Flag::kLimit)) {
      path += "?limit=" + std::to_string(aLine.Number(Flag::kLimit));
    }
    const auto answer = FetchJson(mPorts.mApi, path);
    if (!answer) {
      return answer.error();
    }
    return Report{ answer.value(), mFormatter(answer.value()) };
  }

private:
  const std::string mPath;
  const Formatter mFormatter;
  CtlPorts mPorts;
};

ExitCode RequestExitCode(RequestStatus aStatus, int aHttpStatus)
{
  constexpr int kLastStatusOk = 299;
  switch (aStatus) {
    case RequestStatus::kAnswered:
      return aHttpStatus <= kLastStatusOk ? ExitCode::kOk : ExitCode::kFailed;
    case RequestStatus::kNotRun:
      return ExitCode::kNotRun;
    case RequestStatus::kUnknown:
      break;
  }
  return ExitCode::kUnknown;
}

class RequestCommand : public CtlCommand
{
public:
  explicit RequestCommand(CtlPorts aPorts)
    : mPorts(aPorts)
  {
  }

  CtlResult<Report> Run(const CommandLine& aLine) const override
  {
    const Result<HttpAnswer> sent = mPorts.mApi.Call(RequestCall(aLine));
    if (!sent) {
      return CtlFailure{ sent.error(), {} };
    }
    const HttpAnswer& answer = sent.value();
    const auto status = kRequestStatusNames.Find(answer.Header("X-Outcome"));
    if (!status) {
      return FailureFromAnswer(answer);
    }
    return RequestReport(answer, *status);
  }

private:
  static HttpCall RequestCall(const CommandLine& aLine)
  {
    HttpCall call;
    call.mMethod = HttpMethod::kPost;
    call.mPath = "/v1/request";
    call.mBody = aLine.Has(Flag::kBody) ? aLine.Text(Flag::kBody) : "{}";
    call.mHeaders.push_back(
      { "X-Request-Kind", aLine.Text(Flag::kRequestKind) });
    if (aLine.Has(Flag::kKey)) {
      call.mHeaders.push_back({ "Idempotency-Key", aLine.Text(Flag::kKey) });
    }
    call.mHeaders.push_back({ "X-First-Ask", aLine.Text(Flag::kFirstAsk) });
    if (aLine.Has(Flag::kDeadline)) {
      call.mHeaders.push_back(
        { "X-Deadline-Ms", std::to_string(aLine.Number(Flag::kDeadline)) });
    }
    return call;
  }

  static Report RequestReport(const HttpAnswer& aAnswer, RequestStatus aStatus)
  {
    const std::string status(kRequestStatusNames.Name(aStatus));
    const std::string worker = aAnswer.Header("X-Worker");
    const std::string attempts = aAnswer.Header("X-Attempts");
    std::string text = status;
    text += worker.empty() ? "" : " by worker " + worker;
    text += attempts.empty() ? "" : " after " + attempts + " attempts";
    return Report{ json{ { "status", status },
                         { "http_status", aAnswer.mStatus },
                         { "worker", worker },
                         { "attempts", attempts },
                         { "body", aAnswer.mBody } },
                   text + "\n" + aAnswer.mBody + "\n",
                   RequestExitCode(aStatus, aAnswer.mStatus) };
  }

  CtlPorts mPorts;
};

} // namespace

std::unique_ptr<CtlCommand> MakeViewCommand(Command aCommand, CtlPorts aPorts)
{
  switch (aCommand) {
    case Command::kRequest:
      return std::make_unique<RequestCommand>(aPorts);
    case Command::kStatus:
      return std::make_unique<ViewCommand>("/v1/status", &StatusText, aPorts);
    case Command::kWorkers:
      return std::make_unique<ViewCommand>("/v1/workers", &WorkersText, aPorts);
    case Command::kAudit:
      return std::make_unique<ViewCommand>("/v1/audit", &AuditText, aPorts);
    default:
      return nullptr;
  }
}

} // namespace mulberryvalve
