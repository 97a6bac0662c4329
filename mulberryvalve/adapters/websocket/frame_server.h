// FrameServer: a WebSocket server that passes binary frames on as bytes.
#ifndef MULBERRYVALVE_ADAPTERS_WEBSOCKET_FRAME_SERVER_H_
#define MULBERRYVALVE_ADAPTERS_WEBSOCKET_FRAME_SERVER_H_

#include "mulberryvalve/adapters/websocket/frame_connection_id.h"
#include "mulberryvalve/core/base/failure.h"
#include "mulberryvalve/core/model/worker.h"

#include <cstddef>
#include <memory>
#include <string>

namespace asio {
class io_context;
}

namespace mulberryvalve {

// FrameServerHandler receives the frames of a server's clients. Called on the
// thread that runs the server's sockets.
class FrameServerHandler
{
public:
  virtual ~FrameServerHandler() = default;

  virtual void OnFrame(FrameConnectionId aFrom, const std::string& aBytes) = 0;
};

// FrameServer accepts connections and moves frames. Call its methods on the
// thread that runs aIo, or before that thread starts.
class FrameServer
{
public:
  // A frame has at most aMaxFrameBytes. References must outlive this object.
  FrameServer(asio::io_context& aIo,
              size_t aMaxFrameBytes,
              FrameServerHandler& aHandler);
  ~FrameServer();
  FrameServer(const FrameServer&) = delete;
  FrameServer& operator=(const FrameServer&) = delete;

  // Listen accepts connections at aEndpoint. Call it once. Errors:
  // kInvalidInput when the endpoint can't be bound.
  Result<void> Listen(const Endpoint& aEndpoint);

  // Send sends a frame, unless the connection has been closed meanwhile.
  void Send(FrameConnectionId aTo, const std::string& aBytes);

  // Reject closes the connection of a client that sent an invalid frame.
  void Reject(FrameConnectionId aClient);

  // Close stops to listen and closes all connections.
  void Close();

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_WEBSOCKET_FRAME_SERVER_H_
