// What the WebSocket endpoints of adapters/ws_peer and adapters/ws_call share.
// The library's templates are costly to compile: include this in .cc files
// only, one role (client or server) in each.
#ifndef MULBERRYVALVE_ADAPTERS_WEBSOCKET_WEBSOCKET_ENDPOINT_H_
#define MULBERRYVALVE_ADAPTERS_WEBSOCKET_WEBSOCKET_ENDPOINT_H_

#include "mulberryvalve/core/base/time.h"

#include <asio.hpp>
#include <cstddef>
#include <system_error>
#include <websocketpp/close.hpp>
#include <websocketpp/common/connection_hdl.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/connection.hpp>
#include <websocketpp/frame.hpp>
#include <websocketpp/logger/stub.hpp>

namespace mulberryvalve {

// WebSocketConfig is the library's configuration of clients and servers,
// without its logs.
struct WebSocketConfig : websocketpp::config::asio_client
{
  using type = WebSocketConfig;
  using base = websocketpp::config::asio_client;
  using alog_type = websocketpp::log::stub;
  using elog_type = websocketpp::log::stub;

  // NOLINTNEXTLINE(readability-identifier-naming): the library's name
  struct transport_config : base::transport_config
  {
    using alog_type = websocketpp::log::stub;
    using elog_type = websocketpp::log::stub;
  };

  using transport_type =
    websocketpp::transport::asio::endpoint<transport_config>;
};

inline constexpr size_t kMaxReplyBytes = 1024;
inline constexpr Milliseconds kOpenTimeout{ 500 };
inline constexpr Milliseconds kCloseTimeout{ 500 };

// ConfigureEndpoint sets limits and timeouts of aEndpoint and makes it run on
// aIo.
template<typename AnyEndpoint>
void ConfigureEndpoint(AnyEndpoint& aEndpoint,
                       asio::io_context& aIo,
                       Milliseconds aOpenTimeout,
                       size_t aMaxMessageBytes)
{
  aEndpoint.init_asio(&aIo);
  aEndpoint.set_max_message_size(aMaxMessageBytes);
  aEndpoint.set_max_http_body_size(kMaxReplyBytes);
  aEndpoint.set_open_handshake_timeout(aOpenTimeout.count());
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

// Compiled once, in websocket_connection.cc.
extern template class websocketpp::connection<mulberryvalve::WebSocketConfig>;

#endif // MULBERRYVALVE_ADAPTERS_WEBSOCKET_WEBSOCKET_ENDPOINT_H_
