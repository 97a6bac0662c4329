#include "standins/platform_api/platform_api.h"

#include <CppUTest/TestHarness.h>

using namespace mulberryvalve::standins;

namespace {

constexpr char kRead[] = "/v1/streams/a/b/read";
constexpr char kAppend[] = "/v1/streams/a/b/append";
constexpr char kTwoRecords[] = R"({"records":["x","y"]})";

} // namespace

TEST_GROUP(PlatformApi)
{
  ManualClock mClock;
  LogStore mLog{ 0 };
  AppendRateLimiter mRateLimiter{ 3, mClock };
  InstanceList mInstances{ Milliseconds(0), mClock };
  PlatformApi mApi{ mLog, mRateLimiter, mInstances, mClock };

  HttpResponse Post(const char* aPath, const char* aBody)
  {
    HttpRequest request;
    request.mMethod = HttpMethod::kPost;
    request.mPath = aPath;
    request.mBody = aBody;
    return mApi.Handle(request);
  }

  HttpResponse Get(const char* aPath)
  {
    HttpRequest request;
    request.mPath = aPath;
    return mApi.Handle(request);
  }
};

TEST(PlatformApi, ReturnsExpectedStatusAndBody)
{
  struct Row
  {
    const char* mPath;
    const char* mBody;
    int mStatus;
    const char* mBodyContains;
  };
  // In order; a null body means GET.
  const Row rows[] = {
    { kAppend, kTwoRecords, 200, R"("first_offset":1,"next_offset":3)" },
    { kAppend, "{}", 400, "bad_request" },
    { kRead, nullptr, 200, R"([{"data":"x","offset":1},)" },
    { "/v1/streams/a b/read", nullptr, 400, "bad_request" },
    { "/v1/instances", R"({"id":"w-0","port":7})", 200, "{}" },
    { "/v1/instances", R"({"port":7})", 400, "bad_request" },
    { "/v1/instances", nullptr, 200, R"("state":"live")" },
    { "/v1/instances/w-0/state", R"({"state":"leaving"})", 200, "{}" },
    { "/v1/instances", nullptr, 200, R"("state":"leaving")" },
    { "/v1/instances/w-0/state", R"({"state":"odd"})", 400, "bad_request" },
    { "/v1/instances/w-9/state", R"({"state":"live"})", 404, "unknown" },
    { "/v1/faults", R"({"odd":true})", 400, "bad_request" },
    { "/v1/faults", R"({"outage":1})", 400, "bad_request" },
    { "/v1/faults", R"({"list_outage":true})", 200, R"("list_outage":true)" },
    { "/v1/instances", nullptr, 503, "unavailable" },
    { "/v1/faults", R"({"outage":true})", 200, R"("outage":true)" },
    { kAppend, kTwoRecords, 503, "unavailable" },
    { kRead, nullptr, 503, "unavailable" },
    { "/v1/faults", R"({"outage":false,"lose_append_answers":1})", 200, "" },
    { kAppend, kTwoRecords, 503, "unavailable" },
    { kAppend, kTwoRecords, 200, R"("first_offset":5)" },
    { kAppend, kTwoRecords, 429, "rate_limited" },
    { "/v1/counters", nullptr, 200, R"("append_records":6,"appends":3)" },
    { "/v1/odd", nullptr, 404, "not_found" },
  };
  for (const Row& row : rows) {
    const HttpResponse response =
      row.mBody == nullptr ? Get(row.mPath) : Post(row.mPath, row.mBody);
    LONGS_EQUAL_TEXT(row.mStatus, response.mStatus, row.mPath);
    STRCMP_CONTAINS(row.mBodyContains, response.mBody.c_str());
  }
}

TEST(PlatformApi, ShutdownDropsSilencedCalls)
{
  Post("/v1/faults", R"({"silent":true})");
  mApi.Stop();
  CHECK(Delivery::kDropped == Get(kRead).mDelivery);
}
