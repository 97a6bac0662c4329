// Metrics: the counters, gauges and timings of an instance.
#ifndef MULBERRYVALVE_PORTS_OUT_METRICS_H_
#define MULBERRYVALVE_PORTS_OUT_METRICS_H_

#include "mulberryvalve/core/base/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace mulberryvalve {

// MetricName is the name and help text of one metric.
template<typename E>
struct MetricName
{
  E mValue;
  std::string_view mName;
  std::string_view mHelp;
};

// MetricTable holds one row per enumerator, in order. Immutable and therefore
// thread-safe.
template<typename E, size_t N>
struct MetricTable
{
  std::array<MetricName<E>, N> mRows;

  // InOrder returns whether each row i holds the enumerator with value i.
  constexpr bool InOrder() const
  {
    for (size_t i = 0; i < N; i++) {
      if (static_cast<size_t>(mRows[i].mValue) != i) {
        return false;
      }
    }
    return true;
  }
};

enum class Counter
{
  kRequestsAnswered,
  kRequestsNotRun,
  kRequestsUnknown,
  kRequestRetries,
  kRequestHedges,
  kRequestSheds,
  kUpstreamRefusals,
  kUpstreamMismatches,
  kUpstreamLost,
  kTasksAssigned,
  kTasksStarted,
  kTasksCompleted,
  kTasksFailed,
  kTasksEvicted,
  kLogAppends,
  kLogAppendRecords,
  kLogReads,
  kLogFailures,
  kPeerBytesSent,
  kPeerBytesReceived,
  kPlatformBytesSent,
  kPlatformBytesReceived,
  kCommandsSkippedByDeadline,
  kTasksAdopted,
  kTasksLost,
  kWaitsForFormerOwner,
  kWaitsForWorkers,
  kWaitsForRoom,
  kWaitsForPressure,
  kWorkersSilent,
  kTakeovers,
  kLogAppendBytes,
  kLogLoadRecords,
  kLogLoadBytes,
  kOrderBytesSent,
  kOrderBytesReceived,
  kRenewalBytesSent,
  kRenewalBytesReceived,
  kFormerIncarnationCalls,
  kTasksHeldBack,
  kStartsHeldBack,
  kFormerWorkersAnswered,
  kFormerWorkersExpired,
  kFormerWorkersGone,
  kFormerWorkersShortened,
  kStartsUnrecorded,
  kRequestsUnauthorized,
  kWaitsForAccount,
  kIntakeRelayed,
  kIntakeRelayRefused,
  kIntakeRelayUnknown,
  kIntakeRemovalConflicts,
  kJobCopiesRead,
  kWorkersGiven,
  kWorkersTaken,
  kRoomRequests,
  kRoomRequestsRefused,
  kMovesRefused,
};

