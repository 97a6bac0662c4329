// RunCtl: mulberryvalvectl without its main function.
#ifndef MULBERRYVALVE_ADAPTERS_CLI_CTL_H_
#define MULBERRYVALVE_ADAPTERS_CLI_CTL_H_

#include "mulberryvalve/adapters/cli/ctl_command.h"

#include <ostream>
#include <string>
#include <vector>

namespace mulberryvalve {

// CtlStreams are the streams for reports and errors. Both must outlive the
// call.
struct CtlStreams
{
  std::ostream& mOut;
  std::ostream& mError;
};

// RunCommand runs the command of aLine, which must have one, and writes its
// report or failure in the requested output format. Concurrent calls must not
// share streams.
ExitCode RunCommand(const CommandLine& aLine,
                    CtlPorts aPorts,
                    CtlStreams aStreams);

// RunCtl reads aArgv (aArgc entries, the program name first) and aEnvironment
// and runs the command over HTTP. Concurrent calls must not share streams.
ExitCode RunCtl(int aArgc,
                const char* const* aArgv,
                const std::vector<std::string>& aEnvironment,
                CtlStreams aStreams);

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_CLI_CTL_H_
