// Parses the commands of a worker from JSON and formats its reports.

#pragma once

#include <optional>

#include <nlohmann/json.hpp>

#include "standins/http/http_message.h"
#include "standins/worker_model/worker_types.h"

namespace mulberryvalve::standins {

// Each parser returns nullopt if a required field is missing or has the wrong
// type.
std::optional<SyncCommand> SyncFromJson(const nlohmann::json& aObject);
std::optional<StartCommand> StartFromJson(const nlohmann::json& aObject);
std::optional<LeaseCommand> LeaseFromJson(const nlohmann::json& aObject);

// A body that is not a JSON object is a request without work.
struct RequestBody
{
  int64_t mWorkMs = 0;
  std::string mEcho;
};
RequestBody RequestBodyFromText(const std::string& aBody);

nlohmann::json ToJson(const SyncReport& aReport);

// The error response for a command.
HttpResponse ToResponse(const CommandError& aError);

} // namespace mulberryvalve::standins
