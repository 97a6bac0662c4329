// JobLogJson: JSON encoding of the job log.
#ifndef MULBERRYVALVE_ADAPTERS_JSON_JOB_LOG_JSON_H_
#define MULBERRYVALVE_ADAPTERS_JSON_JOB_LOG_JSON_H_

#include "mulberryvalve/ports/out/job_log_codec.h"

namespace mulberryvalve {

// Maximum number of tasks of a job over all its occurrences; the progress
// record has a row for each.
inline constexpr size_t kMaxJobTasks = 65536;

// FitsJobTaskLimit returns whether a job has at most kMaxJobTasks tasks.
// Thread-safe.
bool FitsJobTaskLimit(const JobGraph& aJob);

// JobLogJson implements JobLogCodec. Keys: a job has its id, its cancellation
// "cancel/ID", its progress "job/ID" and, for further parts, "part/PART/ID", a
// used worker "worker/ID", its move to another shard "move/ID", the claim of an
// epoch "owner/EPOCH" (formerly "owner", the newest claim). Fields with default
// values are omitted.
// Thread-safe.
class JobLogJson : public JobLogCodec
{
public:
  KeyedEntry Encode(const JobGraph& aJob) const override;
  KeyedEntry Encode(const JobCancellation& aCancellation) const override;
  KeyedEntry Encode(const JobRecord& aRecord) const override;
  KeyedEntry Encode(const UsedWorkerRecord& aWorker) const override;
  KeyedEntry Encode(const OwnershipRecord& aOwnership) const override;
  KeyedEntry Encode(const LearnedRecord& aLearned) const override;
  KeyedEntry Encode(const WorkerMove& aMove) const override;
  std::vector<KeyedEntry> EncodeIntakeTombstones(
    const JobId& aJob) const override;
  std::vector<KeyedEntry> EncodeProgressTombstones(
    const RetiredJob& aJob) const override;
  KeyedEntry EncodeWorkerTombstone(const WorkerId& aWorker) const override;
  std::vector<KeyedEntry> EncodeOwnershipTombstones(
    Epoch aEpoch) const override;
  std::optional<JobId> SubmittedJobId(const KeyedEntry& aEntry) const override;
  bool IsMove(const KeyedEntry& aEntry) const override;
  Result<IntakeItem> DecodeIntake(const KeyedEntry& aEntry) const override;
  Result<ProgressItem> DecodeProgress(const KeyedEntry& aEntry) const override;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_JSON_JOB_LOG_JSON_H_
