#include "mulberryvalve/adapters/cli/api_client.h"

#include "mulberryvalve/adapters/settings/setting_value.h"

#include <cctype>
#include <cstdio>
#include <utility>

namespace mulberryvalve {

HttpApiClient::HttpApiClient(std::vector<Endpoint> aEndpoints,
                             Milliseconds aTimeLimit,
                             HttpClientPool& aPool)
  : mEndpoints(std::move(aEndpoints))
  , mTimeLimit(aTimeLimit)
  , mPool(aPool)
{
}

Result<HttpAnswer> HttpApiClient::Call(HttpCall aCall)
{
  aCall.mTimeout = mTimeLimit;
  for (const Endpoint& endpoint : mEndpoints) {
    HttpAnswer answer = mPool.Exchange(endpoint, aCall);
    if (answer.mOutcome == HttpOutcome::kAnswered) {
      return answer;
    }
    if (answer.mOutcome == HttpOutcome::kLost) {
      return Fail(FailureKind::kUnknownOutcome,
                  "endpoint",
                  "no whole answer from " + PrintEndpoint(endpoint));
    }
  }
  return Fail(FailureKind::kPeerUnreachable,
              "endpoint",
              "no connection to " + PrintEndpoints(mEndpoints));
}

std::string EncodePathSegment(const std::string& aText)
{
  std::string encoded;
  for (const char c : aText) {
    const auto byte = static_cast<unsigned char>(c);
    if (std::isalnum(byte) != 0 || c == '-' || c == '_' || c == '.') {
      encoded += c;
      continue;
    }
    char hex[4];
    std::snprintf(hex, sizeof hex, "%%%02X", byte);
    encoded += hex;
  }
  return encoded;
}

} // namespace mulberryvalve
