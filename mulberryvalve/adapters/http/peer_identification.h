// PeerIdentification: finds out which incarnation of a server a connection
// leads to.
#ifndef MULBERRYVALVE_ADAPTERS_HTTP_PEER_IDENTIFICATION_H_
#define MULBERRYVALVE_ADAPTERS_HTTP_PEER_IDENTIFICATION_H_

#include "mulberryvalve/adapters/http/http_message.h"

namespace mulberryvalve {

// A connection does not outlive the process at its other end, so it leads to
// one incarnation for as long as it is open. Implementations must be
// thread-safe and must not block.
class PeerIdentification
{
public:
  virtual ~PeerIdentification() = default;

  // Call returns a call that every incarnation of the server answers at once,
  // and that is harmless at each of them.
  virtual HttpCall Call() const = 0;

  // PeerOf returns the incarnation that an answer tells, or zero if it tells
  // none. It may be passed the answer to any call to the server.
  virtual PeerIncarnation PeerOf(const HttpAnswer& aAnswer) const = 0;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_HTTP_PEER_IDENTIFICATION_H_
