// Process: a program that a test starts, signals by its id and waits for.
#ifndef TESTS_PROCESS_PROCESS_H_
#define TESTS_PROCESS_PROCESS_H_

#include <cstdint>
#include <string>
#include <sys/types.h>
#include <vector>

namespace mulberryvalve {

// Process owns one child; it is killed at the latest when the object ends. Not
// synchronised.
class Process
{
public:
  // Process starts aProgram with aArguments; its standard output is read
  // through a pipe and its standard error goes to that of the test.
  Process(const std::string& aProgram, std::vector<std::string> aArguments);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  // FirstLine blocks until the program has printed a line, and returns it.
  std::string FirstLine();

  // Signal sends aSignal.
  void Signal(int aSignal);

  // Wait blocks until the program ended and returns its exit code, or minus
  // the signal that ended it.
  int Wait();

private:
  pid_t mId = 0;
  int mOutput = -1;
  int mStatus = 0;
};

} // namespace mulberryvalve

#endif // TESTS_PROCESS_PROCESS_H_
