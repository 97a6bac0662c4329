// JSON encoding of LearnedRecord, the statistics that the owner of the job log
// collects.
#ifndef MULBERRYVALVE_ADAPTERS_JSON_LEARNED_JSON_H_
#define MULBERRYVALVE_ADAPTERS_JSON_LEARNED_JSON_H_

#include "mulberryvalve/core/base/failure.h"
#include "mulberryvalve/core/jobs/learned_record.h"

#include <nlohmann/json.hpp>

namespace mulberryvalve {

// LearnedToJson encodes aRecord; fractions become integers in millionths.
nlohmann::json LearnedToJson(const LearnedRecord& aRecord);

// LearnedFromJson decodes the output of LearnedToJson. Errors: kMalformed,
// kInvalidInput.
Result<LearnedRecord> LearnedFromJson(const nlohmann::json& aObject);

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_JSON_LEARNED_JSON_H_
