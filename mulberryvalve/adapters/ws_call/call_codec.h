// The frames of calls between instances, as CBOR.
#ifndef MULBERRYVALVE_ADAPTERS_WS_CALL_CALL_CODEC_H_
#define MULBERRYVALVE_ADAPTERS_WS_CALL_CALL_CODEC_H_

#include "mulberryvalve/ports/out/peer_query.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace mulberryvalve {

// kMaxCallBytes bounds a frame of either direction.
inline constexpr size_t kMaxCallBytes = 4096;

// QuestionFrame is a question with the number that its answer repeats.
struct QuestionFrame
{
  uint64_t mCall = 0;
  PeerQuery mQuestion;
};

// AnswerFrame is the answer to the call of that number.
struct AnswerFrame
{
  uint64_t mCall = 0;
  PeerQueryResult mAnswer;
};

// Encode and Decode are each other's inverse. Thread-safe. Errors: kMalformed,
// kTooLarge, kInvalidInput.
std::string EncodeQuestion(const QuestionFrame& aFrame);
std::string EncodeAnswer(const AnswerFrame& aFrame);
Result<QuestionFrame> DecodeQuestion(std::string_view aBytes);
Result<AnswerFrame> DecodeAnswer(std::string_view aBytes);

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_WS_CALL_CALL_CODEC_H_
