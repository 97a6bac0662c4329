#include "mulberryvalve/adapters/ws_call/ws_call_link.h"

#include "mulberryvalve/adapters/ws_call/call_codec.h"
#include "mulberryvalve/core/base/mutex.h"

#include <asio.hpp>
#include <atomic>
#include <future>
#include <map>
#include <string>
#include <thread>
#include <utility>
#include <vector>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

namespace mulberryvalve {
namespace {

using Server = websocketpp::server<websocketpp::config::asio>;
using Client = websocketpp::client<websocketpp::config::asio_client>;
using Handle = websocketpp::connection_hdl;
namespace opcode = websocketpp::frame::opcode;

constexpr long kOpenTimeoutMs = 500;
constexpr long kCloseTimeoutMs = 500;
constexpr int kBacklog = 256;

using Answered = std::promise<Result<PeerQueryResult>>;

// Call is a question under way.
struct Call
{
  std::shared_ptr<Answered> mAnswered;
  // How many answers had come on the connection when the question was asked.
  uint64_t mHeardBefore = 0;
};

// Link is the connection to one peer, and the calls that wait on it.
struct Link
{
  Client::connection_ptr mConnection;
  bool mOpen = false;
  std::vector<std::string> mUnsent;
  std::map<uint64_t, Call> mCalls;
  uint64_t mHeard = 0;
};

std::string KeyOf(const Endpoint& aPeer)
{
  return aPeer.mAddress + ":" + std::to_string(aPeer.mPort);
}

template<typename AnyEndpoint>
void Prepare(AnyEndpoint& aEndpoint, asio::io_context& aIo)
{
  aEndpoint.clear_access_channels(websocketpp::log::alevel::all);
  aEndpoint.clear_error_channels(websocketpp::log::elevel::all);
  aEndpoint.init_asio(&aIo);
  aEndpoint.set_max_message_size(kMaxCallBytes);
  aEndpoint.set_open_handshake_timeout(kOpenTimeoutMs);
  aEndpoint.set_close_handshake_timeout(kCloseTimeoutMs);
}

} // namespace

// All members below mIo are touched by the thread of mIo only.
class WsCallLink::Impl
{
public:
  Impl(Endpoint aListen, EventLog& aLog)
    : mListen(std::move(aListen))
    , mLog(aLog)
    , mWork(asio::make_work_guard(mIo))
  {
    Prepare(mServer, mIo);
    Prepare(mClient, mIo);
    mServer.set_reuse_addr(true);
    mServer.set_listen_backlog(kBacklog);
    mServer.set_open_handler([this](const Handle& aHandle) {
      mInbound[aHandle.lock().get()] = aHandle;
    });
    const auto forget = [this](const Handle& aHandle) {
      mInbound.erase(aHandle.lock().get());
    };
    mServer.set_close_handler(forget);
    mServer.set_message_handler(
      [this](const Handle& aHandle, const Server::message_ptr& aMessage) {
        Answer(aHandle, aMessage->get_payload());
      });
  }

  ~Impl() { Stop(); }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  Result<void> Start(PeerQueryHandler& aAnswerer)
  {
    mAnswerer = &aAnswerer;
    std::error_code error;
    const auto address = asio::ip::make_address(mListen.mAddress, error);
    if (!error) {
      mServer.listen(asio::ip::tcp::endpoint(address, mListen.mPort), error);
    }
    if (!error) {
      mServer.start_accept(error);
    }
    if (error) {
      return Fail(FailureKind::kInvalidInput, "peer-listen", error.message());
    }
    mThread = std::thread([this] { mIo.run(); });
    return Done();
  }

  void Stop()
  {
    if (!mThread.joinable()) {
      return;
    }
    asio::post(mIo, [this] { CloseAll(); });
    mWork.reset();
    mThread.join();
  }

