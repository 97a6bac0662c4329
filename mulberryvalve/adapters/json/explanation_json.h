// JSON encoding of the scheduling decisions made for a task.
#ifndef MULBERRYVALVE_ADAPTERS_JSON_EXPLANATION_JSON_H_
#define MULBERRYVALVE_ADAPTERS_JSON_EXPLANATION_JSON_H_

#include "mulberryvalve/core/colocation/explanation.h"

#include <nlohmann/json.hpp>

namespace mulberryvalve {

// DecisionsToJson encodes the decisions, oldest first, with their ages at aNow,
// which must be a time of the clock that stamped them. Thread-safe.
nlohmann::json DecisionsToJson(const Explanation& aExplanation,
                               MonotonicTime aNow);

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_JSON_EXPLANATION_JSON_H_
