#include "mulberryvalve/adapters/websocket/frame_server.h"

#include "mulberryvalve/adapters/websocket/websocket_endpoint.h"

#include <map>
#include <websocketpp/server.hpp>

namespace mulberryvalve {
namespace {

using Server = websocketpp::server<WebSocketConfig>;
using ConnectionHandle = websocketpp::connection_hdl;
namespace close_code = websocketpp::close::status;
namespace opcode = websocketpp::frame::opcode;

constexpr int kBacklog = 256;

} // namespace

class FrameServer::Impl
{
public:
  Impl(asio::io_context& aIo,
       size_t aMaxFrameBytes,
       FrameServerHandler& aHandler)
    : mHandler(aHandler)
  {
    ConfigureEndpoint(mServer, aIo, kOpenTimeout, aMaxFrameBytes);
    mServer.set_reuse_addr(true);
    mServer.set_listen_backlog(kBacklog);
    mServer.set_open_handler(
      [this](const ConnectionHandle& aHandle) { OnOpen(aHandle); });
  }

  Result<void> Listen(const Endpoint& aEndpoint)
  {
    std::error_code error;
    const auto address = asio::ip::make_address(aEndpoint.mAddress, error);
    if (!error) {
      mServer.listen(asio::ip::tcp::endpoint(address, aEndpoint.mPort), error);
    }
    if (!error) {
      mServer.start_accept(error);
    }
    if (error) {
      return Fail(FailureKind::kInvalidInput, "peer-listen", error.message());
    }
    return Done();
  }

  void Send(FrameConnectionId aTo, const std::string& aBytes)
  {
    const auto found = mConnections.find(aTo);
    if (found != mConnections.end()) {
      // A failure also triggers the close handler.
      (void)found->second->send(aBytes, opcode::binary);
    }
  }

  void Reject(FrameConnectionId aClient)
  {
    const auto found = mConnections.find(aClient);
    if (found != mConnections.end()) {
      std::error_code ignored;
      found->second->close(close_code::invalid_payload, "", ignored);
    }
  }

  void Close()
  {
    std::error_code ignored;
    mServer.stop_listening(ignored);
    for (const auto& [id, connection] : mConnections) {
      Abort(connection);
    }
  }

private:
  void OnOpen(const ConnectionHandle& aHandle)
  {
    const FrameConnectionId id(++mLastId);
    const Server::connection_ptr connection = mServer.get_con_from_hdl(aHandle);
    connection->set_message_handler(
      [this, id](const ConnectionHandle&, const Server::message_ptr& aMessage) {
        mHandler.OnFrame(id, aMessage->get_payload());
      });
    connection->set_close_handler(
      [this, id](const ConnectionHandle&) { mConnections.erase(id); });
    mConnections.emplace(id, connection);
  }

  FrameServerHandler& mHandler;
  Server mServer;
  uint64_t mLastId = 0;
  std::map<FrameConnectionId, Server::connection_ptr> mConnections;
};

FrameServer::FrameServer(asio::io_context& aIo,
                         size_t aMaxFrameBytes,
                         FrameServerHandler& aHandler)
  : mImpl(std::make_unique<Impl>(aIo, aMaxFrameBytes, aHandler))
{
}

FrameServer::~FrameServer() = default;

Result<void> FrameServer::Listen(const Endpoint& aEndpoint)
{
  return mImpl->Listen(aEndpoint);
}

void FrameServer::Send(FrameConnectionId aTo, const std::string& aBytes)
{
  mImpl->Send(aTo, aBytes);
}

void FrameServer::Reject(FrameConnectionId aClient)
{
  mImpl->Reject(aClient);
}

void FrameServer::Close()
{
  mImpl->Close();
}

} // namespace mulberryvalve
