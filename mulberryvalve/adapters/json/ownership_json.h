// JSON encoding of the record of a claim.
#ifndef MULBERRYVALVE_ADAPTERS_JSON_OWNERSHIP_JSON_H_
#define MULBERRYVALVE_ADAPTERS_JSON_OWNERSHIP_JSON_H_

#include "mulberryvalve/core/base/failure.h"
#include "mulberryvalve/ports/out/job_log_codec.h"

#include <nlohmann/json.hpp>

namespace mulberryvalve {

// OwnershipToJson and OwnershipFromJson encode and decode a record.
// Thread-safe. Errors: kInvalidInput if a field is missing or out of range.
nlohmann::json OwnershipToJson(const OwnershipRecord& aOwnership);
Result<OwnershipRecord> OwnershipFromJson(const nlohmann::json& aObject);

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_JSON_OWNERSHIP_JSON_H_