inline constexpr MetricTable<Counter, 58> kCounterNames{ { {
  { Counter::kRequestsAnswered,
    "requests_answered",
    "Requests whose answer was given to the caller" },
  { Counter::kRequestsNotRun,
    "requests_not_run",
    "Requests told to the caller as not run" },
  { Counter::kRequestsUnknown,
    "requests_unknown",
    "Requests whose outcome is unknown to the caller" },
  { Counter::kRequestRetries,
    "request_retries",
    "Attempts after the first of a request" },
  { Counter::kRequestHedges,
    "request_hedges",
    "Attempts sent while an earlier one was in flight" },
  { Counter::kRequestSheds,
    "request_sheds",
    "Requests refused because of overload" },
  { Counter::kUpstreamRefusals,
    "upstream_refusals",
    "Attempts that an upstream refused before running them" },
  { Counter::kUpstreamMismatches,
    "upstream_mismatches",
    "Upstream answers that belong to another attempt" },
  { Counter::kUpstreamLost, "upstream_lost", "Attempts whose answer was lost" },
  { Counter::kTasksAssigned, "tasks_assigned", "Tasks assigned to a worker" },
  { Counter::kTasksStarted, "tasks_started", "Tasks that a worker started" },
  { Counter::kTasksCompleted, "tasks_completed", "Tasks that completed" },
  { Counter::kTasksFailed, "tasks_failed", "Tasks that failed" },
  { Counter::kTasksEvicted, "tasks_evicted", "Tasks evicted from a worker" },
  { Counter::kLogAppends, "log_appends", "Appends to the log service" },
  { Counter::kLogAppendRecords,
    "log_append_records",
    "Records in appends to the log service" },
  { Counter::kLogReads, "log_reads", "Reads from the log service" },
  { Counter::kLogFailures,
    "log_failures",
    "Operations on the log service that failed" },
  { Counter::kPeerBytesSent, "peer_bytes_sent", "Bytes sent to peers" },
  { Counter::kPeerBytesReceived,
    "peer_bytes_received",
    "Bytes received from peers" },
  { Counter::kPlatformBytesSent,
    "platform_bytes_sent",
    "Bytes sent to the platform" },
  { Counter::kPlatformBytesReceived,
    "platform_bytes_received",
    "Bytes received from the platform" },
  { Counter::kCommandsSkippedByDeadline,
    "commands_skipped_by_deadline",
    "Worker commands not sent because their deadline had passed" },
  { Counter::kTasksAdopted,
    "tasks_adopted",
    "Runs of a former owner that were taken over" },
  { Counter::kTasksLost,
    "tasks_lost",
    "Runs that ended without a word of their worker" },
  { Counter::kWaitsForFormerOwner,
    "waits_for_former_owner",
    "Steps that waited for workers of a former owner, each few seconds" },
  { Counter::kWaitsForWorkers,
    "waits_for_workers",
    "Steps that waited for a suitable worker, each few seconds" },
  { Counter::kWaitsForRoom,
    "waits_for_room",
    "Steps that waited for room, each few seconds" },
  { Counter::kWaitsForPressure,
    "waits_for_pressure",
    "Steps that waited for workers whose services bear them, each few "
    "seconds" },
  { Counter::kWorkersSilent,
    "workers_silent",
    "Times that a worker stopped answering" },
  { Counter::kTakeovers, "takeovers", "Shards that this instance took over" },
  { Counter::kLogAppendBytes,
    "log_append_bytes",
    "Bytes of keys and values in an owner's appends" },
  { Counter::kLogLoadRecords,
    "log_load_records",
    "Records that take-overs have read" },
  { Counter::kLogLoadBytes,
    "log_load_bytes",
    "Bytes of keys and values that take-overs have read" },
  { Counter::kOrderBytesSent,
    "order_bytes_sent",
    "Bytes of orders sent to workers" },
  { Counter::kOrderBytesReceived,
    "order_bytes_received",
    "Bytes of workers' answers to orders" },
  { Counter::kRenewalBytesSent,
    "renewal_bytes_sent",
    "Bytes of renewals sent to workers" },
  { Counter::kRenewalBytesReceived,
    "renewal_bytes_received",
    "Bytes of workers' answers to renewals" },
  { Counter::kFormerIncarnationCalls,
    "former_incarnation_calls",
    "Orders and renewals that were not sent, as their worker had restarted" },
  { Counter::kTasksHeldBack,
    "tasks_held_back",
    "Tasks that a take-over held back for workers of the former owner, at each "
    "change" },
  { Counter::kStartsHeldBack,
    "starts_held_back",
    "Times that starts waited since as many as may be were under way" },
  { Counter::kFormerWorkersAnswered,
    "former_workers_answered",
    "Waits for a worker of former owners that its answer ended" },
  { Counter::kFormerWorkersExpired,
    "former_workers_expired",
    "Waits for a worker of former owners that lasted as long as they could" },
  { Counter::kFormerWorkersGone,
    "former_workers_gone",
    "Waits for a worker of former owners that the end of its process ended" },
  { Counter::kFormerWorkersShortened,
    "former_workers_shortened",
    "Waits for a worker of former owners that lasted less long since these had "
    "ended" },
  { Counter::kStartsUnrecorded,
    "starts_unrecorded",
    "Starts that were sent before the log named their worker" },
  { Counter::kRequestsUnauthorized,
    "requests_unauthorized",
    "Requests refused because their API key was missing or unknown" },
  { Counter::kWaitsForAccount,
    "waits_for_account",
    "Steps that waited because their account was at its limit" },
  { Counter::kIntakeRelayed,
    "intake_relayed",
    "Submissions and cancellations that the owner of the shard appended" },
  { Counter::kIntakeRelayRefused,
    "intake_relay_refused",
    "Relayed submissions and cancellations that the owner did not append" },
  { Counter::kIntakeRelayUnknown,
    "intake_relay_unknown",
    "Relayed submissions and cancellations without a clear answer" },
  { Counter::kIntakeRemovalConflicts,
    "intake_removal_conflicts",
    "Removals from the intake put off because it held unread records" },
  { Counter::kJobCopiesRead,
    "job_copies_read",
    "Copies of the records of jobs that were over when they were read" },
  { Counter::kWorkersGiven,
    "workers_given",
    "Workers that an owner moved to another shard" },
  { Counter::kWorkersTaken,
    "workers_taken",
    "Workers that were moved here from another shard" },
  { Counter::kRoomRequests,
    "room_requests",
    "Times that an owner asked the other shards for workers" },
  { Counter::kRoomRequestsRefused,
    "room_requests_refused",
    "Requests for workers that an owner refused for what they say" },
  { Counter::kMovesRefused,
    "moves_refused",
    "Moves of workers that an owner refused for what they say" },
} } };
static_assert(kCounterNames.InOrder());

