#include "mulberryvalve/adapters/http/async_http_client.h"
#include "mulberryvalve/adapters/http/scripted_server_fake.h"

#include <chrono>
#include <future>
#include <vector>

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

using Steady = std::chrono::steady_clock;

constexpr Milliseconds kTimeout{ 400 };
constexpr Milliseconds kTolerance{ 300 };
constexpr size_t kMaxIdleConnections = 2;

// PromiseCompletion fulfils a promise with the answer.
class PromiseCompletion : public HttpCompletion
{
public:
  explicit PromiseCompletion(std::promise<HttpAnswer> aAnswer)
    : mAnswer(std::move(aAnswer))
  {
  }
  void OnAnswer(HttpAnswer aAnswer) override
  {
    mAnswer.set_value(std::move(aAnswer));
  }

private:
  std::promise<HttpAnswer> mAnswer;
};

// BlockingCompletion blocks the thread that calls it until it is released.
class BlockingCompletion : public HttpCompletion
{
public:
  BlockingCompletion(std::promise<void>& aBlocks, std::future<void> aRelease)
    : mBlocks(aBlocks)
    , mRelease(std::move(aRelease))
  {
  }
  void OnAnswer(HttpAnswer) override
  {
    mBlocks.set_value();
    mRelease.wait();
  }

private:
  std::promise<void>& mBlocks;
  std::future<void> mRelease;
};

HttpCall MakeCall(const std::string& aEcho)
{
  HttpCall call;
  call.mMethod = HttpMethod::kPost;
  call.mPath = "/";
  call.mHeaders = { { "X-Attempt", aEcho } };
  call.mEchoedHeader = { "X-Attempt", aEcho };
  call.mBody = "{}";
  call.mTimeout = kTimeout;
  return call;
}

} // namespace

TEST_GROUP(AsyncHttpClient)
{
  ScriptedServer mServer;
  AsyncHttpClient mClient{ { 1, kMaxIdleConnections } };

  std::future<HttpAnswer> Begin(const Endpoint& aEndpoint,
                                const std::string& aEcho)
  {
    std::promise<HttpAnswer> answer;
    std::future<HttpAnswer> future = answer.get_future();
    mClient.Exchange(aEndpoint,
                     MakeCall(aEcho),
                     std::make_unique<PromiseCompletion>(std::move(answer)));
    return future;
  }

  HttpAnswer Exchange(const std::string& aEcho)
  {
    return Begin(mServer.Address(), aEcho).get();
  }
};

TEST(AsyncHttpClient, FailuresAfterSendingAreReportedAsLost)
{
  const std::pair<ServerStep, HttpOutcome> rows[] = {
    { ServerStep::kComplete, HttpOutcome::kAnswered },
    { ServerStep::kDelayed, HttpOutcome::kAnswered },
    { ServerStep::kTruncated, HttpOutcome::kLost },
    { ServerStep::kNoContentLength, HttpOutcome::kLost },
    { ServerStep::kNoResponse, HttpOutcome::kLost },
    { ServerStep::kCloseConnection, HttpOutcome::kLost },
    { ServerStep::kTrickle, HttpOutcome::kLost },
    { ServerStep::kRefused, HttpOutcome::kAnswered },
  };
  for (const auto& [step, outcome] : rows) {
    mServer.Enqueue(step);
    const Steady::time_point begin = Steady::now();
    CHECK(Exchange("a").mOutcome == outcome);
    CHECK(Steady::now() - begin < kTimeout + kTolerance);
    const HttpAnswer next = Exchange("b");
    CHECK(next.mOutcome == HttpOutcome::kAnswered);
    STRCMP_EQUAL("body", next.mBody.c_str());
  }
}

TEST(AsyncHttpClient, ReportsNotConnectedWithoutAListener)
{
  uint16_t closed = 0;
  {
    const ScriptedServer gone;
    closed = gone.Address().mPort;
  }
  const Endpoint endpoint{ "127.0.0.1", closed };
  CHECK(Begin(endpoint, "a").get().mOutcome == HttpOutcome::kNotConnected);
  const Endpoint unreadable{ "no address", closed };
  CHECK(Begin(unreadable, "a").get().mOutcome == HttpOutcome::kNotConnected);
}

TEST(AsyncHttpClient, ReusesAConnectionAfterAnAnswer)
{
  for (int i = 0; i < 5; i++) {
    CHECK(Exchange("a").mOutcome == HttpOutcome::kAnswered);
  }
  UNSIGNED_LONGS_EQUAL(1, mServer.Connections());
}

