// FrameClient: WebSocket connections to servers, which move binary frames as
// bytes.
#ifndef MULBERRYVALVE_ADAPTERS_WEBSOCKET_FRAME_CLIENT_H_
#define MULBERRYVALVE_ADAPTERS_WEBSOCKET_FRAME_CLIENT_H_

#include "mulberryvalve/adapters/websocket/frame_connection_id.h"
#include "mulberryvalve/core/base/failure.h"

#include <cstddef>
#include <memory>
#include <string>

namespace asio {
class io_context;
}

namespace mulberryvalve {

// FrameClientHandler is told what happens to a client's connections. Called on
// the thread that runs the client's sockets.
class FrameClientHandler
{
public:
  virtual ~FrameClientHandler() = default;

  virtual void OnOpen(FrameConnectionId aConnection) = 0;

  virtual void OnFrame(FrameConnectionId aConnection,
                       const std::string& aBytes) = 0;

  // The connection could not be opened or was closed, but not by Abort. Kinds:
  // kPeerNotListening, kPeerUnreachable.
  virtual void OnClosed(FrameConnectionId aConnection,
                        const Failure& aFailure) = 0;
};

// FrameClient opens connections. Call its methods on the thread that runs aIo.
class FrameClient
{
public:
  // A frame has at most aMaxFrameBytes. References must outlive this object.
  FrameClient(asio::io_context& aIo,
              size_t aMaxFrameBytes,
              FrameClientHandler& aHandler);
  ~FrameClient();
  FrameClient(const FrameClient&) = delete;
  FrameClient& operator=(const FrameClient&) = delete;

  // Connect begins to open a connection to aAddress, "host:port". Errors:
  // kPeerUnreachable if that isn't an address.
  Result<FrameConnectionId> Connect(const std::string& aAddress);

  // Send sends a frame on a connection that is open. If that fails, the
  // connection is closed.
  void Send(FrameConnectionId aConnection, const std::string& aBytes);

  // Abort closes a connection without the closing handshake.
  void Abort(FrameConnectionId aConnection);

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_WEBSOCKET_FRAME_CLIENT_H_
