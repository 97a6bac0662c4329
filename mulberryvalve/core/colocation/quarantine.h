// Quarantine: excludes workers on which tasks fail that succeed elsewhere, and
// probes them with one task at a time until they recover.
#ifndef MULBERRYVALVE_CORE_COLOCATION_QUARANTINE_H_
#define MULBERRYVALVE_CORE_COLOCATION_QUARANTINE_H_

#include "mulberryvalve/core/base/time.h"
#include "mulberryvalve/core/colocation/interference_model.h"

#include <array>
#include <unordered_map>
#include <vector>

namespace mulberryvalve {

// QuarantineOptions configure when a worker is quarantined and probed.
struct QuarantineOptions
{
  // Consecutive failures, of classes that succeed elsewhere, that quarantine a
  // worker.
  int mFailuresToQuarantine = 3;
  // A failure counts only if its class last succeeded on at least this share of
  // the other workers that ran it.
  double mMinPeerSuccessShare = 0.5;
  Milliseconds mFirstProbeDelay{ 5000 };
  Milliseconds mMaxProbeDelay{ 300000 };
};

// Quarantine compares each failure with the outcomes of the same class on other
// workers. Failures of a class that fails everywhere are not held against the
// worker. Not thread-safe.
class Quarantine
{
public:
  explicit Quarantine(QuarantineOptions aOptions);

  // OnOutcome records how an attempt of aClass ended on aWorker at aNow.
  void OnOutcome(const WorkerId& aWorker,
                 ClassIndex aClass,
                 bool aSucceeded,
                 MonotonicTime aNow);

  // IsExcluded returns true when no task may be placed on aWorker at aNow,
  // because it is quarantined and no probe is due.
  bool IsExcluded(const WorkerId& aWorker, MonotonicTime aNow) const;

  // IsQuarantined returns true when aWorker is quarantined, whether or not a
  // probe is due.
  bool IsQuarantined(const WorkerId& aWorker) const;

  // OnPlaced records that a task was placed on aWorker. If aWorker is
  // quarantined, the task is its probe, and no second task is placed there
  // until the next probe is due.
  void OnPlaced(const WorkerId& aWorker, MonotonicTime aNow);

  // ExcludedWorkers returns the workers for which IsExcluded is true at aNow.
  std::vector<WorkerId> ExcludedWorkers(MonotonicTime aNow) const;

  // Size returns the number of quarantined workers.
  size_t Size() const;

private:
  struct WorkerRecord
  {
    int mConsecutiveFailures = 0;
    bool mQuarantined = false;
    Milliseconds mBackoff{ 0 };
    MonotonicTime mProbeAt;
  };
  // The last outcome of a class on each worker.
  struct ClassOutcomes
  {
    std::unordered_map<WorkerId, bool> mLastSucceeded;
    size_t mSucceeded = 0;
  };

  bool IsEvidenceAgainst(const WorkerId& aWorker, ClassIndex aClass) const;
  void RecordOutcome(const WorkerId& aWorker,
                     ClassIndex aClass,
                     bool aSucceeded);
  void OnCountedFailure(WorkerRecord& aRecord, MonotonicTime aNow);

  QuarantineOptions mOptions;
  std::unordered_map<WorkerId, WorkerRecord> mWorkers;
  std::array<ClassOutcomes, InterferenceModel::kMaxClasses> mClasses;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_COLOCATION_QUARANTINE_H_
