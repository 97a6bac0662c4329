#include "mulberryvalve/adapters/cli/ctl.h"

#include "mulberryvalve/adapters/json/json_bundle_reader.h"

#include <utility>

namespace mulberryvalve {
namespace {

using nlohmann::json;

constexpr size_t kIdleConnections = 1;

std::unique_ptr<CtlCommand> MakeCommand(Command aCommand, CtlPorts aPorts)
{
  for (const auto make : { &MakeBundleCommand,
                           &MakeDomainCommand,
                           &MakeJobCommand,
                           &MakeViewCommand }) {
    if (auto command = make(aCommand, aPorts)) {
      return command;
    }
  }
  return nullptr;
}

json FailureJson(const CtlFailure& aFailure)
{
  json faults = json::array();
  for (const BundleFault& fault : aFailure.mFaults) {
    faults.push_back({ { "kind", kBundleFaultKindNames.Name(fault.mKind) },
                       { "path", fault.mPath },
                       { "value", fault.mValue },
                       { "allowed", fault.mAllowed } });
  }
  return json{ { "error", kFailureKindNames.Name(aFailure.mFailure.mKind) },
               { "field", aFailure.mFailure.mField },
               { "detail", aFailure.mFailure.mDetail },
               { "faults", std::move(faults) } };
}

std::string FailureText(const CtlFailure& aFailure)
{
  const Failure& failure = aFailure.mFailure;
  std::string text(kFailureKindNames.Name(failure.mKind));
  text += failure.mField.empty() ? "" : ": " + failure.mField;
  text += failure.mDetail.empty() ? "" : ": " + failure.mDetail;
  text += "\n";
  for (const BundleFault& fault : aFailure.mFaults) {
    text += "  " + (fault.mPath.empty() ? "(document)" : fault.mPath) + ": ";
    text += kBundleFaultKindNames.Name(fault.mKind);
    text += fault.mValue.empty() ? "" : ", value " + fault.mValue;
    text += fault.mAllowed.empty() ? "" : ", allowed: " + fault.mAllowed;
    text += "\n";
  }
  return text;
}

// ReplaceControlCharacters replaces control characters, so that an answer
// cannot send escape sequences to the terminal.
std::string ReplaceControlCharacters(std::string aText)
{
  constexpr unsigned char kFirstPrintable = 0x20;
  constexpr unsigned char kDelete = 0x7f;
  for (char& c : aText) {
    const auto byte = static_cast<unsigned char>(c);
    const bool layout = c == '\n' || c == '\t';
    if ((byte < kFirstPrintable && !layout) || byte == kDelete) {
      c = '?';
    }
  }
  return aText;
}

// Reports JSON of an unexpected structure as a failure.
CtlResult<Report> RunCatchingJsonErrors(const CommandLine& aLine,
                                        CtlPorts aPorts)
{
  try {
    return MakeCommand(*aLine.mCommand, aPorts)->Run(aLine);
  } catch (const json::exception& jsonError) {
    return CtlFailure{
      Fail(FailureKind::kUnknownOutcome, "answer", jsonError.what()), {}
    };
  }
}

ExitCode ReportFaults(const std::vector<SettingFault>& aFaults,
                      std::ostream& aError)
{
  for (const SettingFault& fault : aFaults) {
    aError << Describe(fault) << "\n";
  }
  aError << "see mulberryvalvectl --help\n";
  return ExitCode::kUsage;
}

} // namespace

ExitCode RunCommand(const CommandLine& aLine,
                    CtlPorts aPorts,
                    CtlStreams aStreams)
{
  const bool asJson = aLine.Output() == OutputFormat::kJson;
  const CtlResult<Report> report = RunCatchingJsonErrors(aLine, aPorts);
  if (!report) {
    const CtlFailure& failure = report.error();
    if (asJson) {
      aStreams.mOut << FailureJson(failure).dump(
                         2, ' ', false, json::error_handler_t::replace)
                    << "\n";
    } else {
      aStreams.mError << ReplaceControlCharacters(FailureText(failure));
    }
    return ExitCodeOf(failure.mFailure.mKind);
  }
  if (asJson) {
    aStreams.mOut << report.value().mJson.dump(
                       2, ' ', false, json::error_handler_t::replace)
                  << "\n";
  } else {
    aStreams.mOut << ReplaceControlCharacters(report.value().mText);
  }
  return report.value().mExitCode;
}

ExitCode RunCtl(int aArgc,
                const char* const* aArgv,
                const std::vector<std::string>& aEnvironment,
                CtlStreams aStreams)
{
  const CommandLineOutcome read = ReadCommandLine(aArgc, aArgv, aEnvironment);
  if (!read) {
    return ReportFaults(read.error(), aStreams.mError);
  }
  const CommandLine& line = read.value();
  if (line.mHelp) {
    aStreams.mOut << (line.mCommand ? CommandHelp(CommandSpecOf(*line.mCommand))
                                    : OverviewHelp());
    return ExitCode::kOk;
  }
  HttpClientPool pool(kIdleConnections);
  HttpApiClient api(
    line.Endpoints(), Milliseconds(line.Number(Flag::kTimeout)), pool);
  const JsonBundleReader bundles;
  return RunCommand(line, CtlPorts{ api, bundles }, aStreams);
}

} // namespace mulberryvalve
