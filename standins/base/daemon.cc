#include "standins/base/daemon.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <vector>

#include <popt.h>

namespace mulberryvalve::standins {
namespace {

sigset_t TerminationSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

} // namespace

void FlagSet::Add(const char* aName, std::string& aTarget, const char* aHelp)
{
  mStrings.push_back({ aName, aHelp, &aTarget, nullptr });
}

void FlagSet::Add(const char* aName, int& aTarget, const char* aHelp)
{
  mInts.push_back({ aName, aHelp, &aTarget });
}

void FlagSet::Add(const char* aName, Endpoint& aTarget, const char* aHelp)
{
  mEndpoints.push_back({ &aTarget, {}, aName });
  Add(aName, mEndpoints.back().mText, aHelp);
}

bool FlagSet::Parse(int aArgc, const char** aArgv)
{
  std::vector<poptOption> options;
  for (StringFlag& flag : mStrings) {
    options.push_back({ flag.mName,
                        '\0',
                        POPT_ARG_STRING,
                        static_cast<void*>(&flag.mValue),
                        0,
                        flag.mHelp,
                        "TEXT" });
  }
  for (IntFlag& flag : mInts) {
    options.push_back(
      { flag.mName, '\0', POPT_ARG_INT, flag.mTarget, 0, flag.mHelp, "N" });
  }
  options.push_back({ nullptr,
                      '\0',
                      POPT_ARG_INCLUDE_TABLE,
                      poptHelpOptions,
                      0,
                      "Help options:",
                      nullptr });
  options.push_back(POPT_TABLEEND);
  poptContext context =
    poptGetContext(nullptr, aArgc, aArgv, options.data(), 0);
  const int result = poptGetNextOpt(context);
  const char* extraArgument = poptPeekArg(context);
  const bool valid = result == -1 && extraArgument == nullptr;
  if (result < -1) {
    std::fprintf(
      stderr, "%s: %s\n", poptBadOption(context, 0), poptStrerror(result));
  } else if (extraArgument != nullptr) {
    std::fprintf(stderr, "%s: unexpected argument\n", extraArgument);
  }
  poptFreeContext(context);
  for (StringFlag& flag : mStrings) {
    if (flag.mValue != nullptr) {
      *flag.mTarget = flag.mValue;
      std::free(flag.mValue);
    }
  }
  for (EndpointFlag& flag : mEndpoints) {
    const auto endpoint = ParseEndpoint(flag.mText);
    if (!endpoint) {
      std::fprintf(stderr, "--%s: expected IP:PORT\n", flag.mName);
      return false;
    }
    *flag.mTarget = *endpoint;
  }
  return valid;
}

void BlockTerminationSignals()
{
  std::signal(SIGPIPE, SIG_IGN);
  const sigset_t signals = TerminationSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void WaitForTerminationSignal()
{
  const sigset_t signals = TerminationSignals();
  int received = 0;
  sigwait(&signals, &received);
}

} // namespace mulberryvalve::standins
