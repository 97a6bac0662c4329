// ExitCode: the exit codes of mulberryvalvectl.
#ifndef MULBERRYVALVE_ADAPTERS_CLI_EXIT_CODE_H_
#define MULBERRYVALVE_ADAPTERS_CLI_EXIT_CODE_H_

#include "mulberryvalve/core/base/failure.h"

namespace mulberryvalve {

// Scripts depend on these values, so they must not change.
enum class ExitCode
{
  kOk = 0,
  kFailed = 1,
  kUsage = 2,
  kInvalid = 3,
  kNotFound = 4,
  kConflict = 5,
  kNotRun = 6,
  kUnknown = 7,
  kUnreachable = 8,
};

inline constexpr EnumTable<ExitCode, 9> kExitCodeNames{ { {
  { ExitCode::kOk, "done" },
  { ExitCode::kFailed, "failed, for another reason than those below" },
  { ExitCode::kUsage, "the command line or a variable is faulty" },
  { ExitCode::kInvalid, "the input was refused as invalid" },
  { ExitCode::kNotFound, "no such bundle, job or failure domain" },
  { ExitCode::kConflict, "lost against another change, which is printed" },
  { ExitCode::kNotRun, "not run and nothing changed; safe to ask again" },
  { ExitCode::kUnknown, "may have taken effect; read before asking again" },
  { ExitCode::kUnreachable, "no endpoint was reached and nothing was sent" },
} } };

// ExitCodeOf returns the exit code for a failure of aKind. Thread-safe.
ExitCode ExitCodeOf(FailureKind aKind);

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_CLI_EXIT_CODE_H_
