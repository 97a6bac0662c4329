#include "mulberryvalve/adapters/http/http_client_pool.h"

#include "mulberryvalve/adapters/http/client_socket.h"
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
constexpr Milliseconds kMaxConnect{ 500 };
constexpr std::chrono::seconds kMaxIdle{ 20 };
constexpr size_t kReadBytes = 4 * 1024;

// Connection is one kept-alive connection; mUsedAt is when it last answered.
struct Connection
{
  std::unique_ptr<ClientSocket> mSocket;
  Steady::time_point mUsedAt;
};

// Reads one answer until its end.
bool ReadAnswer(ClientSocket& aSocket,
                Steady::time_point aEnd,
                AnswerReader& aReader)
{
  std::array<char, kReadBytes> bytes{};
  AnswerState state = AnswerState::kPartial;
  while (state == AnswerState::kPartial) {
    const size_t got = aSocket.Read(bytes.data(), bytes.size(), aEnd);
    if (got == 0) {
      return false;
    }
    state = aReader.Take(std::string_view(bytes.data(), got));
  }
  return state == AnswerState::kWhole;
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
    const Steady::time_point end = begin + aCall.mTimeout;
    const std::string key = HostOf(aEndpoint);
    Connection connection = Take(key, begin);
    if (connection.mSocket == nullptr) {
      const Milliseconds connect = std::min(aCall.mTimeout / 2, kMaxConnect);
      connection.mSocket = ClientSocket::Connect(aEndpoint, begin + connect);
    }
    if (connection.mSocket == nullptr) {
      DropOlder(key, Steady::now());
      return HttpAnswer{ HttpOutcome::kNotConnected, 0, "", {}, {} };
    }
    AnswerReader reader;
    const std::string text = RequestText(key, aCall);
    const bool answered = connection.mSocket->Write(text, end) &&
                          ReadAnswer(*connection.mSocket, end, reader);
    if (!answered) {
      DropOlder(key, Steady::now());
      const HttpTraffic traffic{ text.size(), reader.Received() };
      return HttpAnswer{ HttpOutcome::kLost, 0, "", {}, traffic };
    }
    const bool keep = reader.KeepsConnection();
    HttpAnswer answer = reader.TakeAnswer();
    answer.mTraffic = HttpTraffic{ text.size(), reader.Received() };
    if (keep && IsInStep(aCall, answer)) {
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
