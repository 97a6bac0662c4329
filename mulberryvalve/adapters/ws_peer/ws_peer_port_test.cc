#include "mulberryvalve/adapters/ws_peer/ws_peer_port.h"

#include "mulberryvalve/adapters/ws_peer/peer_status_codec.h"
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

constexpr std::chrono::seconds kTestTimeout{ 20 };
constexpr Milliseconds kBroadcastInterval{ 20 };
constexpr const char* kLoopback = "127.0.0.1";
const std::string kHandshake = "GET / HTTP/1.1\r\nHost: x\r\n"
                               "Upgrade: websocket\r\nConnection: Upgrade\r\n"
                               "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n"
                               "Sec-WebSocket-Version: 13\r\n\r\n";
const std::string kZeroMask(4, '\0');

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

// EventCounter counts events by name and waits for a count.
class EventCounter
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

  bool WaitForCount(const std::string& aName,
                    int aCount,
                    Steady::time_point aDeadline = Steady::now() + kTestTimeout)
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
  void OnPeerStatus(const PeerStatus& aStatus) override
  {
    mSenders.Add(aStatus.mSender.mInstance.Text());
  }
  EventCounter mSenders;
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
  EventCounter mEvents;
};

// TestPort is a WsPeerPort with its dependencies.
struct TestPort
{
  explicit TestPort(WsPeerOptions aOptions)
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

PeerStatus StatusFrom(const std::string& aSender)
{
  PeerStatus status;
  status.mSender = { InstanceId(aSender), Incarnation(1) };
  status.mDomain = DomainId("north");
  return status;
}

// BroadcastUntilReceived broadcasts from aFrom until one more status of aSender
// arrives at aTo. Returns false after kTestTimeout.
bool BroadcastUntilReceived(TestPort& aFrom,
                            TestPort& aTo,
                            const std::string& aSender)
{
  const int wanted = aTo.mListener.mSenders.Count(aSender) + 1;
  const auto deadline = Steady::now() + kTestTimeout;
  while (Steady::now() < deadline) {
    aFrom.mPort.Broadcast(StatusFrom(aSender));
    const auto next = Steady::now() + kBroadcastInterval;
    if (aTo.mListener.mSenders.WaitForCount(aSender, wanted, next)) {
      return true;
    }
  }
  return false;
}

// IsClosedAfter sends aBytes on a new connection and returns whether the other
// end closes it within kTestTimeout.
bool IsClosedAfter(uint16_t aPort, const std::string& aBytes)
{
  const int handle = socket(AF_INET, SOCK_STREAM, 0);
  const timeval deadline{ kTestTimeout.count(), 0 };
  setsockopt(handle, SOL_SOCKET, SO_RCVTIMEO, &deadline, sizeof(deadline));
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

struct InvalidInputCase
{
  const char* mName;
  std::string mBytes;
};

const std::vector<InvalidInputCase> kInvalidInputCases = {
  { "not HTTP", "\x16\x03\x01 hello\r\n\r\n" },
  { "plain request", "GET / HTTP/1.1\r\nHost: x\r\n\r\n" },
  { "endless header", "GET / HTTP/1.1\r\nX: " + std::string(65536, 'a') },
  { "not a digest", kHandshake + "\x82\x82" + kZeroMask + "xx" },
  { "text frame", kHandshake + "\x81\x82" + kZeroMask + "{}" },
  { "no mask", kHandshake + "\x82\x02xx" },
  { "too long",
    kHandshake + "\x82\xff" + std::string(2, '\0') + '\1' +
      std::string(5, '\0') + kZeroMask },
  { "reserved opcode", kHandshake + "\x83\x81" + kZeroMask + "x" },
  { "reserved bit", kHandshake + "\xc2\x81" + kZeroMask + "x" },
  { "continuation first", kHandshake + "\x80\x81" + kZeroMask + "x" },
  { "fragmented ping", kHandshake + "\x09\x81" + kZeroMask + "x" },
};

} // namespace

TEST_GROUP(WsPeerPort){};

TEST(WsPeerPort, DeliversStatusesInBothDirections)
{
  const uint16_t port = FreePort();
  TestPort left(Options(port, { port }));
  CHECK(left.mPort.Start().has_value());
  TestPort right(Options(0, { port }));
  CHECK(right.mPort.Start().has_value());
  CHECK(BroadcastUntilReceived(right, left, "right"));
  CHECK(right.mPort.BytesSent() >= left.mPort.BytesReceived());
  CHECK(left.mPort.BytesReceived() > 0);
  CHECK_EQUAL(port, left.mPort.ListenPort());

  TestPort third(Options(0, { port, right.mPort.ListenPort() }));
  CHECK(third.mPort.Start().has_value());
  CHECK(BroadcastUntilReceived(third, left, "third"));
  CHECK(BroadcastUntilReceived(third, right, "third"));
  CHECK_EQUAL(0, left.mLog.mEvents.Count("peer_connected"));
}

TEST(WsPeerPort, ReconnectsWhenPeerStartsLateOrRestarts)
{
  const uint16_t port = FreePort();
  TestPort sender(Options(0, { port }));
  CHECK(sender.mPort.Start().has_value());
  CHECK(sender.mLog.mEvents.WaitForCount("peer_lost", 2));
  for (int life = 0; life < 2; life++) {
    TestPort receiver(Options(port));
    CHECK(receiver.mPort.Start().has_value());
    CHECK(BroadcastUntilReceived(sender, receiver, "s"));
    receiver.mPort.Stop();
    receiver.mPort.Stop();
  }
}

TEST(WsPeerPort, StartReportsFailureKind)
{
  TestPort first(Options(0));
  CHECK(first.mPort.Start().has_value());
  CHECK(first.mPort.Start().error().mKind == FailureKind::kConflict);
  TestPort second(Options(first.mPort.ListenPort()));
  CHECK(second.mPort.Start().error().mKind == FailureKind::kConflict);
  WsPeerOptions named = Options(0);
  named.mListen.mAddress = "localhost";
  TestPort third(named);
  CHECK(third.mPort.Start().error().mKind == FailureKind::kInvalidInput);
  TestPort fourth(Options(0, { 0 }));
  CHECK(fourth.mPort.Start().error().mField == "peers");
  fourth.mPort.Broadcast(StatusFrom("never started"));
}

TEST(WsPeerPort, ClosesConnectionsWithInvalidInput)
{
  WsPeerOptions options = Options(0);
  options.mSilentAfter = 3 * kTestTimeout;
  options.mConnectTimeout = 3 * kTestTimeout;
  TestPort node(options);
  CHECK(node.mPort.Start().has_value());
  for (const InvalidInputCase& invalid : kInvalidInputCases) {
    CHECK_TEXT(IsClosedAfter(node.mPort.ListenPort(), invalid.mBytes),
               invalid.mName);
  }
  TestPort sender(Options(0, { node.mPort.ListenPort() }));
  CHECK(sender.mPort.Start().has_value());
  CHECK(BroadcastUntilReceived(sender, node, "s"));
}

TEST(WsPeerPort, ClosesConnectionsThatStaySilent)
{
  TestPort node(Options(0));
  CHECK(node.mPort.Start().has_value());
  CHECK(IsClosedAfter(node.mPort.ListenPort(), kHandshake));
  CHECK(IsClosedAfter(node.mPort.ListenPort(), ""));
}

TEST(WsPeerPort, RejectsConnectionsBeyondTheLimit)
{
  WsPeerOptions options = Options(0);
  options.mMaxInbound = 0;
  TestPort node(options);
  CHECK(node.mPort.Start().has_value());
  CHECK(IsClosedAfter(node.mPort.ListenPort(), ""));
  CHECK(node.mLog.mEvents.WaitForCount("peer_refused", 1));
}

TEST(WsPeerPort, ReplacesSilentConnection)
{
  TestPort receiver(Options(0));
  CHECK(receiver.mPort.Start().has_value());
  RelayFake relay(receiver.mPort.ListenPort());
  TestPort sender(Options(0, { relay.Port() }));
  CHECK(sender.mPort.Start().has_value());
  CHECK(BroadcastUntilReceived(sender, receiver, "s"));
  relay.FreezeOpenConnections();
  CHECK(sender.mLog.mEvents.WaitForCount("peer_connected", 2));
  CHECK(BroadcastUntilReceived(sender, receiver, "s"));
  CHECK(receiver.mLog.mEvents.WaitForCount("peer_inbound_lost", 1));
}

TEST(WsPeerPort, DropsStatusesWhilePeerDoesNotRead)
{
  TestPort receiver(Options(0));
  CHECK(receiver.mPort.Start().has_value());
  RelayFake relay(receiver.mPort.ListenPort());
  WsPeerOptions options = Options(0, { relay.Port() });
  options.mSilentAfter = 3 * kTestTimeout;
  TestPort sender(options);
  CHECK(sender.mPort.Start().has_value());
  CHECK(BroadcastUntilReceived(sender, receiver, "s"));
  relay.FreezeOpenConnections();
  PeerStatus large = StatusFrom("s");
  large.mBundle.mDocument.assign(kMaxDocumentBytes, 'd');
  const auto deadline = Steady::now() + kTestTimeout;
  while (sender.mPort.StatusesDropped() == 0 && Steady::now() < deadline) {
    sender.mPort.Broadcast(large);
    const auto next = Steady::now() + kBroadcastInterval;
    sender.mLog.mEvents.WaitForCount("peer_digest_dropped", 1, next);
  }
  CHECK(sender.mPort.StatusesDropped() > 0);
}

} // namespace mulberryvalve
