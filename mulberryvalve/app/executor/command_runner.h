// CommandRunner: runs blocking commands asynchronously.
#ifndef MULBERRYVALVE_APP_EXECUTOR_COMMAND_RUNNER_H_
#define MULBERRYVALVE_APP_EXECUTOR_COMMAND_RUNNER_H_

#include <functional>

namespace mulberryvalve {

// CommandRunner runs jobs on other threads. Implementations are thread-safe.
class CommandRunner
{
public:
  virtual ~CommandRunner() = default;

  // Post queues aJob without blocking. It returns false and drops the job when
  // the job is rejected.
  virtual bool Post(std::function<void()> aJob) = 0;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_EXECUTOR_COMMAND_RUNNER_H_
