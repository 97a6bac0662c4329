// JSON encoding of the move of a worker to another shard.
#ifndef MULBERRYVALVE_ADAPTERS_JSON_WORKER_MOVE_JSON_H_
#define MULBERRYVALVE_ADAPTERS_JSON_WORKER_MOVE_JSON_H_

#include "mulberryvalve/core/base/failure.h"
#include "mulberryvalve/core/jobs/worker_move.h"

#include <nlohmann/json.hpp>

namespace mulberryvalve {

// MoveToJson and MoveFromJson encode and decode all but the worker.
// Thread-safe. Errors: kInvalidInput if a field is missing or out of range.
nlohmann::json MoveToJson(const WorkerMove& aMove);
Result<WorkerMove> MoveFromJson(const WorkerId& aWorker,
                                const nlohmann::json& aObject);

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_JSON_WORKER_MOVE_JSON_H_
