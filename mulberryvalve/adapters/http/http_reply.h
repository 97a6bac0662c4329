// Replies of the HTTP front end and the checks of what arrives in heads.
// Include it in source files only, since it brings httplib with it.
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

// StatusOf returns the HTTP status of a failure. Thread-safe.
int StatusOf(FailureKind aKind);

// Answer writes aBody with aStatus.
void Answer(HttpResponse& aResponse, int aStatus, const nlohmann::json& aBody);

// AnswerFailure writes aFailure with its status.
void AnswerFailure(HttpResponse& aResponse, const Failure& aFailure);

// AnswerBare gives a reply that the library made itself the body of a failure.
void AnswerBare(HttpResponse& aResponse);

// NumberHeader returns the whole number of a header, or aElse.
int64_t NumberHeader(const HttpRequest& aRequest,
                     const char* aName,
                     int64_t aElse);

// VersionHeader returns a bundle version. Errors: kInvalidInput.
Result<BundleVersion> VersionHeader(const HttpRequest& aRequest,
                                    const char* aName);

// LimitParameter returns the parameter "limit", or aMax when it is absent.
// Errors: kInvalidInput when it is not from 1 to aMax.
Result<size_t> LimitParameter(const HttpRequest& aRequest, size_t aMax);

// OperatorHeader returns the caller's name for itself, which may be absent.
// Errors: kInvalidInput when it is long or not printable text.
Result<OperatorId> OperatorHeader(const HttpRequest& aRequest);

// PathText returns the part aIndex of a matched path. Errors: kInvalidInput
// when it is long or not printable text.
Result<std::string> PathText(const HttpRequest& aRequest,
                             size_t aIndex,
                             const char* aField);

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_HTTP_HTTP_REPLY_H_
