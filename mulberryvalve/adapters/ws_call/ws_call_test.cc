// Calls between instances over loopback.
#include "mulberryvalve/adapters/ws_call/call_codec.h"
#include "mulberryvalve/adapters/ws_call/ws_call_link.h"
#include "tests/support/free_port.h"

#include <asio.hpp>
#include <atomic>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/server.hpp>

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

class Quiet : public EventLog
{
public:
  void Write(EventLevel,
             std::string_view,
             const std::vector<EventField>&) override
  {
  }
};

class Answers : public PeerQueryHandler
{
public:
  PeerQueryResult OnQuery(const PeerQuery& aQuestion) override
  {
    PeerQueryResult answer;
    answer.mOwns = aQuestion.mShard == 1;
    answer.mWaiting = ++mAsked;
    if (aQuestion.mJob == JobId("known")) {
      answer.mPhase = JobPhase::kRunning;
    }
    return answer;
  }
  std::atomic<uint64_t> mAsked{ 0 };
};

PeerQuery About(const char* aJob)
{
  PeerQuery question;
  question.mShard = 1;
  question.mJob = JobId(aJob);
  return question;
}

constexpr Milliseconds kPatient{ 5000 };
constexpr Milliseconds kShort{ 2000 };

// Counting counts how often a connection was opened.
class Counting : public EventLog
{
public:
  void Write(EventLevel,
             std::string_view aName,
             const std::vector<EventField>&) override
  {
    mReached += aName == "peer_reached" ? 1 : 0;
  }
  std::atomic<int> mReached{ 0 };
};

// BusyPeer leaves its first question without an answer until the second has
// come, and never answers the second. What comes later it answers at once.
class BusyPeer
{
public:
  explicit BusyPeer(uint16_t aPort)
  {
    mServer.clear_access_channels(websocketpp::log::alevel::all);
    mServer.clear_error_channels(websocketpp::log::elevel::all);
    mServer.init_asio();
    mServer.set_message_handler(
      [this](const Handle& aHandle, const Server::message_ptr& aMessage) {
        Take(aHandle, DecodeQuestion(aMessage->get_payload()).value().mCall);
      });
    mServer.listen(
      asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), aPort));
    mServer.start_accept();
    mThread = std::thread([this] { mServer.run(); });
  }

  ~BusyPeer()
  {
    mServer.stop();
    mThread.join();
  }
  BusyPeer(const BusyPeer&) = delete;
  BusyPeer& operator=(const BusyPeer&) = delete;

private:
  using Server = websocketpp::server<websocketpp::config::asio>;
  using Handle = websocketpp::connection_hdl;

  void Take(const Handle& aHandle, uint64_t aCall)
  {
    mCalls.push_back(aCall);
    if (mCalls.size() == 2) {
      Answer(aHandle, mCalls.front());
    } else if (mCalls.size() > 2) {
      Answer(aHandle, aCall);
    }
  }

  void Answer(const Handle& aHandle, uint64_t aCall)
  {
    const AnswerFrame answer{ aCall, { true, JobPhase::kRunning, 0 } };
    mServer.send(
      aHandle, EncodeAnswer(answer), websocketpp::frame::opcode::binary);
  }

  Server mServer;
  std::vector<uint64_t> mCalls;
  std::thread mThread;
};

} // namespace

TEST_GROUP(WsCallTest){};

TEST(WsCallTest, FramesDecodeToTheSame)
{
  const QuestionFrame frame{ 9, About("job") };
  const auto question = DecodeQuestion(EncodeQuestion(frame));
  CHECK_EQUAL(9U, question.value().mCall);
  CHECK(question.value().mQuestion.mJob == JobId("job"));
  AnswerFrame answer{ 9, { true, JobPhase::kCompleted, 4 } };
  const auto decoded = DecodeAnswer(EncodeAnswer(answer));
  CHECK(decoded.value().mAnswer.mPhase == JobPhase::kCompleted);
  answer.mAnswer.mPhase.reset();
  CHECK_FALSE(
    DecodeAnswer(EncodeAnswer(answer)).value().mAnswer.mPhase.has_value());
  CHECK_FALSE(DecodeQuestion("").has_value());
  CHECK_FALSE(DecodeAnswer("\x01").has_value());
}

TEST(WsCallTest, AsksAndIsAnswered)
{
  Quiet log;
  Answers answers;
  const Endpoint first{ "127.0.0.1", FreePort() };
  const Endpoint second{ "127.0.0.1", FreePort() };
  WsCallLink one(first, log);
  WsCallLink two(second, log);
  CHECK(one.Start(answers).has_value());
  CHECK(two.Start(answers).has_value());
  const auto known = one.Ask(second, About("known"), kPatient);
  CHECK(known.has_value());
  CHECK(known.value().mOwns);
  CHECK(known.value().mPhase == JobPhase::kRunning);
  const auto unknown = one.Ask(second, About("other"), kPatient);
  CHECK_FALSE(unknown.value().mPhase.has_value());
  CHECK_EQUAL(2U, answers.mAsked.load());
  two.Stop();
  CHECK_FALSE(one.Ask(second, About("known"), kPatient).has_value());
}

// A peer that takes connections and never answers costs the time given, and
// the connection is not used again.
TEST(WsCallTest, SilentPeerIsGivenUp)
{
  Quiet log;
  Answers answers;
  WsCallLink link(Endpoint{ "127.0.0.1", FreePort() }, log);
  CHECK(link.Start(answers).has_value());
  const int silent = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof address;
  CHECK_EQUAL(0, ::bind(silent, reinterpret_cast<sockaddr*>(&address), size));
  ::listen(silent, 4);
  ::getsockname(silent, reinterpret_cast<sockaddr*>(&address), &size);
  const Endpoint peer{ "127.0.0.1", ntohs(address.sin_port) };
  const auto answer = link.Ask(peer, About("known"), Milliseconds(50));
  CHECK_FALSE(answer.has_value());
  CHECK(FailureKind::kPeerUnreachable == answer.error().mKind);
  ::close(silent);
}

// Guards against instances that all open new connections to a busy owner
// because one question took too long there.
TEST(WsCallTest, BusyPeerKeepsItsConnection)
{
  Counting log;
  Answers answers;
  const uint16_t port = FreePort();
  BusyPeer busy(port);
  const Endpoint peer{ "127.0.0.1", port };
  WsCallLink link(Endpoint{ "127.0.0.1", FreePort() }, log);
  CHECK(link.Start(answers).has_value());
  std::atomic<int> answered{ 0 };
  const auto ask = [&] {
    answered += link.Ask(peer, About("job"), kShort).has_value() ? 1 : 0;
  };
  std::thread first(ask);
  std::thread second(ask);
  first.join();
  second.join();
  CHECK_EQUAL(1, answered.load());
  CHECK(link.Ask(peer, About("next"), kPatient).has_value());
  CHECK_EQUAL(1, log.mReached.load());
}

} // namespace mulberryvalve
