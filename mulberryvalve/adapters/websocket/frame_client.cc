#include "mulberryvalve/adapters/websocket/frame_client.h"

#include "mulberryvalve/adapters/websocket/websocket_endpoint.h"

#include <map>
#include <websocketpp/client.hpp>

namespace mulberryvalve {
namespace {

using Client = websocketpp::client<WebSocketConfig>;
using ConnectionHandle = websocketpp::connection_hdl;
namespace opcode = websocketpp::frame::opcode;

// Returns why a connection could not be opened.
Failure OpenFailure(const Client::connection_ptr& aConnection)
{
  const std::error_code cause = aConnection->get_transport_ec()
                                  ? aConnection->get_transport_ec()
                                  : aConnection->get_ec();
  return Fail(cause == asio::error::connection_refused
                ? FailureKind::kPeerNotListening
                : FailureKind::kPeerUnreachable,
              "peer",
              cause.message());
}

Failure CloseFailure(const Client::connection_ptr& aConnection)
{
  return Fail(
    FailureKind::kPeerUnreachable, "peer", aConnection->get_ec().message());
}

} // namespace

class FrameClient::Impl
{
public:
  Impl(asio::io_context& aIo,
       size_t aMaxFrameBytes,
       FrameClientHandler& aHandler)
    : mHandler(aHandler)
  {
    ConfigureEndpoint(mClient, aIo, kOpenTimeout, aMaxFrameBytes);
  }

  Result<FrameConnectionId> Connect(const std::string& aAddress)
  {
    std::error_code error;
    const Client::connection_ptr connection =
      mClient.get_connection("ws://" + aAddress + "/", error);
    if (error) {
      return Fail(FailureKind::kPeerUnreachable, "peer", error.message());
    }
    const FrameConnectionId id(++mLastId);
    SetHandlers(id, connection);
    mConnections.emplace(id, connection);
    mClient.connect(connection);
    return id;
  }

  void Send(FrameConnectionId aConnection, const std::string& aBytes)
  {
    const auto found = mConnections.find(aConnection);
    if (found != mConnections.end()) {
      // A failure also triggers the close handler.
      (void)found->second->send(aBytes, opcode::binary);
    }
  }

  void Abort(FrameConnectionId aConnection)
  {
    const auto node = mConnections.extract(aConnection);
    if (!node.empty()) {
      mulberryvalve::Abort(node.mapped());
    }
  }

private:
  void SetHandlers(FrameConnectionId aId,
                   const Client::connection_ptr& aConnection)
  {
    aConnection->set_open_handler(
      [this, aId](const ConnectionHandle&) { OnOpen(aId); });
    aConnection->set_fail_handler(
      [this, aId](const ConnectionHandle&) { OnEnd(aId, OpenFailure); });
    aConnection->set_close_handler(
      [this, aId](const ConnectionHandle&) { OnEnd(aId, CloseFailure); });
    aConnection->set_message_handler(
      [this, aId](const ConnectionHandle&,
                  const Client::message_ptr& aMessage) {
        if (mConnections.count(aId) > 0) {
          mHandler.OnFrame(aId, aMessage->get_payload());
        }
      });
  }

  void OnOpen(FrameConnectionId aId)
  {
    const auto found = mConnections.find(aId);
    if (found == mConnections.end()) {
      return;
    }
    std::error_code ignored;
    found->second->get_raw_socket().set_option(asio::ip::tcp::no_delay(true),
                                               ignored);
    mHandler.OnOpen(aId);
  }

  void OnEnd(FrameConnectionId aId,
             Failure (*aFailureOf)(const Client::connection_ptr&))
  {
    // The library holds the connection during this call.
    const auto node = mConnections.extract(aId);
    if (!node.empty()) {
      mHandler.OnClosed(aId, aFailureOf(node.mapped()));
    }
  }

  FrameClientHandler& mHandler;
  Client mClient;
  uint64_t mLastId = 0;
  std::map<FrameConnectionId, Client::connection_ptr> mConnections;
};

FrameClient::FrameClient(asio::io_context& aIo,
                         size_t aMaxFrameBytes,
                         FrameClientHandler& aHandler)
  : mImpl(std::make_unique<Impl>(aIo, aMaxFrameBytes, aHandler))
{
}

FrameClient::~FrameClient() = default;

Result<FrameConnectionId> FrameClient::Connect(const std::string& aAddress)
{
  return mImpl->Connect(aAddress);
}

void FrameClient::Send(FrameConnectionId aConnection, const std::string& aBytes)
{
  mImpl->Send(aConnection, aBytes);
}

void FrameClient::Abort(FrameConnectionId aConnection)
{
  mImpl->Abort(aConnection);
}

} // namespace mulberryvalve