  Result<PeerQueryResult> Ask(const Endpoint& aPeer,
                              const PeerQuery& aQuestion,
                              Milliseconds aTimeout)
  {
    const uint64_t number = ++mLastCall;
    auto answered = std::make_shared<Answered>();
    std::future<Result<PeerQueryResult>> future = answered->get_future();
    const std::string frame =
      EncodeQuestion(QuestionFrame{ number, aQuestion });
    asio::post(mIo, [this, aPeer, number, answered, frame] {
      Begin(aPeer, number, answered, frame);
    });
    if (future.wait_for(aTimeout) == std::future_status::ready) {
      return future.get();
    }
    asio::post(mIo, [this, aPeer, number] { GiveUp(aPeer, number); });
    return Fail(FailureKind::kPeerUnreachable, "peer", KeyOf(aPeer));
  }

private:
  void Begin(const Endpoint& aPeer,
             uint64_t aNumber,
             std::shared_ptr<Answered> aAnswered,
             const std::string& aFrame)
  {
    if (mStopping) {
      aAnswered->set_value(Fail(FailureKind::kShuttingDown, "peer"));
      return;
    }
    const std::string key = KeyOf(aPeer);
    Link& link = mLinks[key];
    link.mCalls.emplace(aNumber, Call{ std::move(aAnswered), link.mHeard });
    if (link.mConnection == nullptr) {
      Connect(key, link);
    }
    if (!link.mOpen) {
      link.mUnsent.push_back(aFrame);
      return;
    }
    Send(link, aFrame);
  }

  void Connect(const std::string& aKey, Link& aLink)
  {
    std::error_code error;
    const Client::connection_ptr connection =
      mClient.get_connection("ws://" + aKey + "/", error);
    if (error) {
      Drop(aKey, nullptr, error.message());
      return;
    }
    aLink.mConnection = connection;
    const auto* raw = connection.get();
    connection->set_open_handler(
      [this, aKey, raw](const Handle&) { OnOpen(aKey, raw); });
    const auto lost = [this, aKey, raw](const Handle&) {
      Drop(aKey, raw, raw->get_ec().message());
    };
    connection->set_fail_handler(lost);
    connection->set_close_handler(lost);
    connection->set_message_handler(
      [this, aKey](const Handle&, const Client::message_ptr& aMessage) {
        OnAnswer(aKey, aMessage->get_payload());
      });
    mClient.connect(connection);
  }

  void OnOpen(const std::string& aKey, const void* aRaw)
  {
    const auto found = mLinks.find(aKey);
    if (found == mLinks.end() || found->second.mConnection.get() != aRaw) {
      return;
    }
    Link& link = found->second;
    link.mOpen = true;
    mLog.Write(EventLevel::kInfo, "peer_reached", { { "peer", aKey } });
    std::error_code ignored;
    link.mConnection->get_raw_socket().set_option(asio::ip::tcp::no_delay(true),
                                                  ignored);
    for (const std::string& frame : std::exchange(link.mUnsent, {})) {
      Send(link, frame);
    }
  }

  static void Send(Link& aLink, const std::string& aFrame)
  {
    // A failure shows as the connection's end.
    (void)aLink.mConnection->send(aFrame, opcode::binary);
  }

  void OnAnswer(const std::string& aKey, const std::string& aBytes)
  {
    const Result<AnswerFrame> frame = DecodeAnswer(aBytes);
    if (!frame) {
      mLog.Write(EventLevel::kWarn,
                 "peer_answer_malformed",
                 { { "peer", aKey }, { "detail", frame.error().mDetail } });
      return;
    }
    const auto link = mLinks.find(aKey);
    if (link == mLinks.end()) {
      return;
    }
    link->second.mHeard++;
    const auto call = link->second.mCalls.find(frame.value().mCall);
    if (call != link->second.mCalls.end()) {
      call->second.mAnswered->set_value(frame.value().mAnswer);
      link->second.mCalls.erase(call);
    }
  }

