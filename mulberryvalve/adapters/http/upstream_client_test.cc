#include "mulberryvalve/adapters/http/scripted_server_fake.h"
#include "mulberryvalve/adapters/http/upstream_client.h"
#include "mulberryvalve/adapters/system/steady_clock.h"

#include <thread>

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

constexpr Milliseconds kTimeout{ 400 };
constexpr Milliseconds kTolerance{ 300 };
constexpr size_t kMaxIdleConnections = 4;

} // namespace

TEST_GROUP(UpstreamClient)
{
  SteadyClock mClock;
  HttpClientPool mPool{ kMaxIdleConnections };
  UpstreamClient mClient{ mPool, mClock };
  ScriptedServer mServer;

  UpstreamReply Send(const std::string& aAttempt,
                     Milliseconds aLimit = kTimeout)
  {
    WorkerSpec worker;
    worker.mId = WorkerId("w");
    worker.mEndpoint = mServer.Address();
    return mClient.Send(worker,
                        UpstreamCall{ AttemptId(aAttempt),
                                      RequestKind::kNonIdempotent,
                                      IdempotencyKey("k"),
                                      "{}",
                                      mClock.Now() + aLimit });
  }
};

TEST(UpstreamClient, FailuresAfterSendingAreReportedAsLost)
{
  struct Row
  {
    ServerStep mStep;
    SendResult mResult;
    bool mDraining;
  };
  const Row rows[] = {
    { ServerStep::kComplete, SendResult::kAnswered, false },
    { ServerStep::kTruncated, SendResult::kLost, false },
    { ServerStep::kNoContentLength, SendResult::kLost, false },
    { ServerStep::kNoResponse, SendResult::kLost, false },
    { ServerStep::kCloseConnection, SendResult::kLost, false },
    { ServerStep::kTrickle, SendResult::kLost, false },
    { ServerStep::kWrongEcho, SendResult::kMismatch, false },
    { ServerStep::kRefused, SendResult::kRefused, true },
  };
  for (const Row& row : rows) {
    mServer.Enqueue(row.mStep);
    const MonotonicTime begin = mClock.Now();
    const UpstreamReply reply = Send("a");
    CHECK(reply.mResult == row.mResult);
    CHECK(reply.mDraining == row.mDraining);
    CHECK(reply.mBody == (row.mResult == SendResult::kAnswered ? "body" : ""));
    CHECK(mClock.Now() - begin < kTimeout + kTolerance);
    CHECK(Send("b").mResult == SendResult::kAnswered);
  }
}

TEST(UpstreamClient, ReusesAConnectionAfterAnAnswer)
{
  for (int i = 0; i < 5; i++) {
    CHECK(Send("a").mResult == SendResult::kAnswered);
  }
  UNSIGNED_LONGS_EQUAL(1, mServer.Connections());
}

TEST(UpstreamClient, IgnoresAnswersToOtherCalls)
{
  mServer.Enqueue(ServerStep::kExtraResponse);
  CHECK(Send("a").mResult == SendResult::kAnswered);
  ScriptedServer slow;
  slow.Enqueue(ServerStep::kDelayed);
  mPool.Exchange(slow.Address(),
                 HttpCall{ HttpMethod::kPost, "/", {}, "{}", kTimeout, {} });
  CHECK(Send("stray").mResult == SendResult::kAnswered);
  UNSIGNED_LONGS_EQUAL(2, mServer.Connections());
}

TEST(UpstreamClient, LostExchangeClosesOlderIdleConnections)
{
  for (int i = 0; i < 3; i++) {
    mServer.Enqueue(ServerStep::kDelayed);
  }
  std::thread first([this] { Send("a"); });
  std::thread second([this] { Send("b"); });
  Send("c");
  first.join();
  second.join();
  UNSIGNED_LONGS_EQUAL(3, mServer.Connections());
  mServer.Enqueue(ServerStep::kNoResponse);
  CHECK(Send("d").mResult == SendResult::kLost);
  CHECK(Send("e").mResult == SendResult::kAnswered);
  UNSIGNED_LONGS_EQUAL(4, mServer.Connections());
}

TEST(UpstreamClient, ReportsNotSentWithoutAConnection)
{
  WorkerSpec worker;
  worker.mEndpoint = Endpoint{ "127.0.0.1", 1 };
  UpstreamCall call;
  call.mDeadline = mClock.Now() + kTimeout;
  CHECK(mClient.Send(worker, call).mResult == SendResult::kNotSent);
  call.mDeadline = mClock.Now();
  CHECK(mClient.Send(worker, call).mResult == SendResult::kNotSent);
}

} // namespace mulberryvalve
