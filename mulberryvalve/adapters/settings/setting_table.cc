#include "mulberryvalve/adapters/settings/setting_table.h"

namespace mulberryvalve {
namespace {

std::string SettingHelp(const SettingSpec& aSpec, std::string_view aPrefix)
{
  std::string text = "  --" + std::string(aSpec.mName) + "=";
  text += kSettingValueKindNames.Name(aSpec.mKind);
  text += "\n      " + std::string(aSpec.mHelp) + ".\n      Allowed: ";
  text += AllowedValues(aSpec) + ". ";
  if (aSpec.mDefault) {
    text += "Default: '" + std::string(*aSpec.mDefault) + "'.";
  } else {
    text += "Required.";
  }
  text += " Variable: " + VariableName(aPrefix, aSpec.mName) + "\n";
  return text;
}

} // namespace

std::string SettingsHelp(std::string_view aProgram,
                         std::string_view aPrefix,
                         const std::vector<SettingSpec>& aSpecs)
{
  std::string text = "Usage: " + std::string(aProgram) + " [FLAG...]\n\n";
  text += "A flag goes before the environment variable of the same name.\n\n";
  text += "  --help            Print this text and stop.\n";
  text += "  --version         Print the version and stop.\n";
  text += "  --print-settings  Check and print the settings and stop.\n";
  text += "  --check-settings  Check the settings and stop.\n";
  for (const auto& spec : aSpecs) {
    text += SettingHelp(spec, aPrefix);
  }
  return text;
}

std::string PrintSettings(const std::vector<PrintedSetting>& aPrinted)
{
  std::string text;
  for (const auto& setting : aPrinted) {
    text += setting.mName + "=" + setting.mValue + " (";
    text += kSettingSourceNames.Name(setting.mSource);
    text += ")\n";
  }
  return text;
}

} // namespace mulberryvalve
