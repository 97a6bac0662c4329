#include "mulberryvalve/adapters/http/bounded_server.h"

#include "mulberryvalve/adapters/http/bounded_stream.h"

#include <array>
#include <charconv>
#include <cstdint>
#include <poll.h>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>

namespace mulberryvalve {
namespace {

constexpr std::string_view kOverloadedResponse =
  "HTTP/1.1 503 Service Unavailable\r\n"
  "Content-Type: application/json\r\n"
  "Content-Length: 75\r\n"
  "Connection: close\r\n\r\n"
  "{\"error\":\"overloaded\",\"field\":\"connection\",\"detail\":\"too many "
  "connections\"}";
// Allowance for chunk framing, which a chunked body adds to its payload.
constexpr size_t kBodyOverheadBytes = 64 * 1024;
constexpr size_t kKeepAliveCalls = 1'000'000;
constexpr size_t kMaxDrainedBytes = 256 * 1024;
constexpr Milliseconds kMaxDrainTime{ 500 };

// BodyLengthCheck is the result of checking the body length headers of a
// request.
enum class BodyLengthCheck
{
  kAccepted,
  kTooLarge,
  kAmbiguous,
};

BodyLengthCheck CheckBodyLength(const httplib::Request& aRequest,
                                size_t aMaxBytes)
{
  const size_t lengths = aRequest.get_header_value_count("Content-Length");
  const bool chunked = aRequest.has_header("Transfer-Encoding");
  if (lengths == 0) {
    return BodyLengthCheck::kAccepted;
  }
  const std::string text = aRequest.get_header_value("Content-Length");
  uint64_t length = 0;
  const char* end = text.data() + text.size();
  const auto read = std::from_chars(text.data(), end, length);
  if (lengths > 1 || chunked || text.empty() || read.ptr != end) {
    return BodyLengthCheck::kAmbiguous;
  }
  return read.ec == std::errc() && length <= aMaxBytes
           ? BodyLengthCheck::kAccepted
           : BodyLengthCheck::kTooLarge;
}

// Discards input for a while before the close, so that a client that is still
// sending can read the response instead of getting a connection reset.
void DrainInput(BoundedStream& aStream)
{
  ::shutdown(aStream.socket(), SHUT_WR);
  std::array<char, 4096> dropped;
  size_t total = 0;
  const auto until = std::chrono::steady_clock::now() + kMaxDrainTime;
  while (total < kMaxDrainedBytes) {
    const auto left =
      std::chrono::ceil<Milliseconds>(until - std::chrono::steady_clock::now());
    pollfd entry{ aStream.socket(), POLLIN, 0 };
    if (left.count() <= 0 ||
        ::poll(&entry, 1, static_cast<int>(left.count())) <= 0) {
      return;
    }
    const ssize_t got =
      ::recv(aStream.socket(), dropped.data(), dropped.size(), 0);
    if (got <= 0) {
      return;
    }
    total += static_cast<size_t>(got);
  }
}

} // namespace

// IdleEntry registers a connection as idle for the lifetime of the object.
class BoundedServer::IdleEntry
{
public:
  IdleEntry(BoundedServer& aServer, socket_t aSocket)
    : mServer(aServer)
  {
    MutexLock lock(mServer.mMutex);
    mPosition =
      mServer.mIdleConnections.insert(mServer.mIdleConnections.end(), aSocket);
    if (mServer.mStopping) {
      ::shutdown(aSocket, SHUT_RD);
    }
  }
  ~IdleEntry()
  {
    MutexLock lock(mServer.mMutex);
    mServer.mIdleConnections.erase(mPosition);
  }
  IdleEntry(const IdleEntry&) = delete;
  IdleEntry& operator=(const IdleEntry&) = delete;

private:
  BoundedServer& mServer;
  std::list<socket_t>::iterator mPosition;
};

BoundedServer::BoundedServer(BoundedServerOptions aOptions)
  : mOptions(aOptions)
{
  new_task_queue = [this] {
    {
      MutexLock lock(mMutex);
      mListening = true;
      mListeningChanged.NotifyAll();
    }
    BoundedThreadPoolOptions options;
    options.mMaxThreads = mOptions.mThreads;
    options.mMaxQueued = mOptions.mMaxQueuedConnections;
    return new BoundedThreadPool(
      options, mThreadStarter, [this] { CloseLongestIdle(); });
  };
  set_payload_max_length(mOptions.mMaxBodyBytes);
}

bool BoundedServer::Bind(const Endpoint& aEndpoint)
{
  set_keep_alive_max_count(kKeepAliveCalls);
  set_tcp_nodelay(true);
  set_socket_options([](socket_t aSocket) {
    const int on = 1;
    setsockopt(aSocket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  });
  if (!bind_to_port(aEndpoint.mAddress, aEndpoint.mPort)) {
    return false;
  }
  // httplib's default backlog is too short.
  (void)::listen(svr_sock_, static_cast<int>(mOptions.mMaxQueuedConnections));
  return true;
}

void BoundedServer::StartServing()
{
  {
    MutexLock lock(mMutex);
    mStarted = true;
  }
  mThread = std::thread([this] { listen_after_bind(); });
}

void BoundedServer::RequestStop()
{
  AwaitListening();
  stop();
  MutexLock lock(mMutex);
  mStopping = true;
  for (const socket_t idle : mIdleConnections) {
    ::shutdown(idle, SHUT_RD);
  }
}

// httplib ignores a stop() that is called before its accept loop runs.
void BoundedServer::AwaitListening()
{
  MutexLock lock(mMutex);
  while (mStarted && !mListening) {
    mListeningChanged.Wait(mMutex);
  }
}

void BoundedServer::Join()
{
  if (mThread.joinable()) {
    mThread.join();
  }
}

void BoundedServer::CloseLongestIdle()
{
  MutexLock lock(mMutex);
  if (!mIdleConnections.empty()) {
    ::shutdown(mIdleConnections.front(), SHUT_RD);
  }
}

bool BoundedServer::process_and_close_socket(socket_t aSocket)
{
  if (BoundedThreadPool::IsRejecting()) {
    (void)::send(aSocket,
                 kOverloadedResponse.data(),
                 kOverloadedResponse.size(),
                 MSG_NOSIGNAL | MSG_DONTWAIT);
  } else {
    ServeConnection(aSocket);
  }
  ::shutdown(aSocket, SHUT_RDWR);
  ::close(aSocket);
  return true;
}

bool BoundedServer::WaitForRequest(socket_t aSocket, bool aBuffered)
{
  if (aBuffered) {
    return true;
  }
  const IdleEntry entry(*this, aSocket);
  pollfd poll{ aSocket, POLLIN, 0 };
  return ::poll(&poll, 1, static_cast<int>(mOptions.mIdleTimeout.count())) > 0;
}

void BoundedServer::ServeConnection(socket_t aSocket)
{
  BoundedStream stream(aSocket);
  for (size_t left = keep_alive_max_count_; left > 0; left--) {
    if (!WaitForRequest(aSocket, stream.HasBuffered())) {
      return;
    }
    stream.SetLimits(mOptions.mMaxHeadBytes, mOptions.mExchangeTimeout);
    bool closed = false;
    BodyLengthCheck head = BodyLengthCheck::kAccepted;
    const auto onHead = [&](httplib::Request& aRequest) {
      head = CheckBodyLength(aRequest, mOptions.mMaxBodyBytes);
      const bool fits = head == BodyLengthCheck::kAccepted;
      stream.SetLimits(fits ? mOptions.mMaxBodyBytes + kBodyOverheadBytes : 0,
                       mOptions.mExchangeTimeout);
    };
    const bool good = process_request(stream, left == 1, closed, onHead);
    if (stream.HasFailed() || head != BodyLengthCheck::kAccepted) {
      DrainInput(stream);
      return;
    }
    if (!good || closed) {
      return;
    }
  }
}

} // namespace mulberryvalve
