// relayd: a TCP relay to one target with fault injection over HTTP.

#include <cstdio>
#include <thread>

#include <asio.hpp>

#include "standins/base/daemon.h"
#include "standins/http/http_server.h"
#include "standins/relay/relay.h"
#include "standins/relay/relay_api.h"

using namespace mulberryvalve::standins;

int main(int argc, const char** argv)
{
  Endpoint listen;
  Endpoint target;
  Endpoint control;
  FlagSet flags;
  flags.Add("listen", listen, "endpoint to accept connections on, IP:PORT");
  flags.Add("target", target, "endpoint to carry them to, IP:PORT");
  flags.Add("control", control, "endpoint of the HTTP control, IP:PORT");
  if (!flags.Parse(argc, argv)) {
    return 2;
  }
  BlockTerminationSignals();
  RelayFaults faults;
  asio::io_context context(1);
  Relay relay(context, faults);
  RelayApi api(faults, relay);
  HttpServer server(HttpServerOptions(), api);
  const auto listening = relay.Listen(listen, target);
  const auto boundControl = server.Bind(control);
  if (!listening || !boundControl) {
    std::fprintf(stderr,
                 "cannot listen on %s or %s\n",
                 ToString(listen).c_str(),
                 ToString(control).c_str());
    return 1;
  }
  server.Start();
  std::thread ioThread([&context] { context.run(); });
  std::printf("relayd listening on %s control %s\n",
              ToString(*listening).c_str(),
              ToString(*boundControl).c_str());
  std::fflush(stdout);
  WaitForTerminationSignal();
  server.Stop();
  context.stop();
  ioThread.join();
  return 0;
}
