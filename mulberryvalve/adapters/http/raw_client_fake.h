// RawClient: sends arbitrary bytes to a server, for tests of malicious clients.
#ifndef MULBERRYVALVE_ADAPTERS_HTTP_RAW_CLIENT_FAKE_H_
#define MULBERRYVALVE_ADAPTERS_HTTP_RAW_CLIENT_FAKE_H_

#include "mulberryvalve/core/base/time.h"

#include <cstdint>
#include <string>

namespace mulberryvalve {

// RawClient is one connection to 127.0.0.1. Not thread-safe.
class RawClient
{
public:
  explicit RawClient(uint16_t aPort);
  ~RawClient();
  RawClient(const RawClient&) = delete;
  RawClient& operator=(const RawClient&) = delete;

  // Send sends aBytes; it returns false when the peer has closed.
  bool Send(const std::string& aBytes) const;

  // ReadUntil returns the bytes received until they contain aEnd, the peer
  // closes or aLimit has passed.
  std::string ReadUntil(const std::string& aEnd, Milliseconds aLimit) const;

  // ClosesWithin returns whether the peer closes the connection within aLimit.
  bool ClosesWithin(Milliseconds aLimit) const;

private:
  int mSocket = -1;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_HTTP_RAW_CLIENT_FAKE_H_
