#include "standins/instance_list/instance_json.h"

#include "standins/http/json_response.h"

namespace mulberryvalve::standins {

using nlohmann::json;

json ToJson(const Instance& aInstance)
{
  return { { "id", aInstance.mId },
           { "address", aInstance.mAddress },
           { "port", aInstance.mPort },
           { "domain", aInstance.mDomain },
           { "rack", aInstance.mRack },
           { "cpu_millis", aInstance.mCpuMillis },
           { "memory_mb", aInstance.mMemoryMb },
           { "accelerators", aInstance.mAccelerators },
           { "slots", aInstance.mSlots },
           { "connections", aInstance.mConnections },
           { "state",
             std::string(NameOf(kInstanceStateNames, aInstance.mState)) } };
}

std::optional<Instance> InstanceFromJson(const json& aObject)
{
  Instance instance;
  instance.mId = TextField(aObject, "id");
  instance.mAddress = TextField(aObject, "address");
  instance.mPort = static_cast<uint16_t>(IntField(aObject, "port"));
  instance.mDomain = TextField(aObject, "domain");
  instance.mRack = TextField(aObject, "rack");
  instance.mCpuMillis = IntField(aObject, "cpu_millis");
  instance.mMemoryMb = IntField(aObject, "memory_mb");
  instance.mAccelerators = IntField(aObject, "accelerators");
  instance.mSlots = IntField(aObject, "slots");
  instance.mConnections = IntField(aObject, "connections");
  if (aObject.contains("state")) {
    const auto state =
      ValueOf(kInstanceStateNames, TextField(aObject, "state"));
    if (!state || *state == InstanceState::kGone) {
      return std::nullopt;
    }
    instance.mState = *state;
  }
  if (instance.mId.empty()) {
    return std::nullopt;
  }
  return instance;
}

} // namespace mulberryvalve::standins
