// RequestHistory: what callers and workers observed during one simulation, and
// a checker for it. The checker shares no code with the request path.
#ifndef MULBERRYVALVE_CORE_REQUESTS_REQUEST_HISTORY_CHECKER_FAKE_H_
#define MULBERRYVALVE_CORE_REQUESTS_REQUEST_HISTORY_CHECKER_FAKE_H_

#include "mulberryvalve/core/base/enum_table.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace mulberryvalve {

// ObservedRun is one execution of a request at a worker. mAnswer is the
// response that the execution produced, mCallId the call whose body the worker
// received.
struct ObservedRun
{
  uint64_t mStep = 0;
  uint64_t mCallId = 0;
  std::string mKey;
  std::string mAnswer;
};

// ObservedCall is one call of a client. mReportedStatus is empty when the
// client received no response.
struct ObservedCall
{
  uint64_t mStartStep = 0;
  std::string mKey;
  std::string mReportedStatus;
  std::string mAnswer;
};

struct RequestHistory
{
  std::vector<ObservedRun> mRuns;
  std::map<uint64_t, ObservedCall> mCalls;
};

// RequestViolation is a guarantee that the request path broke.
enum class RequestViolation
{
  kNone,
  kKeyRunTwice,
  kNotRunButRan,
  kWrongAnswer,
  kAnswerWithoutRun,
};

inline constexpr EnumTable<RequestViolation, 5> kRequestViolationNames{ { {
  { RequestViolation::kNone, "none" },
  { RequestViolation::kKeyRunTwice, "key_run_twice" },
  { RequestViolation::kNotRunButRan, "not_run_but_ran" },
  { RequestViolation::kWrongAnswer, "wrong_answer" },
  { RequestViolation::kAnswerWithoutRun, "answer_without_run" },
} } };

// FindViolation returns the first violation in aHistory, or kNone. A status of
// not_run must hold for the call itself and, when it has a key, for every
// execution under that key before the call started.
RequestViolation FindViolation(const RequestHistory& aHistory);

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_REQUESTS_REQUEST_HISTORY_CHECKER_FAKE_H_
