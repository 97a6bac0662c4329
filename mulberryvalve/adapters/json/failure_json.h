// JSON body of an HTTP response that tells of a failure.
#ifndef MULBERRYVALVE_ADAPTERS_JSON_FAILURE_JSON_H_
#define MULBERRYVALVE_ADAPTERS_JSON_FAILURE_JSON_H_

#include "mulberryvalve/core/base/failure.h"

#include <nlohmann/json_fwd.hpp>

namespace mulberryvalve {

// FailureToJson encodes the kind, field and detail of a failure. Thread-safe.
nlohmann::json FailureToJson(const Failure& aFailure);

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_JSON_FAILURE_JSON_H_
