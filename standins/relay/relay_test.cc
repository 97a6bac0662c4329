#include "standins/relay/relay.h"

#include <memory>
#include <thread>

#include "standins/http/http_server.h"
#include "standins/relay/relay_api.h"

#include <CppUTest/TestHarness.h>

using namespace mulberryvalve::standins;

namespace {

using asio::ip::tcp;

constexpr Milliseconds kAnswerTimeout{ 400 };

class EmptyResponseHandler : public HttpHandler
{
public:
  HttpResponse Handle(const HttpRequest&) override { return {}; }
};

// A client with a persistent connection.
class Client
{
public:
  explicit Client(const Endpoint& aEndpoint)
  {
    asio::error_code ignored;
    mSocket.connect(tcp::endpoint(asio::ip::make_address(aEndpoint.mAddress),
                                  aEndpoint.mPort),
                    ignored);
  }

  // Sends a request; returns whether a response arrives before the timeout.
  bool IsAnswered()
  {
    const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    asio::error_code ignored;
    asio::write(mSocket, asio::buffer(request), ignored);
    bool answered = false;
    mSocket.async_read_some(asio::buffer(mBuffer),
                            [&answered](const asio::error_code& aError,
                                        std::size_t) { answered = !aError; });
    mContext.restart();
    mContext.run_for(kAnswerTimeout);
    mSocket.cancel(ignored);
    mContext.restart();
    mContext.run();
    return answered;
  }

private:
  asio::io_context mContext;
  tcp::socket mSocket{ mContext };
  std::array<char, 4096> mBuffer{};
};

} // namespace

TEST_GROUP(Relay)
{
  EmptyResponseHandler mHandler;
  HttpServer mTarget{ HttpServerOptions(), mHandler };
  RelayFaults mFaults;
  asio::io_context mContext{ 1 };
  Relay mRelay{ mContext, mFaults };
  RelayApi mApi{ mFaults, mRelay };
  Endpoint mEndpoint;
  std::thread mThread;

  void setup() override
  {
    const auto target = mTarget.Bind({ "127.0.0.1", 0 });
    mTarget.Start();
    mEndpoint = *mRelay.Listen({ "127.0.0.1", 0 }, *target);
    mThread = std::thread([this] { mContext.run(); });
  }

  void teardown() override
  {
    mContext.stop();
    mThread.join();
  }

  int Post(const char* aBody)
  {
    HttpRequest request;
    request.mMethod = HttpMethod::kPost;
    request.mPath = "/v1/faults";
    request.mBody = aBody;
    return mApi.Handle(request).mStatus;
  }
};

TEST(Relay, InjectsFaultsIntoConnections)
{
  struct Row
  {
    const char* mOn;
    const char* mOff;
    // Whether a connection opened before the fault gets responses during and
    // after it, and whether one opened during the fault does.
    bool mOldDuring;
    bool mOldAfter;
    bool mNewDuring;
  };
  const Row rows[] = {
    { "{}", "{}", true, true, true },
    { R"({"cut":true})", R"({"cut":false})", false, false, false },
    { R"({"silence":true})", R"({"silence":false})", false, false, false },
    { R"({"drop_answers":true})",
      R"({"drop_answers":false})",
      false,
      true,
      false },
    { R"({"delay_ms":30})", R"({"delay_ms":0})", true, true, true },
    { R"({"delay_ms":9000})", R"({"delay_ms":0})", false, false, false },
  };
  for (const Row& row : rows) {
    Client old(mEndpoint);
    CHECK_TEXT(old.IsAnswered(), row.mOn);
    LONGS_EQUAL(200, Post(row.mOn));
    CHECK_EQUAL_TEXT(row.mOldDuring, old.IsAnswered(), row.mOn);
    CHECK_EQUAL_TEXT(row.mNewDuring, Client(mEndpoint).IsAnswered(), row.mOn);
    LONGS_EQUAL(200, Post(row.mOff));
    CHECK_EQUAL_TEXT(row.mOldAfter, old.IsAnswered(), row.mOn);
    CHECK_TEXT(Client(mEndpoint).IsAnswered(), row.mOn);
  }
}

TEST(Relay, RefusesUnknownSwitches)
{
  LONGS_EQUAL(400, Post(R"({"odd":true})"));
  LONGS_EQUAL(400, Post(R"({"delay_ms":-1})"));
  LONGS_EQUAL(400, Post(R"({"cut":1})"));
}
