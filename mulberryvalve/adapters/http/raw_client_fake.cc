#include "mulberryvalve/adapters/http/raw_client_fake.h"

#include <arpa/inet.h>
#include <array>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace mulberryvalve {
namespace {

sockaddr_in LoopbackAddress(uint16_t aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

} // namespace

RawClient::RawClient(uint16_t aPort)
  : mSocket(::socket(AF_INET, SOCK_STREAM, 0))
{
  const sockaddr_in address = LoopbackAddress(aPort);
  (void)::connect(
    mSocket, reinterpret_cast<const sockaddr*>(&address), sizeof address);
}

RawClient::~RawClient()
{
  ::close(mSocket);
}

bool RawClient::Send(const std::string& aBytes) const
{
  size_t sent = 0;
  while (sent < aBytes.size()) {
    const ssize_t count =
      ::send(mSocket, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<size_t>(count);
  }
  return true;
}

std::string RawClient::ReadUntil(const std::string& aEnd,
                                 Milliseconds aLimit) const
{
  const auto until = std::chrono::steady_clock::now() + aLimit;
  std::string all;
  std::array<char, 4096> part;
  while (aEnd.empty() || all.find(aEnd) == std::string::npos) {
    const auto left =
      std::chrono::ceil<Milliseconds>(until - std::chrono::steady_clock::now());
    pollfd entry{ mSocket, POLLIN, 0 };
    if (left.count() <= 0 ||
        ::poll(&entry, 1, static_cast<int>(left.count())) <= 0) {
      break;
    }
    const ssize_t got = ::recv(mSocket, part.data(), part.size(), 0);
    if (got <= 0) {
      break;
    }
    all.append(part.data(), static_cast<size_t>(got));
  }
  return all;
}

bool RawClient::ClosesWithin(Milliseconds aLimit) const
{
  const auto until = std::chrono::steady_clock::now() + aLimit;
  (void)ReadUntil("", aLimit);
  return std::chrono::steady_clock::now() < until;
}

} // namespace mulberryvalve
