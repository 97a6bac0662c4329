#include "standins/http/http_server.h"

#include "standins/http/http_client.h"

#include <CppUTest/TestHarness.h>

using namespace mulberryvalve::standins;

namespace {

// Uses the delivery mode that the request path names.
class PathDeliveryHandler : public HttpHandler
{
public:
  HttpResponse Handle(const HttpRequest& aRequest) override
  {
    HttpResponse response;
    response.mBody = "0123456789";
    if (aRequest.mPath == "/truncated") {
      response.mDelivery = Delivery::kTruncated;
    } else if (aRequest.mPath == "/dropped") {
      response.mDelivery = Delivery::kDropped;
    }
    return response;
  }
};

} // namespace

TEST_GROUP(HttpServer){};

TEST(HttpServer, HonorsDeliveryMode)
{
  constexpr size_t kMaxBody = 100;
  struct Row
  {
    const char* mPath;
    size_t mBodyBytes;
    int mStatus;
  };
  const Row rows[] = {
    { "/whole", kMaxBody, 200 }, { "/truncated", 1, 0 },
    { "/dropped", 1, 0 },        { "/whole", kMaxBody + 1, 413 },
    { "/whole", 0, 200 },
  };
  PathDeliveryHandler handler;
  HttpServerOptions options;
  options.mMaxBodyBytes = kMaxBody;
  HttpServer server(options, handler);
  const auto endpoint = server.Bind({ "127.0.0.1", 0 });
  CHECK(endpoint.has_value());
  server.Start();
  const HttpClient client(*endpoint);
  for (const Row& row : rows) {
    LONGS_EQUAL_TEXT(row.mStatus,
                     client.Post(row.mPath, std::string(row.mBodyBytes, 'x')),
                     row.mPath);
  }
}

TEST(HttpServer, BindFailsOnPortInUse)
{
  PathDeliveryHandler handler;
  HttpServer first(HttpServerOptions(), handler);
  const auto endpoint = first.Bind({ "127.0.0.1", 0 });
  HttpServer second(HttpServerOptions(), handler);
  CHECK(!second.Bind(*endpoint));
}
