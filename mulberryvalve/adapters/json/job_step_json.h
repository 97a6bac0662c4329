// A step of a job as part of the job's record.
#ifndef MULBERRYVALVE_ADAPTERS_JSON_JOB_STEP_JSON_H_
#define MULBERRYVALVE_ADAPTERS_JSON_JOB_STEP_JSON_H_

#include "mulberryvalve/adapters/json/json_reader.h"
#include "mulberryvalve/core/jobs/job_graph.h"

#include <cstdint>
#include <nlohmann/json.hpp>

namespace mulberryvalve {

inline constexpr size_t kMaxJobSteps = 256;
// Of the tasks of a step and the other counts of a job.
inline constexpr int64_t kMaxJobCount = 65536;

// StepToJson writes a step; fields at their default are left out. Thread-safe.
nlohmann::json StepToJson(const StepSpec& aStep);

// StepFromJson reads the step of number aNumber, counted from 0, which may only
// wait for earlier ones. Faults stay with aReader. Thread-safe.
StepSpec StepFromJson(JsonReader& aReader, size_t aNumber);

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_JSON_JOB_STEP_JSON_H_
