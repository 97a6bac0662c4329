#include "mulberryvalve/adapters/ws_call/peer_query_codec.h"

#include "mulberryvalve/adapters/json/json_reader.h"
#include "mulberryvalve/adapters/ws_call/room_cbor.h"
#include "mulberryvalve/adapters/ws_call/told_use_cbor.h"
#include "mulberryvalve/adapters/ws_peer/cbor_check.h"

#include <nlohmann/json.hpp>
#include <vector>

namespace mulberryvalve {
namespace {

using nlohmann::json;

constexpr size_t kMaxNestingDepth = 2;
constexpr size_t kMaxResultNestingDepth = 3;
// Of the workers named in a query; the other fields need less than the rest of
// kMaxCallBytes.
constexpr size_t kMaxNamesBytes = 3072;
constexpr size_t kMaxQueueBytes = 2048;
// A century. Sums of such times stay within the range of every time type.
constexpr int64_t kMaxActiveMs = 3'155'760'000'000;
// An hour. No wait or append lasts longer.
constexpr int64_t kMaxIntakeMs = 3'600'000;
constexpr size_t kMaxIntakeKeyBytes = 255;

std::string EncodeCbor(const json& aObject)
{
  const std::vector<uint8_t> bytes = json::to_cbor(aObject);
  return std::string(bytes.begin(), bytes.end());
}

Result<json> DecodeCborMap(std::string_view aBytes,
                           size_t aMaxBytes,
                           size_t aMaxDepth)
{
  if (aBytes.size() > aMaxBytes) {
    return Fail(FailureKind::kTooLarge, "frame");
  }
  const Result<void> checked = CheckCbor(aBytes, aMaxDepth);
  if (!checked) {
    return checked.error();
  }
  json object = json::from_cbor(aBytes.begin(), aBytes.end(), true, false);
  if (!object.is_object()) {
    return Fail(FailureKind::kMalformed, "frame", "not a map");
  }
  return object;
}

// Adds what a former owner tells, as far as a frame has room for it.
std::string EncodeWithTold(const json& aObject, const ToldUse& aTold)
{
  json all = aObject;
  AddTold(all, aTold);
  std::string frame = EncodeCbor(all);
  if (frame.size() > kMaxResultBytes) {
    all.erase("told_starts");
    frame = EncodeCbor(all);
  }
  return frame.size() > kMaxResultBytes ? EncodeCbor(aObject) : frame;
}

void AddRelayed(json& aObject, const RelayedEntry& aRelayed)
{
  aObject["key"] = aRelayed.mEntry.mKey;
  if (aRelayed.mEntry.mValue) {
    aObject["value"] = *aRelayed.mEntry.mValue;
  }
  aObject["left_ms"] = aRelayed.mTimeLeft.count();
}

RelayedEntry DecodeRelayed(JsonReader& aReader)
{
  RelayedEntry relayed;
  relayed.mEntry.mKey = aReader.Text("key", kMaxIntakeKeyBytes);
  if (aReader.Has("value")) {
    relayed.mEntry.mValue = aReader.Text("value", kMaxRelayedBytes);
  }
  relayed.mTimeLeft = Milliseconds(aReader.Number("left_ms", 0, kMaxIntakeMs));
  if (RecordBytes(relayed.mEntry) > kMaxRelayedBytes) {
    aReader.RecordFault(Fail(FailureKind::kTooLarge, "value"));
  }
  return relayed;
}

void AddIntakeResult(json& aObject, const IntakeResult& aResult)
{
  aObject["intake"] = kIntakeOutcomeNames.Name(aResult.mOutcome);
  aObject["append_ms"] = aResult.mAppendTime.count();
  aObject["retry_ms"] = aResult.mRetryIn.count();
}

IntakeResult DecodeIntakeResult(JsonReader& aReader)
{
  IntakeResult result;
  result.mOutcome = aReader.Enum("intake", kIntakeOutcomeNames);
  result.mAppendTime =
    Milliseconds(aReader.Number("append_ms", 0, kMaxIntakeMs));
  result.mRetryIn = Milliseconds(aReader.Number("retry_ms", 0, kMaxIntakeMs));
  return result;
}

} // namespace

std::string EncodeQuery(const QueryFrame& aFrame)
{
  const PeerQuery& query = aFrame.mQuery;
  json object{ { "call", aFrame.mCallId },
               { "kind", kPeerQueryKindNames.Name(query.mKind) },
               { "shard", query.mShard },
               { "job", query.mJob.Text() },
               { "queue", query.mQueue.Text() },
               { "epoch", query.mEpoch.Value() },
               { "process", query.mProcess.Value() } };
  if (query.mRelayed) {
    AddRelayed(object, *query.mRelayed);
  }
  if (query.mRoom) {
    AddRoomRequest(object, *query.mRoom);
  }
  if (!query.mWorkers.empty()) {
    object["workers"] = EncodeNames(query.mWorkers, kMaxNamesBytes);
  }
  return EncodeCbor(object);
}

std::string EncodeResult(const ResultFrame& aFrame)
{
  json object{ { "call", aFrame.mCallId },
               { "owns", aFrame.mResult.mOwns },
               { "waiting", aFrame.mResult.mWaiting } };
  if (aFrame.mResult.mPhase) {
    object["phase"] = kJobPhaseNames.Name(*aFrame.mResult.mPhase);
  }
  if (aFrame.mResult.mEndedFor) {
    object["ended_for_ms"] = aFrame.mResult.mEndedFor->count();
  }
  if (aFrame.mResult.mOwner) {
    object["owner_epoch"] = aFrame.mResult.mOwner->mEpoch.Value();
    object["active_for_ms"] = aFrame.mResult.mOwner->mActiveFor.count();
  }
  if (aFrame.mResult.mRoom) {
    AddRoomAnswer(object, *aFrame.mResult.mRoom);
  }
  if (aFrame.mResult.mIntake) {
    AddIntakeResult(object, *aFrame.mResult.mIntake);
  }
  if (!aFrame.mResult.mTold) {
    return EncodeCbor(object);
  }
  return EncodeWithTold(object, *aFrame.mResult.mTold);
}

Result<QueryFrame> DecodeQuery(std::string_view aBytes)
{
  const Result<json> object =
    DecodeCborMap(aBytes, kMaxIntakeCallBytes, kMaxNestingDepth);
  if (!object) {
    return object.error();
  }
  JsonReader reader(object.value());
  QueryFrame frame;
  frame.mCallId = static_cast<uint64_t>(reader.Number("call"));
  frame.mQuery.mKind = reader.Enum("kind", kPeerQueryKindNames);
  const bool isIntake = frame.mQuery.mKind == PeerQueryKind::kAppendIntake;
  if (!isIntake && aBytes.size() > kMaxCallBytes) {
    return Fail(FailureKind::kTooLarge, "frame");
  }
  frame.mQuery.mShard =
    static_cast<ShardNumber>(reader.Number("shard", 0, UINT32_MAX));
  frame.mQuery.mJob = JobId(reader.Text("job"));
  frame.mQuery.mQueue = QueueId(reader.Text("queue", kMaxQueueBytes));
  frame.mQuery.mEpoch =
    Epoch(static_cast<uint64_t>(reader.NumberOr("epoch", 0)));
  frame.mQuery.mProcess =
    Incarnation(static_cast<uint64_t>(reader.NumberOr("process", 0)));
  if (isIntake) {
    frame.mQuery.mRelayed = DecodeRelayed(reader);
  }
  if (frame.mQuery.mKind == PeerQueryKind::kRoom) {
    frame.mQuery.mRoom = DecodeRoomRequest(reader);
  }
  if (reader.Has("workers")) {
    frame.mQuery.mWorkers = DecodeNames(reader);
  }
  if (reader.Fault()) {
    return *reader.Fault();
  }
  return frame;
}

Result<ResultFrame> DecodeResult(std::string_view aBytes)
{
  const Result<json> object =
    DecodeCborMap(aBytes, kMaxResultBytes, kMaxResultNestingDepth);
  if (!object) {
    return object.error();
  }
  JsonReader reader(object.value());
  ResultFrame frame;
  frame.mCallId = static_cast<uint64_t>(reader.Number("call"));
  frame.mResult.mOwns = reader.FlagOr("owns", false);
  frame.mResult.mWaiting = static_cast<uint64_t>(reader.NumberOr("waiting", 0));
  if (reader.Has("phase")) {
    frame.mResult.mPhase = reader.Enum("phase", kJobPhaseNames);
  }
  if (reader.Has("ended_for_ms")) {
    frame.mResult.mEndedFor =
      Milliseconds(reader.Number("ended_for_ms", 0, kMaxActiveMs));
  }
  if (reader.Has("owner_epoch")) {
    OwnerAge owner;
    owner.mEpoch = Epoch(static_cast<uint64_t>(reader.Number("owner_epoch")));
    owner.mActiveFor =
      Milliseconds(reader.Number("active_for_ms", 0, kMaxActiveMs));
    frame.mResult.mOwner = owner;
  }
  if (reader.Has("room")) {
    frame.mResult.mRoom = DecodeRoomAnswer(reader);
  }
  if (reader.Has("intake")) {
    frame.mResult.mIntake = DecodeIntakeResult(reader);
  }
  if (reader.Has("told_workers")) {
    frame.mResult.mTold = DecodeTold(reader);
  }
  if (reader.Fault()) {
    return *reader.Fault();
  }
  return frame;
}

} // namespace mulberryvalve
