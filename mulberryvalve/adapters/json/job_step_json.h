// JSON encoding of a step in the record of its job.
#ifndef MULBERRYVALVE_ADAPTERS_JSON_JOB_STEP_JSON_H_
#define MULBERRYVALVE_ADAPTERS_JSON_JOB_STEP_JSON_H_

#include "mulberryvalve/adapters/json/json_reader.h"
#include "mulberryvalve/core/jobs/job_graph.h"

#include <cstdint>
#include <nlohmann/json.hpp>

namespace mulberryvalve {

inline constexpr size_t kMaxJobSteps = 256;
// Upper bound of the tasks of a step and of the other counts in a job.
inline constexpr int64_t kMaxJobCount = 65536;

// StepToJson encodes a step; fields with default values are omitted.
// Thread-safe.
nlohmann::json StepToJson(const StepSpec& aStep);

// StepFromJson decodes the step with the zero-based index aIndex, which may
// depend on earlier steps only. Faults are recorded in aReader. Thread-safe.
StepSpec StepFromJson(JsonReader& aReader, size_t aIndex);

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_JSON_JOB_STEP_JSON_H_
