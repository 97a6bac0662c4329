// SettingInput: unparsed setting values from flags and environment variables.
#ifndef MULBERRYVALVE_ADAPTERS_SETTINGS_SETTING_INPUT_H_
#define MULBERRYVALVE_ADAPTERS_SETTINGS_SETTING_INPUT_H_

#include "mulberryvalve/adapters/settings/setting_value.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace mulberryvalve {

// SettingsMode is what the program was asked to do, highest precedence first.
enum class SettingsMode
{
  kHelp,
  kVersion,
  kPrintSettings,
  kCheckSettings,
  kRun,
};

// The name of a mode is its flag; kRun is the mode without any such flag.
inline constexpr EnumTable<SettingsMode, 5> kSettingsModeNames{ { {
  { SettingsMode::kHelp, "help" },
  { SettingsMode::kVersion, "version" },
  { SettingsMode::kPrintSettings, "print-settings" },
  { SettingsMode::kCheckSettings, "check-settings" },
  { SettingsMode::kRun, "run" },
} } };

// SettingText is the unparsed value of one setting.
struct SettingText
{
  std::string mText;
  SettingSource mSource = SettingSource::kDefault;
};

// SettingInput holds the texts by setting name, where flags override variables,
// and the faults of the input, such as unknown flags.
struct SettingInput
{
  SettingsMode mMode = SettingsMode::kRun;
  std::map<std::string, SettingText, std::less<>> mTexts;
  std::vector<SettingFault> mFaults;
};

// VariableName returns the environment variable of a flag: aPrefix and the flag
// in upper case, with underscores for dashes. Thread-safe.
std::string VariableName(std::string_view aPrefix, std::string_view aFlag);

// ReadSettingInput reads aArgv (aArgc entries, the program name first) with
// popt and aEnvironment (entries NAME=VALUE). Variables without aPrefix are
// ignored. It reports unknown flags and variables, flags without a value, and
// settings given twice in one source. Thread-safe.
SettingInput ReadSettingInput(const std::vector<SettingSpec>& aSpecs,
                              std::string_view aPrefix,
                              int aArgc,
                              const char* const* aArgv,
                              const std::vector<std::string>& aEnvironment);

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_SETTINGS_SETTING_INPUT_H_
