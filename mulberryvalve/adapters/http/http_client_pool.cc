#include "mulberryvalve/adapters/http/http_client_pool.h"

#include "mulberryvalve/adapters/http/client_socket.h"
#include "mulberryvalve/core/base/mutex.h"

#include <algorithm>
#include <array>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <iterator>
#include <map>
#include <strings.h>

namespace mulberryvalve {
namespace {

namespace http = boost::beast::http;
using Steady = std::chrono::steady_clock;
using Parser = http::response_parser<http::string_body>;

constexpr size_t kShards = 16;
constexpr Milliseconds kMaxConnect{ 500 };
constexpr std::chrono::seconds kMaxIdle{ 20 };
constexpr size_t kReadBytes = 4 * 1024;
constexpr uint64_t kMaxBodyBytes = 16 * 1024 * 1024;

std::string KeyOf(const Endpoint& aEndpoint)
{
  return aEndpoint.mAddress + ":" + std::to_string(aEndpoint.mPort);
}

// Connection is one kept-alive connection; mUsedAt is when it last answered.
struct Connection
{
  std::unique_ptr<ClientSocket> mSocket;
  Steady::time_point mUsedAt;
};

std::string RequestText(const std::string& aHost, const HttpCall& aCall)
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

// Reads one answer whole. An answer that is known to end only with its
// connection may be cut short, so it does not count.
bool ReadAnswer(ClientSocket& aSocket, Steady::time_point aEnd, Parser& aParser)
{
  aParser.body_limit(kMaxBodyBytes);
  aParser.eager(true);
  std::array<char, kReadBytes> bytes{};
  std::string pending;
  while (!aParser.is_done()) {
    const size_t got = aSocket.Read(bytes.data(), bytes.size(), aEnd);
    if (got == 0) {
      return false;
    }
    pending.append(bytes.data(), got);
    boost::system::error_code error;
    const size_t used = aParser.put(boost::asio::buffer(pending), error);
    pending.erase(0, used);
    if (error && error != http::error::need_more) {
      return false;
    }
    if (aParser.is_header_done() && aParser.need_eof()) {
      return false;
    }
  }
  return pending.empty();
}

HttpAnswer ToAnswer(Parser& aParser)
{
  auto& message = aParser.get();
  HttpAnswer answer{ HttpOutcome::kAnswered,
                     static_cast<int>(message.result_int()),
                     std::move(message.body()),
                     {} };
  for (const auto& field : message) {
    answer.mHeaders.push_back(HttpHeader{ std::string(field.name_string()),
                                          std::string(field.value()) });
  }
  return answer;
}

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

class HttpClientPool::Impl
{
public:
  explicit Impl(size_t aIdlePerEndpoint)
    : mIdlePerEndpoint(aIdlePerEndpoint)
  {
  }

  HttpAnswer Exchange(const Endpoint& aEndpoint, const HttpCall& aCall)
  {
    const Steady::time_point begin = Steady::now();
    const Steady::time_point end = begin + aCall.mTimeout;
    const std::string key = KeyOf(aEndpoint);
    Connection connection = Take(key, begin);
    if (connection.mSocket == nullptr) {
      const Milliseconds connect = std::min(aCall.mTimeout / 2, kMaxConnect);
      connection.mSocket = ClientSocket::Connect(aEndpoint, begin + connect);
    }
    if (connection.mSocket == nullptr) {
      DropOlder(key, Steady::now());
      return HttpAnswer{ HttpOutcome::kNotConnected, 0, "", {} };
    }
    Parser parser;
    const bool answered =
      connection.mSocket->Write(RequestText(key, aCall), end) &&
      ReadAnswer(*connection.mSocket, end, parser);
    if (!answered) {
      DropOlder(key, Steady::now());
      return HttpAnswer{ HttpOutcome::kLost, 0, "", {} };
    }
    const bool keep = parser.keep_alive();
    HttpAnswer answer = ToAnswer(parser);
    const std::string echoed = answer.Header(aCall.mEchoedHeader.mName);
    if (keep && (echoed.empty() || echoed == aCall.mEchoedHeader.mValue)) {
      Keep(key, std::move(connection));
    }
    return answer;
  }

private:
  struct Shard
  {
    Mutex mMutex;
    std::map<std::string, std::vector<Connection>> mIdle MV_GUARDED_BY(mMutex);
  };

  Shard& ShardOf(const std::string& aKey)
  {
    return mShards[std::hash<std::string>()(aKey) % kShards];
  }

  // Takes the connection used last; those idle too long are closed.
  Connection Take(const std::string& aKey, Steady::time_point aNow)
  {
    std::vector<Connection> closed;
    Connection taken;
    Shard& shard = ShardOf(aKey);
    MutexLock lock(shard.mMutex);
    std::vector<Connection>& idle = shard.mIdle[aKey];
    TakeOlder(idle, aNow - kMaxIdle, closed);
    while (!idle.empty() && taken.mSocket == nullptr) {
      Connection last = std::move(idle.back());
      idle.pop_back();
      (last.mSocket->IsQuiet() ? taken : closed.emplace_back()) =
        std::move(last);
    }
    return taken;
  }

  // After a loss no connection that answered last before it is trusted.
  void DropOlder(const std::string& aKey, Steady::time_point aThan)
  {
    std::vector<Connection> closed;
    Shard& shard = ShardOf(aKey);
    MutexLock lock(shard.mMutex);
    TakeOlder(shard.mIdle[aKey], aThan, closed);
  }

  static void TakeOlder(std::vector<Connection>& aIdle,
                        Steady::time_point aThan,
                        std::vector<Connection>& aTaken)
  {
    const auto older = std::stable_partition(
      aIdle.begin(), aIdle.end(), [&](const Connection& aConnection) {
        return aConnection.mUsedAt >= aThan;
      });
    std::move(older, aIdle.end(), std::back_inserter(aTaken));
    aIdle.erase(older, aIdle.end());
  }

  void Keep(const std::string& aKey, Connection aConnection)
  {
    aConnection.mUsedAt = Steady::now();
    Shard& shard = ShardOf(aKey);
    MutexLock lock(shard.mMutex);
    std::vector<Connection>& idle = shard.mIdle[aKey];
    if (idle.size() < mIdlePerEndpoint) {
      idle.push_back(std::move(aConnection));
    }
  }

  const size_t mIdlePerEndpoint;
  std::array<Shard, kShards> mShards;
};

HttpClientPool::HttpClientPool(size_t aIdlePerEndpoint)
  : mImpl(std::make_unique<Impl>(aIdlePerEndpoint))
{
}

HttpClientPool::~HttpClientPool() = default;

HttpAnswer HttpClientPool::Exchange(const Endpoint& aEndpoint,
                                    const HttpCall& aCall)
{
  return mImpl->Exchange(aEndpoint, aCall);
}

} // namespace mulberryvalve
