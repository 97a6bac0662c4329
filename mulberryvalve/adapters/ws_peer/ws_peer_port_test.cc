#include "mulberryvalve/adapters/ws_peer/ws_peer_port.h"

#include "mulberryvalve/adapters/ws_peer/digest_codec.h"
#include "mulberryvalve/adapters/ws_peer/relay_fake.h"
#include "mulberryvalve/core/base/mutex.h"
#include "tests/support/free_port.h"

#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <map>
#include <random>
#include <string>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

using Steady = std::chrono::steady_clock;

constexpr std::chrono::seconds kBound{ 20 };
constexpr Milliseconds kBroadcastEvery{ 20 };
constexpr const char* kLoopback = "127.0.0.1";
const std::string kHandshake = "GET / HTTP/1.1\r\nHost: x\r\n"
                               "Upgrade: websocket\r\nConnection: Upgrade\r\n"
                               "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n"
                               "Sec-WebSocket-Version: 13\r\n\r\n";
const std::string kMask(4, '\0');

class SteadyClock : public Clock
{
public:
  MonotonicTime Now() const override
  {
    return MonotonicTime(std::chrono::duration_cast<Microseconds>(
      Steady::now().time_since_epoch()));
  }
  WallTime WallNow() const override { return WallTime{}; }
};

class SeededRandom : public RandomSource
{
public:
  uint64_t Below(uint64_t aBound) override
  {
    MutexLock lock(mMutex);
    return mEngine() % aBound;
  }

private:
  Mutex mMutex;
  std::mt19937_64 mEngine MV_GUARDED_BY(mMutex){ 1 };
};

// Counter counts named things and waits for them.
class Counter
{
public:
  void Add(const std::string& aName)
  {
    MutexLock lock(mMutex);
    mCounts[aName]++;
    mChanged.NotifyAll();
  }

  int Count(const std::string& aName)
  {
    MutexLock lock(mMutex);
    return mCounts[aName];
  }

  bool Reached(const std::string& aName,
               int aCount,
               Steady::time_point aDeadline = Steady::now() + kBound)
  {
    MutexLock lock(mMutex);
    while (mCounts[aName] < aCount) {
      if (!mChanged.WaitUntil(mMutex, aDeadline)) {
        return mCounts[aName] >= aCount;
      }
    }
    return true;
  }

private:
  Mutex mMutex;
  CondVar mChanged;
  std::map<std::string, int> mCounts MV_GUARDED_BY(mMutex);
};

class Listener : public PeerListener
{
public:
  void OnPeerStatus(const PeerStatus& aDigest) override
  {
    mSenders.Add(aDigest.mSender.mInstance.Text());
  }
  Counter mSenders;
};

class CountingLog : public EventLog
{
public:
  void Write(EventLevel,
             std::string_view aName,
             const std::vector<EventField>&) override
  {
    mEvents.Add(std::string(aName));
  }
  Counter mEvents;
};

// Node is one port with what it needs.
struct Node
{
  explicit Node(WsPeerOptions aOptions)
    : mPort(std::move(aOptions), mListener, mLog, mClock, mRandom)
  {
  }

  Listener mListener;
  CountingLog mLog;
  SteadyClock mClock;
  SeededRandom mRandom;
  WsPeerPort mPort;
};

WsPeerOptions Options(uint16_t aListen, std::vector<uint16_t> aPeers = {})
{
  WsPeerOptions options;
  options.mListen = Endpoint{ kLoopback, aListen };
  for (const uint16_t peer : aPeers) {
    options.mPeers.push_back(Endpoint{ kLoopback, peer });
  }
  options.mPingInterval = Milliseconds(50);
  options.mSilentAfter = Milliseconds(1000);
  return options;
}

PeerStatus Digest(const std::string& aSender)
{
  PeerStatus digest;
  digest.mSender = { InstanceId(aSender), Incarnation(1) };
  digest.mDomain = DomainId("north");
  return digest;
}

