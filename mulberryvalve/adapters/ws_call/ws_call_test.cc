// Tests queries between instances over loopback connections.
#include "mulberryvalve/adapters/ws_call/peer_query_codec.h"
#include "mulberryvalve/adapters/ws_call/ws_peer_query_transport.h"
#include "tests/support/free_port.h"

#include <asio.hpp>
#include <atomic>
#include <future>
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

class NullEventLog : public EventLog
{
public:
  void Write(EventLevel,
             std::string_view,
             const std::vector<EventField>&) override
  {
  }
};

class CountingQueryHandler : public PeerQueryHandler
{
public:
  PeerQueryResult OnQuery(const PeerQuery& aQuery) override
  {
    PeerQueryResult answer;
    answer.mOwns = aQuery.mShard == 1;
    answer.mWaiting = ++mQueries;
    if (aQuery.mJob == JobId("known")) {
      answer.mPhase = JobPhase::kRunning;
    }
    return answer;
  }
  std::atomic<uint64_t> mQueries{ 0 };
};

// Answers one relayed entry, on a thread of its own, once the test lets it.
class DelayingIntakeHandler : public PeerIntakeHandler
{
public:
  ~DelayingIntakeHandler() override
  {
    for (std::thread& answer : mAnswers) {
      answer.join();
    }
  }
  void OnIntake(const PeerQuery& aQuery, Reply aReply) override
  {
    mReceived.set_value();
    mAnswers.emplace_back([this, aQuery, aReply] {
      mMayAnswer.get_future().wait();
      PeerQueryResult answer;
      answer.mOwns = true;
      answer.mIntake = IntakeResult{ IntakeOutcome::kDone, Milliseconds(4) };
      answer.mWaiting = aQuery.mRelayed.value().mEntry.mValue.value().size();
      aReply(answer);
    });
  }
  std::promise<void> mReceived;
  std::promise<void> mMayAnswer;

private:
  std::vector<std::thread> mAnswers;
};

PeerQuery QueryToAppend(std::string aValue)
{
  PeerQuery query;
  query.mKind = PeerQueryKind::kAppendIntake;
  query.mShard = 1;
  query.mRelayed =
    RelayedEntry{ { "key", std::move(aValue) }, Milliseconds(900) };
  return query;
}

PeerQuery QueryForJob(const char* aJob)
{
  PeerQuery query;
  query.mShard = 1;
  query.mJob = JobId(aJob);
  return query;
}

constexpr Milliseconds kLongTimeout{ 5000 };
constexpr Milliseconds kShortTimeout{ 2000 };

// ConnectionCountingLog counts the connections opened, by their log events.
class ConnectionCountingLog : public EventLog
{
public:
  void Write(EventLevel,
             std::string_view aName,
             const std::vector<EventField>&) override
  {
    mConnections += aName == "peer_reached" ? 1 : 0;
  }
  std::atomic<int> mConnections{ 0 };
};

// SlowPeer delays the result of the first query until the second arrives, never
// answers the second, and answers all later ones at once.
class SlowPeer
{
public:
  explicit SlowPeer(uint16_t aPort)
  {
    mServer.clear_access_channels(websocketpp::log::alevel::all);
    mServer.clear_error_channels(websocketpp::log::elevel::all);
    mServer.init_asio();
    mServer.set_message_handler(
      [this](const Handle& aHandle, const Server::message_ptr& aMessage) {
        OnQueryReceived(aHandle,
                        DecodeQuery(aMessage->get_payload()).value().mCallId);
      });
    mServer.listen(
      asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), aPort));
    mServer.start_accept();
    mThread = std::thread([this] { mServer.run(); });
  }

  ~SlowPeer()
  {
    mServer.stop();
    mThread.join();
  }
  SlowPeer(const SlowPeer&) = delete;
  SlowPeer& operator=(const SlowPeer&) = delete;

