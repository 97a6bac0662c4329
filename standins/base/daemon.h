// Command-line flags and termination signals for the `main` functions of the
// stand-ins.

#pragma once

#include <deque>
#include <string>

#include "standins/base/endpoint.h"

namespace mulberryvalve::standins {

// Declares the flags of a program and reads them from its command line.
// Not thread-safe; used by `main` before any thread starts.
class FlagSet
{
public:
  // Declares the flag `--aName`. `aTarget` keeps its value when the flag is
  // absent and must outlive the call of `Parse`.
  void Add(const char* aName, std::string& aTarget, const char* aHelp);
  void Add(const char* aName, int& aTarget, const char* aHelp);
  void Add(const char* aName, Endpoint& aTarget, const char* aHelp);

  // Parses the command line. Prints the error and returns false if a flag is
  // unknown or malformed or if an argument is not a flag.
  bool Parse(int aArgc, const char** aArgv);

private:
  struct StringFlag
  {
    const char* mName;
    const char* mHelp;
    std::string* mTarget;
    char* mValue;
  };
  struct IntFlag
  {
    const char* mName;
    const char* mHelp;
    int* mTarget;
  };
  struct EndpointFlag
  {
    Endpoint* mTarget;
    std::string mText;
    const char* mName;
  };

  std::deque<StringFlag> mStrings;
  std::deque<IntFlag> mInts;
  std::deque<EndpointFlag> mEndpoints;
};

// Blocks SIGTERM and SIGINT for the calling thread and those it starts later,
// and ignores SIGPIPE. Must be called before any thread is created.
void BlockTerminationSignals();

// Blocks until SIGTERM or SIGINT arrives. Requires `BlockTerminationSignals`
// before.
void WaitForTerminationSignal();

} // namespace mulberryvalve::standins
