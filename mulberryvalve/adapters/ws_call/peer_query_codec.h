// CBOR encoding of the query and result frames that instances exchange.
#ifndef MULBERRYVALVE_ADAPTERS_WS_CALL_PEER_QUERY_CODEC_H_
#define MULBERRYVALVE_ADAPTERS_WS_CALL_PEER_QUERY_CODEC_H_

#include "mulberryvalve/ports/out/peer_query.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace mulberryvalve {

// kMaxCallBytes is the maximum size of a query frame, and of a result frame to
// an instance of an earlier version; such an instance names no workers.
// kMaxIntakeCallBytes is that of a query frame with a relayed entry, and
// kMaxResultBytes that of other result frames.
inline constexpr size_t kMaxCallBytes = 4096;
inline constexpr size_t kMaxIntakeCallBytes = 65536;
inline constexpr size_t kMaxResultBytes = 32768;

// QueryFrame is a query with its call id, which the result frame repeats.
struct QueryFrame
{
  uint64_t mCallId = 0;
  PeerQuery mQuery;
};

// ResultFrame is the result of the query with the same call id.
struct ResultFrame
{
  uint64_t mCallId = 0;
  PeerQueryResult mResult;
};

// Each Decode function reverses its Encode function, except that workers which
// a query has no room for are not named, and what a former owner tells is left
// out, the starts first, if there is no room for it. Thread-safe. Errors of
// decoding: kMalformed, kTooLarge, kInvalidInput.
std::string EncodeQuery(const QueryFrame& aFrame);
std::string EncodeResult(const ResultFrame& aFrame);
Result<QueryFrame> DecodeQuery(std::string_view aBytes);
Result<ResultFrame> DecodeResult(std::string_view aBytes);

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_WS_CALL_PEER_QUERY_CODEC_H_
