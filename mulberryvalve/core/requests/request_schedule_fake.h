// RequestSchedule: a seeded simulation of calls, crashes, outages and lost
// responses over RequestFlow and KeyStateMachine, with the log and the workers
// in memory.
#ifndef MULBERRYVALVE_CORE_REQUESTS_REQUEST_SCHEDULE_FAKE_H_
#define MULBERRYVALVE_CORE_REQUESTS_REQUEST_SCHEDULE_FAKE_H_

#include "mulberryvalve/core/keys/key_state_machine.h"
#include "mulberryvalve/core/requests/random_fake.h"
#include "mulberryvalve/core/requests/request_flow.h"
#include "mulberryvalve/core/requests/request_history_checker_fake.h"

#include <array>
#include <deque>
#include <map>
#include <memory>

namespace mulberryvalve {

// InjectedBug is a rule that a simulation breaks on purpose, to show that the
// checker detects it.
enum class InjectedBug
{
  kNone,
  kSkipsClaim,
  kRetriesLost,
  kAcceptsMismatchedAnswers,
  kMarksEveryCallFirst,
};

inline constexpr EnumTable<InjectedBug, 5> kInjectedBugNames{ { {
  { InjectedBug::kNone, "none" },
  { InjectedBug::kSkipsClaim, "skips_claim" },
  { InjectedBug::kRetriesLost, "retries_lost" },
  { InjectedBug::kAcceptsMismatchedAnswers, "accepts_crossed_answers" },
  { InjectedBug::kMarksEveryCallFirst, "vouches_for_every_ask" },
} } };

// RequestSchedule runs once. Not thread-safe.
class RequestSchedule
{
public:
  RequestSchedule(uint64_t aSeed, InjectedBug aBug);

  // Run executes all steps and returns the observed history.
  const RequestHistory& Run();

private:
  struct Call
  {
    uint64_t mId = 0;
    std::string mKey;
    bool mIsFirstCall = false;
    std::unique_ptr<RequestFlow> mFlow;
    AttemptId mClaim;
    bool mClaimSent = false;
    WorkerId mWorker;
    AttemptId mAttempt;
    uint64_t mDeadlineStep = 0;
  };
  struct Node
  {
    WriterId mWriterId;
    KeyStateMachine mKeyState;
    uint64_t mSequence = 1;
    std::deque<LogRecord> mPendingAppends;
    std::vector<std::unique_ptr<Call>> mCalls;
    bool mReceivesLog = true;
  };
  // Message is a request in flight whose sender has given up. It may still be
  // executed.
  struct Message
  {
    uint64_t mCallId = 0;
    std::string mKey;
  };

  bool Chance(uint64_t aPercent) { return mRandom.Below(100) < aPercent; }
  void StepOnce();
  void StartCall();
  void ApplyRecords(Node& aNode);
  void AppendNext(Node& aNode);
  void Crash(Node& aNode);
  void Advance(Node& aNode, size_t aIndex);
  void Submit(Node& aNode, Record aRecord);
  void AdvanceClaim(Node& aNode, Call& aCall);
  void AdvanceAwait(Node& aNode, Call& aCall);
  void AdvanceAcquire(Call& aCall);
  void AdvanceSend(Call& aCall);
  void ReportOutcome(Node& aNode, Call& aCall);
  std::string RunAtWorker(uint64_t aCall, const std::string& aKey);

  RandomFake mRandom;
  const InjectedBug mBug;
  uint64_t mStep = 0;
  uint64_t mNextCallId = 1;
  uint64_t mNextAttempt = 1;
  uint64_t mNextIncarnation = 1;
  bool mOutage = false;
  std::vector<StoredRecord> mLog;
  std::array<Node, 3> mNodes;
  std::vector<Message> mDelayedMessages;
  std::map<std::string, bool> mUsedKeys;
  RequestHistory mHistory;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_REQUESTS_REQUEST_SCHEDULE_FAKE_H_