private:
  using Server = websocketpp::server<websocketpp::config::asio>;
  using Handle = websocketpp::connection_hdl;

  void OnQueryReceived(const Handle& aHandle, uint64_t aCallId)
  {
    mCallIds.push_back(aCallId);
    if (mCallIds.size() == 2) {
      SendResult(aHandle, mCallIds.front());
    } else if (mCallIds.size() > 2) {
      SendResult(aHandle, aCallId);
    }
  }

  void SendResult(const Handle& aHandle, uint64_t aCallId)
  {
    const ResultFrame answer{ aCallId, { true, JobPhase::kRunning, 0 } };
    mServer.send(
      aHandle, EncodeResult(answer), websocketpp::frame::opcode::binary);
  }

  Server mServer;
  std::vector<uint64_t> mCallIds;
  std::thread mThread;
};

} // namespace

TEST_GROUP(WsCallTest){};

TEST(WsCallTest, FramesRoundTrip)
{
  QueryFrame frame{ 9, QueryForJob("job") };
  frame.mQuery.mEpoch = Epoch(64);
  frame.mQuery.mProcess = Incarnation(1764979200123);
  const auto query = DecodeQuery(EncodeQuery(frame));
  CHECK_EQUAL(9U, query.value().mCallId);
  CHECK(query.value().mQuery.mJob == JobId("job"));
  CHECK(frame.mQuery.mEpoch == query.value().mQuery.mEpoch);
  CHECK(frame.mQuery.mProcess == query.value().mQuery.mProcess);
  ResultFrame answer{ 9, { true, JobPhase::kCompleted, 4 } };
  const auto decoded = DecodeResult(EncodeResult(answer));
  CHECK(decoded.value().mResult.mPhase == JobPhase::kCompleted);
  CHECK_FALSE(decoded.value().mResult.mEndedFor.has_value());
  answer.mResult.mEndedFor = Milliseconds(700);
  CHECK(DecodeResult(EncodeResult(answer)).value().mResult.mEndedFor ==
        Milliseconds(700));
  CHECK_FALSE(decoded.value().mResult.mOwner.has_value());
  answer.mResult.mOwner = OwnerAge{ Epoch(640), Milliseconds(123456789) };
  const auto observed = DecodeResult(EncodeResult(answer));
  CHECK(Epoch(640) == observed.value().mResult.mOwner.value().mEpoch);
  CHECK(Milliseconds(123456789) ==
        observed.value().mResult.mOwner.value().mActiveFor);
  for (const Milliseconds impossible :
       { Milliseconds(-1), Milliseconds::max() }) {
    ResultFrame malformed = answer;
    malformed.mResult.mOwner->mActiveFor = impossible;
    CHECK_FALSE(DecodeResult(EncodeResult(malformed)).has_value());
  }
  answer.mResult.mPhase.reset();
  CHECK_FALSE(
    DecodeResult(EncodeResult(answer)).value().mResult.mPhase.has_value());
  CHECK_FALSE(DecodeQuery("").has_value());
  CHECK_FALSE(DecodeResult("\x01").has_value());
}

TEST(WsCallTest, WhatAFormerOwnerTellsRoundTrips)
{
  QueryFrame question{ 9, QueryForJob("job") };
  CHECK(DecodeQuery(EncodeQuery(question)).value().mQuery.mWorkers.empty());
  question.mQuery.mWorkers = { WorkerId("w1"), WorkerId("w2") };
  CHECK(question.mQuery.mWorkers ==
        DecodeQuery(EncodeQuery(question)).value().mQuery.mWorkers);
  ResultFrame answer;
  CHECK_FALSE(
    DecodeResult(EncodeResult(answer)).value().mResult.mTold.has_value());
  answer.mResult.mTold =
    ToldUse{ { ToldWorker{ WorkerId("w1") },
               ToldWorker{ WorkerId("w2"), Milliseconds(1234) } } };
  const auto unnamed = DecodeResult(EncodeResult(answer)).value().mResult;
  CHECK_EQUAL(2U, unnamed.mTold.value().mWorkers.size());
  CHECK_FALSE(unnamed.mTold.value().mWorkers[0].mLeasesLeft.has_value());
  CHECK(Milliseconds(1234) ==
        unnamed.mTold.value().mWorkers[1].mLeasesLeft.value());
  CHECK(WorkerId("w2") == unnamed.mTold.value().mWorkers[1].mWorker);
  CHECK_FALSE(unnamed.mTold.value().mUnrecorded.has_value());
  const TaskRef task{ StepRef{ JobId("job"), 3, 2 }, 4294967295U };
  answer.mResult.mTold->mUnrecorded = { { task, WorkerId("w2") } };
  const auto named = DecodeResult(EncodeResult(answer)).value().mResult;
  CHECK_EQUAL(1U, named.mTold.value().mUnrecorded.value().size());
  CHECK(task == named.mTold.value().mUnrecorded.value()[0].mTask);
  CHECK(WorkerId("w2") == named.mTold.value().mUnrecorded.value()[0].mWorker);
  answer.mResult.mTold->mWorkers[1].mLeasesLeft = Milliseconds::max();
  CHECK_FALSE(DecodeResult(EncodeResult(answer)).has_value());
}

