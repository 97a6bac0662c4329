// PeerQueryClient: queries between instances about jobs in shards that another
// instance owns.
#ifndef MULBERRYVALVE_PORTS_OUT_PEER_QUERY_H_
#define MULBERRYVALVE_PORTS_OUT_PEER_QUERY_H_

#include "mulberryvalve/core/base/failure.h"
#include "mulberryvalve/core/jobs/job_state.h"
#include "mulberryvalve/core/model/worker.h"
#include "mulberryvalve/ports/out/shard_group.h"

#include <optional>

namespace mulberryvalve {

enum class PeerQueryKind
{
  kJobPhase,
  kWaitingJobs,
};

inline constexpr EnumTable<PeerQueryKind, 2> kPeerQueryKindNames{ { {
  { PeerQueryKind::kJobPhase, "job_phase" },
  { PeerQueryKind::kWaitingJobs, "waiting_jobs" },
} } };

// PeerQuery is a query to the owner of a shard. mJob is used by kJobPhase, and
// mQueue by kWaitingJobs.
struct PeerQuery
{
  PeerQueryKind mKind = PeerQueryKind::kJobPhase;
  ShardNumber mShard = 0;
  JobId mJob;
  QueueId mQueue;
};

// PeerQueryResult is the response to a PeerQuery. mOwns tells whether the
// responding instance owns the shard. mPhase is absent if it knows no such job.
struct PeerQueryResult
{
  bool mOwns = false;
  std::optional<JobPhase> mPhase;
  uint64_t mWaiting = 0;
};

// PeerQueryClient sends queries to other instances. Thread-safe; blocks up to
// aTimeout. Errors: kPeerUnreachable, kMalformed.
class PeerQueryClient
{
public:
  virtual ~PeerQueryClient() = default;

  virtual Result<PeerQueryResult> Ask(const Endpoint& aPeer,
                                      const PeerQuery& aQuery,
                                      Milliseconds aTimeout) = 0;
};

// PeerQueryHandler serves the queries of peers. Implementations are thread-safe
// and do not block for long.
class PeerQueryHandler
{
public:
  virtual ~PeerQueryHandler() = default;

  virtual PeerQueryResult OnQuery(const PeerQuery& aQuery) = 0;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_PORTS_OUT_PEER_QUERY_H_
