#include "standins/http/http_server.h"

#include <algorithm>
#include <cctype>
#include <mutex>
#include <set>
#include <utility>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include "standins/http/socket_stream.h"
#include "standins/http/thread_pool.h"

namespace mulberryvalve::standins {
namespace {

constexpr int kKeepAliveTimeoutMs = 60000;
constexpr size_t kMaxRequestsPerConnection = 1000000;
constexpr int kListenBacklog = 1024;
constexpr char kAnyPath[] = "/.*";

// How to deliver the current response. The handler sets it for the connection
// loop, which runs on the same thread.
struct ResponseDelivery
{
  Delivery mDelivery = Delivery::kWhole;
  size_t mBodyBytes = 0;
};
thread_local ResponseDelivery tResponseDelivery;

std::string LowerCase(std::string aText)
{
  std::transform(aText.begin(), aText.end(), aText.begin(), [](char aChar) {
    return static_cast<char>(std::tolower(static_cast<unsigned char>(aChar)));
  });
  return aText;
}

HttpRequest ToHttpRequest(HttpMethod aMethod, const httplib::Request& aRequest)
{
  HttpRequest request;
  request.mMethod = aMethod;
  request.mPath = aRequest.path;
  request.mBody = aRequest.body;
  for (const auto& [name, value] : aRequest.params) {
    request.mParameters.emplace(name, value);
  }
  for (const auto& [name, value] : aRequest.headers) {
    request.mHeaders.emplace(LowerCase(name), value);
  }
  return request;
}

// Lets cpp-httplib run its jobs on a `ThreadPool`.
class ThreadPoolTaskQueue : public httplib::TaskQueue
{
public:
  explicit ThreadPoolTaskQueue(size_t aLimit)
    : mPool(aLimit)
  {
  }

  void enqueue(std::function<void()> aJob) override
  {
    mPool.Enqueue(std::move(aJob));
  }

  void shutdown() override { mPool.Join(); }

private:
  ThreadPool mPool;
};

} // namespace

// Replaces the library's connection loop with one that blocks in `poll`, sends
// each response with a single flush and can truncate or drop it.
class HttpServer::Listener : public httplib::Server
{
public:
  Listener(const HttpServerOptions& aOptions, HttpHandler& aHandler)
    : mHandler(aHandler)
  {
    const size_t limit = aOptions.mMaxConnections;
    new_task_queue = [limit] { return new ThreadPoolTaskQueue(limit); };
    set_payload_max_length(aOptions.mMaxBodyBytes);
    set_tcp_nodelay(true);
    // The library's default options would let two programs bind one port.
    set_socket_options([](socket_t aSocket) {
      const int on = 1;
      ::setsockopt(aSocket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    });
    set_keep_alive_max_count(kMaxRequestsPerConnection);
    set_keep_alive_timeout(kKeepAliveTimeoutMs / 1000);
    Get(kAnyPath, [this](const auto& aRequest, auto& aResponse) {
      Serve(HttpMethod::kGet, aRequest, aResponse);
    });
    Post(kAnyPath, [this](const auto& aRequest, auto& aResponse) {
      Serve(HttpMethod::kPost, aRequest, aResponse);
    });
  }

  void RaiseBacklog() { ::listen(svr_sock_, kListenBacklog); }

  void CloseConnections()
  {
    std::lock_guard<std::mutex> lock(mMutex);
    mClosing = true;
    ::shutdown(svr_sock_, SHUT_RDWR);
    for (const socket_t socket : mSockets) {
      ::shutdown(socket, SHUT_RDWR);
    }
  }

private:
  void Serve(HttpMethod aMethod,
             const httplib::Request& aRequest,
             httplib::Response& aResponse)
  {
    HttpResponse handlerResponse =
      mHandler.Handle(ToHttpRequest(aMethod, aRequest));
    tResponseDelivery = { handlerResponse.mDelivery,
                          handlerResponse.mBody.size() };
    aResponse.status = handlerResponse.mStatus;
    for (const auto& [name, value] : handlerResponse.mHeaders) {
      aResponse.set_header(name, value);
    }
    aResponse.set_header("Content-Type", handlerResponse.mContentType);
    aResponse.body = std::move(handlerResponse.mBody);
  }

  bool process_and_close_socket(socket_t aSocket) override
  {
    const int on = 1;
    ::setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (Register(aSocket)) {
      ServeConnection(aSocket);
    }
    Unregister(aSocket);
    return true;
  }

  void ServeConnection(socket_t aSocket)
  {
    SocketStream stream(aSocket);
    for (size_t left = kMaxRequestsPerConnection; left > 0; --left) {
      if (!stream.WaitReadable(kKeepAliveTimeoutMs)) {
        return;
      }
      tResponseDelivery = ResponseDelivery();
      bool closed = false;
      const bool served = process_request(stream, left == 1, closed, nullptr);
      const bool sent =
        stream.Flush(tResponseDelivery.mDelivery, tResponseDelivery.mBodyBytes);
      if (!served || !sent || closed) {
        return;
      }
    }
  }

  bool Register(socket_t aSocket)
  {
    std::lock_guard<std::mutex> lock(mMutex);
    mSockets.insert(aSocket);
    return !mClosing;
  }

  void Unregister(socket_t aSocket)
  {
    std::lock_guard<std::mutex> lock(mMutex);
    mSockets.erase(aSocket);
    ::shutdown(aSocket, SHUT_RDWR);
    ::close(aSocket);
  }

  HttpHandler& mHandler;
  std::mutex mMutex;
  std::set<socket_t> mSockets;
  bool mClosing = false;
};

HttpServer::HttpServer(const HttpServerOptions& aOptions, HttpHandler& aHandler)
  : mListener(std::make_unique<Listener>(aOptions, aHandler))
{
}

HttpServer::~HttpServer()
{
  Stop();
}

std::optional<Endpoint> HttpServer::Bind(const Endpoint& aEndpoint)
{
  Endpoint bound = aEndpoint;
  if (aEndpoint.mPort == 0) {
    const int port = mListener->bind_to_any_port(aEndpoint.mAddress);
    if (port <= 0) {
      return std::nullopt;
    }
    bound.mPort = static_cast<uint16_t>(port);
  } else if (!mListener->bind_to_port(aEndpoint.mAddress, aEndpoint.mPort)) {
    return std::nullopt;
  }
  mListener->RaiseBacklog();
  return bound;
}

void HttpServer::Start()
{
  mThread = std::thread([this] { mListener->listen_after_bind(); });
}

void HttpServer::Stop()
{
  if (!mThread.joinable()) {
    return;
  }
  mListener->stop();
  mListener->CloseConnections();
  mThread.join();
}

} // namespace mulberryvalve::standins
