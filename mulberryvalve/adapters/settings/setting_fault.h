// SettingFault: an error in the settings of a program.
#ifndef MULBERRYVALVE_ADAPTERS_SETTINGS_SETTING_FAULT_H_
#define MULBERRYVALVE_ADAPTERS_SETTINGS_SETTING_FAULT_H_

#include "mulberryvalve/core/base/enum_table.h"

#include <string>

namespace mulberryvalve {

enum class SettingFaultKind
{
  kUnknownFlag,
  kUnknownVariable,
  kMissing,
  kNotANumber,
  kOutOfRange,
  kNotAnIpNumber,
  kBadPort,
  kDuplicate,
  kBadName,
  kNotAllowed,
  kInconsistent,
};

inline constexpr EnumTable<SettingFaultKind, 11> kSettingFaultKindNames{ { {
  { SettingFaultKind::kUnknownFlag, "unknown_flag" },
  { SettingFaultKind::kUnknownVariable, "unknown_variable" },
  { SettingFaultKind::kMissing, "missing" },
  { SettingFaultKind::kNotANumber, "not_a_number" },
  { SettingFaultKind::kOutOfRange, "out_of_range" },
  { SettingFaultKind::kNotAnIpNumber, "not_an_ip_number" },
  { SettingFaultKind::kBadPort, "bad_port" },
  { SettingFaultKind::kDuplicate, "duplicate" },
  { SettingFaultKind::kBadName, "bad_name" },
  { SettingFaultKind::kNotAllowed, "not_allowed" },
  { SettingFaultKind::kInconsistent, "inconsistent" },
} } };

enum class SettingSource
{
  kFlag,
  kEnvironment,
  kDefault,
};

inline constexpr EnumTable<SettingSource, 3> kSettingSourceNames{ { {
  { SettingSource::kFlag, "flag" },
  { SettingSource::kEnvironment, "env" },
  { SettingSource::kDefault, "default" },
} } };

// SettingFault holds the setting name (without dashes or prefix), the source of
// the value, the value as given and a description of the allowed values.
struct SettingFault
{
  SettingFaultKind mKind = SettingFaultKind::kMissing;
  std::string mField;
  SettingSource mSource = SettingSource::kDefault;
  std::string mValue;
  std::string mAllowed;
};

// Describe returns aFault as one line of text for users. Thread-safe.
inline std::string Describe(const SettingFault& aFault)
{
  std::string line = aFault.mField + ": ";
  line += kSettingFaultKindNames.Name(aFault.mKind);
  line += " (value '" + aFault.mValue + "' from ";
  line += kSettingSourceNames.Name(aFault.mSource);
  line += "; allowed: " + aFault.mAllowed + ")";
  return line;
}

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_SETTINGS_SETTING_FAULT_H_