// Guards against an answer that is too large to be read, and against one that
// names some of the starts only (TWICE).
TEST(WsCallTest, StartsThatHaveNoRoomAreNotTold)
{
  const std::string longName(60, 'n');
  ResultFrame answer;
  answer.mResult.mEndedFor = Milliseconds(1);
  answer.mResult.mTold = ToldUse{ { ToldWorker{ WorkerId("w1") } } };
  std::vector<UnrecordedStart>& starts =
    answer.mResult.mTold->mUnrecorded.emplace();
  const TaskRef task{ StepRef{ JobId("job"), 0, 0 }, 0 };
  starts.assign(kMaxToldStarts, { task, WorkerId("w1") });
  const auto all = DecodeResult(EncodeResult(answer)).value().mResult;
  CHECK_EQUAL(kMaxToldStarts, all.mTold.value().mUnrecorded.value().size());
  starts.assign(kMaxToldStarts, { task, WorkerId(longName) });
  CHECK(EncodeResult(answer).size() <= kMaxResultBytes);
  const auto some = DecodeResult(EncodeResult(answer)).value().mResult;
  CHECK_EQUAL(1U, some.mTold.value().mWorkers.size());
  CHECK_FALSE(some.mTold.value().mUnrecorded.has_value());
  QueryFrame question{ 9, QueryForJob("job") };
  for (size_t number = 0; number <= kMaxToldWorkers; number++) {
    question.mQuery.mWorkers.emplace_back(longName + std::to_string(number));
  }
  CHECK(EncodeQuery(question).size() <= kMaxCallBytes);
  const auto asked = DecodeQuery(EncodeQuery(question)).value().mQuery.mWorkers;
  CHECK(!asked.empty() && asked.size() < question.mQuery.mWorkers.size());
}

TEST(WsCallTest, RelayedEntriesRoundTrip)
{
  const QueryFrame frame{ 9, QueryToAppend("value") };
  const auto query = DecodeQuery(EncodeQuery(frame)).value().mQuery;
  CHECK(PeerQueryKind::kAppendIntake == query.mKind);
  CHECK_EQUAL(std::string("key"), query.mRelayed.value().mEntry.mKey);
  CHECK_EQUAL(std::string("value"),
              query.mRelayed.value().mEntry.mValue.value());
  CHECK(Milliseconds(900) == query.mRelayed.value().mTimeLeft);
  QueryFrame tombstone = frame;
  tombstone.mQuery.mRelayed->mEntry.mValue.reset();
  CHECK_FALSE(DecodeQuery(EncodeQuery(tombstone))
                .value()
                .mQuery.mRelayed.value()
                .mEntry.mValue.has_value());
  for (const auto& row : kIntakeOutcomeNames.mRows) {
    ResultFrame answer{ 9, PeerQueryResult() };
    answer.mResult.mIntake =
      IntakeResult{ row.mValue, Milliseconds(200), Milliseconds(1500) };
    const auto decoded = DecodeResult(EncodeResult(answer)).value().mResult;
    CHECK(row.mValue == decoded.mIntake.value().mOutcome);
    CHECK(Milliseconds(200) == decoded.mIntake.value().mAppendTime);
    CHECK(Milliseconds(1500) == decoded.mIntake.value().mRetryIn);
  }
}

