#include "standins/relay/relay.h"

#include <algorithm>
#include <utility>

namespace mulberryvalve::standins {
namespace {

using asio::ip::tcp;

constexpr Milliseconds kAcceptRetryInterval{ 100 };

std::optional<tcp::endpoint> ToAsio(const Endpoint& aEndpoint)
{
  asio::error_code error;
  const auto address = asio::ip::make_address(aEndpoint.mAddress, error);
  if (error) {
    return std::nullopt;
  }
  return tcp::endpoint(address, aEndpoint.mPort);
}

} // namespace

Relay::Relay(asio::io_context& aContext, const RelayFaults& aFaults)
  : mContext(aContext)
  , mFaults(aFaults)
  , mAcceptor(aContext)
  , mRetryTimer(aContext)
{
}

std::optional<Endpoint> Relay::Listen(const Endpoint& aListen,
                                      const Endpoint& aTarget)
{
  const auto listen = ToAsio(aListen);
  const auto target = ToAsio(aTarget);
  if (!listen || !target) {
    return std::nullopt;
  }
  mTarget = *target;
  asio::error_code error;
  mAcceptor.open(listen->protocol(), error);
  mAcceptor.set_option(tcp::acceptor::reuse_address(true), error);
  mAcceptor.bind(*listen, error);
  if (error) {
    return std::nullopt;
  }
  mAcceptor.listen(asio::socket_base::max_listen_connections, error);
  if (error) {
    return std::nullopt;
  }
  Accept();
  return Endpoint{ aListen.mAddress, mAcceptor.local_endpoint(error).port() };
}

void Relay::ApplyFaults()
{
  const bool cut = mFaults.IsOn(RelayFault::kCut);
  const bool silence = mFaults.IsOn(RelayFault::kSilence);
  if (!cut && !silence) {
    return;
  }
  asio::post(mContext, [this, cut] {
    for (const auto& connection : TakeOpenConnections()) {
      if (cut) {
        connection->Close();
      } else {
        connection->Silence();
        mConnections.push_back(connection);
      }
    }
  });
}

void Relay::Accept()
{
  mAcceptor.async_accept(
    [this](const asio::error_code& aError, tcp::socket aClient) {
      if (aError == asio::error::operation_aborted) {
        return;
      }
      if (aError) {
        AcceptLater();
        return;
      }
      HandleAccepted(std::move(aClient));
      Accept();
    });
}

void Relay::HandleAccepted(tcp::socket aClient)
{
  if (mFaults.IsOn(RelayFault::kCut)) {
    Reset(aClient);
    return;
  }
  const auto connection =
    std::make_shared<Connection>(std::move(aClient), mFaults);
  if (mFaults.IsOn(RelayFault::kSilence)) {
    connection->Silence();
  }
  connection->Start(mTarget);
  mConnections.erase(
    std::remove_if(mConnections.begin(),
                   mConnections.end(),
                   [](const auto& aWeak) { return aWeak.expired(); }),
    mConnections.end());
  mConnections.push_back(connection);
}

void Relay::AcceptLater()
{
  mRetryTimer.expires_at(std::chrono::steady_clock::now() +
                         kAcceptRetryInterval);
  mRetryTimer.async_wait([this](const asio::error_code& aError) {
    if (!aError) {
      Accept();
    }
  });
}

std::vector<std::shared_ptr<Connection>> Relay::TakeOpenConnections()
{
  std::vector<std::shared_ptr<Connection>> connections;
  for (const auto& weak : mConnections) {
    if (auto connection = weak.lock()) {
      connections.push_back(std::move(connection));
    }
  }
  mConnections.clear();
  return connections;
}

} // namespace mulberryvalve::standins
