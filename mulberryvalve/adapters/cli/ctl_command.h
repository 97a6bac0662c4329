// CtlCommand: the interface of mulberryvalvectl commands, and their ports.
#ifndef MULBERRYVALVE_ADAPTERS_CLI_CTL_COMMAND_H_
#define MULBERRYVALVE_ADAPTERS_CLI_CTL_COMMAND_H_

#include "mulberryvalve/adapters/cli/api_client.h"
#include "mulberryvalve/adapters/cli/command_line.h"
#include "mulberryvalve/adapters/cli/exit_code.h"
#include "mulberryvalve/core/base/result.h"
#include "mulberryvalve/core/bundle/bundle_fault.h"
#include "mulberryvalve/ports/out/bundle_reader.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace mulberryvalve {

// CtlFailure is the failure of a command. mFaults lists the faults if the cause
// is an invalid bundle.
struct CtlFailure
{
  Failure mFailure;
  std::vector<BundleFault> mFaults;
};

// CtlResult holds a T or a CtlFailure.
template<typename T>
using CtlResult = BasicResult<T, CtlFailure>;

// Report is the output of a command in both formats, and its exit code.
struct Report
{
  nlohmann::json mJson;
  std::string mText;
  ExitCode mExitCode = ExitCode::kOk;
};

// CtlPorts are the ports that commands use; all must outlive the commands.
struct CtlPorts
{
  ApiClient& mApi;
  const BundleReader& mBundles;
};

// CtlCommand runs one command. Implementations are immutable, and thread-safe
// if their ports are.
class CtlCommand
{
public:
  virtual ~CtlCommand() = default;

  // Run runs the command of aLine, which must be this command.
  virtual CtlResult<Report> Run(const CommandLine& aLine) const = 0;
};

// MakeBundleCommand, MakeDomainCommand, MakeJobCommand and MakeViewCommand
// return the command, or null when aCommand is of another group. Thread-safe.
std::unique_ptr<CtlCommand> MakeBundleCommand(Command aCommand,
                                              CtlPorts aPorts);
std::unique_ptr<CtlCommand> MakeDomainCommand(Command aCommand,
                                              CtlPorts aPorts);
std::unique_ptr<CtlCommand> MakeJobCommand(Command aCommand, CtlPorts aPorts);
std::unique_ptr<CtlCommand> MakeViewCommand(Command aCommand, CtlPorts aPorts);

// FetchJson sends a GET request for aPath. Errors: those of ApiClient::Call and
// those that the instance answers.
CtlResult<nlohmann::json> FetchJson(ApiClient& aApi, const std::string& aPath);

// PostJson posts aBody with aHeaders to aPath. Errors are those of FetchJson.
CtlResult<nlohmann::json> PostJson(ApiClient& aApi,
                                   const std::string& aPath,
                                   std::string aBody,
                                   std::vector<HttpHeader> aHeaders);

// FailureFromAnswer parses the failure in an error answer. Thread-safe.
CtlFailure FailureFromAnswer(const HttpAnswer& aAnswer);

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_CLI_CTL_COMMAND_H_
