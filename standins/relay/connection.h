// A relayed connection: the client's socket and a socket to the target.

#pragma once

#include <array>
#include <deque>
#include <memory>
#include <string>

#include <asio.hpp>

#include "standins/base/clock.h"
#include "standins/relay/relay_faults.h"

namespace mulberryvalve::standins {

// Forwards bytes in both directions. All methods run on the single thread of
// the I/O context.
class Connection : public std::enable_shared_from_this<Connection>
{
public:
  // Takes ownership of the client's socket. `aFaults` must outlive the
  // connection.
  Connection(asio::ip::tcp::socket aClient, const RelayFaults& aFaults);

  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // Connects to the target and starts to forward bytes. Resets the client's
  // socket if the connect fails.
  void Start(const asio::ip::tcp::endpoint& aTarget);

  // Stops forwarding, including the end of a stream; received bytes are read
  // and discarded. Cannot be undone.
  void Silence();

  // Resets both sockets.
  void Close();

private:
  static constexpr std::size_t kReadBytes = 16384;

  struct Chunk
  {
    SteadyTime mSendAt;
    std::string mBytes;
  };

  struct Direction
  {
    Direction(asio::ip::tcp::socket& aFrom,
              asio::ip::tcp::socket& aTo,
              bool aIsResponse)
      : mFrom(aFrom)
      , mTo(aTo)
      , mTimer(aFrom.get_executor())
      , mIsResponse(aIsResponse)
    {
    }

    asio::ip::tcp::socket& mFrom;
    asio::ip::tcp::socket& mTo;
    asio::steady_timer mTimer;
    // Whether this direction is from the target to the client.
    const bool mIsResponse;
    std::array<char, kReadBytes> mBuffer{};
    std::deque<Chunk> mQueue;
    std::size_t mQueuedBytes = 0;
    bool mSending = false;
    bool mPaused = false;
    bool mReachedEof = false;
  };

  void Read(Direction& aDirection);
  void OnRead(Direction& aDirection, std::size_t aSize);
  void OnReadError(Direction& aDirection, const asio::error_code& aError);
  void Send(Direction& aDirection);
  void Write(Direction& aDirection);
  void OnWritten(Direction& aDirection);
  void ShutdownIfDrained(Direction& aDirection);

  const RelayFaults& mFaults;
  asio::ip::tcp::socket mClient;
  asio::ip::tcp::socket mTarget;
  Direction mRequests;
  Direction mResponses;
  bool mSilent = false;
};

// Closes `aSocket` with a TCP reset instead of a FIN.
void Reset(asio::ip::tcp::socket& aSocket);

} // namespace mulberryvalve::standins
