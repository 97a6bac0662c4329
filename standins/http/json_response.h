// Helpers for JSON responses, error responses and reading JSON fields.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "standins/http/http_message.h"

namespace mulberryvalve::standins {

// Returns a response with status 200 and the body `aBody`.
HttpResponse JsonResponse(const nlohmann::json& aBody);

// Returns a response with status `aStatus` whose body has the fields of
// `aDetails` and `"error":aError`.
HttpResponse ErrorResponse(int aStatus,
                           std::string_view aError,
                           nlohmann::json aDetails = nlohmann::json::object());

// Error responses that all stand-ins use: 400 and 404.
HttpResponse BadRequest();
HttpResponse NotFound();

// Parses a JSON object; returns nullopt if `aText` is not one. An empty string
// is parsed as an empty object.
std::optional<nlohmann::json> ParseObject(const std::string& aText);

// The named field as a string (integers are formatted in decimal), or an empty
// string if it is absent or of another type.
std::string TextField(const nlohmann::json& aObject, const char* aName);

// The named field as an integer, or `aDefault` if it is absent or no number.
int64_t IntField(const nlohmann::json& aObject,
                 const char* aName,
                 int64_t aDefault = 0);

// The named field as a boolean; false if it is absent or no boolean.
bool BoolField(const nlohmann::json& aObject, const char* aName);

// The named query parameter as an unsigned number, `aDefault` if it is absent,
// or nullopt if it is malformed.
std::optional<uint64_t> NumberParameter(const HttpRequest& aRequest,
                                        const char* aName,
                                        uint64_t aDefault);

} // namespace mulberryvalve::standins
