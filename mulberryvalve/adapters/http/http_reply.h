// Writes responses of the HTTP front end and validates request headers and
// parameters. Include it in source files only, since it includes httplib.
#ifndef MULBERRYVALVE_ADAPTERS_HTTP_HTTP_REPLY_H_
#define MULBERRYVALVE_ADAPTERS_HTTP_HTTP_REPLY_H_

#include "mulberryvalve/adapters/http/http_status.h"
#include "mulberryvalve/core/base/failure.h"
#include "mulberryvalve/core/model/ids.h"

#include <cstdint>
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <optional>

namespace mulberryvalve {

using HttpRequest = httplib::Request;
using HttpResponse = httplib::Response;

inline constexpr const char* kJsonType = "application/json";

// HttpStatusFor returns the HTTP status code for a kind of failure.
// Thread-safe.
int HttpStatusFor(FailureKind aKind);

// SendJson sets the status and the JSON body of aResponse.
void SendJson(HttpResponse& aResponse,
              int aStatus,
              const nlohmann::json& aBody);

// SendFailure sets aFailure as the body, with the status of its kind.
void SendFailure(HttpResponse& aResponse, const Failure& aFailure);

// SendDefaultFailure adds a failure body to an error response that httplib
// generated without one.
void SendDefaultFailure(HttpResponse& aResponse);

// NumberHeader returns the integer in a header, or aDefault if it has none.
int64_t NumberHeader(const HttpRequest& aRequest,
                     const char* aName,
                     int64_t aDefault);

// VersionHeader returns a bundle version. Errors: kInvalidInput.
Result<BundleVersion> VersionHeader(const HttpRequest& aRequest,
                                    const char* aName);

// LimitParameter returns the parameter "limit", or aMax when it is absent.
// Errors: kInvalidInput when it is not from 1 to aMax.
Result<size_t> LimitParameter(const HttpRequest& aRequest, size_t aMax);

// OperatorHeader returns the value of X-Operator, empty when absent. Errors:
// kInvalidInput when it is too long or not printable text.
Result<OperatorId> OperatorHeader(const HttpRequest& aRequest);

// PathParameter returns the capture group aIndex of the route. Errors:
// kInvalidInput when it is too long or not printable text.
Result<std::string> PathParameter(const HttpRequest& aRequest,
                                  size_t aIndex,
                                  const char* aField);

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_HTTP_HTTP_REPLY_H_
