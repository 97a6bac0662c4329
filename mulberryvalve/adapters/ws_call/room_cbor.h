// CBOR fields of a request for room and of its answer.
#ifndef MULBERRYVALVE_ADAPTERS_WS_CALL_ROOM_CBOR_H_
#define MULBERRYVALVE_ADAPTERS_WS_CALL_ROOM_CBOR_H_

#include "mulberryvalve/adapters/json/json_reader.h"
#include "mulberryvalve/core/jobs/room_request.h"

#include <nlohmann/json.hpp>

namespace mulberryvalve {

// All are thread-safe. Decoding records its faults in aReader: kMalformed, and
// those of JsonReader.

// Write and read the fields "room_from", "room_epoch", "room_waited_ms" and
// "room_demands".
void AddRoomRequest(nlohmann::json& aObject, const RoomRequest& aRequest);
RoomRequest DecodeRoomRequest(JsonReader& aReader);

// Write and read the fields "room", "room_workers" and "room_tasks".
void AddRoomAnswer(nlohmann::json& aObject, const RoomAnswer& aAnswer);
RoomAnswer DecodeRoomAnswer(JsonReader& aReader);

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_WS_CALL_ROOM_CBOR_H_
