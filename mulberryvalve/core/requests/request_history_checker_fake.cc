#include "mulberryvalve/core/requests/request_history_checker_fake.h"

#include <set>

namespace mulberryvalve {
namespace {

bool AnyKeyRanTwice(const RequestHistory& aHistory)
{
  std::set<std::string> observed;
  for (const ObservedRun& run : aHistory.mRuns) {
    if (!run.mKey.empty() && !observed.insert(run.mKey).second) {
      return true;
    }
  }
  return false;
}

RequestViolation CheckNotRun(const RequestHistory& aHistory,
                             uint64_t aId,
                             const ObservedCall& aCall)
{
  for (const ObservedRun& run : aHistory.mRuns) {
    const bool earlier = !aCall.mKey.empty() && run.mKey == aCall.mKey &&
                         run.mStep < aCall.mStartStep;
    if (run.mCallId == aId || earlier) {
      return RequestViolation::kNotRunButRan;
    }
  }
  return RequestViolation::kNone;
}

RequestViolation CheckAnswer(const RequestHistory& aHistory,
                             uint64_t aId,
                             const ObservedCall& aCall)
{
  for (const ObservedRun& run : aHistory.mRuns) {
    if (run.mAnswer != aCall.mAnswer) {
      continue;
    }
    const bool own =
      aCall.mKey.empty() ? run.mCallId == aId : run.mKey == aCall.mKey;
    return own ? RequestViolation::kNone : RequestViolation::kWrongAnswer;
  }
  return RequestViolation::kAnswerWithoutRun;
}

} // namespace

RequestViolation FindViolation(const RequestHistory& aHistory)
{
  if (AnyKeyRanTwice(aHistory)) {
    return RequestViolation::kKeyRunTwice;
  }
  for (const auto& [id, call] : aHistory.mCalls) {
    RequestViolation violation = RequestViolation::kNone;
    if (call.mReportedStatus == "not_run") {
      violation = CheckNotRun(aHistory, id, call);
    } else if (call.mReportedStatus == "answered") {
      violation = CheckAnswer(aHistory, id, call);
    }
    if (violation != RequestViolation::kNone) {
      return violation;
    }
  }
  return RequestViolation::kNone;
}

} // namespace mulberryvalve
