// What a client sends and gets over HTTP: calls, answers, and the reading of an
// answer piece by piece.
#ifndef MULBERRYVALVE_ADAPTERS_HTTP_HTTP_MESSAGE_H_
#define MULBERRYVALVE_ADAPTERS_HTTP_HTTP_MESSAGE_H_

#include "mulberryvalve/core/base/enum_table.h"
#include "mulberryvalve/core/base/time.h"
#include "mulberryvalve/core/model/worker.h"

#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace mulberryvalve {

// HttpOutcome is what became of one exchange. Only kNotConnected proves that
// nothing was sent.
enum class HttpOutcome
{
  kAnswered,
  kNotConnected,
  kLost,
};

inline constexpr EnumTable<HttpOutcome, 3> kHttpOutcomeNames{ { {
  { HttpOutcome::kAnswered, "answered" },
  { HttpOutcome::kNotConnected, "not_connected" },
  { HttpOutcome::kLost, "lost" },
} } };

enum class HttpMethod
{
  kGet,
  kPost,
};

struct HttpHeader
{
  std::string mName;
  std::string mValue;
};

// HttpCall is one exchange. mTimeout bounds the whole of it. When
// mEchoedHeader has a name, an answer with another value there came from a
// connection that is out of step, which is closed.
struct HttpCall
{
  HttpMethod mMethod = HttpMethod::kGet;
  std::string mPath;
  std::vector<HttpHeader> mHeaders;
  std::string mBody;
  Milliseconds mTimeout{ 0 };
  HttpHeader mEchoedHeader;
};

// HttpTraffic is how many bytes an exchange sent and received, heads included.
struct HttpTraffic
{
  size_t mSent = 0;
  size_t mReceived = 0;
};

// HttpAnswer is the whole answer when mOutcome is kAnswered.
struct HttpAnswer
{
  HttpOutcome mOutcome = HttpOutcome::kLost;
  int mStatus = 0;
  std::string mBody;
  std::vector<HttpHeader> mHeaders;
  HttpTraffic mTraffic{};

  // Header returns the value of aName, or an empty text.
  std::string Header(const std::string& aName) const;
};

// HostOf returns how a call names the endpoint that it goes to.
std::string HostOf(const Endpoint& aEndpoint);

// RequestText returns the bytes of aCall.
std::string RequestText(const std::string& aHost, const HttpCall& aCall);

// IsInStep tells whether aAnswer belongs to aCall, as far as the echoed header
// says.
bool IsInStep(const HttpCall& aCall, const HttpAnswer& aAnswer);

// AnswerState is how far the reading of an answer has come.
enum class AnswerState
{
  kPartial,
  kWhole,
  kBroken,
};

inline constexpr EnumTable<AnswerState, 3> kAnswerStateNames{ { {
  { AnswerState::kPartial, "partial" },
  { AnswerState::kWhole, "whole" },
  { AnswerState::kBroken, "broken" },
} } };

// AnswerReader reads one answer. An answer that is known to end only with its
// connection may be cut short, so it is broken; so is one with bytes after its
// end. Not synchronised.
class AnswerReader
{
public:
  AnswerReader();
  ~AnswerReader();
  AnswerReader(const AnswerReader&) = delete;
  AnswerReader& operator=(const AnswerReader&) = delete;

  // Take takes in the next bytes. It must not be called after an end.
  AnswerState Take(std::string_view aBytes);

  // Received returns how many bytes were taken in.
  size_t Received() const;

  // KeepsConnection tells whether another call may follow on the connection.
  // The answer must be whole.
  bool KeepsConnection() const;

  // TakeAnswer returns the answer, which must be whole. Call once.
  HttpAnswer TakeAnswer();

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_HTTP_HTTP_MESSAGE_H_
