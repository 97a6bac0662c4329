// A buffered TCP stream that implements cpp-httplib's `Stream`.
//
// Include it in the source file of the HTTP server only, as it includes
// httplib.h.

#pragma once

#include <string>

#include <httplib.h>

#include "standins/http/http_message.h"

namespace mulberryvalve::standins {

// Does not own the socket. Not thread-safe; used by the thread that serves the
// connection.
class SocketStream : public httplib::Stream
{
public:
  explicit SocketStream(socket_t aSocket);

  // Waits until `read` would not block. Returns false on a timeout or an error.
  bool WaitReadable(int aTimeoutMs);

  // Sends the buffered output as `aDelivery` specifies. Returns false if the
  // connection must be closed. With `kTruncated`, `aBodyBytes` is the size of
  // the body at the end of the output.
  bool Flush(Delivery aDelivery, size_t aBodyBytes);

  bool is_readable() const override;
  bool is_writable() const override { return true; }
  ssize_t read(char* aBytes, size_t aSize) override;
  ssize_t write(const char* aBytes, size_t aSize) override;
  void get_remote_ip_and_port(std::string& aIp, int& aPort) const override;
  void get_local_ip_and_port(std::string& aIp, int& aPort) const override;
  socket_t socket() const override { return mSocket; }

private:
  bool Send(const char* aBytes, size_t aSize);

  const socket_t mSocket;
  std::string mInput;
  size_t mInputRead = 0;
  std::string mOutput;
};

} // namespace mulberryvalve::standins
