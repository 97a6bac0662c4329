#include "mulberryvalve/adapters/http/http_message.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <strings.h>

namespace mulberryvalve {
namespace {

namespace http = boost::beast::http;

constexpr uint64_t kMaxBodyBytes = 16 * 1024 * 1024;

} // namespace

std::string HttpAnswer::Header(const std::string& aName) const
{
  for (const HttpHeader& header : mHeaders) {
    if (strcasecmp(header.mName.c_str(), aName.c_str()) == 0) {
      return header.mValue;
    }
  }
  return "";
}

std::string HostHeaderValue(const Endpoint& aEndpoint)
{
  return aEndpoint.mAddress + ":" + std::to_string(aEndpoint.mPort);
}

std::string SerializeRequest(const std::string& aHost, const HttpCall& aCall)
{
  const bool isPost = aCall.mMethod == HttpMethod::kPost;
  std::string text = isPost ? "POST " : "GET ";
  text += aCall.mPath + " HTTP/1.1\r\nHost: " + aHost + "\r\n";
  for (const HttpHeader& header : aCall.mHeaders) {
    text += header.mName + ": " + header.mValue + "\r\n";
  }
  if (isPost) {
    text += "Content-Type: application/json\r\nContent-Length: " +
            std::to_string(aCall.mBody.size()) + "\r\n";
  }
  return text + "\r\n" + aCall.mBody;
}

bool EchoedHeaderMatches(const HttpCall& aCall, const HttpAnswer& aAnswer)
{
  const std::string echoed = aAnswer.Header(aCall.mEchoedHeader.mName);
  return echoed.empty() || echoed == aCall.mEchoedHeader.mValue;
}

struct HttpAnswerParser::Impl
{
  http::response_parser<http::string_body> mParser;
  // Received bytes that are not parsed yet.
  std::string mPending;
  size_t mReceived = 0;
};

HttpAnswerParser::HttpAnswerParser()
  : mImpl(std::make_unique<Impl>())
{
  mImpl->mParser.body_limit(kMaxBodyBytes);
  mImpl->mParser.eager(true);
}

HttpAnswerParser::~HttpAnswerParser() = default;

HttpParseState HttpAnswerParser::Feed(std::string_view aBytes)
{
  auto& parser = mImpl->mParser;
  std::string& pending = mImpl->mPending;
  pending.append(aBytes);
  mImpl->mReceived += aBytes.size();
  boost::system::error_code error;
  const size_t used = parser.put(boost::asio::buffer(pending), error);
  pending.erase(0, used);
  if (error && error != http::error::need_more) {
    return HttpParseState::kMalformed;
  }
  if (parser.is_header_done() && parser.need_eof()) {
    return HttpParseState::kMalformed;
  }
  if (!parser.is_done()) {
    return HttpParseState::kIncomplete;
  }
  return pending.empty() ? HttpParseState::kComplete
                         : HttpParseState::kMalformed;
}

size_t HttpAnswerParser::Received() const
{
  return mImpl->mReceived;
}

bool HttpAnswerParser::CanReuseConnection() const
{
  return mImpl->mParser.keep_alive();
}

HttpAnswer HttpAnswerParser::ReleaseAnswer()
{
  auto& message = mImpl->mParser.get();
  HttpAnswer answer{ HttpOutcome::kAnswered,
                     static_cast<int>(message.result_int()),
                     std::move(message.body()),
                     {},
                     {},
                     {} };
  for (const auto& field : message) {
    answer.mHeaders.push_back(HttpHeader{ std::string(field.name_string()),
                                          std::string(field.value()) });
  }
  return answer;
}

} // namespace mulberryvalve
