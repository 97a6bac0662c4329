#include "standins/worker_api/worker_api.h"

#include <CppUTest/TestHarness.h>

using namespace mulberryvalve::standins;

namespace {

WorkerSettings TestSettings()
{
  WorkerSettings settings;
  settings.mId = "w-0";
  settings.mBoot = "b1";
  settings.mSlots = 1;
  return settings;
}

} // namespace

TEST_GROUP(WorkerApi)
{
  SystemClock mClock;
  WorkerEventLog mEventLog{ "" };
  WorkerFleet mFleet{ { TestSettings() }, mClock, mEventLog };
  WorkerApi mApi{ mFleet, mEventLog, mClock };

  HttpResponse Post(const char* aPath, const char* aBody)
  {
    HttpRequest request;
    request.mMethod = HttpMethod::kPost;
    request.mPath = aPath;
    request.mBody = aBody;
    request.mHeaders = { { "x-attempt", "7" } };
    return mApi.Handle(request);
  }
};

TEST(WorkerApi, ReturnsExpectedStatusAndBody)
{
  constexpr char kStart[] =
    R"({"shard":"s","fence":2,"lease":"a","not_after":90000,)"
    R"("expires_at":90000,"payload":{}})";
  constexpr char kLease[] = R"({"shard":"s","fence":2,"lease":"a"})";
  constexpr char kEcho[] = R"({"echo":"hi"})";
  struct Row
  {
    const char* mPath;
    const char* mBody;
    int mStatus;
    const char* mBodyContains;
    Delivery mDelivery;
  };
  const Delivery whole = Delivery::kWhole;
  const Delivery dropped = Delivery::kDropped;
  // In order.
  const Row rows[] = {
    { "/w/w-9/sync", "{}", 404, "not_found", whole },
    { "/w/w-0/odd", "{}", 404, "not_found", whole },
    { "/w/w-0/sync", "{}", 400, "bad_request", whole },
    { "/w/w-0/start", kLease, 400, "bad_request", whole },
    { "/v1/faults",
      R"({"worker":"w-0","lose_start_answers":1})",
      200,
      R"("lose_start_answers":1)",
      whole },
    { "/w/w-0/start", kStart, 200, "", dropped },
    { "/w/w-0/start", kStart, 200, "clock_ms", whole },
    { "/w/w-0/sync",
      R"({"shard":"s","fence":1})",
      409,
      R"({"error":"fenced","fence":2})",
      whole },
    { "/w/w-0/throttle", kLease, 400, "bad_request", whole },
    { "/w/w-0/checkpoint", kLease, 200, "@a", whole },
    { "/w/w-0/sync",
      R"({"shard":"s","fence":2})",
      200,
      R"("lease":"a")",
      whole },
    { "/v1/faults",
      R"({"worker":"*","lose_stop_answers":1})",
      200,
      R"("lose_stop_answers":1)",
      whole },
    { "/w/w-0/stop", kLease, 200, "", dropped },
    { "/w/w-0/stop", kLease, 200, R"("stopped":true)", whole },
    { "/w/w-0/checkpoint", kLease, 404, "no_lease", whole },
    { "/w/w-0/request", kEcho, 200, R"("attempt":"7","echo":"hi")", whole },
    { "/w/w-0/request", "no JSON", 200, R"("echo":"")", whole },
    { "/v1/faults", R"({"worker":"*","truncate_answers":1})", 200, "", whole },
    { "/w/w-0/request", kEcho, 200, "", Delivery::kTruncated },
    { "/v1/faults",
      R"({"worker":"*","wrong_attempt_answers":1})",
      200,
      "",
      whole },
    { "/w/w-0/request", kEcho, 200, R"("attempt":"7-wrong")", whole },
    { "/v1/faults",
      R"({"worker":"*","lose_request_answers":1})",
      200,
      "",
      whole },
    { "/w/w-0/request", kEcho, 200, "", dropped },
    { "/v1/faults",
      R"({"worker":"w-0","request_error":true})",
      200,
      "",
      whole },
    { "/w/w-0/request", kEcho, 500, "request_error", whole },
    { "/v1/faults",
      R"({"worker":"w-0","request_error":false})",
      200,
      "",
      whole },
    { "/w/w-0/drain", "{}", 200, "{}", whole },
    { "/w/w-0/request", kEcho, 503, "draining", whole },
    { "/v1/faults", R"({"worker":"w-9"})", 404, "not_found", whole },
  };
  for (const Row& row : rows) {
    const HttpResponse response = Post(row.mPath, row.mBody);
    CHECK_TEXT(row.mDelivery == response.mDelivery, row.mPath);
    LONGS_EQUAL_TEXT(row.mStatus, response.mStatus, row.mPath);
    STRCMP_CONTAINS(row.mBodyContains, response.mBody.c_str());
  }
  const std::string lines = mEventLog.Lines("w-0");
  STRCMP_CONTAINS(R"("event":"start","lease":"a")", lines.c_str());
  STRCMP_CONTAINS(R"("event":"refuse")", lines.c_str());
}

TEST(WorkerApi, TimerThreadEndsTasks)
{
  StartCommand command;
  command.mIssuer = { "s", 1 };
  command.mLease = "a";
  command.mNotAfter = 90000;
  command.mExpiresAt = 90000;
  command.mPayload.mRunMs = 20;
  CHECK(mFleet.Find("w-0")->Start(command).has_value());
  StopSignal never;
  const SteadyTime deadline = mClock.Now() + std::chrono::seconds(30);
  std::string lines;
  while (lines.find("complete") == std::string::npos &&
         mClock.Now() < deadline) {
    never.WaitUntil(mClock.Now() + Milliseconds(10));
    lines = mEventLog.Lines({});
  }
  STRCMP_CONTAINS(R"("event":"complete")", lines.c_str());
}