  // A call that was not answered in time is over, and so is a connection on
  // which nothing was heard since it was asked.
  void GiveUp(const Endpoint& aPeer, uint64_t aNumber)
  {
    const std::string key = KeyOf(aPeer);
    const auto found = mLinks.find(key);
    if (found == mLinks.end()) {
      return;
    }
    Link& link = found->second;
    const auto call = link.mCalls.find(aNumber);
    if (call == link.mCalls.end()) {
      return;
    }
    if (call->second.mHeardBefore == link.mHeard) {
      Drop(key, link.mConnection.get(), "no answer in time");
      return;
    }
    link.mCalls.erase(call);
  }

  void Drop(const std::string& aKey, const void* aRaw, const std::string& aWhy)
  {
    const auto found = mLinks.find(aKey);
    if (found == mLinks.end() || found->second.mConnection.get() != aRaw) {
      return;
    }
    // The row lives to the end, since aKey may be its key.
    const auto row = mLinks.extract(found);
    const Link& link = row.mapped();
    mLog.Write(
      EventLevel::kInfo, "peer_lost", { { "peer", aKey }, { "why", aWhy } });
    for (const auto& [number, call] : link.mCalls) {
      call.mAnswered->set_value(
        Fail(FailureKind::kPeerUnreachable, "peer", aWhy));
    }
    if (link.mConnection != nullptr) {
      std::error_code ignored;
      link.mConnection->get_raw_socket().close(ignored);
    }
  }

  void Answer(const Handle& aHandle, const std::string& aBytes)
  {
    std::error_code error;
    const Result<QuestionFrame> frame = DecodeQuestion(aBytes);
    if (!frame) {
      mLog.Write(EventLevel::kWarn,
                 "peer_question_malformed",
                 { { "detail", frame.error().mDetail } });
      mServer.close(
        aHandle, websocketpp::close::status::invalid_payload, "", error);
      return;
    }
    AnswerFrame answer;
    answer.mCall = frame.value().mCall;
    answer.mAnswer = mAnswerer->OnQuery(frame.value().mQuestion);
    mServer.send(aHandle, EncodeAnswer(answer), opcode::binary, error);
  }

  void CloseAll()
  {
    mStopping = true;
    std::error_code ignored;
    mServer.stop_listening(ignored);
    for (const auto& [raw, handle] : mInbound) {
      const Server::connection_ptr inbound =
        mServer.get_con_from_hdl(handle, ignored);
      if (inbound != nullptr) {
        inbound->get_raw_socket().close(ignored);
      }
    }
    while (!mLinks.empty()) {
      const auto first = mLinks.begin();
      Drop(first->first, first->second.mConnection.get(), "stopping");
    }
    mIo.stop();
  }

  const Endpoint mListen;
  EventLog& mLog;
  std::atomic<uint64_t> mLastCall{ 0 };
  std::thread mThread;
  asio::io_context mIo;
  asio::executor_work_guard<asio::io_context::executor_type> mWork;
  PeerQueryHandler* mAnswerer = nullptr;
  Server mServer;
  Client mClient;
  std::map<const void*, Handle> mInbound;
  std::map<std::string, Link> mLinks;
  bool mStopping = false;
};

WsCallLink::WsCallLink(Endpoint aListen, EventLog& aLog)
  : mImpl(std::make_unique<Impl>(std::move(aListen), aLog))
{
}

WsCallLink::~WsCallLink() = default;

Result<void> WsCallLink::Start(PeerQueryHandler& aAnswerer)
{
  return mImpl->Start(aAnswerer);
}

void WsCallLink::Stop()
{
  mImpl->Stop();
}

Result<PeerQueryResult> WsCallLink::Ask(const Endpoint& aPeer,
                                        const PeerQuery& aQuestion,
                                        Milliseconds aTimeout)
{
  return mImpl->Ask(aPeer, aQuestion, aTimeout);
}

} // namespace mulberryvalve