enum class Gauge
{
  kShardsOwned,
  kRequestsInFlight,
  kTasksWaiting,
  kTasksRunning,
  kBundleVersion,
  kConfigHead,
  kPeersLive,
  kResidentBytes,
  kLogReachable,
  kDecisionAgeMs,
  kDurableAgeMs,
  kLargestAppendBytes,
  kStartWindow,
  kStartsUnderWay,
  kTasksHeldNow,
  kFormerWorkersAwaited,
  kHeldForAtMostMs,
  kJobsKept,
  kCancellationsUnmatched,
};

inline constexpr MetricTable<Gauge, 19> kGaugeNames{ { {
  { Gauge::kShardsOwned, "shards_owned", "Shards that this instance owns" },
  { Gauge::kRequestsInFlight, "requests_in_flight", "Requests in flight" },
  { Gauge::kTasksWaiting, "tasks_waiting", "Tasks waiting for a worker" },
  { Gauge::kTasksRunning, "tasks_running", "Tasks running on workers" },
  { Gauge::kBundleVersion, "bundle_version", "Version of the bundle in force" },
  { Gauge::kConfigHead,
    "config_head",
    "Offset of the configuration log up to which it was read" },
  { Gauge::kPeersLive, "peers_live", "Peers counted as live" },
  { Gauge::kResidentBytes,
    "resident_bytes",
    "Resident memory of the process in bytes" },
  { Gauge::kLogReachable,
    "log_reachable",
    "1 when the log service answers, otherwise 0" },
  { Gauge::kDecisionAgeMs,
    "decision_age_ms",
    "Milliseconds since an owner's last decision" },
  { Gauge::kDurableAgeMs,
    "durable_age_ms",
    "Milliseconds since an owner's last durable append" },
  { Gauge::kLargestAppendBytes,
    "largest_append_bytes",
    "Bytes of the largest append of an ownership" },
  { Gauge::kStartWindow,
    "start_window",
    "Starts that an owner may have under way" },
  { Gauge::kStartsUnderWay,
    "starts_under_way",
    "Starts that an owner has ordered and that have no answer" },
  { Gauge::kTasksHeldNow,
    "tasks_held_now",
    "Tasks that take-overs hold back now for workers of former owners" },
  { Gauge::kFormerWorkersAwaited,
    "former_workers_awaited",
    "Workers of former owners for which tasks are held back now" },
  { Gauge::kHeldForAtMostMs,
    "held_for_at_most_ms",
    "Milliseconds until the last task that is held back now is released" },
  { Gauge::kJobsKept,
    "jobs_kept",
    "Jobs that are over, and cancellations without a job, that are kept" },
  { Gauge::kCancellationsUnmatched,
    "cancellations_unmatched",
    "Cancellations that are kept and whose jobs have not come" },
} } };
static_assert(kGaugeNames.InOrder());

