#include "mulberryvalve/adapters/websocket/websocket_endpoint.h"

template class websocketpp::connection<mulberryvalve::WebSocketConfig>;
