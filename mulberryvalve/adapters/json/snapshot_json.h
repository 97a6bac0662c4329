// JSON encoding of snapshot items, used by the record codec.
#ifndef MULBERRYVALVE_ADAPTERS_JSON_SNAPSHOT_JSON_H_
#define MULBERRYVALVE_ADAPTERS_JSON_SNAPSHOT_JSON_H_

#include "mulberryvalve/adapters/json/json_reader.h"
#include "mulberryvalve/core/records/snapshot.h"

#include <nlohmann/json.hpp>
#include <vector>

namespace mulberryvalve {

// SnapshotItemsToJson encodes aItems as an array. Thread-safe.
nlohmann::json SnapshotItemsToJson(const std::vector<SnapshotItem>& aItems);

// ReadSnapshotItems decodes the array aName. If any item is invalid, it returns
// an empty vector and records the fault in aReader. Thread-safe.
std::vector<SnapshotItem> ReadSnapshotItems(JsonReader& aReader,
                                            const char* aName);

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_JSON_SNAPSHOT_JSON_H_
