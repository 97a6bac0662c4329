// BoundedStream: one connection of a BoundedServer, with a deadline and a limit
// on the bytes read for the current exchange.
#ifndef MULBERRYVALVE_ADAPTERS_HTTP_BOUNDED_STREAM_H_
#define MULBERRYVALVE_ADAPTERS_HTTP_BOUNDED_STREAM_H_

#include "mulberryvalve/core/base/time.h"

#include <array>
#include <chrono>
#include <httplib.h>

namespace mulberryvalve {

// BoundedStream reads and writes a socket that it does not own. Not
// synchronised.
class BoundedStream : public httplib::Stream
{
public:
  explicit BoundedStream(socket_t aSocket);

  // SetLimits permits reading aBytes more within aTimeout from now. A response
  // written after that must be sent within aTimeout of its first byte.
  void SetLimits(size_t aBytes, Milliseconds aTimeout);

  // HasBuffered returns whether received bytes are not yet read.
  bool HasBuffered() const { return mBufferBegin != mBufferEnd; }

  // HasFailed returns whether the deadline passed, the byte limit was exceeded
  // or the connection failed; nothing may be read after that.
  bool HasFailed() const { return mFailed; }

  bool is_readable() const override;
  bool is_writable() const override;
  ssize_t read(char* aTo, size_t aSize) override;
  ssize_t write(const char* aFrom, size_t aSize) override;
  void get_remote_ip_and_port(std::string& aIp, int& aPort) const override;
  void get_local_ip_and_port(std::string& aIp, int& aPort) const override;
  socket_t socket() const override { return mSocket; }

private:
  using TimePoint = std::chrono::steady_clock::time_point;
  static constexpr size_t kBufferBytes = 4096;

  bool Wait(short aEvents) const;
  ssize_t FillBuffer();
  ssize_t MarkFailed();

  const socket_t mSocket;
  TimePoint mDeadline;
  Milliseconds mTimeout{ 0 };
  bool mWriting = false;
  size_t mReadBudget = 0;
  bool mFailed = false;
  std::array<char, kBufferBytes> mBuffer{};
  size_t mBufferBegin = 0;
  size_t mBufferEnd = 0;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_HTTP_BOUNDED_STREAM_H_
