#include "mulberryvalve/adapters/http/async_http_client.h"

#include "mulberryvalve/adapters/http/async_http_connection.h"
#include "mulberryvalve/adapters/http/http_connection_limits.h"

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <thread>
#include <utility>

namespace mulberryvalve {
namespace {

using Steady = std::chrono::steady_clock;

} // namespace

// Only the thread that runs mIo accesses the members declared below it.
class AsyncHttpClient::EventLoop : private ConnectionListener
{
public:
  explicit EventLoop(size_t aIdlePerEndpoint)
    : mIdlePerEndpoint(aIdlePerEndpoint)
    , mWork(asio::make_work_guard(mIo))
    , mThread([this] { mIo.run(); })
  {
  }

  ~EventLoop() override
  {
    mIo.stop();
    mThread.join();
  }
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  void Post(const Endpoint& aEndpoint, PendingExchange aExchange)
  {
    asio::post(mIo,
               [this, aEndpoint, exchange = std::move(aExchange)]() mutable {
                 StartExchange(aEndpoint, std::move(exchange));
               });
  }

private:
  using Connection = std::shared_ptr<AsyncHttpConnection>;

  void StartExchange(const Endpoint& aEndpoint, PendingExchange aExchange)
  {
    if (aExchange.mDeadline <= Steady::now()) {
      const HttpAnswer notSent{ HttpOutcome::kNotConnected, 0, "", {}, {}, {} };
      aExchange.mCompletion->OnAnswer(notSent);
      return;
    }
    const std::string host = HostHeaderValue(aEndpoint);
    if (const Connection idle =
          TakeIdleConnection(host, aExchange.mCall.mPeer)) {
      idle->StartExchange(std::move(aExchange));
      return;
    }
    ConnectionListener& listener = *this;
    std::make_shared<AsyncHttpConnection>(mIo, listener, host)
      ->ConnectAndStart(aEndpoint, std::move(aExchange));
  }

  // Returns the most recently used idle connection that leads to aPeer or may
  // do so, or null; closes those idle for longer than kMaxIdle.
  Connection TakeIdleConnection(const std::string& aHost, PeerIncarnation aPeer)
  {
    CloseIdleUsedBefore(aHost, Steady::now() - kMaxIdle);
    std::vector<Connection>& idle = mIdle[aHost];
    for (size_t i = idle.size(); i > 0; i--) {
      Connection candidate = idle[i - 1];
      if (!MayLeadTo(*candidate, aPeer)) {
        continue;
      }
      idle.erase(idle.begin() + static_cast<long>(i - 1));
      if (candidate->IsReusable()) {
        return candidate;
      }
      candidate->Close();
    }
    return nullptr;
  }

  static bool MayLeadTo(const AsyncHttpConnection& aConnection,
                        PeerIncarnation aPeer)
  {
    const PeerIncarnation actual = aConnection.Peer();
    return aPeer == PeerIncarnation() || actual == PeerIncarnation() ||
           actual == aPeer;
  }

  void CloseIdleUsedBefore(const std::string& aHost, Steady::time_point aTime)
  {
    std::vector<Connection>& idle = mIdle[aHost];
    const auto older = std::stable_partition(
      idle.begin(), idle.end(), [&](const Connection& aConnection) {
        return aConnection->LastAnswerTime() >= aTime;
      });
    std::for_each(older, idle.end(), [](const Connection& aConnection) {
      aConnection->Close();
    });
    idle.erase(older, idle.end());
  }

  // Connections to other incarnations of the server are dead.
  void OnIdle(const Connection& aIdle) override
  {
    std::vector<Connection>& idle = mIdle[aIdle->Host()];
    const auto others = std::stable_partition(
      idle.begin(), idle.end(), [&](const Connection& aConnection) {
        return MayLeadTo(*aConnection, aIdle->Peer());
      });
    std::for_each(others, idle.end(), [](const Connection& aConnection) {
      aConnection->Close();
    });
    idle.erase(others, idle.end());
    if (idle.size() < mIdlePerEndpoint) {
      idle.push_back(aIdle);
    } else {
      aIdle->Close();
    }
  }

  // Idle connections whose last answer precedes the failure may be dead too.
  void OnExchangeFailed(const std::string& aHost) override
  {
    CloseIdleUsedBefore(aHost, Steady::now());
  }

  void OnClosed(const AsyncHttpConnection& aClosed) override
  {
    std::vector<Connection>& idle = mIdle[aClosed.Host()];
    const auto removed =
      std::remove_if(idle.begin(), idle.end(), [&](const Connection& aIdle) {
        return aIdle.get() == &aClosed;
      });
    idle.erase(removed, idle.end());
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
    mEventLoops.push_back(
      std::make_unique<EventLoop>(aOptions.mIdlePerEndpoint));
  }
}

AsyncHttpClient::~AsyncHttpClient() = default;

void AsyncHttpClient::Exchange(const Endpoint& aEndpoint,
                               HttpCall aCall,
                               std::unique_ptr<HttpCompletion> aCompletion)
{
  const size_t endpointHash =
    std::hash<std::string>()(aEndpoint.mAddress) + aEndpoint.mPort;
  const Steady::time_point now = Steady::now();
  const Steady::time_point deadline = now + aCall.mTimeout;
  const Steady::time_point readyBy =
    now + std::min(aCall.mTimeout / 2, kMaxConnect);
  mEventLoops[endpointHash % mEventLoops.size()]->Post(
    aEndpoint,
    PendingExchange{
      std::move(aCall), std::move(aCompletion), deadline, readyBy });
}

} // namespace mulberryvalve
