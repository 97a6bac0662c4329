// FormerOwners: the owners that may have used a shard's workers before the
// present one, and what is known of their ends.
#ifndef MULBERRYVALVE_CORE_JOBS_FORMER_OWNERS_H_
#define MULBERRYVALVE_CORE_JOBS_FORMER_OWNERS_H_

#include "mulberryvalve/core/base/enum_table.h"
#include "mulberryvalve/core/base/time.h"
#include "mulberryvalve/core/jobs/job_graph.h"
#include "mulberryvalve/core/jobs/ownership_summary.h"
#include "mulberryvalve/core/jobs/worker_table.h"
#include "mulberryvalve/core/model/ids.h"
#include "mulberryvalve/core/model/worker.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace mulberryvalve {

// FormerOwner is an owner as its claim on the log names it.
struct FormerOwner
{
  Epoch mEpoch;
  // The process that claimed the shard, and where it answers its peers. Empty
  // and zero if the claim does not tell.
  Endpoint mPeer{};
  Incarnation mProcess{};
  // How long it had been active when its last append was first sent, by its own
  // clock. Unset in a record of an owner whose leases no proof bounds.
  std::optional<Milliseconds> mActiveFor{};
  // It used no worker before the worker's record on the log named it, and has
  // appended since its claim was on the log.
  bool mRecordsUse = false;
  // For how long after its last append was first sent runs of owners before it
  // went on at most, by its own clock, as far as it knew.
  std::map<Epoch, Milliseconds> mFormerRunsLeft{};
};

// FormerOwnerQuestion asks a former owner whether it has ended, and what it did
// on some workers.
struct FormerOwnerQuestion
{
  FormerOwner mOwner;
  std::vector<WorkerId> mWorkers;
};

// FormerOwnerEnd is the answer of a former owner that has ended, or what stands
// for it. mAskedOf are the workers that it was asked about; mTold is unset if
// it does not tell what it did.
struct FormerOwnerEnd
{
  Epoch mEpoch;
  // It sent nothing after that.
  MonotonicTime mEndedBy;
  MonotonicTime mReceivedAt;
  std::vector<WorkerId> mAskedOf{};
  std::optional<ToldUse> mTold{};
};

// RunsEndEvidence is what shows when the runs of a former owner have ended.
enum class RunsEndEvidence
{
  kNone,
  kClaimed,  // a later claim, after which it could record no proof
  kObserved, // how long it was active, told by itself, and its last record
  kRecorded, // what an owner after it recorded of it
  kEnded,    // the end of its ownership or its process
};

inline constexpr EnumTable<RunsEndEvidence, 5> kRunsEndEvidenceNames{ { {
  { RunsEndEvidence::kNone, "none" },
  { RunsEndEvidence::kClaimed, "claim" },
  { RunsEndEvidence::kObserved, "observed" },
  { RunsEndEvidence::kRecorded, "recorded" },
  { RunsEndEvidence::kEnded, "ended" },
} } };

// RunsEnd is when the runs of a former owner have certainly ended. mBy is unset
// if there is no evidence.
struct RunsEnd
{
  Epoch mEpoch;
  RunsEndEvidence mEvidence = RunsEndEvidence::kNone;
  std::optional<MonotonicTime> mBy{};
};

// A former owner that is not known to have ended may renew leases and start
// tasks until its last proof of ownership expires. Not thread-safe.
class FormerOwners
{
public:
  // Adds an owner. Does nothing if its epoch was added before.
  void Add(FormerOwner aOwner);

  // Records that the owner of aEpoch had ended by aEndedBy. Does nothing if the
  // epoch is unknown or an earlier time is known.
  void OnEnded(Epoch aEpoch, MonotonicTime aEndedBy);

  // Records that the last proof that bounds the leases of the owner of aEpoch
  // was recorded by aProvedBy. Does nothing if the epoch is unknown, an earlier
  // time is known, or no proof bounds the leases of that owner.
  void OnLastProof(Epoch aEpoch,
                   MonotonicTime aProvedBy,
                   RunsEndEvidence aEvidence);

  // Records what an owner told after its end, and by when that was. Does
  // nothing if the epoch is unknown.
  void OnTold(const FormerOwnerEnd& aEnd);

  // Returns whom to ask of what, while aPending are waited for: the owners that
  // can be asked and are not known to have ended, and those that tell what they
  // did and were not asked of all of aPending.
  std::vector<FormerOwnerQuestion> Questions(
    const std::vector<WorkerId>& aPending) const;

  // Returns when the runs of each owner end, by the bounds of aWorkers.
  std::vector<RunsEnd> EndsOfRuns(const WorkerTable& aWorkers) const;

  // Returns when all runs have ended on a worker whose record names aLastUser,
  // or nothing if that is not known of an owner that may have used it or if
  // there is none. Without aLastUser, or if that owner is unknown, any owner
  // may have.
  std::optional<MonotonicTime> RunsEndBy(const WorkerId& aWorker,
                                         std::optional<Epoch> aLastUser,
                                         const WorkerTable& aWorkers) const;

  // Returns the tasks that may have been started on a worker without a record
  // on the log, or nothing if an owner that may have used it has not told all.
  std::optional<std::vector<TaskRef>> UnrecordedStartsOn(
    const WorkerId& aWorker,
    std::optional<Epoch> aLastUser) const;

  // Returns the epoch of the newest owner, or nothing if there is none.
  std::optional<Epoch> Newest() const;

  // Returns the epochs of all owners, and forgets them.
  std::vector<Epoch> TakeAll();

private:
  struct Entry
  {
    FormerOwner mOwner;
    std::optional<MonotonicTime> mEndedBy{};
    std::optional<MonotonicTime> mProvedBy{};
    RunsEndEvidence mProofEvidence = RunsEndEvidence::kNone;
    // It tells what it did, of these workers if it can.
    bool mTells = false;
    std::set<WorkerId> mAskedOf{};
    // By when its leases end on the workers of which it told; the earliest time
    // for those that it never used.
    std::map<WorkerId, MonotonicTime> mLeasesEndBy{};
    // The starts without a record, of the workers of which it told all.
    std::map<WorkerId, std::vector<TaskRef>> mUnrecorded{};
  };

  RunsEnd EndOfRuns(const Entry& aEntry, const WorkerTable& aWorkers) const;
  const Entry& EarliestProof(const Entry& aEntry) const;
  std::optional<MonotonicTime> EndRecordedByOthers(
    Epoch aEpoch,
    const WorkerTable& aWorkers) const;
  std::optional<MonotonicTime> EndOfRunsOn(const WorkerId& aWorker,
                                           const Entry& aEntry,
                                           const WorkerTable& aWorkers) const;
  std::vector<const Entry*> PossibleUsers(std::optional<Epoch> aLastUser) const;

  std::map<Epoch, Entry> mOwners;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_FORMER_OWNERS_H_
