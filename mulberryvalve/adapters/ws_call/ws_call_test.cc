// Calls between instances over loopback.
#include "mulberryvalve/adapters/ws_call/call_codec.h"
#include "mulberryvalve/adapters/ws_call/ws_call_link.h"
#include "tests/support/free_port.h"

#include <atomic>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

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

class Answers : public PeerAnswerer
{
public:
  PeerAnswer OnQuestion(const PeerQuestion& aQuestion) override
  {
    PeerAnswer answer;
    answer.mOwns = aQuestion.mShard == 1;
    answer.mWaiting = ++mAsked;
    if (aQuestion.mJob == JobId("known")) {
      answer.mPhase = JobPhase::kRunning;
    }
    return answer;
  }
  std::atomic<uint64_t> mAsked{ 0 };
};

PeerQuestion About(const char* aJob)
{
  PeerQuestion question;
  question.mShard = 1;
  question.mJob = JobId(aJob);
  return question;
}

constexpr Milliseconds kPatient{ 5000 };

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
  ::bind(silent, reinterpret_cast<sockaddr*>(&address), size);
  ::listen(silent, 4);
  ::getsockname(silent, reinterpret_cast<sockaddr*>(&address), &size);
  const Endpoint peer{ "127.0.0.1", ntohs(address.sin_port) };
  const auto answer = link.Ask(peer, About("known"), Milliseconds(50));
  CHECK_FALSE(answer.has_value());
  CHECK(FailureKind::kPeerUnreachable == answer.error().mKind);
  ::close(silent);
}

} // namespace mulberryvalve
