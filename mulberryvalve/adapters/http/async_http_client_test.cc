#include "mulberryvalve/adapters/http/async_http_client.h"
#include "mulberryvalve/adapters/http/scripted_server_fake.h"

#include <chrono>
#include <future>
#include <vector>

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

using Steady = std::chrono::steady_clock;

constexpr Milliseconds kLimit{ 400 };
constexpr Milliseconds kLate{ 300 };
constexpr size_t kIdle = 2;

// Kept keeps an answer for the test.
class Kept : public HttpCompletion
{
public:
  explicit Kept(std::promise<HttpAnswer> aAnswer)
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

// Blocking keeps the thread that tells an answer until it is released.
class Blocking : public HttpCompletion
{
public:
  Blocking(std::promise<void>& aBlocks, std::future<void> aRelease)
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

HttpCall CallOf(const std::string& aEcho)
{
  HttpCall call;
  call.mMethod = HttpMethod::kPost;
  call.mPath = "/";
  call.mHeaders = { { "X-Attempt", aEcho } };
  call.mEchoedHeader = { "X-Attempt", aEcho };
  call.mBody = "{}";
  call.mTimeout = kLimit;
  return call;
}

} // namespace

TEST_GROUP(AsyncHttpClient)
{
  ScriptedServer mServer;
  AsyncHttpClient mClient{ { 1, kIdle } };

  std::future<HttpAnswer> Begin(const Endpoint& aEndpoint,
                                const std::string& aEcho)
  {
    std::promise<HttpAnswer> answer;
    std::future<HttpAnswer> future = answer.get_future();
    mClient.Exchange(
      aEndpoint, CallOf(aEcho), std::make_unique<Kept>(std::move(answer)));
    return future;
  }

  HttpAnswer Exchange(const std::string& aEcho)
  {
    return Begin(mServer.Address(), aEcho).get();
  }
};

TEST(AsyncHttpClient, NoFaultPassesForAnAnswerOrForNotSent)
{
  const std::pair<ServerStep, HttpOutcome> rows[] = {
    { ServerStep::kWhole, HttpOutcome::kAnswered },
    { ServerStep::kSlow, HttpOutcome::kAnswered },
    { ServerStep::kCutShort, HttpOutcome::kLost },
    { ServerStep::kNoLength, HttpOutcome::kLost },
    { ServerStep::kSilent, HttpOutcome::kLost },
    { ServerStep::kHangUp, HttpOutcome::kLost },
    { ServerStep::kTrickle, HttpOutcome::kLost },
    { ServerStep::kRefused, HttpOutcome::kAnswered },
  };
  for (const auto& [step, outcome] : rows) {
    mServer.Then(step);
    const Steady::time_point begin = Steady::now();
    CHECK(Exchange("a").mOutcome == outcome);
    CHECK(Steady::now() - begin < kLimit + kLate);
    const HttpAnswer next = Exchange("b");
    CHECK(next.mOutcome == HttpOutcome::kAnswered);
    STRCMP_EQUAL("body", next.mBody.c_str());
  }
}

TEST(AsyncHttpClient, WithoutAListenerNothingIsSent)
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

TEST(AsyncHttpClient, KeepsAConnectionThatAnswered)
{
  for (int i = 0; i < 5; i++) {
    CHECK(Exchange("a").mOutcome == HttpOutcome::kAnswered);
  }
  UNSIGNED_LONGS_EQUAL(1, mServer.Connections());
}

TEST(AsyncHttpClient, AnAnswerToAnotherCallIsNeverRead)
{
  mServer.Then(ServerStep::kStrayAnswer);
  CHECK(Exchange("a").mOutcome == HttpOutcome::kAnswered);
  ScriptedServer slow;
  slow.Then(ServerStep::kSlow);
  Begin(slow.Address(), "slow").get();
  STRCMP_EQUAL("b", Exchange("b").Header("X-Attempt").c_str());
  UNSIGNED_LONGS_EQUAL(2, mServer.Connections());
  mServer.Then(ServerStep::kOtherEcho);
  Exchange("c");
  Exchange("d");
  UNSIGNED_LONGS_EQUAL(3, mServer.Connections());
}

TEST(AsyncHttpClient, AfterALossNoOlderConnectionIsTrusted)
{
  mServer.Then(ServerStep::kSlow);
  mServer.Then(ServerStep::kSlow);
  std::future<HttpAnswer> first = Begin(mServer.Address(), "a");
  std::future<HttpAnswer> second = Begin(mServer.Address(), "b");
  CHECK(first.get().mOutcome == HttpOutcome::kAnswered);
  CHECK(second.get().mOutcome == HttpOutcome::kAnswered);
  UNSIGNED_LONGS_EQUAL(2, mServer.Connections());
  mServer.Then(ServerStep::kSilent);
  CHECK(Exchange("c").mOutcome == HttpOutcome::kLost);
  CHECK(Exchange("d").mOutcome == HttpOutcome::kAnswered);
  UNSIGNED_LONGS_EQUAL(3, mServer.Connections());
}

TEST(AsyncHttpClient, ASilentEndpointHoldsUpNoOther)
{
  std::vector<std::unique_ptr<ScriptedServer>> silent(8);
  std::vector<std::future<HttpAnswer>> lost;
  for (auto& server : silent) {
    server = std::make_unique<ScriptedServer>();
    server->Then(ServerStep::kSilent);
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

// Guards against answers that count as lost because the thread that reads them
// was kept from running until their time was over.
TEST(AsyncHttpClient, AnAnswerThatCameInTimeCountsOnALateThread)
{
  ScriptedServer other;
  mServer.Then(ServerStep::kSlow);
  std::future<HttpAnswer> slow = Begin(mServer.Address(), "a");
  std::promise<void> blocks;
  std::promise<void> release;
  mClient.Exchange(other.Address(),
                   CallOf("b"),
                   std::make_unique<Blocking>(blocks, release.get_future()));
  blocks.get_future().wait();
  std::promise<void> never;
  never.get_future().wait_for(kLimit + kLate);
  release.set_value();
  CHECK(slow.get().mOutcome == HttpOutcome::kAnswered);
}

} // namespace mulberryvalve
