// How a server begins and ends.
#include "mulberryvalve/adapters/http/bounded_server.h"

#include "tests/support/free_port.h"

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {

TEST_GROUP(BoundedServerTest){};

// Guards against a process that never ends: a server that was told to end
// before its thread listened went on for good.
TEST(BoundedServerTest, AServerThatEndsAsItBeginsEnds)
{
  constexpr int kTries = 300;
  for (int tries = 0; tries < kTries; tries++) {
    BoundedServerOptions options;
    options.mThreads = 1;
    BoundedServer server(options);
    CHECK(server.Bind(Endpoint{ "127.0.0.1", FreePort() }));
    server.Begin();
    server.End();
    server.Join();
  }
}

TEST(BoundedServerTest, AServerThatNeverBeganEnds)
{
  BoundedServer server(BoundedServerOptions{});
  server.End();
  server.Join();
}

} // namespace mulberryvalve
