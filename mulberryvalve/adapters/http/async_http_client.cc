#include "mulberryvalve/adapters/http/async_http_client.h"

#include "mulberryvalve/adapters/http/async_http_connection.h"

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <thread>
#include <utility>

namespace mulberryvalve {
namespace {

using Steady = std::chrono::steady_clock;

constexpr Milliseconds kMaxConnect{ 500 };
constexpr std::chrono::seconds kMaxIdle{ 20 };

} // namespace

// The members below mIo are touched by the thread of mIo only.
class AsyncHttpClient::Loop : private ConnectionOwner
{
public:
  explicit Loop(size_t aIdlePerEndpoint)
    : mIdlePerEndpoint(aIdlePerEndpoint)
    , mWork(asio::make_work_guard(mIo))
    , mThread([this] { mIo.run(); })
  {
  }

  ~Loop() override
  {
    mIo.stop();
    mThread.join();
  }
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  void Post(const Endpoint& aEndpoint, AsyncHttpExchange aExchange)
  {
    asio::post(mIo,
               [this, aEndpoint, exchange = std::move(aExchange)]() mutable {
                 Begin(aEndpoint, std::move(exchange));
               });
  }

private:
  using Connection = std::shared_ptr<AsyncHttpConnection>;

  void Begin(const Endpoint& aEndpoint, AsyncHttpExchange aExchange)
  {
    if (aExchange.mEnd <= Steady::now()) {
      const HttpAnswer notSent{ HttpOutcome::kNotConnected, 0, "", {}, {} };
      aExchange.mCompletion->OnAnswer(notSent);
      return;
    }
    const std::string host = HostOf(aEndpoint);
    if (const Connection idle = Take(host)) {
      idle->Begin(std::move(aExchange));
      return;
    }
    const Steady::time_point connectBy =
      aExchange.mEnd - aExchange.mCall.mTimeout +
      std::min(aExchange.mCall.mTimeout / 2, kMaxConnect);
    ConnectionOwner& owner = *this;
    std::make_shared<AsyncHttpConnection>(mIo, owner, host)
      ->Open(aEndpoint, std::move(aExchange), connectBy);
  }

  // Takes the connection used last; those idle too long are closed.
  Connection Take(const std::string& aHost)
  {
    CloseOlder(aHost, Steady::now() - kMaxIdle);
    std::vector<Connection>& idle = mIdle[aHost];
    while (!idle.empty()) {
      Connection last = idle.back();
      idle.pop_back();
      if (last->IsQuiet()) {
        return last;
      }
      last->Close();
    }
    return nullptr;
  }

  void CloseOlder(const std::string& aHost, Steady::time_point aThan)
  {
    std::vector<Connection>& idle = mIdle[aHost];
    const auto older = std::stable_partition(
      idle.begin(), idle.end(), [&](const Connection& aConnection) {
        return aConnection->UsedAt() >= aThan;
      });
    std::for_each(older, idle.end(), [](const Connection& aConnection) {
      aConnection->Close();
    });
    idle.erase(older, idle.end());
  }

  void OnIdle(const Connection& aIdle) override
  {
    std::vector<Connection>& idle = mIdle[aIdle->Host()];
    if (idle.size() < mIdlePerEndpoint) {
      idle.push_back(aIdle);
    } else {
      aIdle->Close();
    }
  }

  // After a loss no connection that answered last before it is trusted.
  void OnLost(const std::string& aHost) override
  {
    CloseOlder(aHost, Steady::now());
  }

  void OnClosed(const AsyncHttpConnection& aClosed) override
  {
    std::vector<Connection>& idle = mIdle[aClosed.Host()];
    const auto gone =
      std::remove_if(idle.begin(), idle.end(), [&](const Connection& aIdle) {
        return aIdle.get() == &aClosed;
      });
    idle.erase(gone, idle.end());
  }

  const size_t mIdlePerEndpoint;
  asio::io_context mIo{ 1 };
  asio::executor_work_guard<asio::io_context::executor_type> mWork;
  std::map<std::string, std::vector<Connection>> mIdle;
  std::thread mThread;
};

AsyncHttpClient::AsyncHttpClient(AsyncHttpClientOptions aOptions)
{
  for (size_t i = 0; i < std::max<size_t>(aOptions.mThreads, 1); i++) {
    mLoops.push_back(std::make_unique<Loop>(aOptions.mIdlePerEndpoint));
  }
}

AsyncHttpClient::~AsyncHttpClient() = default;

void AsyncHttpClient::Exchange(const Endpoint& aEndpoint,
                               HttpCall aCall,
                               std::unique_ptr<HttpCompletion> aCompletion)
{
  const size_t number =
    std::hash<std::string>()(aEndpoint.mAddress) + aEndpoint.mPort;
  const auto end = Steady::now() + aCall.mTimeout;
  mLoops[number % mLoops.size()]->Post(
    aEndpoint,
    AsyncHttpExchange{ std::move(aCall), std::move(aCompletion), end });
}

} // namespace mulberryvalve
