#include "mulberryvalve/adapters/settings/instance_settings_reader.h"

#include "mulberryvalve/adapters/settings/instance_setting_table.h"

#include <algorithm>
#include <array>
#include <initializer_list>
#include <utility>

namespace mulberryvalve {
namespace {

constexpr std::string_view kProgram = "mulberryvalved";
constexpr int kMinHeartbeatsUntilDead = 2;

using Reading = SettingReading<InstanceSettings>;

// AllValid returns whether none of aNames has a fault. Settings can be compared
// with each other only then.
bool AllValid(const Reading& aReading,
              std::initializer_list<std::string_view> aNames)
{
  return std::none_of(
    aNames.begin(), aNames.end(), [&aReading](std::string_view aName) {
      return aReading.HasFault(aName);
    });
}

void CheckDomains(Reading& aReading)
{
  const auto& settings = aReading.mSettings;
  const auto& domains = settings.mDomains;
  if (AllValid(aReading, { "domain", "domains" }) &&
      std::find(domains.begin(), domains.end(), settings.mDomain) ==
        domains.end()) {
    aReading.AddFault("domains",
                      SettingFaultKind::kInconsistent,
                      "a list that holds domain " + settings.mDomain.Text());
  }
}

void CheckListeners(Reading& aReading)
{
  const auto& settings = aReading.mSettings;
  if (AllValid(aReading, { "caller-listen", "peer-listen" }) &&
      SameEndpoint(settings.mCallerListen, settings.mPeerListen)) {
    aReading.AddFault("peer-listen",
                      SettingFaultKind::kInconsistent,
                      "another endpoint than caller-listen");
  }
}

void CheckPeers(Reading& aReading)
{
  if (!AllValid(aReading, { "peer-listen", "peers" })) {
    return;
  }
  const auto& settings = aReading.mSettings;
  for (const auto& peer : settings.mPeers) {
    if (SameEndpoint(peer, settings.mPeerListen)) {
      aReading.AddFault("peers",
                        SettingFaultKind::kNotAllowed,
                        "other instances only, not peer-listen itself");
      return;
    }
  }
}

// CheckAtLeast adds a fault if aValue, the setting aName, is below aMinimum.
void CheckAtLeast(Reading& aReading,
                  std::string_view aName,
                  Milliseconds aValue,
                  Milliseconds aMinimum)
{
  if (aValue < aMinimum) {
    aReading.AddFault(aName,
                      SettingFaultKind::kInconsistent,
                      "at least " + std::to_string(aMinimum.count()) + " ms");
  }
}

void CheckPeriods(Reading& aReading)
{
  const auto& settings = aReading.mSettings;
  if (AllValid(aReading, { "lease-ms", "renewal-window-ms" })) {
    CheckAtLeast(
      aReading, "renewal-window-ms", settings.mRenewalWindow, settings.mLease);
  }
  if (AllValid(aReading, { "heartbeat-ms", "peer-dead-ms" })) {
    CheckAtLeast(aReading,
                 "peer-dead-ms",
                 settings.mPeerDead,
                 settings.mHeartbeat * kMinHeartbeatsUntilDead);
  }
}

// Removes the variables of mulberryvalvectl, which share the prefix and may be
// set in the same environment.
std::vector<std::string> WithoutCtlVariables(
  const std::vector<std::string>& aEnvironment)
{
  constexpr std::array<std::string_view, 3> kCtlVariables{
    "MULBERRYVALVE_ENDPOINT=",
    "MULBERRYVALVE_OUTPUT=",
    "MULBERRYVALVE_OPERATOR=",
  };
  std::vector<std::string> instanceVariables;
  for (const std::string& entry : aEnvironment) {
    const bool isCtlVariable = std::any_of(
      kCtlVariables.begin(), kCtlVariables.end(), [&](std::string_view aName) {
        return entry.compare(0, aName.size(), aName) == 0;
      });
    if (!isCtlVariable) {
      instanceVariables.push_back(entry);
    }
  }
  return instanceVariables;
}

} // namespace

SettingsOutcome ParseSettings(int aArgc,
                              const char* const* aArgv,
                              const std::vector<std::string>& aEnvironment)
{
  Reading reading = InstanceSettingTable().Read(
    aArgc, aArgv, WithoutCtlVariables(aEnvironment));
  if (reading.mMode == SettingsMode::kHelp ||
      reading.mMode == SettingsMode::kVersion) {
    return SettingsRequest{ reading.mMode, {}, {} };
  }
  CheckDomains(reading);
  CheckListeners(reading);
  CheckPeers(reading);
  CheckPeriods(reading);
  if (!reading.mFaults.empty()) {
    return std::move(reading.mFaults);
  }
  return SettingsRequest{ reading.mMode,
                          std::move(reading.mSettings),
                          std::move(reading.mPrinted) };
}

std::string InstanceSettingsHelp()
{
  return SettingsHelp(
    kProgram, InstanceSettingTable().Prefix(), InstanceSettingTable().Specs());
}

std::string InstanceVersion()
{
  return std::string(kProgram) + " " MULBERRYVALVE_VERSION "\n";
}

} // namespace mulberryvalve