// Deliver broadcasts until one more digest of aSender has arrived at aTo.
bool Deliver(Node& aFrom, Node& aTo, const std::string& aSender)
{
  const int wanted = aTo.mListener.mSenders.Count(aSender) + 1;
  const auto bound = Steady::now() + kBound;
  while (Steady::now() < bound) {
    aFrom.mPort.Broadcast(Digest(aSender));
    const auto next = Steady::now() + kBroadcastEvery;
    if (aTo.mListener.mSenders.Reached(aSender, wanted, next)) {
      return true;
    }
  }
  return false;
}

// IsClosedAfter sends aBytes over a new connection and tells whether the other
// end closes it within kBound.
bool IsClosedAfter(uint16_t aPort, const std::string& aBytes)
{
  const int handle = socket(AF_INET, SOCK_STREAM, 0);
  const timeval bound{ kBound.count(), 0 };
  setsockopt(handle, SOL_SOCKET, SO_RCVTIMEO, &bound, sizeof(bound));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  inet_pton(AF_INET, kLoopback, &address.sin_addr);
  const auto* target = reinterpret_cast<const sockaddr*>(&address);
  bool closed = connect(handle, target, sizeof(address)) == 0;
  if (closed) {
    send(handle, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
    char buffer[4096];
    ssize_t got = 1;
    while (got > 0) {
      got = recv(handle, buffer, sizeof(buffer), 0);
    }
    closed = got == 0 || errno == ECONNRESET;
  }
  close(handle);
  return closed;
}

struct HostileCase
{
  const char* mName;
  std::string mBytes;
};

const std::vector<HostileCase> kHostileCases = {
  { "not HTTP", "\x16\x03\x01 hello\r\n\r\n" },
  { "plain request", "GET / HTTP/1.1\r\nHost: x\r\n\r\n" },
  { "endless header", "GET / HTTP/1.1\r\nX: " + std::string(65536, 'a') },
  { "not a digest", kHandshake + "\x82\x82" + kMask + "xx" },
  { "text frame", kHandshake + "\x81\x82" + kMask + "{}" },
  { "no mask", kHandshake + "\x82\x02xx" },
  { "too long",
    kHandshake + "\x82\xff" + std::string(2, '\0') + '\1' +
      std::string(5, '\0') + kMask },
  { "reserved opcode", kHandshake + "\x83\x81" + kMask + "x" },
  { "reserved bit", kHandshake + "\xc2\x81" + kMask + "x" },
  { "continuation first", kHandshake + "\x80\x81" + kMask + "x" },
  { "fragmented ping", kHandshake + "\x09\x81" + kMask + "x" },
};

} // namespace

TEST_GROUP(WsPeerPort){};

TEST(WsPeerPort, DeliversDigestsInBothDirections)
{
  const uint16_t port = FreePort();
  Node left(Options(port, { port }));
  CHECK(left.mPort.Start().has_value());
  Node right(Options(0, { port }));
  CHECK(right.mPort.Start().has_value());
  CHECK(Deliver(right, left, "right"));
  CHECK(right.mPort.BytesSent() >= left.mPort.BytesReceived());
  CHECK(left.mPort.BytesReceived() > 0);
  CHECK_EQUAL(port, left.mPort.ListenPort());

  Node third(Options(0, { port, right.mPort.ListenPort() }));
  CHECK(third.mPort.Start().has_value());
  CHECK(Deliver(third, left, "third"));
  CHECK(Deliver(third, right, "third"));
  CHECK_EQUAL(0, left.mLog.mEvents.Count("peer_connected"));
}

TEST(WsPeerPort, ReconnectsWhenAPeerStartsLaterAndAgain)
{
  const uint16_t port = FreePort();
  Node sender(Options(0, { port }));
  CHECK(sender.mPort.Start().has_value());
  CHECK(sender.mLog.mEvents.Reached("peer_lost", 2));
  for (int life = 0; life < 2; life++) {
    Node receiver(Options(port));
    CHECK(receiver.mPort.Start().has_value());
    CHECK(Deliver(sender, receiver, "s"));
    receiver.mPort.Stop();
    receiver.mPort.Stop();
  }
}

