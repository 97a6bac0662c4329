// Helpers shared by the WebSocket client and server endpoints. Include it only
// in .cc files of this folder, since it includes websocketpp.
#ifndef MULBERRYVALVE_ADAPTERS_WS_PEER_WEBSOCKET_ENDPOINT_H_
#define MULBERRYVALVE_ADAPTERS_WS_PEER_WEBSOCKET_ENDPOINT_H_

#include "mulberryvalve/adapters/ws_peer/ws_peer_port.h"

#include <asio.hpp>
#include <system_error>
#include <websocketpp/close.hpp>
#include <websocketpp/common/connection_hdl.hpp>
#include <websocketpp/frame.hpp>
#include <websocketpp/logger/levels.hpp>

namespace mulberryvalve {

inline constexpr size_t kMaxReplyBytes = 1024;
inline constexpr Milliseconds kCloseTimeout{ 500 };

// ConfigureEndpoint sets limits and timeouts of aEndpoint, disables its logging
// and makes it run on aIo.
template<typename Endpoint>
void ConfigureEndpoint(Endpoint& aEndpoint,
                       asio::io_context& aIo,
                       const WsPeerOptions& aOptions,
                       size_t aMaxMessageBytes)
{
  aEndpoint.clear_access_channels(websocketpp::log::alevel::all);
  aEndpoint.clear_error_channels(websocketpp::log::elevel::all);
  aEndpoint.init_asio(&aIo);
  aEndpoint.set_max_message_size(aMaxMessageBytes);
  aEndpoint.set_max_http_body_size(kMaxReplyBytes);
  aEndpoint.set_open_handshake_timeout(aOptions.mConnectTimeout.count());
  aEndpoint.set_close_handshake_timeout(kCloseTimeout.count());
  aEndpoint.set_pong_timeout(0);
}

// Abort closes a connection without the closing handshake, which a silent peer
// would never answer.
template<typename Connection>
void Abort(const Connection& aConnection)
{
  std::error_code ignored;
  aConnection->get_raw_socket().close(ignored);
}

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_WS_PEER_WEBSOCKET_ENDPOINT_H_
