// Tests of the frames in which owners ask each other for room.
#include "mulberryvalve/adapters/ws_call/peer_query_codec.h"

#include "CppUTest/TestHarness.h"

#include <nlohmann/json.hpp>

namespace mulberryvalve {
namespace {

using nlohmann::json;

QueryFrame RoomQuery()
{
  QueryFrame frame;
  frame.mCallId = 5;
  frame.mQuery.mKind = PeerQueryKind::kRoom;
  frame.mQuery.mShard = 1;
  RoomRequest request;
  request.mFrom = 3;
  request.mEpoch = Epoch(192);
  request.mWaited = Milliseconds(700);
  request.mDemands.push_back(RoomDemand{ ServiceId("licensing"),
                                         WorkerLabel("special"),
                                         Resources{ 12000, 1024, 2 },
                                         true,
                                         4,
                                         50 });
  request.mDemands.push_back(RoomDemand{
    ServiceId("other"), WorkerLabel(), Resources{ 100, 1, 0 }, false, 0, 1 });
  frame.mQuery.mRoom = request;
  return frame;
}

std::string Bytes(const json& aObject)
{
  const std::vector<uint8_t> bytes = json::to_cbor(aObject);
  return std::string(bytes.begin(), bytes.end());
}

json Object(const std::string& aBytes)
{
  return json::from_cbor(aBytes);
}

} // namespace

TEST_GROUP(RoomQueryTest){};

TEST(RoomQueryTest, RequestsRoundTrip)
{
  const Result<QueryFrame> decoded = DecodeQuery(EncodeQuery(RoomQuery()));
  CHECK(decoded.has_value());
  CHECK(PeerQueryKind::kRoom == decoded.value().mQuery.mKind);
  const RoomRequest& request = *decoded.value().mQuery.mRoom;
  CHECK_EQUAL(3U, request.mFrom);
  CHECK(Epoch(192) == request.mEpoch);
  CHECK(Milliseconds(700) == request.mWaited);
  CHECK_EQUAL(2U, request.mDemands.size());
  const RoomDemand& demand = request.mDemands[0];
  CHECK(ServiceId("licensing") == demand.mService);
  CHECK(WorkerLabel("special") == demand.mRequiredLabel);
  CHECK(demand.mDemand == (Resources{ 12000, 1024, 2 }));
  CHECK(demand.mLongRunning);
  CHECK_FALSE(request.mDemands[1].mLongRunning);
  CHECK_EQUAL(4U, demand.mMaxPerWorker);
  CHECK_EQUAL(50U, demand.mCount);
  CHECK(request.mDemands[1].mRequiredLabel.Empty());
}

TEST(RoomQueryTest, AnswersRoundTrip)
{
  ResultFrame frame;
  frame.mCallId = 5;
  frame.mResult.mOwns = true;
  frame.mResult.mRoom = RoomAnswer{ RoomOutcome::kGiven, 3, { 12, 0 } };
  const Result<ResultFrame> decoded = DecodeResult(EncodeResult(frame));
  CHECK(decoded.has_value());
  const RoomAnswer& answer = *decoded.value().mResult.mRoom;
  CHECK(RoomOutcome::kGiven == answer.mOutcome);
  CHECK_EQUAL(3U, answer.mWorkers);
  CHECK_EQUAL(2U, answer.mTasks.size());
  CHECK_EQUAL(12U, answer.mTasks[0]);
  CHECK_FALSE(DecodeResult(EncodeResult(ResultFrame()))
                .value()
                .mResult.mRoom.has_value());
}

// The largest request fits into a frame.
TEST(RoomQueryTest, TheLargestRequestRoundTrips)
{
  QueryFrame frame = RoomQuery();
  RoomDemand demand = frame.mQuery.mRoom->mDemands[0];
  demand.mService = ServiceId(std::string(200, 's'));
  demand.mRequiredLabel = WorkerLabel(std::string(200, 'l'));
  demand.mCount = kMaxTasksPerDemand;
  frame.mQuery.mRoom->mDemands.assign(kMaxRoomDemands, demand);
  const std::string bytes = EncodeQuery(frame);
  CHECK(bytes.size() <= kMaxCallBytes);
  CHECK_EQUAL(kMaxRoomDemands,
              DecodeQuery(bytes).value().mQuery.mRoom->mDemands.size());
}

TEST(RoomQueryTest, MalformedRequestsAreRefused)
{
  const json good = Object(EncodeQuery(RoomQuery()));
  CHECK(DecodeQuery(Bytes(good)).has_value());
  for (const char* field :
       { "room_from", "room_epoch", "room_waited_ms", "room_demands" }) {
    json missing = good;
    missing.erase(field);
    CHECK_FALSE(DecodeQuery(Bytes(missing)).has_value());
    json odd = good;
    odd[field] = "odd";
    CHECK_FALSE(DecodeQuery(Bytes(odd)).has_value());
  }
  const json& demands = good["room_demands"];
  for (size_t column = 0; column < demands.size(); column++) {
    json odd = good;
    odd["room_demands"][column] = -1;
    CHECK_FALSE(DecodeQuery(Bytes(odd)).has_value());
  }
  json incomplete = good;
  incomplete["room_demands"].erase(demands.size() - 1);
  CHECK_FALSE(DecodeQuery(Bytes(incomplete)).has_value());
  json tooMany = good;
  tooMany["room_demands"].back() = kMaxTasksPerDemand + 1;
  CHECK_FALSE(DecodeQuery(Bytes(tooMany)).has_value());
  json tooLong = good;
  tooLong["room_demands"][0] = std::string(kMaxCallBytes, 's');
  CHECK_FALSE(DecodeQuery(Bytes(tooLong)).has_value());
  const std::string bytes = Bytes(good);
  for (size_t size = 0; size < bytes.size(); size++) {
    CHECK_FALSE(DecodeQuery(bytes.substr(0, size)).has_value());
  }
}

TEST(RoomQueryTest, MalformedAnswersAreRefused)
{
  ResultFrame frame;
  frame.mResult.mRoom = RoomAnswer{ RoomOutcome::kGiven, 3, { 12 } };
  const json good = Object(EncodeResult(frame));
  CHECK(DecodeResult(Bytes(good)).has_value());
  json odd = good;
  odd["room"] = "perhaps";
  CHECK_FALSE(DecodeResult(Bytes(odd)).has_value());
  odd = good;
  odd["room_workers"] = kMaxWorkersPerRequest + 1;
  CHECK_FALSE(DecodeResult(Bytes(odd)).has_value());
  odd = good;
  odd["room_tasks"] = { 1, 2, 3, 4, 5 };
  CHECK_FALSE(DecodeResult(Bytes(odd)).has_value());
  odd["room_tasks"] = { "one" };
  CHECK_FALSE(DecodeResult(Bytes(odd)).has_value());
}

} // namespace mulberryvalve
