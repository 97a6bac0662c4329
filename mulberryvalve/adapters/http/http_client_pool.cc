#include "mulberryvalve/adapters/http/http_client_pool.h"

#include "mulberryvalve/adapters/http/client_socket.h"
#include "mulberryvalve/adapters/http/http_connection_limits.h"
#include "mulberryvalve/core/base/mutex.h"

#include <algorithm>
#include <array>
#include <functional>
#include <iterator>
#include <map>
#include <string>
#include <string_view>

namespace mulberryvalve {
namespace {

using Steady = std::chrono::steady_clock;

constexpr size_t kShards = 16;
constexpr size_t kReadBytes = 4 * 1024;

// Reads one whole answer; false if it is lost or malformed.
bool ReceiveAnswer(ClientSocket& aSocket,
                   Steady::time_point aDeadline,
                   HttpAnswerParser& aParser)
{
  std::array<char, kReadBytes> bytes{};
  HttpParseState state = HttpParseState::kIncomplete;
  while (state == HttpParseState::kIncomplete) {
    const size_t got = aSocket.Read(bytes.data(), bytes.size(), aDeadline);
    if (got == 0) {
      return false;
    }
    state = aParser.Feed(std::string_view(bytes.data(), got));
  }
  return state == HttpParseState::kComplete;
}

} // namespace

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
    const Steady::time_point deadline = begin + aCall.mTimeout;
    const std::string key = HostHeaderValue(aEndpoint);
    Connection connection = TakeIdleConnection(key, begin);
    if (connection.mSocket == nullptr) {
      const Milliseconds connect = std::min(aCall.mTimeout / 2, kMaxConnect);
      connection.mSocket = ClientSocket::Connect(aEndpoint, begin + connect);
    }
    if (connection.mSocket == nullptr) {
      CloseIdleUsedBefore(key, Steady::now());
      return HttpAnswer{ HttpOutcome::kNotConnected, 0, "", {}, {}, {} };
    }
    HttpAnswerParser parser;
    const std::string text = SerializeRequest(key, aCall);
    const bool answered = connection.mSocket->Write(text, deadline) &&
                          ReceiveAnswer(*connection.mSocket, deadline, parser);
    if (!answered) {
      CloseIdleUsedBefore(key, Steady::now());
      const HttpTraffic traffic{ text.size(), parser.Received() };
      return HttpAnswer{ HttpOutcome::kLost, 0, "", {}, traffic, {} };
    }
    const bool keep = parser.CanReuseConnection();
    HttpAnswer answer = parser.ReleaseAnswer();
    answer.mTraffic = HttpTraffic{ text.size(), parser.Received() };
    if (keep && EchoedHeaderMatches(aCall, answer)) {
      ReturnConnection(key, std::move(connection));
    }
    return answer;
  }

private:
  // Connection is a kept-alive connection and the time of its last answer.
  struct Connection
  {
    std::unique_ptr<ClientSocket> mSocket;
    Steady::time_point mLastAnswerTime;
  };

  struct Shard
  {
    Mutex mMutex;
    std::map<std::string, std::vector<Connection>> mIdle MV_GUARDED_BY(mMutex);
  };

  Shard& ShardOf(const std::string& aKey)
  {
    return mShards[std::hash<std::string>()(aKey) % kShards];
  }

  // Returns the most recently used idle connection, if any; closes those idle
  // for longer than kMaxIdle.
  Connection TakeIdleConnection(const std::string& aKey,
                                Steady::time_point aNow)
  {
    std::vector<Connection> closed;
    Connection taken;
    Shard& shard = ShardOf(aKey);
    MutexLock lock(shard.mMutex);
    std::vector<Connection>& idle = shard.mIdle[aKey];
    ExtractUsedBefore(idle, aNow - kMaxIdle, closed);
    while (!idle.empty() && taken.mSocket == nullptr) {
      Connection last = std::move(idle.back());
      idle.pop_back();
      (last.mSocket->IsReusable() ? taken : closed.emplace_back()) =
        std::move(last);
    }
    return taken;
  }

  // Idle connections whose last answer precedes a failure may be dead too.
  void CloseIdleUsedBefore(const std::string& aKey, Steady::time_point aTime)
  {
    std::vector<Connection> closed;
    Shard& shard = ShardOf(aKey);
    MutexLock lock(shard.mMutex);
    ExtractUsedBefore(shard.mIdle[aKey], aTime, closed);
  }

  static void ExtractUsedBefore(std::vector<Connection>& aIdle,
                                Steady::time_point aTime,
                                std::vector<Connection>& aTaken)
  {
    const auto older = std::stable_partition(
      aIdle.begin(), aIdle.end(), [&](const Connection& aConnection) {
        return aConnection.mLastAnswerTime >= aTime;
      });
    std::move(older, aIdle.end(), std::back_inserter(aTaken));
    aIdle.erase(older, aIdle.end());
  }

  void ReturnConnection(const std::string& aKey, Connection aConnection)
  {
    aConnection.mLastAnswerTime = Steady::now();
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
