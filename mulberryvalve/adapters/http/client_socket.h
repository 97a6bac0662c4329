// ClientSocket: a connected TCP socket whose operations each have a deadline
// and make as few system calls as possible.
#ifndef MULBERRYVALVE_ADAPTERS_HTTP_CLIENT_SOCKET_H_
#define MULBERRYVALVE_ADAPTERS_HTTP_CLIENT_SOCKET_H_

#include "mulberryvalve/core/model/worker.h"

#include <chrono>
#include <memory>
#include <string_view>

namespace mulberryvalve {

// ClientSocket is not thread-safe.
class ClientSocket
{
public:
  using Deadline = std::chrono::steady_clock::time_point;

  // Connect returns a connected socket, or null when the connection failed or
  // the deadline passed; nothing was sent in that case.
  static std::unique_ptr<ClientSocket> Connect(const Endpoint& aEndpoint,
                                               Deadline aDeadline);

  ~ClientSocket();
  ClientSocket(const ClientSocket&) = delete;
  ClientSocket& operator=(const ClientSocket&) = delete;

  // Write sends all of aBytes. On false, part of it may have been sent.
  bool Write(std::string_view aBytes, Deadline aDeadline);

  // Read waits for input and returns the number of bytes read; zero means that
  // the connection was closed or failed, or that the deadline has passed.
  size_t Read(char* aBytes, size_t aMaxBytes, Deadline aDeadline);

  // IsReusable returns whether the connection is open and has no unread bytes.
  bool IsReusable() const;

private:
  explicit ClientSocket(int aDescriptor)
    : mDescriptor(aDescriptor)
  {
  }

  bool WaitFor(short aEvents, Deadline aDeadline) const;

  const int mDescriptor;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_HTTP_CLIENT_SOCKET_H_
