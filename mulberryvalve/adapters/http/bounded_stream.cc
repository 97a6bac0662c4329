#include "mulberryvalve/adapters/http/bounded_stream.h"

#include <algorithm>
#include <cerrno>
#include <poll.h>
#include <sys/socket.h>

namespace mulberryvalve {

BoundedStream::BoundedStream(socket_t aSocket)
  : mSocket(aSocket)
{
}

void BoundedStream::SetLimits(size_t aBytes, Milliseconds aTimeout)
{
  mReadBudget = aBytes;
  mTimeout = aTimeout;
  mWriting = false;
  mDeadline = std::chrono::steady_clock::now() + aTimeout;
}

bool BoundedStream::Wait(short aEvents) const
{
  while (true) {
    const auto left = std::chrono::ceil<Milliseconds>(
      mDeadline - std::chrono::steady_clock::now());
    if (left.count() <= 0) {
      return false;
    }
    pollfd entry{ mSocket, aEvents, 0 };
    const int ready = ::poll(&entry, 1, static_cast<int>(left.count()));
    if (ready > 0) {
      return true;
    }
    if (ready < 0 && errno != EINTR) {
      return false;
    }
  }
}

bool BoundedStream::is_readable() const
{
  return HasBuffered() || Wait(POLLIN);
}

bool BoundedStream::is_writable() const
{
  return true;
}

ssize_t BoundedStream::MarkFailed()
{
  mFailed = true;
  return -1;
}

ssize_t BoundedStream::FillBuffer()
{
  while (Wait(POLLIN)) {
    const ssize_t got = ::recv(mSocket, mBuffer.data(), mBuffer.size(), 0);
    if (got >= 0) {
      mBufferBegin = 0;
      mBufferEnd = static_cast<size_t>(got);
      return got;
    }
    if (errno != EINTR) {
      break;
    }
  }
  return -1;
}

ssize_t BoundedStream::read(char* aTo, size_t aSize)
{
  if (mFailed || mReadBudget == 0) {
    return MarkFailed();
  }
  if (!HasBuffered()) {
    const ssize_t got = FillBuffer();
    if (got <= 0) {
      mFailed = true;
      return got;
    }
  }
  const size_t size =
    std::min({ aSize, mBufferEnd - mBufferBegin, mReadBudget });
  std::copy_n(mBuffer.data() + mBufferBegin, size, aTo);
  mBufferBegin += size;
  mReadBudget -= size;
  return static_cast<ssize_t>(size);
}

ssize_t BoundedStream::write(const char* aFrom, size_t aSize)
{
  if (!mWriting) {
    mWriting = true;
    mDeadline = std::chrono::steady_clock::now() + mTimeout;
  }
  while (Wait(POLLOUT)) {
    const ssize_t sent = ::send(mSocket, aFrom, aSize, MSG_NOSIGNAL);
    if (sent >= 0) {
      return sent;
    }
    if (errno != EINTR && errno != EAGAIN) {
      break;
    }
  }
  return MarkFailed();
}

void BoundedStream::get_remote_ip_and_port(std::string& aIp, int& aPort) const
{
  aIp.clear();
  aPort = 0;
}

void BoundedStream::get_local_ip_and_port(std::string& aIp, int& aPort) const
{
  aIp.clear();
  aPort = 0;
}

} // namespace mulberryvalve
