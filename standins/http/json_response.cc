#include "standins/http/json_response.h"

#include <charconv>
#include <utility>

namespace mulberryvalve::standins {
namespace {

using nlohmann::json;

constexpr int kBadRequestStatus = 400;
constexpr int kNotFoundStatus = 404;

std::string Dump(const json& aBody)
{
  return aBody.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

HttpResponse JsonResponse(const json& aBody)
{
  HttpResponse response;
  response.mBody = Dump(aBody);
  return response;
}

HttpResponse ErrorResponse(int aStatus, std::string_view aError, json aDetails)
{
  aDetails["error"] = std::string(aError);
  HttpResponse response = JsonResponse(aDetails);
  response.mStatus = aStatus;
  return response;
}

HttpResponse BadRequest()
{
  return ErrorResponse(kBadRequestStatus, "bad_request");
}

HttpResponse NotFound()
{
  return ErrorResponse(kNotFoundStatus, "not_found");
}

std::optional<json> ParseObject(const std::string& aText)
{
  if (aText.empty()) {
    return json::object();
  }
  json parsed = json::parse(aText, nullptr, false);
  if (!parsed.is_object()) {
    return std::nullopt;
  }
  return parsed;
}

std::string TextField(const json& aObject, const char* aName)
{
  const auto found = aObject.find(aName);
  if (found == aObject.end()) {
    return {};
  }
  if (found->is_string()) {
    return found->get<std::string>();
  }
  return found->is_number_integer() ? found->dump() : std::string();
}

int64_t IntField(const json& aObject, const char* aName, int64_t aDefault)
{
  const auto found = aObject.find(aName);
  if (found == aObject.end() || !found->is_number()) {
    return aDefault;
  }
  return found->get<int64_t>();
}

bool BoolField(const json& aObject, const char* aName)
{
  const auto found = aObject.find(aName);
  return found != aObject.end() && found->is_boolean() && found->get<bool>();
}

std::optional<uint64_t> NumberParameter(const HttpRequest& aRequest,
                                        const char* aName,
                                        uint64_t aDefault)
{
  const auto found = aRequest.mParameters.find(aName);
  if (found == aRequest.mParameters.end()) {
    return aDefault;
  }
  const std::string& text = found->second;
  const char* last = text.data() + text.size();
  uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), last, value);
  if (error != std::errc() || end != last) {
    return std::nullopt;
  }
  return value;
}

} // namespace mulberryvalve::standins
