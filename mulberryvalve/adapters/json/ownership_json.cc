#include "mulberryvalve/adapters/json/ownership_json.h"

#include "mulberryvalve/adapters/json/json_fields.h"
#include "mulberryvalve/adapters/json/json_reader.h"

namespace mulberryvalve {

using nlohmann::json;

namespace {

// A century. Sums of such times stay within the range of every time type.
constexpr int64_t kMaxActiveMs = 3'155'760'000'000;
// Former owners stay on the log for seconds only.
constexpr size_t kMaxFormerOwners = 64;

json RunsLeftToJson(const std::map<Epoch, Milliseconds>& aLeft)
{
  json rows = json::array();
  for (const auto& [epoch, left] : aLeft) {
    rows.push_back(json::array({ epoch.Value(), left.count() }));
  }
  return rows;
}

// Rows that can't be read are left out: without one, a successor waits longer.
std::map<Epoch, Milliseconds> RunsLeftFromJson(const json& aRows)
{
  std::map<Epoch, Milliseconds> left;
  for (const json& row : aRows) {
    const bool isReadable = row.is_array() && row.size() == 2 &&
                            row[0].is_number_unsigned() &&
                            row[1].is_number_unsigned();
    const uint64_t ms = isReadable ? row[1].get<uint64_t>() : 0;
    if (isReadable && ms <= static_cast<uint64_t>(kMaxActiveMs)) {
      left[Epoch(row[0].get<uint64_t>())] =
        Milliseconds(static_cast<int64_t>(ms));
    }
  }
  return left;
}

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
  if (!aOwnership.mFormerRunsLeft.empty()) {
    object["former_runs_ms"] = RunsLeftToJson(aOwnership.mFormerRunsLeft);
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
  if (reader.Has("former_runs_ms")) {
    ownership.mFormerRunsLeft =
      RunsLeftFromJson(reader.Array("former_runs_ms", kMaxFormerOwners));
  }
  if (reader.Fault()) {
    return *reader.Fault();
  }
  return ownership;
}

} // namespace mulberryvalve
