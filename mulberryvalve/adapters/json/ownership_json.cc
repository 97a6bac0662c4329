#include "mulberryvalve/adapters/json/ownership_json.h"

#include "mulberryvalve/adapters/json/json_fields.h"
#include "mulberryvalve/adapters/json/json_reader.h"

namespace mulberryvalve {

using nlohmann::json;

json OwnershipToJson(const OwnershipRecord& aOwnership)
{
  json object{ { "epoch", aOwnership.mEpoch.Value() },
               { "instance", aOwnership.mInstance } };
  PutText(object, "address", aOwnership.mPeer.mAddress);
  PutNumber(object, "port", aOwnership.mPeer.mPort);
  PutNumber(
    object, "process", static_cast<int64_t>(aOwnership.mProcess.Value()));
  return object;
}

Result<OwnershipRecord> OwnershipFromJson(const json& aObject)
{
  JsonReader reader(aObject);
  OwnershipRecord ownership;
  ownership.mEpoch = Epoch(static_cast<uint64_t>(reader.Number("epoch")));
  ownership.mInstance = reader.Text("instance");
  ownership.mPeer.mAddress = reader.TextOr("address", "");
  ownership.mPeer.mPort =
    static_cast<uint16_t>(reader.NumberOr("port", 0, 0, UINT16_MAX));
  ownership.mProcess =
    Incarnation(static_cast<uint64_t>(reader.NumberOr("process", 0)));
  if (reader.Fault()) {
    return *reader.Fault();
  }
  return ownership;
}

} // namespace mulberryvalve
