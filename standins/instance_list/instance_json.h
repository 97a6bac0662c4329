// Parses and formats worker instances as JSON.

#pragma once

#include <optional>

#include <nlohmann/json.hpp>

#include "standins/instance_list/instance_list.h"

namespace mulberryvalve::standins {

nlohmann::json ToJson(const Instance& aInstance);

// Parses one instance. Returns nullopt if the id is missing or the state is
// unknown or `gone`. An absent state means live.
std::optional<Instance> InstanceFromJson(const nlohmann::json& aObject);

} // namespace mulberryvalve::standins
