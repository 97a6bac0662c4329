#include "mulberryvalve/adapters/cli/exit_code.h"

namespace mulberryvalve {

ExitCode ExitCodeOf(FailureKind aKind)
{
  switch (aKind) {
    case FailureKind::kInvalidInput:
    case FailureKind::kMalformed:
    case FailureKind::kTooLarge:
    case FailureKind::kUnsigned:
      return ExitCode::kInvalid;
    case FailureKind::kNotFound:
      return ExitCode::kNotFound;
    case FailureKind::kConflict:
      return ExitCode::kConflict;
    case FailureKind::kLogUnavailable:
    case FailureKind::kLogRateLimited:
    case FailureKind::kNotReady:
    case FailureKind::kNotOwner:
    case FailureKind::kOverloaded:
    case FailureKind::kShuttingDown:
      return ExitCode::kNotRun;
    case FailureKind::kUnknownOutcome:
    case FailureKind::kLogAnswerLost:
    case FailureKind::kDeadlinePassed:
      return ExitCode::kUnknown;
    case FailureKind::kPeerUnreachable:
      return ExitCode::kUnreachable;
    default:
      return ExitCode::kFailed;
  }
}

} // namespace mulberryvalve
