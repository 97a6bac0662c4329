#include "standins/http/socket_stream.h"

#include <algorithm>
#include <cerrno>
#include <cstring>

#include <poll.h>
#include <sys/socket.h>

namespace mulberryvalve::standins {
namespace {

constexpr size_t kReadBytes = 16384;
constexpr int kTransferTimeoutMs = 30000;

bool WaitFor(socket_t aSocket, short aEvents, int aTimeoutMs)
{
  pollfd entry{ aSocket, aEvents, 0 };
  int ready = 0;
  do {
    ready = ::poll(&entry, 1, aTimeoutMs);
  } while (ready < 0 && errno == EINTR);
  return ready > 0;
}

} // namespace

SocketStream::SocketStream(socket_t aSocket)
  : mSocket(aSocket)
{
}

bool SocketStream::WaitReadable(int aTimeoutMs)
{
  return mInputRead < mInput.size() || WaitFor(mSocket, POLLIN, aTimeoutMs);
}

bool SocketStream::Flush(Delivery aDelivery, size_t aBodyBytes)
{
  size_t size = mOutput.size();
  if (aDelivery == Delivery::kDropped) {
    size = 0;
  } else if (aDelivery == Delivery::kTruncated) {
    size -= std::min(size, aBodyBytes - aBodyBytes / 2);
  }
  const bool sent = Send(mOutput.data(), size);
  mOutput.clear();
  return sent && aDelivery == Delivery::kWhole;
}

bool SocketStream::is_readable() const
{
  return mInputRead < mInput.size() ||
         WaitFor(mSocket, POLLIN, kTransferTimeoutMs);
}

ssize_t SocketStream::read(char* aBytes, size_t aSize)
{
  if (mInputRead == mInput.size()) {
    // An interim response (100 Continue) has to be sent before the client sends
    // the body.
    if (!Flush(Delivery::kWhole, 0) ||
        !WaitFor(mSocket, POLLIN, kTransferTimeoutMs)) {
      return -1;
    }
    mInput.resize(kReadBytes);
    const ssize_t received = ::recv(mSocket, mInput.data(), mInput.size(), 0);
    mInput.resize(received > 0 ? static_cast<size_t>(received) : 0);
    mInputRead = 0;
    if (received <= 0) {
      return received;
    }
  }
  const size_t size = std::min(aSize, mInput.size() - mInputRead);
  std::memcpy(aBytes, mInput.data() + mInputRead, size);
  mInputRead += size;
  return static_cast<ssize_t>(size);
}

ssize_t SocketStream::write(const char* aBytes, size_t aSize)
{
  mOutput.append(aBytes, aSize);
  return static_cast<ssize_t>(aSize);
}

void SocketStream::get_remote_ip_and_port(std::string& aIp, int& aPort) const
{
  aIp.clear();
  aPort = 0;
}

void SocketStream::get_local_ip_and_port(std::string& aIp, int& aPort) const
{
  aIp.clear();
  aPort = 0;
}

bool SocketStream::Send(const char* aBytes, size_t aSize)
{
  size_t sent = 0;
  while (sent < aSize) {
    const ssize_t written =
      ::send(mSocket, aBytes + sent, aSize - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (written > 0) {
      sent += static_cast<size_t>(written);
    } else if (errno == EAGAIN || errno == EWOULDBLOCK) {
      if (!WaitFor(mSocket, POLLOUT, kTransferTimeoutMs)) {
        return false;
      }
    } else if (errno != EINTR) {
      return false;
    }
  }
  return true;
}

} // namespace mulberryvalve::standins
