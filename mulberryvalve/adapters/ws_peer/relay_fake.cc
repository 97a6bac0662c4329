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

// Pair is one connection through the relay.
struct Pair
{
  explicit Pair(asio::io_context& aIo)
    : mNear(aIo)
    , mFar(aIo)
  {
  }

  Tcp::socket mNear;
  Tcp::socket mFar;
  bool mFrozen = false;
};

using Buffer = std::array<char, 4096>;

// Pump passes bytes from aFrom to aTo until either fails or aPair is frozen.
void Pump(const std::shared_ptr<Pair>& aPair,
          Tcp::socket& aFrom,
          Tcp::socket& aTo)
{
  auto buffer = std::make_shared<Buffer>();
  aFrom.async_read_some(
    asio::buffer(*buffer),
    [aPair, &aFrom, &aTo, buffer](const std::error_code& aError, size_t aSize) {
      if (aPair->mFrozen) {
        return;
      }
      std::error_code error = aError;
      asio::write(aTo, asio::buffer(*buffer, aSize), error);
      if (aError || error) {
        aPair->mNear.close(error);
        aPair->mFar.close(error);
        return;
      }
      Pump(aPair, aFrom, aTo);
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
      for (const auto& pair : mPairs) {
        pair->mFrozen = true;
      }
    });
  }

private:
  void Accept()
  {
    auto pair = std::make_shared<Pair>(mIo);
    mAcceptor.async_accept(pair->mNear, [this, pair](std::error_code aError) {
      if (!aError) {
        pair->mFar.connect(mTarget, aError);
        mPairs.push_back(pair);
        Pump(pair, pair->mNear, pair->mFar);
        Pump(pair, pair->mFar, pair->mNear);
      }
      Accept();
    });
  }

  asio::io_context mIo;
  const Tcp::endpoint mTarget;
  Tcp::acceptor mAcceptor;
  std::vector<std::shared_ptr<Pair>> mPairs;
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
