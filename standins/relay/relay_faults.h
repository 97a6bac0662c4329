// The fault switches of the TCP relay.

#pragma once

#include "standins/fault_switches/fault_switches.h"

namespace mulberryvalve::standins {

enum class RelayFault
{
  kCut,
  kSilence,
  kDelayMs,
  kDropAnswers,
};

inline constexpr std::array<SwitchEntry<RelayFault>, 4> kRelayFaults{ {
  { RelayFault::kCut, "cut", SwitchKind::kFlag },
  { RelayFault::kSilence, "silence", SwitchKind::kFlag },
  { RelayFault::kDelayMs, "delay_ms", SwitchKind::kNumber },
  { RelayFault::kDropAnswers, "drop_answers", SwitchKind::kFlag },
} };

using RelayFaults = FaultSwitches<RelayFault, kRelayFaults>;

} // namespace mulberryvalve::standins
