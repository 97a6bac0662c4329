// Parses and formats fault switches as JSON.

#pragma once

#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "standins/fault_switches/fault_switches.h"

namespace mulberryvalve::standins {

// The current values of all switches, by name. Thread-safe.
template<typename Switch, const auto& Table>
nlohmann::json ToJson(const FaultSwitches<Switch, Table>& aSwitches)
{
  nlohmann::json result = nlohmann::json::object();
  for (const auto& entry : Table) {
    const int64_t value = aSwitches.Value(entry.mSwitch);
    if (entry.mKind == SwitchKind::kFlag) {
      result[std::string(entry.mName)] = value != 0;
    } else {
      result[std::string(entry.mName)] = value;
    }
  }
  return result;
}

// Validated changes, which can be applied to one or several sets.
template<typename Switch>
using SwitchChanges = std::vector<std::pair<Switch, int64_t>>;

// Parses the switches named in `aObject`. Returns nullopt on an unknown name,
// a value of the wrong type or a negative number. The field `worker` is
// ignored.
template<typename Switch, std::size_t Size>
std::optional<SwitchChanges<Switch>> ReadChanges(
  const std::array<SwitchEntry<Switch>, Size>& aTable,
  const nlohmann::json& aObject)
{
  SwitchChanges<Switch> changes;
  for (const auto& [name, value] : aObject.items()) {
    if (name == "worker") {
      continue;
    }
    const SwitchEntry<Switch>* match = nullptr;
    for (const auto& entry : aTable) {
      match = entry.mName == name ? &entry : match;
    }
    if (match == nullptr) {
      return std::nullopt;
    }
    const bool flag = match->mKind == SwitchKind::kFlag;
    if (flag ? !value.is_boolean() : !value.is_number_integer()) {
      return std::nullopt;
    }
    const int64_t number = flag ? (value.template get<bool>() ? 1 : 0)
                                : value.template get<int64_t>();
    if (number < 0) {
      return std::nullopt;
    }
    changes.emplace_back(match->mSwitch, number);
  }
  return changes;
}

// Sets every switch in `aChanges`. Thread-safe.
template<typename Switch, const auto& Table>
void Apply(const SwitchChanges<Switch>& aChanges,
           FaultSwitches<Switch, Table>& aSwitches)
{
  for (const auto& [name, value] : aChanges) {
    aSwitches.Set(name, value);
  }
}

} // namespace mulberryvalve::standins
