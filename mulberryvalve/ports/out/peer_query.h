// PeerQueryClient: queries between instances about jobs in shards that another
// instance owns.
#ifndef MULBERRYVALVE_PORTS_OUT_PEER_QUERY_H_
#define MULBERRYVALVE_PORTS_OUT_PEER_QUERY_H_

#include "mulberryvalve/core/base/failure.h"
#include "mulberryvalve/core/jobs/job_state.h"
#include "mulberryvalve/core/jobs/owner_observations.h"
#include "mulberryvalve/core/jobs/ownership_summary.h"
#include "mulberryvalve/core/jobs/room_request.h"
#include "mulberryvalve/core/model/worker.h"
#include "mulberryvalve/ports/out/keyed_log.h"
#include "mulberryvalve/ports/out/shard_group.h"

#include <functional>
#include <optional>
#include <vector>

namespace mulberryvalve {

enum class PeerQueryKind
{
  kJobPhase,
  kWaitingJobs,
  kOwnershipEnd,
  kAppendIntake,
  kRoom,
};

inline constexpr EnumTable<PeerQueryKind, 5> kPeerQueryKindNames{ { {
  { PeerQueryKind::kJobPhase, "job_phase" },
  { PeerQueryKind::kWaitingJobs, "waiting_jobs" },
  { PeerQueryKind::kOwnershipEnd, "ownership_end" },
  { PeerQueryKind::kAppendIntake, "append_intake" },
  { PeerQueryKind::kRoom, "room" },
} } };

// What became of an entry that was relayed to the owner of a shard.
enum class IntakeOutcome
{
  kDone,    // the entry was appended
  kRefused, // nothing was appended
  kUnknown, // the entry may have been appended, or may be later
};

inline constexpr EnumTable<IntakeOutcome, 3> kIntakeOutcomeNames{ { {
  { IntakeOutcome::kDone, "done" },
  { IntakeOutcome::kRefused, "refused" },
  { IntakeOutcome::kUnknown, "unknown" },
} } };

// The largest entry that is relayed, as RecordBytes counts it.
inline constexpr size_t kMaxRelayedBytes = 32768;

// RelayedEntry is an entry for the intake of a shard. mTimeLeft is how long the
// sender waits for the answer.
struct RelayedEntry
{
  KeyedEntry mEntry;
  Milliseconds mTimeLeft{};
};

// IntakeResult is the answer to a relayed entry. mAppendTime is the duration of
// the owner's newest append, mRetryIn how long a caller that is refused should
// wait; both are zero if not known.
struct IntakeResult
{
  IntakeOutcome mOutcome = IntakeOutcome::kRefused;
  Milliseconds mAppendTime{};
  Milliseconds mRetryIn{};
};

// PeerQuery is a query to the owner of a shard. mJob is used by kJobPhase, and
// mQueue by kWaitingJobs. kOwnershipEnd is a query of a new owner to a former
// one: whether the ownership under mEpoch, claimed by the process mProcess, has
// ended, and what it did on mWorkers, at most kMaxToldWorkers. It also tells a
// former owner that still acts that it was superseded. kAppendIntake asks the
// owner to append mRelayed, and kRoom for workers that mRoom describes.
struct PeerQuery
{
  PeerQueryKind mKind = PeerQueryKind::kJobPhase;
  ShardNumber mShard = 0;
  JobId mJob;
  QueueId mQueue;
  Epoch mEpoch;
  Incarnation mProcess;
  std::vector<WorkerId> mWorkers{};
  std::optional<RelayedEntry> mRelayed{};
  std::optional<RoomRequest> mRoom{};
};

// PeerQueryResult is the response to a PeerQuery. mOwns tells whether the
// responding instance owns the shard. mPhase is absent if it knows no such job.
// mEndedFor tells for how long at least the ownership that kOwnershipEnd names
// has sent nothing; it is absent while that ownership may still send. mOwner
// tells how long the queried ownership has been active, if it is known here.
// mTold tells what the queried ownership did, once it has ended; it is absent
// without named workers, from an earlier version, and if it is not known any
// more. mIntake answers kAppendIntake, and mRoom kRoom.
struct PeerQueryResult
{
  bool mOwns = false;
  std::optional<JobPhase> mPhase;
  uint64_t mWaiting = 0;
  std::optional<Milliseconds> mEndedFor{};
  std::optional<OwnerAge> mOwner{};
  std::optional<ToldUse> mTold{};
  std::optional<IntakeResult> mIntake{};
  std::optional<RoomAnswer> mRoom{};
};

// PeerQueryClient sends queries to other instances. Thread-safe; blocks up to
// aTimeout. Errors: kPeerUnreachable, kPeerNotListening (the peer's machine
// answered that no process listens there), kMalformed; kNotReady and
// kShuttingDown (there was no connection to send the query on). The query may
// have had an effect after kPeerUnreachable and kMalformed only.
class PeerQueryClient
{
public:
  virtual ~PeerQueryClient() = default;

  virtual Result<PeerQueryResult> Ask(const Endpoint& aPeer,
                                      const PeerQuery& aQuery,
                                      Milliseconds aTimeout) = 0;
};

// PeerQueryHandler serves the queries of peers, except kAppendIntake.
// Implementations are thread-safe and do not block for long.
class PeerQueryHandler
{
public:
  virtual ~PeerQueryHandler() = default;

  virtual PeerQueryResult OnQuery(const PeerQuery& aQuery) = 0;
};

// PeerIntakeHandler serves queries of kind kAppendIntake. Implementations are
// thread-safe and do not block: they answer later.
class PeerIntakeHandler
{
public:
  // Thread-safe; call it exactly once, on any thread.
  using Reply = std::function<void(const PeerQueryResult&)>;

  virtual ~PeerIntakeHandler() = default;

  virtual void OnIntake(const PeerQuery& aQuery, Reply aReply) = 0;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_PORTS_OUT_PEER_QUERY_H_
