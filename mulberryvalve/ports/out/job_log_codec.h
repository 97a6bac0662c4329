// JobLogCodec: jobs, cancellations, progress and known workers as records of
// the platform's log.
#ifndef MULBERRYVALVE_PORTS_OUT_JOB_LOG_CODEC_H_
#define MULBERRYVALVE_PORTS_OUT_JOB_LOG_CODEC_H_

#include "mulberryvalve/core/jobs/job_shard.h"
#include "mulberryvalve/ports/out/keyed_log.h"

#include <optional>
#include <string>
#include <variant>

namespace mulberryvalve {

// JobCancellation asks for a job's end.
struct JobCancellation
{
  JobId mJob;
};

// OwnerNote is an owner's own record: who took the shard under which epoch.
struct OwnerNote
{
  Epoch mEpoch;
  std::string mInstance;
};

// DroppedRecord is a key whose record was dropped.
struct DroppedRecord
{
  std::string mKey;
};

// IntakeItem is one record of KeyedTopic::kIntake, ProgressItem one of
// KeyedTopic::kProgress.
using IntakeItem = std::variant<JobGraph, JobCancellation, DroppedRecord>;
using ProgressItem =
  std::variant<JobRecord, KnownWorker, OwnerNote, LearnedRecord, DroppedRecord>;

// JobLogCodec's implementations are immutable, so thread-safe. What is encoded
// decodes to the same. Errors of decoding: kMalformed, kInvalidInput.
class JobLogCodec
{
public:
  virtual ~JobLogCodec() = default;

  virtual KeyedEntry Encode(const JobGraph& aJob) const = 0;
  virtual KeyedEntry Encode(const JobCancellation& aCancellation) const = 0;
  virtual KeyedEntry Encode(const JobRecord& aRecord) const = 0;
  virtual KeyedEntry Encode(const KnownWorker& aWorker) const = 0;
  virtual KeyedEntry Encode(const OwnerNote& aNote) const = 0;
  virtual KeyedEntry Encode(const LearnedRecord& aLearned) const = 0;

  // Drop returns the entries that drop a job's records of each topic.
  virtual std::vector<KeyedEntry> DropIntake(const JobId& aJob) const = 0;
  virtual KeyedEntry DropProgress(const JobId& aJob) const = 0;
  virtual KeyedEntry DropWorker(const WorkerId& aWorker) const = 0;

  // JobOf returns the job that an entry of the intake hands in, without
  // decoding it; nothing for other entries.
  virtual std::optional<JobId> JobOf(const KeyedEntry& aEntry) const = 0;

  virtual Result<IntakeItem> DecodeIntake(const KeyedEntry& aEntry) const = 0;
  virtual Result<ProgressItem> DecodeProgress(
    const KeyedEntry& aEntry) const = 0;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_PORTS_OUT_JOB_LOG_CODEC_H_
