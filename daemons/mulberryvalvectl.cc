// mulberryvalvectl: the command-line client for operators and callers.
#include "mulberryvalve/adapters/cli/ctl.h"

#include <csignal>
#include <iostream>
#include <string>
#include <vector>

int main(int aArgc, char** aArgv, char** aEnvironment)
{
  signal(SIGPIPE, SIG_IGN);
  std::vector<std::string> environment;
  for (char** entry = aEnvironment; *entry != nullptr; entry++) {
    environment.emplace_back(*entry);
  }
  return static_cast<int>(
    mulberryvalve::RunCtl(aArgc, aArgv, environment, { std::cout, std::cerr }));
}
