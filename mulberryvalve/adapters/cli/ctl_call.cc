#include "mulberryvalve/adapters/cli/ctl_command.h"

#include <utility>

namespace mulberryvalve {
namespace {

using nlohmann::json;

constexpr int kFirstStatusOk = 200;
constexpr int kLastStatusOk = 299;

std::string StringField(const json& aObject, const char* aName)
{
  const auto found = aObject.find(aName);
  return found != aObject.end() && found->is_string()
           ? found->get<std::string>()
           : std::string();
}

std::vector<BundleFault> ParseFaults(const json& aBody)
{
  std::vector<BundleFault> faults;
  const auto rows = aBody.find("faults");
  if (rows == aBody.end() || !rows->is_array()) {
    return faults;
  }
  for (const json& row : *rows) {
    if (row.is_object()) {
      faults.push_back({ kBundleFaultKindNames.Find(StringField(row, "kind"))
                           .value_or(BundleFaultKind::kMalformed),
                         StringField(row, "path"),
                         StringField(row, "value"),
                         StringField(row, "allowed") });
    }
  }
  return faults;
}

CtlResult<json> ParseBody(const Result<HttpAnswer>& aAnswer)
{
  if (!aAnswer) {
    return CtlFailure{ aAnswer.error(), {} };
  }
  const HttpAnswer& answer = aAnswer.value();
  if (answer.mStatus < kFirstStatusOk || answer.mStatus > kLastStatusOk) {
    return FailureFromAnswer(answer);
  }
  json body = json::parse(answer.mBody, nullptr, false);
  if (!body.is_object()) {
    return CtlFailure{
      Fail(FailureKind::kUnknownOutcome, "answer", "not a JSON object"), {}
    };
  }
  return body;
}

} // namespace

CtlFailure FailureFromAnswer(const HttpAnswer& aAnswer)
{
  const json body = json::parse(aAnswer.mBody, nullptr, false);
  const auto kind = body.is_object()
                      ? kFailureKindNames.Find(StringField(body, "error"))
                      : std::nullopt;
  if (!kind) {
    return { Fail(FailureKind::kUnknownOutcome,
                  "answer",
                  "HTTP status " + std::to_string(aAnswer.mStatus)),
             {} };
  }
  return { Fail(*kind, StringField(body, "field"), StringField(body, "detail")),
           ParseFaults(body) };
}

CtlResult<json> FetchJson(ApiClient& aApi, const std::string& aPath)
{
  HttpCall call;
  call.mPath = aPath;
  return ParseBody(aApi.Call(std::move(call)));
}

CtlResult<json> PostJson(ApiClient& aApi,
                         const std::string& aPath,
                         std::string aBody,
                         std::vector<HttpHeader> aHeaders)
{
  HttpCall call;
  call.mMethod = HttpMethod::kPost;
  call.mPath = aPath;
  call.mHeaders = std::move(aHeaders);
  call.mBody = std::move(aBody);
  return ParseBody(aApi.Call(std::move(call)));
}

} // namespace mulberryvalve
