#include "mulberryvalve/adapters/json/model_json.h"

namespace mulberryvalve {

using nlohmann::json;

void WriteResources(json& aObject, const Resources& aResources)
{
  aObject["cpu_millis"] = aResources.mCpuMillis;
  aObject["memory_mb"] = aResources.mMemoryMb;
  aObject["accelerators"] = aResources.mAccelerators;
}

Resources ReadResources(JsonReader& aReader)
{
  Resources resources;
  resources.mCpuMillis = aReader.NumberOr("cpu_millis", 0, 0, kMaxResource);
  resources.mMemoryMb = aReader.NumberOr("memory_mb", 0, 0, kMaxResource);
  resources.mAccelerators =
    aReader.NumberOr("accelerators", 0, 0, kMaxResource);
  return resources;
}

void WriteDemand(json& aObject, const TaskDemand& aDemand)
{
  aObject["kind"] = kTaskKindNames.Name(aDemand.mKind);
  aObject["priority"] = kPriorityNames.Name(aDemand.mPriority);
  aObject["team"] = aDemand.mTeam.Text();
  aObject["class"] = aDemand.mClass.Text();
  WriteResources(aObject, aDemand.mResources);
  aObject["payload"] = aDemand.mPayload;
}

TaskDemand ReadDemand(JsonReader& aReader)
{
  TaskDemand demand;
  demand.mKind = aReader.EnumOr("kind", kTaskKindNames, TaskKind::kBatch);
  demand.mPriority =
    aReader.EnumOr("priority", kPriorityNames, Priority::kNormal);
  demand.mTeam = TeamId(aReader.TextOr("team", ""));
  demand.mClass = TaskClass(aReader.TextOr("class", "default"));
  demand.mResources = ReadResources(aReader);
  demand.mPayload = aReader.TextOr("payload", "{}", kMaxPayloadBytes);
  return demand;
}

json WorkerToJson(const WorkerSpec& aWorker)
{
  json object{ { "id", aWorker.mId.Text() },
               { "address", aWorker.mEndpoint.mAddress },
               { "port", aWorker.mEndpoint.mPort },
               { "domain", aWorker.mDomain.Text() },
               { "rack", aWorker.mRack.Text() },
               { "slots", aWorker.mSlots },
               { "connections", aWorker.mConnections },
               { "state", kWorkerStateNames.Name(aWorker.mState) } };
  WriteResources(object, aWorker.mCapacity);
  return object;
}

WorkerSpec ReadWorker(JsonReader& aReader)
{
  constexpr int64_t kMaxSlots = 100'000;
  WorkerSpec worker;
  worker.mId = WorkerId(aReader.Text("id"));
  worker.mEndpoint.mAddress = aReader.Text("address");
  worker.mEndpoint.mPort =
    static_cast<uint16_t>(aReader.Number("port", 1, UINT16_MAX));
  worker.mDomain = DomainId(aReader.Text("domain"));
  worker.mRack = RackId(aReader.TextOr("rack", ""));
  worker.mCapacity = ReadResources(aReader);
  worker.mSlots = static_cast<int>(aReader.NumberOr("slots", 0, 0, kMaxSlots));
  worker.mConnections =
    static_cast<int>(aReader.NumberOr("connections", 0, 0, kMaxSlots));
  worker.mState =
    aReader.EnumOr("state", kWorkerStateNames, WorkerState::kLive);
  return worker;
}

} // namespace mulberryvalve
