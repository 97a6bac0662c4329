// SettingSpec and SettingValue: allowed values and parsed value of a setting.
#ifndef MULBERRYVALVE_ADAPTERS_SETTINGS_SETTING_VALUE_H_
#define MULBERRYVALVE_ADAPTERS_SETTINGS_SETTING_VALUE_H_

#include "mulberryvalve/adapters/settings/setting_fault.h"
#include "mulberryvalve/core/base/result.h"
#include "mulberryvalve/core/model/worker.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mulberryvalve {

enum class SettingValueKind
{
  kNumber,
  kMilliseconds,
  kName,
  kNameList,
  kEndpoint,
  kEndpointList,
  kChoice,
  kText,
};

inline constexpr EnumTable<SettingValueKind, 8> kSettingValueKindNames{ { {
  { SettingValueKind::kNumber, "NUMBER" },
  { SettingValueKind::kMilliseconds, "MILLISECONDS" },
  { SettingValueKind::kName, "NAME" },
  { SettingValueKind::kNameList, "NAME,..." },
  { SettingValueKind::kEndpoint, "IP:PORT" },
  { SettingValueKind::kEndpointList, "IP:PORT,..." },
  { SettingValueKind::kChoice, "CHOICE" },
  { SettingValueKind::kText, "TEXT" },
} } };

// SettingSpec describes one setting. mMin and mMax limit a number, the length
// of a list or the length of a text in bytes. A setting without mDefault is
// required. mChoices is used for kChoice only.
struct SettingSpec
{
  std::string_view mName;
  SettingValueKind mKind = SettingValueKind::kText;
  std::optional<std::string_view> mDefault;
  int64_t mMin = 0;
  int64_t mMax = 0;
  std::string_view mHelp;
  std::vector<std::string_view> mChoices;
};

// SettingValue is a parsed value; the kind of its spec decides which member is
// set. A single name, choice or text is in mTexts, a single endpoint in
// mEndpoints.
struct SettingValue
{
  int64_t mNumber = 0;
  std::vector<std::string> mTexts;
  std::vector<Endpoint> mEndpoints;
};

// SettingResult holds a T or the kind of the first fault.
template<typename T>
using SettingResult = BasicResult<T, SettingFaultKind>;

// ParseSettingValue parses aText according to aSpec. Addresses are IPv4
// addresses or IPv6 addresses in brackets. Host names are rejected, and so is
// the unspecified address, because instances send their addresses to each
// other. Text must not contain control characters. Thread-safe.
SettingResult<SettingValue> ParseSettingValue(const SettingSpec& aSpec,
                                              std::string_view aText);

// AllowedValues returns a description of the values that aSpec accepts.
// Thread-safe.
std::string AllowedValues(const SettingSpec& aSpec);

// PrintEndpoint formats aEndpoint as IP:PORT, with IPv6 addresses in brackets.
// Thread-safe.
std::string PrintEndpoint(const Endpoint& aEndpoint);

// PrintEndpoints formats aEndpoints as a comma-separated list. Thread-safe.
std::string PrintEndpoints(const std::vector<Endpoint>& aEndpoints);

// SameEndpoint returns whether two parsed endpoints are equal. Thread-safe.
bool SameEndpoint(const Endpoint& aLeft, const Endpoint& aRight);

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_SETTINGS_SETTING_VALUE_H_
