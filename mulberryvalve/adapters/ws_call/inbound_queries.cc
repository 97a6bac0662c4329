#include "mulberryvalve/adapters/ws_call/inbound_queries.h"

#include "mulberryvalve/adapters/ws_call/peer_query_codec.h"

#include <asio/io_context.hpp>
#include <asio/post.hpp>

namespace mulberryvalve {

InboundQueries::InboundQueries(asio::io_context& aIo, EventLog& aLog)
  : mIo(aIo)
  , mLog(aLog)
  , mServer(aIo, kMaxIntakeCallBytes, *this)
{
}

Result<void> InboundQueries::Listen(const Endpoint& aListen,
                                    PeerQueryHandler& aHandler,
                                    PeerIntakeHandler* aIntake)
{
  mHandler = &aHandler;
  mIntakeHandler = aIntake;
  return mServer.Listen(aListen);
}

void InboundQueries::Close()
{
  mServer.Close();
}

void InboundQueries::OnFrame(FrameConnectionId aFrom, const std::string& aBytes)
{
  const Result<QueryFrame> frame = DecodeQuery(aBytes);
  if (!frame) {
    mLog.Write(EventLevel::kWarn,
               "peer_question_malformed",
               { { "detail", frame.error().mDetail } });
    mServer.Reject(aFrom);
    return;
  }
  const uint64_t callId = frame.value().mCallId;
  const PeerQuery& query = frame.value().mQuery;
  if (query.mKind == PeerQueryKind::kAppendIntake) {
    OnIntake(aFrom, callId, query);
  } else {
    SendResult(aFrom, callId, mHandler->OnQuery(query));
  }
}

void InboundQueries::OnIntake(FrameConnectionId aFrom,
                              uint64_t aCallId,
                              const PeerQuery& aQuery)
{
  if (mIntakeHandler == nullptr) {
    PeerQueryResult refused;
    refused.mIntake = IntakeResult();
    SendResult(aFrom, aCallId, refused);
    return;
  }
  mIntakeHandler->OnIntake(
    aQuery, [this, aFrom, aCallId](const PeerQueryResult& aResult) {
      asio::post(mIo, [this, aFrom, aCallId, aResult] {
        SendResult(aFrom, aCallId, aResult);
      });
    });
}

void InboundQueries::SendResult(FrameConnectionId aTo,
                                uint64_t aCallId,
                                const PeerQueryResult& aResult)
{
  mServer.Send(aTo, EncodeResult(ResultFrame{ aCallId, aResult }));
}

} // namespace mulberryvalve
