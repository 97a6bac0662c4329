#include "mulberryvalve/adapters/ws_peer/relay_fake.h"

#include <array>
#include <asio.hpp>
#include <thread>
#include <vector>

namespace mulberryvalve {
namespace {

using Tcp = asio::ip::tcp;

Tcp::endpoint Loopback(uint16_t aPort)
{
  return { asio::ip::address_v4::loopback(), aPort };
}

// RelayedConnection is one client connection and its connection to the target.
struct RelayedConnection
{
  explicit RelayedConnection(asio::io_context& aIo)
    : mClientSocket(aIo)
    , mTargetSocket(aIo)
  {
  }

  Tcp::socket mClientSocket;
  Tcp::socket mTargetSocket;
  bool mFrozen = false;
};

using Buffer = std::array<char, 4096>;

// Forward copies bytes from aFrom to aTo until either socket fails or
// aConnection is frozen.
void Forward(const std::shared_ptr<RelayedConnection>& aConnection,
             Tcp::socket& aFrom,
             Tcp::socket& aTo)
{
  auto buffer = std::make_shared<Buffer>();
  const auto space = asio::buffer(*buffer);
  aFrom.async_read_some(space,
                        [aConnection, &aFrom, &aTo, buffer](
                          const std::error_code& aError, size_t aSize) {
                          if (aConnection->mFrozen) {
                            return;
                          }
                          std::error_code error = aError;
                          asio::write(aTo, asio::buffer(*buffer, aSize), error);
                          if (aError || error) {
                            aConnection->mClientSocket.close(error);
                            aConnection->mTargetSocket.close(error);
                            return;
                          }
                          Forward(aConnection, aFrom, aTo);
                        });
}

} // namespace

class RelayFake::Impl
{
public:
  explicit Impl(uint16_t aTargetPort)
    : mTarget(Loopback(aTargetPort))
    , mAcceptor(mIo, Loopback(0))
  {
    Accept();
    mThread = std::thread([this] { mIo.run(); });
  }

  ~Impl()
  {
    mIo.stop();
    mThread.join();
  }

  uint16_t Port() const { return mAcceptor.local_endpoint().port(); }

  void Freeze()
  {
    asio::post(mIo, [this] {
      for (const auto& connection : mConnections) {
        connection->mFrozen = true;
      }
    });
  }

private:
  void Accept()
  {
    auto connection = std::make_shared<RelayedConnection>(mIo);
    mAcceptor.async_accept(
      connection->mClientSocket, [this, connection](std::error_code aError) {
        if (!aError) {
          connection->mTargetSocket.connect(mTarget, aError);
          mConnections.push_back(connection);
          Forward(
            connection, connection->mClientSocket, connection->mTargetSocket);
          Forward(
            connection, connection->mTargetSocket, connection->mClientSocket);
        }
        Accept();
      });
  }

  asio::io_context mIo;
  const Tcp::endpoint mTarget;
  Tcp::acceptor mAcceptor;
  std::vector<std::shared_ptr<RelayedConnection>> mConnections;
  std::thread mThread;
};

RelayFake::RelayFake(uint16_t aTargetPort)
  : mImpl(std::make_unique<Impl>(aTargetPort))
{
}

RelayFake::~RelayFake() = default;

uint16_t RelayFake::Port() const
{
  return mImpl->Port();
}

void RelayFake::FreezeOpenConnections()
{
  mImpl->Freeze();
}

} // namespace mulberryvalve
