#include "tests/process/process.h"

#include <arpa/inet.h>
#include <csignal>
#include <netinet/in.h>
#include <spawn.h>
#include <stdexcept>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

extern char** environ; // NOLINT

namespace mulberryvalve {

Process::Process(const std::string& aProgram,
                 std::vector<std::string> aArguments)
{
  int ends[2] = {};
  if (pipe(ends) != 0) {
    throw std::runtime_error("pipe");
  }
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_adddup2(&actions, ends[1], STDOUT_FILENO);
  posix_spawn_file_actions_addclose(&actions, ends[0]);
  posix_spawn_file_actions_addclose(&actions, ends[1]);
  std::vector<char*> arguments{ const_cast<char*>(aProgram.c_str()) };
  for (std::string& argument : aArguments) {
    arguments.push_back(argument.data());
  }
  arguments.push_back(nullptr);
  const int failed = posix_spawn(
    &mId, aProgram.c_str(), &actions, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  close(ends[1]);
  mOutput = ends[0];
  if (failed != 0) {
    throw std::runtime_error("cannot start " + aProgram);
  }
}

Process::~Process()
{
  if (mId != 0) {
    Signal(SIGKILL);
    Wait();
  }
  close(mOutput);
}

std::string Process::FirstLine()
{
  std::string line;
  char byte = 0;
  while (read(mOutput, &byte, 1) == 1 && byte != '\n') {
    line += byte;
  }
  return line;
}

void Process::Signal(int aSignal)
{
  if (mId != 0) {
    kill(mId, aSignal);
  }
}

int Process::Wait()
{
  if (mId != 0) {
    waitpid(mId, &mStatus, 0);
    mId = 0;
  }
  return WIFEXITED(mStatus) ? WEXITSTATUS(mStatus) : -WTERMSIG(mStatus);
}

} // namespace mulberryvalve
