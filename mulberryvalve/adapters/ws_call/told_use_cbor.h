// CBOR fields of a question about workers and of what a former owner tells.
#ifndef MULBERRYVALVE_ADAPTERS_WS_CALL_TOLD_USE_CBOR_H_
#define MULBERRYVALVE_ADAPTERS_WS_CALL_TOLD_USE_CBOR_H_

#include "mulberryvalve/adapters/json/json_reader.h"
#include "mulberryvalve/core/jobs/ownership_summary.h"

#include <cstddef>
#include <nlohmann/json.hpp>
#include <vector>

namespace mulberryvalve {

// All are thread-safe. Decoding records its faults in aReader: kMalformed, and
// those of JsonReader.

// Returns the names of the first of aWorkers that have room in aMaxBytes.
nlohmann::json EncodeNames(const std::vector<WorkerId>& aWorkers,
                           size_t aMaxBytes);

// Reads the field "workers".
std::vector<WorkerId> DecodeNames(JsonReader& aReader);

// Write and read the fields "told_workers" and, if all starts are named,
// "told_starts".
void AddTold(nlohmann::json& aObject, const ToldUse& aTold);
ToldUse DecodeTold(JsonReader& aReader);

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_WS_CALL_TOLD_USE_CBOR_H_
