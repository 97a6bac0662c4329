// JSON encodings of the model's value types, shared by records and HTTP bodies.
#ifndef MULBERRYVALVE_ADAPTERS_JSON_MODEL_JSON_H_
#define MULBERRYVALVE_ADAPTERS_JSON_MODEL_JSON_H_

#include "mulberryvalve/adapters/json/json_reader.h"
#include "mulberryvalve/core/model/resources.h"
#include "mulberryvalve/core/model/task.h"
#include "mulberryvalve/core/model/worker.h"

#include <nlohmann/json.hpp>

namespace mulberryvalve {

inline constexpr int64_t kMaxResource = 1'000'000'000;
inline constexpr uint32_t kMaxJobParts = 10'000;
inline constexpr size_t kMaxPayloadBytes = 16 * 1024;

// WriteResources writes CPU, memory and accelerators into aObject.
void WriteResources(nlohmann::json& aObject, const Resources& aResources);

// ReadResources reads CPU, memory and accelerators; absent ones are zero.
Resources ReadResources(JsonReader& aReader);

// WriteDemand writes the fields of aDemand into aObject.
void WriteDemand(nlohmann::json& aObject, const TaskDemand& aDemand);

// ReadDemand reads the fields of a task's demand; absent ones get defaults.
TaskDemand ReadDemand(JsonReader& aReader);

// WorkerToJson encodes a worker in the format of the instance list.
nlohmann::json WorkerToJson(const WorkerSpec& aWorker);

// ReadWorker decodes a worker in the format of the instance list.
WorkerSpec ReadWorker(JsonReader& aReader);

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_JSON_MODEL_JSON_H_
