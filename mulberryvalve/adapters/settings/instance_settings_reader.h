// ParseSettings: reads the settings of mulberryvalved from flags and
// environment variables of the same names. Flags override variables.
#ifndef MULBERRYVALVE_ADAPTERS_SETTINGS_INSTANCE_SETTINGS_READER_H_
#define MULBERRYVALVE_ADAPTERS_SETTINGS_INSTANCE_SETTINGS_READER_H_

#include "mulberryvalve/adapters/settings/setting_table.h"
#include "mulberryvalve/core/base/result.h"
#include "mulberryvalve/core/settings/instance_settings.h"

#include <string>
#include <vector>

namespace mulberryvalve {

// kExitOk is the exit code of a successful run in any mode.
inline constexpr int kExitOk = 0;

// kExitSettings is the exit code for invalid flags or settings.
inline constexpr int kExitSettings = 2;

// SettingsRequest is the parsed command line. mSettings and mPrinted are
// complete in all modes except kHelp and kVersion.
struct SettingsRequest
{
  SettingsMode mMode = SettingsMode::kRun;
  InstanceSettings mSettings;
  std::vector<PrintedSetting> mPrinted;
};

// SettingsOutcome holds a request or all faults found.
using SettingsOutcome = BasicResult<SettingsRequest, std::vector<SettingFault>>;

// ParseSettings reads aArgv (aArgc entries, the program name first) and
// aEnvironment (entries NAME=VALUE). The modes help and version succeed even if
// other flags or variables are invalid. Thread-safe.
//
//   const auto outcome = ParseSettings(argc, argv, environment);
//   if (!outcome) { return kExitSettings; }
SettingsOutcome ParseSettings(int aArgc,
                              const char* const* aArgv,
                              const std::vector<std::string>& aEnvironment);

// InstanceSettingsHelp returns the text of --help. Thread-safe.
std::string InstanceSettingsHelp();

// InstanceVersion returns the text of --version. Thread-safe.
std::string InstanceVersion();

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_SETTINGS_INSTANCE_SETTINGS_READER_H_