TEST(AsyncHttpClient, IgnoresAnswersToOtherCalls)
{
  mServer.Enqueue(ServerStep::kExtraResponse);
  CHECK(Exchange("a").mOutcome == HttpOutcome::kAnswered);
  ScriptedServer slow;
  slow.Enqueue(ServerStep::kDelayed);
  Begin(slow.Address(), "slow").get();
  STRCMP_EQUAL("b", Exchange("b").Header("X-Attempt").c_str());
  UNSIGNED_LONGS_EQUAL(2, mServer.Connections());
  mServer.Enqueue(ServerStep::kWrongEcho);
  Exchange("c");
  Exchange("d");
  UNSIGNED_LONGS_EQUAL(3, mServer.Connections());
}

TEST(AsyncHttpClient, LostExchangeClosesOlderIdleConnections)
{
  mServer.Enqueue(ServerStep::kDelayed);
  mServer.Enqueue(ServerStep::kDelayed);
  std::future<HttpAnswer> first = Begin(mServer.Address(), "a");
  std::future<HttpAnswer> second = Begin(mServer.Address(), "b");
  CHECK(first.get().mOutcome == HttpOutcome::kAnswered);
  CHECK(second.get().mOutcome == HttpOutcome::kAnswered);
  UNSIGNED_LONGS_EQUAL(2, mServer.Connections());
  mServer.Enqueue(ServerStep::kNoResponse);
  CHECK(Exchange("c").mOutcome == HttpOutcome::kLost);
  CHECK(Exchange("d").mOutcome == HttpOutcome::kAnswered);
  UNSIGNED_LONGS_EQUAL(3, mServer.Connections());
}

TEST(AsyncHttpClient, UnresponsiveEndpointsDoNotDelayOthers)
{
  std::vector<std::unique_ptr<ScriptedServer>> silent(8);
  std::vector<std::future<HttpAnswer>> lost;
  for (auto& server : silent) {
    server = std::make_unique<ScriptedServer>();
    server->Enqueue(ServerStep::kNoResponse);
    lost.push_back(Begin(server->Address(), "a"));
  }
  CHECK(Exchange("b").mOutcome == HttpOutcome::kAnswered);
  for (const std::future<HttpAnswer>& answer : lost) {
    CHECK(answer.wait_for(Milliseconds(0)) == std::future_status::timeout);
  }
  for (std::future<HttpAnswer>& answer : lost) {
    CHECK(answer.get().mOutcome == HttpOutcome::kLost);
  }
}

// Guards against an answer that arrived in time but is reported as lost because
// its thread was blocked past the deadline.
TEST(AsyncHttpClient, AnswerThatArrivedInTimeIsReadByALateThread)
{
  ScriptedServer other;
  mServer.Enqueue(ServerStep::kDelayed);
  std::future<HttpAnswer> slow = Begin(mServer.Address(), "a");
  std::promise<void> blocks;
  std::promise<void> release;
  mClient.Exchange(
    other.Address(),
    MakeCall("b"),
    std::make_unique<BlockingCompletion>(blocks, release.get_future()));
  blocks.get_future().wait();
  std::promise<void> never;
  never.get_future().wait_for(kTimeout + kTolerance);
  release.set_value();
  CHECK(slow.get().mOutcome == HttpOutcome::kAnswered);
}

// Guards against a process that was paused while it connected and sends an
// order after its deadline, when its permission may have run out.
TEST(AsyncHttpClient, NothingIsSentOnAConnectionThatIsReadyTooLate)
{
  const Endpoint unreadable{ "no address", 1 };
  std::promise<void> blocked[2];
  std::promise<void> release[2];
  const auto block = [&](size_t aNumber) {
    mClient.Exchange(unreadable,
                     MakeCall("x"),
                     std::make_unique<BlockingCompletion>(
                       blocked[aNumber], release[aNumber].get_future()));
  };
  block(0);
  blocked[0].get_future().wait();
  // The thread starts to connect and is blocked again before it is connected.
  std::future<HttpAnswer> late = Begin(mServer.Address(), "a");
  block(1);
  release[0].set_value();
  blocked[1].get_future().wait();
  std::promise<void> never;
  never.get_future().wait_for(kTimeout + kTolerance);
  release[1].set_value();
  CHECK(late.get().mOutcome == HttpOutcome::kNotConnected);
  CHECK(Exchange("b").mOutcome == HttpOutcome::kAnswered);
}

} // namespace mulberryvalve
