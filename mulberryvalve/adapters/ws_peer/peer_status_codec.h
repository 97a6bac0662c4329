// Encodes and decodes the CBOR frames that carry PeerStatus between instances.
// Frames come from the network, so decoding checks every field.
#ifndef MULBERRYVALVE_ADAPTERS_WS_PEER_PEER_STATUS_CODEC_H_
#define MULBERRYVALVE_ADAPTERS_WS_PEER_PEER_STATUS_CODEC_H_

#include "mulberryvalve/core/base/enum_table.h"
#include "mulberryvalve/core/base/failure.h"
#include "mulberryvalve/ports/out/peer_port.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace mulberryvalve {

inline constexpr size_t kMaxFrameBytes = size_t{ 512 } * 1024;
inline constexpr size_t kMaxDocumentBytes = size_t{ 384 } * 1024;
inline constexpr size_t kMaxIdBytes = 128;
inline constexpr size_t kMaxAddressBytes = 64;
inline constexpr size_t kMaxDomainStates = 64;
inline constexpr size_t kMaxOwnedShards = 1024;
inline constexpr size_t kMaxWorkerLoads = 4096;
inline constexpr size_t kMaxNestingDepth = 4;

// PeerMessageKind is the type of a message between peers.
enum class PeerMessageKind
{
  kDigest,
};

inline constexpr EnumTable<PeerMessageKind, 1> kPeerMessageKindNames{ { {
  { PeerMessageKind::kDigest, "digest" },
} } };

// EncodePeerStatus returns aStatus as one frame. It fails with kTooLarge,
// naming the field, when a list, a text or the frame exceeds its limit, and
// with kMalformed when a required text is empty. Thread-safe.
Result<std::string> EncodePeerStatus(const PeerStatus& aStatus);

// DecodePeerStatus returns the status in aFrame. It fails with kTooLarge when a
// limit is exceeded and with kMalformed when the frame is not exactly one
// well-formed status; mField names the field. Unknown fields are skipped, so
// that instances of different versions can work together. Thread-safe.
Result<PeerStatus> DecodePeerStatus(std::string_view aFrame);

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_WS_PEER_PEER_STATUS_CODEC_H_
