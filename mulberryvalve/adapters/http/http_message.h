// HTTP calls and answers as a client sees them, and an incremental parser of
// answers.
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

// PeerIncarnation numbers the incarnations of a server, as its caller defines
// them. Zero is none.
using PeerIncarnation = StrongNumber<struct PeerIncarnationTag>;

// HttpOutcome is the result of one exchange. Only kNotConnected and kOtherPeer
// guarantee that the call was not sent.
enum class HttpOutcome
{
  kAnswered,
  kNotConnected,
  kLost,
  kOtherPeer, // another incarnation of the server answered its identification
};

inline constexpr EnumTable<HttpOutcome, 4> kHttpOutcomeNames{ { {
  { HttpOutcome::kAnswered, "answered" },
  { HttpOutcome::kNotConnected, "not_connected" },
  { HttpOutcome::kLost, "lost" },
  { HttpOutcome::kOtherPeer, "other_peer" },
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

class PeerIdentification;

// HttpCall is the request of one exchange. mTimeout limits the whole exchange.
// When mEchoedHeader has a name, an answer with another value of that header
// belongs to another call, and its connection is closed. When mPeer is set, the
// call is sent to that incarnation of the server only, and mIdentification must
// be set too; AsyncHttpClient alone does so.
struct HttpCall
{
  HttpMethod mMethod = HttpMethod::kGet;
  std::string mPath;
  std::vector<HttpHeader> mHeaders;
  std::string mBody;
  Milliseconds mTimeout{ 0 };
  HttpHeader mEchoedHeader;
  PeerIncarnation mPeer{};
  std::shared_ptr<const PeerIdentification> mIdentification{};
};

// HttpTraffic counts the bytes of an exchange, headers included.
struct HttpTraffic
{
  size_t mSent = 0;
  size_t mReceived = 0;
};

// HttpAnswer is the result of an exchange. Only mOutcome and mTraffic are set
// unless mOutcome is kAnswered, or kOtherPeer: then the rest is the answer to
// the identification. mPeer is the incarnation that answered, if it is known.
struct HttpAnswer
{
  HttpOutcome mOutcome = HttpOutcome::kLost;
  int mStatus = 0;
  std::string mBody;
  std::vector<HttpHeader> mHeaders;
  HttpTraffic mTraffic{};
  PeerIncarnation mPeer{};

  // Header returns the value of the header aName, which is compared without
  // regard to case, or an empty string.
  std::string Header(const std::string& aName) const;
};

// HostHeaderValue returns the value of the Host header: "ADDRESS:PORT".
std::string HostHeaderValue(const Endpoint& aEndpoint);

// SerializeRequest returns aCall as an HTTP/1.1 request.
std::string SerializeRequest(const std::string& aHost, const HttpCall& aCall);

// EchoedHeaderMatches returns false if aAnswer has a value of the echoed header
// other than that of aCall.
bool EchoedHeaderMatches(const HttpCall& aCall, const HttpAnswer& aAnswer);

// HttpParseState is the state of the parser of an answer.
enum class HttpParseState
{
  kIncomplete,
  kComplete,
  kMalformed,
};

inline constexpr EnumTable<HttpParseState, 3> kHttpParseStateNames{ { {
  { HttpParseState::kIncomplete, "partial" },
  { HttpParseState::kComplete, "whole" },
  { HttpParseState::kMalformed, "broken" },
} } };

// HttpAnswerParser parses one answer incrementally. An answer that ends with
// the close of its connection may be truncated, so it is malformed; so is one
// that is followed by more bytes. Not thread-safe.
class HttpAnswerParser
{
public:
  HttpAnswerParser();
  ~HttpAnswerParser();
  HttpAnswerParser(const HttpAnswerParser&) = delete;
  HttpAnswerParser& operator=(const HttpAnswerParser&) = delete;

  // Feed parses the next bytes. It must not be called after it has returned
  // anything but kIncomplete.
  HttpParseState Feed(std::string_view aBytes);

  // Received returns the number of bytes passed to Feed.
  size_t Received() const;

  // CanReuseConnection returns whether the connection can be reused. The answer
  // must be complete.
  bool CanReuseConnection() const;

  // ReleaseAnswer returns the answer, which must be complete. Call it once.
  HttpAnswer ReleaseAnswer();

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_HTTP_HTTP_MESSAGE_H_
