#include "mulberryvalve/core/requests/request_schedule_fake.h"

#include <utility>

namespace mulberryvalve {
namespace {

constexpr uint64_t kSteps = 400;
constexpr uint64_t kKeys = 4;
constexpr uint64_t kMaxCallSteps = 60;
constexpr uint32_t kMaxAttempts = 3;
constexpr uint64_t kWorkers = 4;
constexpr int kStatusOk = 200;
constexpr int kStatusError = 500;

WriterId WriterOf(size_t aNode, uint64_t aIncarnation)
{
  return WriterId{ InstanceId("e-" + std::to_string(aNode)),
                   Incarnation(aIncarnation) };
}

} // namespace

RequestSchedule::RequestSchedule(uint64_t aSeed, InjectedBug aBug)
  : mRandom(aSeed)
  , mBug(aBug)
{
  for (size_t i = 0; i < mNodes.size(); i++) {
    mNodes[i].mWriterId = WriterOf(i, mNextIncarnation++);
  }
}

const RequestHistory& RequestSchedule::Run()
{
  while (mStep < kSteps) {
    mStep++;
    StepOnce();
  }
  return mHistory;
}

void RequestSchedule::StepOnce()
{
  Node& node = mNodes[mRandom.Below(mNodes.size())];
  if (Chance(2)) {
    mOutage = !mOutage;
  }
  if (Chance(2)) {
    Crash(node);
  }
  if (Chance(5)) {
    node.mReceivesLog = !node.mReceivesLog;
  }
  if (Chance(15)) {
    StartCall();
  }
  if (!mDelayedMessages.empty() && Chance(20)) {
    const Message delayed = mDelayedMessages.back();
    mDelayedMessages.pop_back();
    RunAtWorker(delayed.mCallId, delayed.mKey);
  }
  if (Chance(50)) {
    AppendNext(node);
  }
  if (Chance(50)) {
    ApplyRecords(node);
  }
  if (!node.mCalls.empty()) {
    Advance(node, mRandom.Below(node.mCalls.size()));
  }
}

void RequestSchedule::StartCall()
{
  const bool keyed = Chance(75);
  auto call = std::make_unique<Call>();
  call->mId = mNextCallId++;
  call->mKey = keyed ? "k-" + std::to_string(mRandom.Below(kKeys)) : "";
  call->mClaim = AttemptId("c-" + std::to_string(call->mId));
  call->mDeadlineStep = mStep + mRandom.Below(kMaxCallSteps);
  call->mIsFirstCall = !std::exchange(mUsedKeys[call->mKey], true) ||
                       mBug == InjectedBug::kMarksEveryCallFirst;
  call->mFlow = std::make_unique<RequestFlow>(
    FlowRequest{ keyed ? RequestKind::kNonIdempotent : RequestKind::kIdempotent,
                 IdempotencyKey(call->mKey),
                 call->mClaim,
                 call->mIsFirstCall,
                 kMaxAttempts });
  mHistory.mCalls[call->mId] = ObservedCall{ mStep, call->mKey, "", "" };
  mNodes[mRandom.Below(mNodes.size())].mCalls.push_back(std::move(call));
}

void RequestSchedule::ApplyRecords(Node& aNode)
{
  if (mOutage || !aNode.mReceivesLog) {
    return;
  }
  const uint64_t folded = aNode.mKeyState.Folded().Value();
  const uint64_t behind = mLog.size() - folded;
  const uint64_t count = mRandom.Below(behind + 1);
  for (uint64_t i = 0; i < count; i++) {
    aNode.mKeyState.Apply(mLog[folded + i]);
  }
}

// Appends the oldest pending record. With some probability the acknowledgement
// is lost: the record then stays pending and is appended again with the same
// sequence number.
void RequestSchedule::AppendNext(Node& aNode)
{
  if (mOutage || aNode.mPendingAppends.empty()) {
    return;
  }
  mLog.push_back(
    StoredRecord{ Offset(mLog.size() + 1), aNode.mPendingAppends.front() });
  if (!Chance(15)) {
    aNode.mPendingAppends.pop_front();
  }
}

// Restarts the instance. Appends that were in flight may still reach the log.
void RequestSchedule::Crash(Node& aNode)
{
  while (!aNode.mPendingAppends.empty() && Chance(50)) {
    mLog.push_back(
      StoredRecord{ Offset(mLog.size() + 1), aNode.mPendingAppends.front() });
    aNode.mPendingAppends.pop_front();
  }
  const WriterId writer{ aNode.mWriterId.mInstance,
                         Incarnation(mNextIncarnation++) };
  aNode = Node();
  aNode.mWriterId = writer;
}

void RequestSchedule::Submit(Node& aNode, Record aRecord)
{
  RecordHeader header;
  header.mWriter = aNode.mWriterId;
  header.mSequence = aNode.mSequence++;
  aNode.mPendingAppends.push_back(LogRecord{ header, std::move(aRecord) });
}

void RequestSchedule::Advance(Node& aNode, size_t aIndex)
{
  Call& call = *aNode.mCalls[aIndex];
  switch (call.mFlow->Step()) {
    case FlowStep::kClaimKey:
      AdvanceClaim(aNode, call);
      return;
    case FlowStep::kAwaitKey:
      AdvanceAwait(aNode, call);
      return;
    case FlowStep::kAcquireUpstream:
      AdvanceAcquire(call);
      return;
    case FlowStep::kSend:
      AdvanceSend(call);
      return;
    case FlowStep::kCheckRetryBudget:
      call.mFlow->OnCheckRetryBudget(Chance(70));
      return;
    case FlowStep::kDone:
      ReportOutcome(aNode, call);
      aNode.mCalls.erase(aNode.mCalls.begin() + static_cast<long>(aIndex));
      return;
  }
}

void RequestSchedule::AdvanceClaim(Node& aNode, Call& aCall)
{
  if (mBug == InjectedBug::kSkipsClaim) {
    aCall.mFlow->OnClaimKey(
      KeyClaimResult{ KeyClaimStatus::kWon, std::nullopt });
    return;
  }
  const KeyEntry* entry = aNode.mKeyState.Find(IdempotencyKey(aCall.mKey));
  if (!aCall.mClaimSent) {
    if (entry != nullptr) {
      aCall.mFlow->OnClaimKey(
        KeyClaimResult{ KeyClaimStatus::kTaken, entry->mSettled });
    } else if (mOutage && Chance(50)) {
      aCall.mFlow->OnClaimKey(
        KeyClaimResult{ KeyClaimStatus::kLogUnreachable, std::nullopt });
    } else {
      Submit(aNode, KeyClaimed{ IdempotencyKey(aCall.mKey), aCall.mClaim });
      aCall.mClaimSent = true;
    }
    return;
  }
  if (entry != nullptr) {
    const bool won =
      entry->mOwner == aNode.mWriterId && entry->mAttempt == aCall.mClaim;
    aCall.mClaimSent = false;
    aCall.mFlow->OnClaimKey(
      KeyClaimResult{ won ? KeyClaimStatus::kWon : KeyClaimStatus::kTaken,
                      won ? std::nullopt : entry->mSettled });
  } else if (mStep > aCall.mDeadlineStep) {
    Submit(aNode,
           KeySettled{ IdempotencyKey(aCall.mKey),
                       aCall.mClaim,
                       RequestStatus::kNotRun,
                       RequestReason::kLogUnavailable,
                       0,
                       "" });
    aCall.mFlow->OnClaimKey(
      KeyClaimResult{ KeyClaimStatus::kLogUnreachable, std::nullopt });
  }
}

void RequestSchedule::AdvanceAwait(Node& aNode, Call& aCall)
{
  const KeyEntry* entry = aNode.mKeyState.Find(IdempotencyKey(aCall.mKey));
  if (entry == nullptr) {
    aCall.mFlow->OnAwaitKey(
      KeyClaimResult{ KeyClaimStatus::kUnclaimed, std::nullopt });
  } else if (entry->mSettled || mStep > aCall.mDeadlineStep) {
    aCall.mFlow->OnAwaitKey(
      KeyClaimResult{ KeyClaimStatus::kTaken, entry->mSettled });
  }
}

void RequestSchedule::AdvanceAcquire(Call& aCall)
{
  const WorkerId worker("w-" + std::to_string(mRandom.Below(kWorkers)));
  if (aCall.mFlow->TriedWorkers().count(worker) != 0 || Chance(5)) {
    aCall.mFlow->OnNoUpstream(RequestReason::kNoUpstream);
    return;
  }
  aCall.mFlow->OnAcquireUpstream(
    worker, AttemptId("a-" + std::to_string(mNextAttempt++)));
}

std::string RequestSchedule::RunAtWorker(uint64_t aCall,
                                         const std::string& aKey)
{
  std::string answer = "run-" + std::to_string(mHistory.mRuns.size());
  mHistory.mRuns.push_back(ObservedRun{ mStep, aCall, aKey, answer });
  return answer;
}

void RequestSchedule::AdvanceSend(Call& aCall)
{
  UpstreamReply reply;
  const uint64_t roll = mRandom.Below(100);
  if (roll < 10) {
    reply.mResult = SendResult::kNotSent;
  } else if (roll < 25) {
    reply.mResult = SendResult::kRefused;
  } else if (roll < 35) {
    mDelayedMessages.push_back(Message{ aCall.mId, aCall.mKey });
    reply.mResult = SendResult::kLost;
  } else if (roll < 50) {
    RunAtWorker(aCall.mId, aCall.mKey);
    reply.mResult = SendResult::kLost;
  } else if (roll < 55) {
    RunAtWorker(aCall.mId, aCall.mKey);
    reply.mResult = SendResult::kMismatch;
    reply.mBody = mHistory.mRuns.front().mAnswer;
  } else {
    reply.mBody = RunAtWorker(aCall.mId, aCall.mKey);
    reply.mStatus = Chance(15) ? kStatusError : kStatusOk;
    reply.mResult = SendResult::kAnswered;
  }
  if (mBug == InjectedBug::kRetriesLost && reply.mResult == SendResult::kLost) {
    reply.mResult = SendResult::kRefused;
  }
  if (mBug == InjectedBug::kAcceptsMismatchedAnswers &&
      reply.mResult == SendResult::kMismatch) {
    reply.mResult = SendResult::kAnswered;
  }
  aCall.mFlow->OnSend(std::move(reply));
}

void RequestSchedule::ReportOutcome(Node& aNode, Call& aCall)
{
  if (const auto settled = aCall.mFlow->Settlement()) {
    Submit(aNode, *settled);
  }
  ObservedCall& observed = mHistory.mCalls[aCall.mId];
  const RequestOutcome& outcome = aCall.mFlow->Outcome();
  observed.mReportedStatus =
    std::string(kRequestStatusNames.Name(outcome.mStatus));
  observed.mAnswer = outcome.mBody;
}

} // namespace mulberryvalve
