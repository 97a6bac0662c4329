#include "mulberryvalve/adapters/json/layout_json.h"

#include "mulberryvalve/adapters/json/json_reader.h"
#include "mulberryvalve/adapters/json/json_text.h"

namespace mulberryvalve {
namespace {

using nlohmann::json;

constexpr const char* kProcessorPrefix = "processor/";
constexpr const char* kThousandths = "thousandths";
constexpr size_t kMaxLayoutRecordBytes = 1024;

} // namespace

KeyedEntry LayoutJson::Encode(const CpuCapacityRecord& aCapacity) const
{
  const json object{ { kThousandths, aCapacity.mProcessor } };
  return KeyedEntry{ kProcessorPrefix + std::to_string(aCapacity.mProcessor),
                     WriteJsonText(object) };
}

Result<CpuCapacityRecord> LayoutJson::DecodeLayout(
  const KeyedEntry& aEntry) const
{
  if (!aEntry.mValue) {
    return Fail(FailureKind::kMalformed, "layout", aEntry.mKey);
  }
  const Result<json> object = ParseJson(*aEntry.mValue, kMaxLayoutRecordBytes);
  if (!object) {
    return object.error();
  }
  JsonReader reader(object.value());
  CpuCapacityRecord capacity;
  capacity.mProcessor =
    static_cast<MilliCores>(reader.Number(kThousandths, 0, UINT32_MAX));
  if (reader.Fault()) {
    return *reader.Fault();
  }
  return capacity;
}

} // namespace mulberryvalve
