// JobLogCodec: encodes jobs, cancellations, progress and known workers as
// records of the platform's log.
#ifndef MULBERRYVALVE_PORTS_OUT_JOB_LOG_CODEC_H_
#define MULBERRYVALVE_PORTS_OUT_JOB_LOG_CODEC_H_

#include "mulberryvalve/core/jobs/shard_scheduler.h"
#include "mulberryvalve/ports/out/keyed_log.h"

#include <map>
#include <optional>
#include <string>
#include <variant>

namespace mulberryvalve {

// JobCancellation requests the cancellation of a job.
struct JobCancellation
{
  JobId mJob;
};

// OwnershipRecord records which process of which instance has claimed the shard
// and under which epoch. Each claim has a record of its own, which later
// appends renew. The peer endpoint and the process may be unset. mActiveFor is
// the time from before the claim was sent until before the append with this
// record was first sent, by the owner's clock, rounded up; unset in records of
// owners whose leases it does not bound. mRecordsUse is false for owners of a
// version that does not name itself in a worker's record before it uses it, and
// until all workers that an owner has used are named so.
struct OwnershipRecord
{
  Epoch mEpoch;
  std::string mInstance;
  Endpoint mPeer{};
  Incarnation mProcess{};
  std::optional<Milliseconds> mActiveFor{};
  bool mRecordsUse = false;
  // As in FormerOwner.
  std::map<Epoch, Milliseconds> mFormerRunsLeft{};
};

// Tombstone marks a key whose record was deleted.
struct Tombstone
{
  std::string mKey;
};

// IntakeItem is a record of KeyedTopic::kIntake, and ProgressItem a record of
// KeyedTopic::kProgress. A move is on the progress of the shard that gave the
// worker away, and on the intake of the one that it belongs to.
using IntakeItem =
  std::variant<JobGraph, JobCancellation, WorkerMove, Tombstone>;
using ProgressItem = std::variant<JobRecord,
                                  UsedWorkerRecord,
                                  OwnershipRecord,
                                  LearnedRecord,
                                  WorkerMove,
                                  Tombstone>;

// JobLogCodec encodes and decodes the records of job shards. Decoding an
// encoded record yields an equal value. Implementations are immutable and
// therefore thread-safe. Errors of decoding: kMalformed, kInvalidInput.
class JobLogCodec
{
public:
  virtual ~JobLogCodec() = default;

  virtual KeyedEntry Encode(const JobGraph& aJob) const = 0;
  virtual KeyedEntry Encode(const JobCancellation& aCancellation) const = 0;
  virtual KeyedEntry Encode(const JobRecord& aRecord) const = 0;
  virtual KeyedEntry Encode(const UsedWorkerRecord& aWorker) const = 0;
  virtual KeyedEntry Encode(const OwnershipRecord& aNote) const = 0;
  virtual KeyedEntry Encode(const LearnedRecord& aLearned) const = 0;
  virtual KeyedEntry Encode(const WorkerMove& aMove) const = 0;

  // The tombstones that delete the records of a job or a worker.
  virtual std::vector<KeyedEntry> EncodeIntakeTombstones(
    const JobId& aJob) const = 0;
  virtual std::vector<KeyedEntry> EncodeProgressTombstones(
    const RetiredJob& aJob) const = 0;
  virtual KeyedEntry EncodeWorkerTombstone(const WorkerId& aWorker) const = 0;
  virtual std::vector<KeyedEntry> EncodeOwnershipTombstones(
    Epoch aEpoch) const = 0;

  // SubmittedJobId returns the id of the job that an intake entry submits,
  // without decoding its value; nullopt for other entries.
  virtual std::optional<JobId> SubmittedJobId(
    const KeyedEntry& aEntry) const = 0;

  // Returns whether an entry of either topic is a move of a worker, without
  // decoding its value.
  virtual bool IsMove(const KeyedEntry& aEntry) const = 0;

  virtual Result<IntakeItem> DecodeIntake(const KeyedEntry& aEntry) const = 0;
  virtual Result<ProgressItem> DecodeProgress(
    const KeyedEntry& aEntry) const = 0;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_PORTS_OUT_JOB_LOG_CODEC_H_
