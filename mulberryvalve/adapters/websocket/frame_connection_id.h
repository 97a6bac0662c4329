// FrameConnectionId names a connection of a FrameServer or FrameClient.
#ifndef MULBERRYVALVE_ADAPTERS_WEBSOCKET_FRAME_CONNECTION_ID_H_
#define MULBERRYVALVE_ADAPTERS_WEBSOCKET_FRAME_CONNECTION_ID_H_

#include "mulberryvalve/core/base/strong_id.h"

namespace mulberryvalve {

struct FrameConnectionIdTag;
using FrameConnectionId = StrongNumber<FrameConnectionIdTag>;

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_WEBSOCKET_FRAME_CONNECTION_ID_H_
