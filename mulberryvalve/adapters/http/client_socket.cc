#include "mulberryvalve/adapters/http/client_socket.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <climits>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace mulberryvalve {
namespace {

using Steady = std::chrono::steady_clock;

int MillisecondsUntil(Steady::time_point aDeadline)
{
  const auto left =
    std::chrono::ceil<std::chrono::milliseconds>(aDeadline - Steady::now());
  return static_cast<int>(
    std::clamp<int64_t>(left.count(), 0, static_cast<int64_t>(INT_MAX)));
}

} // namespace

std::unique_ptr<ClientSocket> ClientSocket::Connect(const Endpoint& aEndpoint,
                                                    Deadline aDeadline)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aEndpoint.mPort);
  if (inet_pton(AF_INET, aEndpoint.mAddress.c_str(), &address.sin_addr) != 1) {
    return nullptr;
  }
  const int descriptor =
    ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0) {
    return nullptr;
  }
  std::unique_ptr<ClientSocket> socket(new ClientSocket(descriptor));
  const int on = 1;
  (void)setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  const int begun = ::connect(
    descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address);
  if (begun != 0 && errno != EINPROGRESS) {
    return nullptr;
  }
  if (begun == 0) {
    return socket;
  }
  int error = 0;
  socklen_t size = sizeof error;
  const bool connected =
    socket->WaitFor(POLLOUT, aDeadline) &&
    getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size) == 0 &&
    error == 0;
  return connected ? std::move(socket) : nullptr;
}

ClientSocket::~ClientSocket()
{
  ::close(mDescriptor);
}

bool ClientSocket::Write(std::string_view aBytes, Deadline aDeadline)
{
  while (!aBytes.empty()) {
    const ssize_t sent =
      ::send(mDescriptor, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
    if (sent > 0) {
      aBytes.remove_prefix(static_cast<size_t>(sent));
      continue;
    }
    const bool full = sent < 0 && (errno == EAGAIN || errno == EINTR);
    if (!full || !WaitFor(POLLOUT, aDeadline)) {
      return false;
    }
  }
  return true;
}

size_t ClientSocket::Read(char* aBytes, size_t aMaxBytes, Deadline aDeadline)
{
  while (WaitFor(POLLIN, aDeadline)) {
    const ssize_t got = ::recv(mDescriptor, aBytes, aMaxBytes, 0);
    if (got >= 0) {
      return static_cast<size_t>(got);
    }
    if (errno != EAGAIN && errno != EINTR) {
      return 0;
    }
  }
  return 0;
}

bool ClientSocket::IsReusable() const
{
  char byte = 0;
  const ssize_t got = ::recv(mDescriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

bool ClientSocket::WaitFor(short aEvents, Deadline aDeadline) const
{
  pollfd entry{ mDescriptor, aEvents, 0 };
  while (true) {
    const int ready = ::poll(&entry, 1, MillisecondsUntil(aDeadline));
    if (ready >= 0 || errno != EINTR) {
      return ready > 0;
    }
  }
}

} // namespace mulberryvalve
