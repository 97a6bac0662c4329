// CheckCbor checks the structure of a CBOR frame with bounded memory before a
// recursive library parser decodes it.
#ifndef MULBERRYVALVE_ADAPTERS_WS_PEER_CBOR_CHECK_H_
#define MULBERRYVALVE_ADAPTERS_WS_PEER_CBOR_CHECK_H_

#include "mulberryvalve/core/base/failure.h"

#include <cstddef>
#include <string_view>

namespace mulberryvalve {

// CheckCbor succeeds when aFrame is exactly one CBOR item made of integers,
// texts, arrays, maps with text keys, booleans and nulls, all of definite
// length, nested at most aMaxDepth deep. Otherwise it fails with kMalformed, or
// with kTooLarge for the depth. It needs constant memory. Thread-safe.
Result<void> CheckCbor(std::string_view aFrame, size_t aMaxDepth);

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_WS_PEER_CBOR_CHECK_H_
