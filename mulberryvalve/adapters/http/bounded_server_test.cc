// Tests starting and stopping a BoundedServer.
#include "mulberryvalve/adapters/http/bounded_server.h"

#include "tests/support/free_port.h"

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {

TEST_GROUP(BoundedServerTest){};

// Guards against a process that never exits: a stop that came before the accept
// loop ran was ignored, and the server ran forever.
TEST(BoundedServerTest, StopsWhenEndedDuringStartup)
{
  constexpr int kTries = 300;
  for (int tries = 0; tries < kTries; tries++) {
    BoundedServerOptions options;
    options.mThreads = 1;
    BoundedServer server(options);
    CHECK(server.Bind(Endpoint{ "127.0.0.1", FreePort() }));
    server.StartServing();
    server.RequestStop();
    server.Join();
  }
}

TEST(BoundedServerTest, StopsWhenNeverStarted)
{
  BoundedServer server(BoundedServerOptions{});
  server.RequestStop();
  server.Join();
}

} // namespace mulberryvalve