enum class Timing
{
  kRequestUs,
  kUpstreamUs,
  kAppendUs,
  kPlacementUs,
  kSyncUs,
  kFirstStartUs,
  kTakeoverUs,
  kJoinGapUs,
  kProofAgeUs,
  kIntakeGapUs,
  kPassUs,
  kLockWaitUs,
  kRenewalGapUs,
  kOrderWaitUs,
  kCancelToStopUs,
  kClaimUs,
  kLoadUs,
  kProgressAppendUs,
  kDecisionGapUs,
  kHeldBackUs,
};

inline constexpr MetricTable<Timing, 20> kTimingNames{ { {
  { Timing::kRequestUs,
    "request_us",
    "Time to answer a request in microseconds" },
  { Timing::kUpstreamUs,
    "upstream_us",
    "Time of one attempt at an upstream in microseconds" },
  { Timing::kAppendUs,
    "append_us",
    "Time of one append to the log service in microseconds" },
  { Timing::kPlacementUs,
    "placement_us",
    "Time of one placement decision in microseconds" },
  { Timing::kSyncUs,
    "sync_us",
    "Time of one sync with a worker in microseconds" },
  { Timing::kFirstStartUs,
    "first_start_us",
    "Time from the reading of a job to the order of its first start in "
    "microseconds" },
  { Timing::kTakeoverUs,
    "takeover_us",
    "Time from the claim of a shard to its first decision in microseconds" },
  { Timing::kJoinGapUs,
    "join_gap_us",
    "Time between two renewals of an owner's membership in microseconds" },
  { Timing::kProofAgeUs,
    "proof_age_us",
    "Time since ownership was proved, longest of a second, in microseconds" },
  { Timing::kIntakeGapUs,
    "intake_gap_us",
    "Time between two reads of the intake, longest of a second, in "
    "microseconds" },
  { Timing::kPassUs,
    "pass_us",
    "Time of a decision pass, longest of a second, in microseconds" },
  { Timing::kLockWaitUs,
    "lock_wait_us",
    "Time that an answer waited for a shard's lock, longest of a second, in "
    "microseconds" },
  { Timing::kRenewalGapUs,
    "renewal_gap_us",
    "Time between two renewals of a worker in use, longest of a second, in "
    "microseconds" },
  { Timing::kOrderWaitUs,
    "order_wait_us",
    "Time from the decision of an order to its sending, longest of a second, "
    "in microseconds" },
  { Timing::kCancelToStopUs,
    "cancel_to_stop_us",
    "Time from the reading of a cancellation to an answered stop, longest of "
    "a second, in microseconds" },
  { Timing::kClaimUs,
    "claim_us",
    "Time of a claim with its repetitions in microseconds" },
  { Timing::kLoadUs,
    "load_us",
    "Time in which a take-over read its records, with repetitions, in "
    "microseconds" },
  { Timing::kProgressAppendUs,
    "progress_append_us",
    "Time of an owner's append with its repetitions in microseconds" },
  { Timing::kDecisionGapUs,
    "decision_gap_us",
    "Time between the ends of two decision passes in microseconds" },
  { Timing::kHeldBackUs,
    "held_back_us",
    "Time from the claim of a shard until no task was held back for workers of "
    "the former owner, in microseconds" },
} } };
static_assert(kTimingNames.InOrder());

// Metrics records measurements. Implementations are thread-safe and cheap
// enough to be called on every request. No call fails.
class Metrics
{
public:
  virtual ~Metrics() = default;

  // Add increments aCounter by aCount.
  virtual void Add(Counter aCounter, uint64_t aCount) = 0;

  // Set sets aGauge to aValue.
  virtual void Set(Gauge aGauge, int64_t aValue) = 0;

  // Record adds an observation to aTiming. Negative values count as zero.
  virtual void Record(Timing aTiming, Microseconds aElapsed) = 0;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_PORTS_OUT_METRICS_H_