// Guards against an owner that appends what it cannot check, and against large
// frames of the kinds that need none.
TEST(WsCallTest, MalformedRelayedEntriesAreRejected)
{
  const size_t most = kMaxRelayedBytes - std::string("key").size() - 1;
  const QueryFrame largest{ 9, QueryToAppend(std::string(most, 'v')) };
  CHECK(DecodeQuery(EncodeQuery(largest)).has_value());
  const QueryFrame tooLarge{ 9, QueryToAppend(std::string(most + 1, 'v')) };
  CHECK_FALSE(DecodeQuery(EncodeQuery(tooLarge)).has_value());
  QueryFrame wrong{ 9, QueryToAppend("value") };
  wrong.mQuery.mRelayed->mTimeLeft = Milliseconds(-1);
  CHECK_FALSE(DecodeQuery(EncodeQuery(wrong)).has_value());
  wrong = { 9, QueryToAppend("value") };
  wrong.mQuery.mRelayed->mEntry.mKey.assign(256, 'k');
  CHECK_FALSE(DecodeQuery(EncodeQuery(wrong)).has_value());
  wrong.mQuery.mRelayed.reset();
  CHECK_FALSE(DecodeQuery(EncodeQuery(wrong)).has_value());
  QueryFrame otherKind{ 9, QueryToAppend(std::string(kMaxCallBytes, 'v')) };
  otherKind.mQuery.mKind = PeerQueryKind::kWaitingJobs;
  CHECK_FALSE(DecodeQuery(EncodeQuery(otherKind)).has_value());
  ResultFrame answer;
  answer.mResult.mIntake = IntakeResult();
  answer.mResult.mIntake->mAppendTime = Milliseconds::max();
  CHECK_FALSE(DecodeResult(EncodeResult(answer)).has_value());
  const std::string frame = EncodeQuery(largest);
  for (const size_t length : { frame.size() - 1, frame.size() / 2 }) {
    CHECK_FALSE(DecodeQuery(frame.substr(0, length)).has_value());
  }
}

// Guards against an append that holds up the thread of the links: other queries
// are answered while it lasts. An instance without relaying refuses.
TEST(WsCallTest, ARelayedEntryDelaysNoOtherQuery)
{
  NullEventLog log;
  CountingQueryHandler handler;
  DelayingIntakeHandler intake;
  const Endpoint first{ "127.0.0.1", FreePort() };
  const Endpoint second{ "127.0.0.1", FreePort() };
  WsPeerQueryTransport one(first, log);
  WsPeerQueryTransport two(second, log);
  CHECK(one.Start(handler).has_value());
  CHECK(two.Start(handler, intake).has_value());
  const std::string value(30000, 'v');
  std::promise<Result<PeerQueryResult>> appended;
  std::thread caller([&] {
    appended.set_value(one.Ask(second, QueryToAppend(value), kLongTimeout));
  });
  intake.mReceived.get_future().wait();
  CHECK(one.Ask(second, QueryForJob("known"), kLongTimeout).has_value());
  intake.mMayAnswer.set_value();
  const Result<PeerQueryResult> answer = appended.get_future().get();
  caller.join();
  CHECK(IntakeOutcome::kDone == answer.value().mIntake.value().mOutcome);
  CHECK_EQUAL(value.size(), answer.value().mWaiting);
  const auto refused = two.Ask(first, QueryToAppend("v"), kLongTimeout);
  CHECK(IntakeOutcome::kRefused == refused.value().mIntake.value().mOutcome);
}

