// An HTTP server based on cpp-httplib that can also truncate or drop responses.

#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <thread>

#include "standins/base/endpoint.h"
#include "standins/http/http_message.h"

namespace mulberryvalve::standins {

struct HttpServerOptions
{
  // Maximum request body in bytes; larger requests get status 413.
  size_t mMaxBodyBytes = size_t{ 1 } << 20;
  // Maximum number of concurrent connections; each occupies a thread.
  size_t mMaxConnections = 4096;
};

// Serves one handler on one endpoint. `Bind`, `Start` and `Stop` must be
// called once each, in this order, from one thread.
class HttpServer
{
public:
  // `aHandler` must outlive the server.
  HttpServer(const HttpServerOptions& aOptions, HttpHandler& aHandler);

  // Stops the server if it is still running.
  ~HttpServer();

  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Binds to the endpoint; port 0 selects a free port. Returns the bound
  // endpoint, or nullopt on failure.
  std::optional<Endpoint> Bind(const Endpoint& aEndpoint);

  // Starts to accept connections on a separate thread.
  void Start();

  // Closes all connections and waits until no handler is running. Handlers
  // that block must be woken first.
  void Stop();

private:
  class Listener;

  std::unique_ptr<Listener> mListener;
  std::thread mThread;
};

} // namespace mulberryvalve::standins
