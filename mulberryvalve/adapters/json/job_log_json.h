// JobLogJson: the records of jobs as JSON.
#ifndef MULBERRYVALVE_ADAPTERS_JSON_JOB_LOG_JSON_H_
#define MULBERRYVALVE_ADAPTERS_JSON_JOB_LOG_JSON_H_

#include "mulberryvalve/ports/out/job_log_codec.h"

namespace mulberryvalve {

// The tasks of a job, all occurrences counted: its progress has a row for each.
inline constexpr size_t kMaxJobTasks = 65536;

// FitsIntoRecords tells whether a job has at most kMaxJobTasks. Thread-safe.
bool FitsIntoRecords(const JobGraph& aJob);

// JobLogJson keeps a job under its id, its cancellation under "cancel/ID", its
// progress under "job/ID", a known worker under "worker/ID" and the owner's
// note under "owner". Fields at their default are left out. Thread-safe.
class JobLogJson : public JobLogCodec
{
public:
  KeyedEntry Encode(const JobGraph& aJob) const override;
  KeyedEntry Encode(const JobCancellation& aCancellation) const override;
  KeyedEntry Encode(const JobRecord& aRecord) const override;
  KeyedEntry Encode(const UsedWorkerRecord& aWorker) const override;
  KeyedEntry Encode(const OwnershipRecord& aNote) const override;
  KeyedEntry Encode(const LearnedRecord& aLearned) const override;
  std::vector<KeyedEntry> EncodeIntakeTombstones(
    const JobId& aJob) const override;
  KeyedEntry EncodeProgressTombstone(const JobId& aJob) const override;
  KeyedEntry EncodeWorkerTombstone(const WorkerId& aWorker) const override;
  std::optional<JobId> SubmittedJobId(const KeyedEntry& aEntry) const override;
  Result<IntakeItem> DecodeIntake(const KeyedEntry& aEntry) const override;
  Result<ProgressItem> DecodeProgress(const KeyedEntry& aEntry) const override;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_JSON_JOB_LOG_JSON_H_
