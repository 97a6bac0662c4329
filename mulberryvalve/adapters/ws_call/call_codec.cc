#include "mulberryvalve/adapters/ws_call/call_codec.h"

#include "mulberryvalve/adapters/json/json_reader.h"
#include "mulberryvalve/adapters/ws_peer/cbor_check.h"

#include <nlohmann/json.hpp>
#include <vector>

namespace mulberryvalve {
namespace {

using nlohmann::json;

constexpr size_t kMaxDepth = 2;
constexpr size_t kMaxQueueBytes = 2048;

std::string ToText(const json& aObject)
{
  const std::vector<uint8_t> bytes = json::to_cbor(aObject);
  return std::string(bytes.begin(), bytes.end());
}

Result<json> ToObject(std::string_view aBytes)
{
  if (aBytes.size() > kMaxCallBytes) {
    return Fail(FailureKind::kTooLarge, "frame");
  }
  const Result<void> checked = CheckCbor(aBytes, kMaxDepth);
  if (!checked) {
    return checked.error();
  }
  json object = json::from_cbor(aBytes.begin(), aBytes.end(), true, false);
  if (!object.is_object()) {
    return Fail(FailureKind::kMalformed, "frame", "not a map");
  }
  return object;
}

} // namespace

std::string EncodeQuestion(const QuestionFrame& aFrame)
{
  const PeerQuery& question = aFrame.mQuestion;
  return ToText(json{ { "call", aFrame.mCall },
                      { "kind", kPeerQueryKindNames.Name(question.mKind) },
                      { "shard", question.mShard },
                      { "job", question.mJob.Text() },
                      { "queue", question.mQueue.Text() } });
}

std::string EncodeAnswer(const AnswerFrame& aFrame)
{
  json object{ { "call", aFrame.mCall },
               { "owns", aFrame.mAnswer.mOwns },
               { "waiting", aFrame.mAnswer.mWaiting } };
  if (aFrame.mAnswer.mPhase) {
    object["phase"] = kJobPhaseNames.Name(*aFrame.mAnswer.mPhase);
  }
  return ToText(object);
}

Result<QuestionFrame> DecodeQuestion(std::string_view aBytes)
{
  const Result<json> object = ToObject(aBytes);
  if (!object) {
    return object.error();
  }
  JsonReader reader(object.value());
  QuestionFrame frame;
  frame.mCall = static_cast<uint64_t>(reader.Number("call"));
  frame.mQuestion.mKind = reader.Enum("kind", kPeerQueryKindNames);
  frame.mQuestion.mShard =
    static_cast<ShardNumber>(reader.Number("shard", 0, UINT32_MAX));
  frame.mQuestion.mJob = JobId(reader.Text("job"));
  frame.mQuestion.mQueue = QueueId(reader.Text("queue", kMaxQueueBytes));
  if (reader.Fault()) {
    return *reader.Fault();
  }
  return frame;
}

Result<AnswerFrame> DecodeAnswer(std::string_view aBytes)
{
  const Result<json> object = ToObject(aBytes);
  if (!object) {
    return object.error();
  }
  JsonReader reader(object.value());
  AnswerFrame frame;
  frame.mCall = static_cast<uint64_t>(reader.Number("call"));
  frame.mAnswer.mOwns = reader.FlagOr("owns", false);
  frame.mAnswer.mWaiting = static_cast<uint64_t>(reader.NumberOr("waiting", 0));
  if (reader.Has("phase")) {
    frame.mAnswer.mPhase = reader.Enum("phase", kJobPhaseNames);
  }
  if (reader.Fault()) {
    return *reader.Fault();
  }
  return frame;
}

} // namespace mulberryvalve