TEST(WsCallTest, PeerAnswersQuery)
{
  NullEventLog log;
  CountingQueryHandler handler;
  const Endpoint first{ "127.0.0.1", FreePort() };
  const Endpoint second{ "127.0.0.1", FreePort() };
  WsPeerQueryTransport one(first, log);
  WsPeerQueryTransport two(second, log);
  CHECK(one.Start(handler).has_value());
  CHECK(two.Start(handler).has_value());
  const auto known = one.Ask(second, QueryForJob("known"), kLongTimeout);
  CHECK(known.has_value());
  CHECK(known.value().mOwns);
  CHECK(known.value().mPhase == JobPhase::kRunning);
  const auto unknown = one.Ask(second, QueryForJob("other"), kLongTimeout);
  CHECK_FALSE(unknown.value().mPhase.has_value());
  CHECK_EQUAL(2U, handler.mQueries.load());
  two.Stop();
  CHECK_FALSE(one.Ask(second, QueryForJob("known"), kLongTimeout).has_value());
}

// A query to a peer that accepts connections but never answers must fail after
// its timeout.
TEST(WsCallTest, SilentPeerTimesOut)
{
  NullEventLog log;
  CountingQueryHandler handler;
  WsPeerQueryTransport link(Endpoint{ "127.0.0.1", FreePort() }, log);
  CHECK(link.Start(handler).has_value());
  const int silent = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof address;
  CHECK_EQUAL(0, ::bind(silent, reinterpret_cast<sockaddr*>(&address), size));
  ::listen(silent, 4);
  ::getsockname(silent, reinterpret_cast<sockaddr*>(&address), &size);
  const Endpoint peer{ "127.0.0.1", ntohs(address.sin_port) };
  const auto answer = link.Ask(peer, QueryForJob("known"), Milliseconds(50));
  CHECK_FALSE(answer.has_value());
  CHECK(FailureKind::kPeerUnreachable == answer.error().mKind);
  ::close(silent);
}

// A process that has ended is told from one that can't be reached: the machine
// of the former answers that nobody listens there.
TEST(WsCallTest, APeerThatDoesNotListenIsTold)
{
  NullEventLog log;
  CountingQueryHandler handler;
  WsPeerQueryTransport link(Endpoint{ "127.0.0.1", FreePort() }, log);
  CHECK(link.Start(handler).has_value());
  const Endpoint nobody{ "127.0.0.1", FreePort() };
  const auto answer = link.Ask(nobody, QueryForJob("known"), kLongTimeout);
  CHECK_FALSE(answer.has_value());
  CHECK(FailureKind::kPeerNotListening == answer.error().mKind);
}

// A query that was never sent is told from one that may have had an effect: the
// peer accepts the connection and ends it before the links are set up.
TEST(WsCallTest, AQueryThatWasNotSentIsTold)
{
  NullEventLog log;
  CountingQueryHandler handler;
  WsPeerQueryTransport link(Endpoint{ "127.0.0.1", FreePort() }, log);
  CHECK(link.Start(handler).has_value());
  asio::io_context io;
  asio::ip::tcp::acceptor acceptor(
    io, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  std::thread peer([&] { acceptor.accept().close(); });
  const auto answer =
    link.Ask(Endpoint{ "127.0.0.1", acceptor.local_endpoint().port() },
             QueryToAppend("value"),
             kLongTimeout);
  peer.join();
  CHECK(FailureKind::kNotReady == answer.error().mKind);
}

// Guards against reconnect storms: one query that times out at a busy shard
// owner must not make other instances reconnect to it.
TEST(WsCallTest, SlowPeerKeepsItsConnection)
{
  ConnectionCountingLog log;
  CountingQueryHandler handler;
  const uint16_t port = FreePort();
  SlowPeer slowPeer(port);
  const Endpoint peer{ "127.0.0.1", port };
  WsPeerQueryTransport link(Endpoint{ "127.0.0.1", FreePort() }, log);
  CHECK(link.Start(handler).has_value());
  std::atomic<int> answered{ 0 };
  const auto ask = [&] {
    answered +=
      link.Ask(peer, QueryForJob("job"), kShortTimeout).has_value() ? 1 : 0;
  };
  std::thread first(ask);
  std::thread second(ask);
  first.join();
  second.join();
  CHECK_EQUAL(1, answered.load());
  CHECK(link.Ask(peer, QueryForJob("next"), kLongTimeout).has_value());
  CHECK_EQUAL(1, log.mConnections.load());
}

} // namespace mulberryvalve