TEST(WsPeerPort, FailsWithATypeWhenItCannotStart)
{
  Node first(Options(0));
  CHECK(first.mPort.Start().has_value());
  CHECK(first.mPort.Start().error().mKind == FailureKind::kConflict);
  Node second(Options(first.mPort.ListenPort()));
  CHECK(second.mPort.Start().error().mKind == FailureKind::kConflict);
  WsPeerOptions named = Options(0);
  named.mListen.mAddress = "localhost";
  Node third(named);
  CHECK(third.mPort.Start().error().mKind == FailureKind::kInvalidInput);
  Node fourth(Options(0, { 0 }));
  CHECK(fourth.mPort.Start().error().mField == "peers");
  fourth.mPort.Broadcast(Digest("never started"));
}

TEST(WsPeerPort, ClosesHostileConnectionsAndGoesOn)
{
  WsPeerOptions options = Options(0);
  options.mSilentAfter = 3 * kBound;
  options.mConnectTimeout = 3 * kBound;
  Node node(options);
  CHECK(node.mPort.Start().has_value());
  for (const HostileCase& hostile : kHostileCases) {
    CHECK_TEXT(IsClosedAfter(node.mPort.ListenPort(), hostile.mBytes),
               hostile.mName);
  }
  Node sender(Options(0, { node.mPort.ListenPort() }));
  CHECK(sender.mPort.Start().has_value());
  CHECK(Deliver(sender, node, "s"));
}

TEST(WsPeerPort, ClosesConnectionsThatStaySilent)
{
  Node node(Options(0));
  CHECK(node.mPort.Start().has_value());
  CHECK(IsClosedAfter(node.mPort.ListenPort(), kHandshake));
  CHECK(IsClosedAfter(node.mPort.ListenPort(), ""));
}

TEST(WsPeerPort, RefusesConnectionsBeyondTheLimit)
{
  WsPeerOptions options = Options(0);
  options.mMaxInbound = 0;
  Node node(options);
  CHECK(node.mPort.Start().has_value());
  CHECK(IsClosedAfter(node.mPort.ListenPort(), ""));
  CHECK(node.mLog.mEvents.Reached("peer_refused", 1));
}

TEST(WsPeerPort, ReplacesAConnectionThatWentSilent)
{
  Node receiver(Options(0));
  CHECK(receiver.mPort.Start().has_value());
  RelayFake relay(receiver.mPort.ListenPort());
  Node sender(Options(0, { relay.Port() }));
  CHECK(sender.mPort.Start().has_value());
  CHECK(Deliver(sender, receiver, "s"));
  relay.FreezeOpenConnections();
  CHECK(sender.mLog.mEvents.Reached("peer_connected", 2));
  CHECK(Deliver(sender, receiver, "s"));
  CHECK(receiver.mLog.mEvents.Reached("peer_inbound_lost", 1));
}

TEST(WsPeerPort, DropsDigestsWhileAPeerDoesNotRead)
{
  Node receiver(Options(0));
  CHECK(receiver.mPort.Start().has_value());
  RelayFake relay(receiver.mPort.ListenPort());
  WsPeerOptions options = Options(0, { relay.Port() });
  options.mSilentAfter = 3 * kBound;
  Node sender(options);
  CHECK(sender.mPort.Start().has_value());
  CHECK(Deliver(sender, receiver, "s"));
  relay.FreezeOpenConnections();
  PeerStatus large = Digest("s");
  large.mBundle.mDocument.assign(kMaxDocumentBytes, 'd');
  const auto bound = Steady::now() + kBound;
  while (sender.mPort.DigestsDropped() == 0 && Steady::now() < bound) {
    sender.mPort.Broadcast(large);
    const auto next = Steady::now() + kBroadcastEvery;
    sender.mLog.mEvents.Reached("peer_digest_dropped", 1, next);
  }
  CHECK(sender.mPort.DigestsDropped() > 0);
}

} // namespace mulberryvalve
