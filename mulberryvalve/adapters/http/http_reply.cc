#include "mulberryvalve/adapters/http/http_reply.h"

#include "mulberryvalve/adapters/json/failure_json.h"
#include "mulberryvalve/adapters/json/json_text.h"
#include "mulberryvalve/adapters/json/text_validation.h"

#include <charconv>

namespace mulberryvalve {
namespace {

using nlohmann::json;

std::optional<int64_t> ReadNumber(const std::string& aText)
{
  int64_t number = 0;
  const char* end = aText.data() + aText.size();
  const auto read = std::from_chars(aText.data(), end, number);
  if (aText.empty() || read.ec != std::errc() || read.ptr != end) {
    return std::nullopt;
  }
  return number;
}

FailureKind FailureKindFor(int aStatus)
{
  switch (aStatus) {
    case 404:
      return FailureKind::kNotFound;
    case 413:
    case 414:
      return FailureKind::kTooLarge;
    case 500:
      return FailureKind::kUnknownOutcome;
    case kStatusUnavailable:
      return FailureKind::kOverloaded;
    default:
      return FailureKind::kMalformed;
  }
}

} // namespace

int HttpStatusFor(FailureKind aKind)
{
  switch (aKind) {
    case FailureKind::kInvalidInput:
    case FailureKind::kMalformed:
    case FailureKind::kUnsigned:
      return 400;
    case FailureKind::kNotFound:
      return 404;
    case FailureKind::kConflict:
      return 409;
    case FailureKind::kTooLarge:
      return 413;
    case FailureKind::kUnknownOutcome:
      return kStatusUnknown;
    default:
      return kStatusUnavailable;
  }
}

void SendJson(HttpResponse& aResponse, int aStatus, const json& aBody)
{
  aResponse.status = aStatus;
  aResponse.set_content(WriteJsonText(aBody), kJsonType);
}

void SendFailure(HttpResponse& aResponse, const Failure& aFailure)
{
  SendJson(aResponse, HttpStatusFor(aFailure.mKind), FailureToJson(aFailure));
}

void SendDefaultFailure(HttpResponse& aResponse)
{
  if (aResponse.body.empty()) {
    const int status = aResponse.status;
    SendJson(aResponse,
             status,
             FailureToJson(Fail(FailureKindFor(status),
                                "request",
                                "HTTP status " + std::to_string(status))));
  }
}

int64_t NumberHeader(const HttpRequest& aRequest,
                     const char* aName,
                     int64_t aDefault)
{
  return ReadNumber(aRequest.get_header_value(aName)).value_or(aDefault);
}

Result<BundleVersion> VersionHeader(const HttpRequest& aRequest,
                                    const char* aName)
{
  const std::string text = aRequest.get_header_value(aName);
  const auto number = ReadNumber(text.empty() ? "0" : text);
  if (!number || *number < 0) {
    return Fail(
      FailureKind::kInvalidInput, aName, "a whole number of at least 0");
  }
  return BundleVersion(static_cast<uint64_t>(*number));
}

Result<size_t> LimitParameter(const HttpRequest& aRequest, size_t aMax)
{
  if (!aRequest.has_param("limit")) {
    return aMax;
  }
  const auto number = ReadNumber(aRequest.get_param_value("limit"));
  if (!number || *number < 1 || *number > static_cast<int64_t>(aMax)) {
    return Fail(
      FailureKind::kInvalidInput, "limit", "1 to " + std::to_string(aMax));
  }
  return static_cast<size_t>(*number);
}

Result<OperatorId> OperatorHeader(const HttpRequest& aRequest)
{
  std::string text = aRequest.get_header_value("X-Operator");
  if (const auto fault = CheckPrintable("X-Operator", text, kMaxNameBytes)) {
    return *fault;
  }
  return OperatorId(std::move(text));
}

Result<std::string> PathParameter(const HttpRequest& aRequest,
                                  size_t aIndex,
                                  const char* aField)
{
  std::string text = aRequest.matches[aIndex].str();
  if (const auto fault = CheckPrintable(aField, text, kMaxIdBytes)) {
    return *fault;
  }
  return text;
}

} // namespace mulberryvalve
