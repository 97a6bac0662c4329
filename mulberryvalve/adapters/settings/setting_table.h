// SettingTable: reads a settings struct from flags and environment variables.
// One table of descriptors also defines the help text and the printed values.
#ifndef MULBERRYVALVE_ADAPTERS_SETTINGS_SETTING_TABLE_H_
#define MULBERRYVALVE_ADAPTERS_SETTINGS_SETTING_TABLE_H_

#include "mulberryvalve/adapters/settings/setting_input.h"

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace mulberryvalve {

// SettingDescriptor binds a spec to a member of Settings. mSet is called only
// with values that are valid for mSpec.
template<typename Settings>
struct SettingDescriptor
{
  SettingSpec mSpec;
  void (*mSet)(Settings&, const SettingValue&);
  std::string (*mPrint)(const Settings&);
};

// PrintedSetting is one line of --print-settings.
struct PrintedSetting
{
  std::string mName;
  std::string mValue;
  SettingSource mSource = SettingSource::kDefault;
};

// SettingReading is the result of reading settings. mSettings is complete only
// if mFaults is empty.
template<typename Settings>
struct SettingReading
{
  SettingsMode mMode = SettingsMode::kRun;
  Settings mSettings;
  std::vector<PrintedSetting> mPrinted;
  std::vector<SettingFault> mFaults;

  // HasFault returns whether there is a fault of the setting aName.
  bool HasFault(std::string_view aName) const
  {
    for (const auto& fault : mFaults) {
      if (fault.mField == aName) {
        return true;
      }
    }
    return false;
  }

  // AddFault adds a fault of aKind for the setting aName. Has no effect unless
  // its value was parsed.
  void AddFault(std::string_view aName,
                SettingFaultKind aKind,
                std::string aAllowed)
  {
    for (const auto& printed : mPrinted) {
      if (printed.mName == aName) {
        mFaults.push_back({ aKind,
                            printed.mName,
                            printed.mSource,
                            printed.mValue,
                            std::move(aAllowed) });
        return;
      }
    }
  }
};

// SettingsHelp returns the help text of aProgram. Thread-safe.
std::string SettingsHelp(std::string_view aProgram,
                         std::string_view aPrefix,
                         const std::vector<SettingSpec>& aSpecs);

// PrintSettings returns a line `name=value (source)` per setting. Thread-safe.
std::string PrintSettings(const std::vector<PrintedSetting>& aPrinted);

// SettingTable is immutable and therefore thread-safe.
//
//   const SettingTable<CtlSettings> table("MULBERRYVALVECTL_", rows);
//   const auto reading = table.Read(argc, argv, environment);
template<typename Settings>
class SettingTable
{
public:
  using Descriptor = SettingDescriptor<Settings>;

  // aPrefix is the prefix of all variable names and must outlive the table.
  SettingTable(std::string_view aPrefix, std::vector<Descriptor> aRows)
    : mPrefix(aPrefix)
    , mRows(std::move(aRows))
  {
    for (const auto& row : mRows) {
      mSpecs.push_back(row.mSpec);
    }
  }

  // Specs returns the specs in the order of the table.
  const std::vector<SettingSpec>& Specs() const { return mSpecs; }

  // Prefix returns the prefix of all variable names.
  std::string_view Prefix() const { return mPrefix; }

  // Read reads and validates each setting on its own and reports all faults.
  // aArgv must have aArgc entries, the program name first.
  SettingReading<Settings> Read(
    int aArgc,
    const char* const* aArgv,
    const std::vector<std::string>& aEnvironment) const
  {
    SettingInput input =
      ReadSettingInput(mSpecs, mPrefix, aArgc, aArgv, aEnvironment);
    SettingReading<Settings> reading;
    reading.mMode = input.mMode;
    reading.mFaults = std::move(input.mFaults);
    for (const auto& row : mRows) {
      ReadSetting(row, input, reading);
    }
    return reading;
  }

private:
  static void ReadSetting(const Descriptor& aRow,
                          const SettingInput& aInput,
                          SettingReading<Settings>& aReading)
  {
    const SettingSpec& spec = aRow.mSpec;
    const std::string name(spec.mName);
    SettingText text{ std::string(spec.mDefault.value_or("")),
                      SettingSource::kDefault };
    const auto given = aInput.mTexts.find(spec.mName);
    if (given != aInput.mTexts.end()) {
      text = given->second;
    } else if (!spec.mDefault) {
      if (!aReading.HasFault(name)) {
        aReading.mFaults.push_back({ SettingFaultKind::kMissing,
                                     name,
                                     text.mSource,
                                     "",
                                     AllowedValues(spec) });
      }
      return;
    }
    const SettingResult<SettingValue> value =
      ParseSettingValue(spec, text.mText);
    if (!value) {
      aReading.mFaults.push_back(
        { value.error(), name, text.mSource, text.mText, AllowedValues(spec) });
      return;
    }
    aRow.mSet(aReading.mSettings, value.value());
    aReading.mPrinted.push_back(
      { name, aRow.mPrint(aReading.mSettings), text.mSource });
  }

  std::string_view mPrefix;
  std::vector<Descriptor> mRows;
  std::vector<SettingSpec> mSpecs;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_SETTINGS_SETTING_TABLE_H_
