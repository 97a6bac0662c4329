#include "mulberryvalve/adapters/json/ownership_json.h"

#include "mulberryvalve/adapters/json/json_fields.h"
#include "mulberryvalve/adapters/json/json_reader.h"

namespace mulberryvalve {

using nlohmann::json;

namespace {

// A century. Sums of such times stay within the range of every time type.
constexpr int64_t kMaxActiveMs = 3'155'760'000'000;

} // namespace

json OwnershipToJson(const OwnershipRecord& aOwnership)
{
  json object{ { "epoch", aOwnership.mEpoch.Value() },
               { "instance", aOwnership.mInstance } };
  PutText(object, "address", aOwnership.mPeer.mAddress);
  PutNumber(object, "port", aOwnership.mPeer.mPort);
  PutNumber(
    object, "process", static_cast<int64_t>(aOwnership.mProcess.Value()));
  if (aOwnership.mActiveFor) {
    object["active_for_ms"] = aOwnership.mActiveFor->count();
  }
  if (aOwnership.mRecordsUse) {
    object["records_use"] = true;
  }
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
  if (reader.Has("active_for_ms")) {
    ownership.mActiveFor =
      Milliseconds(reader.Number("active_for_ms", 0, kMaxActiveMs));
  }
  ownership.mRecordsUse = reader.FlagOr("records_use", false);
  if (reader.Fault()) {
    return *reader.Fault();
  }
  return ownership;
}

} // namespace mulberryvalve
