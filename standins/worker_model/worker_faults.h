// The fault switches of a worker stand-in.

#pragma once

#include "standins/fault_switches/fault_switches.h"

namespace mulberryvalve::standins {

enum class WorkerFault
{
  kFailEverything,
  kRequestError,
  kRequestDelayMs,
  kSilent,
  kLoseStartAnswers,
  kLoseStopAnswers,
  kLoseRequestAnswers,
  kTruncateAnswers,
  kWrongAttemptAnswers,
  kInterferencePercent,
  kStopReports,
};

inline constexpr std::array<SwitchEntry<WorkerFault>, 11> kWorkerFaults{ {
  { WorkerFault::kFailEverything, "fail_everything", SwitchKind::kFlag },
  { WorkerFault::kRequestError, "request_error", SwitchKind::kFlag },
  { WorkerFault::kRequestDelayMs, "request_delay_ms", SwitchKind::kNumber },
  { WorkerFault::kSilent, "silent", SwitchKind::kFlag },
  { WorkerFault::kLoseStartAnswers, "lose_start_answers", SwitchKind::kCount },
  { WorkerFault::kLoseStopAnswers, "lose_stop_answers", SwitchKind::kCount },
  { WorkerFault::kLoseRequestAnswers,
    "lose_request_answers",
    SwitchKind::kCount },
  { WorkerFault::kTruncateAnswers, "truncate_answers", SwitchKind::kCount },
  { WorkerFault::kWrongAttemptAnswers,
    "wrong_attempt_answers",
    SwitchKind::kCount },
  { WorkerFault::kInterferencePercent,
    "interference_percent",
    SwitchKind::kNumber },
  { WorkerFault::kStopReports, "stop_reports", SwitchKind::kFlag },
} };

using WorkerFaults = FaultSwitches<WorkerFault, kWorkerFaults>;

} // namespace mulberryvalve::standins
