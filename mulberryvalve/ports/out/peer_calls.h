// PeerCalls: questions between the instances about jobs that another one owns.
#ifndef MULBERRYVALVE_PORTS_OUT_PEER_CALLS_H_
#define MULBERRYVALVE_PORTS_OUT_PEER_CALLS_H_

#include "mulberryvalve/core/base/failure.h"
#include "mulberryvalve/core/jobs/job_state.h"
#include "mulberryvalve/core/model/worker.h"
#include "mulberryvalve/ports/out/shard_group.h"

#include <optional>

namespace mulberryvalve {

enum class PeerQuestionKind
{
  kJobPhase,
  kWaitingJobs,
};

inline constexpr EnumTable<PeerQuestionKind, 2> kPeerQuestionKindNames{ { {
  { PeerQuestionKind::kJobPhase, "job_phase" },
  { PeerQuestionKind::kWaitingJobs, "waiting_jobs" },
} } };

// PeerQuestion asks the owner of a shard. mJob belongs to kJobPhase, mQueue to
// kWaitingJobs.
struct PeerQuestion
{
  PeerQuestionKind mKind = PeerQuestionKind::kJobPhase;
  ShardNumber mShard = 0;
  JobId mJob;
  QueueId mQueue;
};

// PeerAnswer says whether the asked instance owns the shard. mPhase is absent
// when the owner knows no such job.
struct PeerAnswer
{
  bool mOwns = false;
  std::optional<JobPhase> mPhase;
  uint64_t mWaiting = 0;
};

// PeerCalls asks other instances. Thread-safe; blocks up to aTimeout. Errors:
// kPeerUnreachable, kMalformed.
class PeerCalls
{
public:
  virtual ~PeerCalls() = default;

  virtual Result<PeerAnswer> Ask(const Endpoint& aPeer,
                                 const PeerQuestion& aQuestion,
                                 Milliseconds aTimeout) = 0;
};

// PeerAnswerer answers what peers ask. Implementations are thread-safe and do
// not block for long.
class PeerAnswerer
{
public:
  virtual ~PeerAnswerer() = default;

  virtual PeerAnswer OnQuestion(const PeerQuestion& aQuestion) = 0;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_PORTS_OUT_PEER_CALLS_H_
