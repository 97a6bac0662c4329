// The fault switches of the platform stand-in.

#pragma once

#include "standins/fault_switches/fault_switches.h"

namespace mulberryvalve::standins {

enum class PlatformFault
{
  kOutage,
  kSilent,
  kAppendDelayMs,
  kReadDelayMs,
  kLoseAppendAnswers,
  kListOutage,
};

inline constexpr std::array<SwitchEntry<PlatformFault>, 6> kPlatformFaults{ {
  { PlatformFault::kOutage, "outage", SwitchKind::kFlag },
  { PlatformFault::kSilent, "silent", SwitchKind::kFlag },
  { PlatformFault::kAppendDelayMs, "append_delay_ms", SwitchKind::kNumber },
  { PlatformFault::kReadDelayMs, "read_delay_ms", SwitchKind::kNumber },
  { PlatformFault::kLoseAppendAnswers,
    "lose_append_answers",
    SwitchKind::kCount },
  { PlatformFault::kListOutage, "list_outage", SwitchKind::kFlag },
} };

using PlatformFaults = FaultSwitches<PlatformFault, kPlatformFaults>;

} // namespace mulberryvalve::standins
