// ApiClient: a client of an instance's HTTP API.
#ifndef MULBERRYVALVE_ADAPTERS_CLI_API_CLIENT_H_
#define MULBERRYVALVE_ADAPTERS_CLI_API_CLIENT_H_

#include "mulberryvalve/adapters/http/http_client_pool.h"
#include "mulberryvalve/core/base/failure.h"

#include <string>
#include <vector>

namespace mulberryvalve {

// ApiClient makes one call at a time. Implementations are thread-safe.
class ApiClient
{
public:
  virtual ~ApiClient() = default;

  // Call returns the answer of an instance, whatever its HTTP status. Errors:
  // kPeerUnreachable when no request was sent, kUnknownOutcome when a request
  // was sent but no complete answer received.
  virtual Result<HttpAnswer> Call(HttpCall aCall) = 0;
};

// HttpApiClient tries its endpoints in order. It tries the next one only if no
// connection was made, since no request can have been sent then.
class HttpApiClient : public ApiClient
{
public:
  // aEndpoints must not be empty; aPool must outlive the client.
  HttpApiClient(std::vector<Endpoint> aEndpoints,
                Milliseconds aTimeLimit,
                HttpClientPool& aPool);

  Result<HttpAnswer> Call(HttpCall aCall) override;

private:
  const std::vector<Endpoint> mEndpoints;
  const Milliseconds mTimeLimit;
  HttpClientPool& mPool;
};

// EncodePathSegment percent-encodes aText for use as one segment of a URL path.
// Thread-safe.
std::string EncodePathSegment(const std::string& aText);

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_CLI_API_CLIENT_H_
