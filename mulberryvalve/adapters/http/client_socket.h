// ClientSocket: a connected socket whose calls end by a stored deadline, with
// as few system calls as the work needs.
#ifndef MULBERRYVALVE_ADAPTERS_HTTP_CLIENT_SOCKET_H_
#define MULBERRYVALVE_ADAPTERS_HTTP_CLIENT_SOCKET_H_

#include "mulberryvalve/core/model/worker.h"

#include <chrono>
#include <memory>
#include <string_view>

namespace mulberryvalve {

// ClientSocket is for one thread at a time.
class ClientSocket
{
public:
  using Deadline = std::chrono::steady_clock::time_point;

  // Connect returns a socket, or null when no connection was made in time: then
  // nothing was sent.
  static std::unique_ptr<ClientSocket> Connect(const Endpoint& aEndpoint,
                                               Deadline aDeadline);

  ~ClientSocket();
  ClientSocket(const ClientSocket&) = delete;
  ClientSocket& operator=(const ClientSocket&) = delete;

  // Write sends all of aBytes. False means that some of it may have been sent.
  bool Write(std::string_view aBytes, Deadline aDeadline);

  // Read waits for bytes and returns how many came; zero means that the
  // connection ended or the deadline has passed.
  size_t Read(char* aBytes, size_t aRoom, Deadline aDeadline);

  // IsQuiet tells whether the connection is open with nothing to read.
  bool IsQuiet() const;

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
