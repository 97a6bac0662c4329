// UpstreamPort: sends one attempt of a request to an upstream.
#ifndef MULBERRYVALVE_PORTS_OUT_UPSTREAM_PORT_H_
#define MULBERRYVALVE_PORTS_OUT_UPSTREAM_PORT_H_

#include "mulberryvalve/core/base/enum_table.h"
#include "mulberryvalve/core/base/time.h"
#include "mulberryvalve/core/model/ids.h"
#include "mulberryvalve/core/model/request.h"
#include "mulberryvalve/core/model/worker.h"

#include <string>

namespace mulberryvalve {

// SendResult is the known result of an attempt. Only kNotSent and kRefused
// prove that the upstream did not run it.
enum class SendResult
{
  kAnswered,
  kNotSent,
  kRefused,
  kLost,
  kMismatch,
};

inline constexpr EnumTable<SendResult, 5> kSendResultNames{ { {
  { SendResult::kAnswered, "answered" },
  { SendResult::kNotSent, "not_sent" },
  { SendResult::kRefused, "refused" },
  { SendResult::kLost, "lost" },
  { SendResult::kMismatch, "mismatch" },
} } };

// UpstreamCall is one attempt. mDeadline is propagated to the upstream.
struct UpstreamCall
{
  AttemptId mAttempt;
  RequestKind mKind = RequestKind::kIdempotent;
  IdempotencyKey mKey;
  std::string mBody;
  MonotonicTime mDeadline;
};

// UpstreamReply is the result of an attempt. mStatus and mBody are set if
// mResult is kAnswered. mDraining is set if the upstream reports that it is
// draining.
struct UpstreamReply
{
  SendResult mResult = SendResult::kNotSent;
  int mStatus = 0;
  std::string mBody;
  bool mDraining = false;
};

// UpstreamPort sends attempts. Implementations are thread-safe, block until the
// reply or the deadline of the call, and never retry an attempt.
class UpstreamPort
{
public:
  virtual ~UpstreamPort() = default;

  // Send makes the attempt aCall at aWorker.
  virtual UpstreamReply Send(const WorkerSpec& aWorker,
                             const UpstreamCall& aCall) = 0;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_PORTS_OUT_UPSTREAM_PORT_H_
