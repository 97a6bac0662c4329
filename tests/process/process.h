// Process: a child process of a test.
#ifndef TESTS_PROCESS_PROCESS_H_
#define TESTS_PROCESS_PROCESS_H_

#include <cstdint>
#include <string>
#include <sys/types.h>
#include <vector>

namespace mulberryvalve {

// Process owns one child process and kills it on destruction. Not thread-safe.
class Process
{
public:
  // Starts aProgram with aArguments. Its standard output is captured through a
  // pipe; its standard error is inherited from the test.
  Process(const std::string& aProgram, std::vector<std::string> aArguments);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  // Blocks until the program has printed a line, and returns it.
  std::string FirstLine();

  // Sends aSignal to the process.
  void Signal(int aSignal);

  // Blocks until the program has exited. Returns its exit code, or the negated
  // signal number if a signal ended it.
  int Wait();

private:
  pid_t mId = 0;
  int mOutput = -1;
  int mStatus = 0;
};

} // namespace mulberryvalve

#endif // TESTS_PROCESS_PROCESS_H_
