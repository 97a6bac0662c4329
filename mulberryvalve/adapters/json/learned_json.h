// What an owner has learned, as JSON of the platform's log.
#ifndef MULBERRYVALVE_ADAPTERS_JSON_LEARNED_JSON_H_
#define MULBERRYVALVE_ADAPTERS_JSON_LEARNED_JSON_H_

#include "mulberryvalve/core/base/failure.h"
#include "mulberryvalve/core/jobs/learned_record.h"

#include <nlohmann/json.hpp>

namespace mulberryvalve {

// LearnedToJson writes fractions in millionths.
nlohmann::json LearnedToJson(const LearnedRecord& aRecord);

// LearnedFromJson reads what LearnedToJson wrote. Errors: kMalformed,
// kInvalidInput.
Result<LearnedRecord> LearnedFromJson(const nlohmann::json& aObject);

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_JSON_LEARNED_JSON_H_
