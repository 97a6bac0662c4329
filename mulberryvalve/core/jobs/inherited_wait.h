// Why a new owner waits for a worker of former owners, and how the wait ended.
#ifndef MULBERRYVALVE_CORE_JOBS_INHERITED_WAIT_H_
#define MULBERRYVALVE_CORE_JOBS_INHERITED_WAIT_H_

#include "mulberryvalve/core/base/enum_table.h"
#include "mulberryvalve/core/base/time.h"
#include "mulberryvalve/core/jobs/inherited_workers.h"

#include <array>
#include <cstddef>
#include <tuple>

namespace mulberryvalve {

// WaitEvidence is what is known of an inherited worker: by its handover note,
// or because it answered without listing all ends.
enum class WaitEvidence
{
  kNoNote,      // any task may run there, for the longest time possible
  kTasksNoted,  // the tasks are known, and no limit of the wait
  kLimitNoted,  // the limit of the wait is known, and not the tasks
  kBothNoted,   // the tasks and the limit are known
  kEndsOmitted, // it answered, and may have ended further tasks
};

inline constexpr EnumTable<WaitEvidence, 5> kWaitEvidenceNames{ { {
  { WaitEvidence::kNoNote, "no_note" },
  { WaitEvidence::kTasksNoted, "tasks_noted" },
  { WaitEvidence::kLimitNoted, "limit_noted" },
  { WaitEvidence::kBothNoted, "both_noted" },
  { WaitEvidence::kEndsOmitted, "ends_omitted" },
} } };

// WorkerListing is whether the list of workers has a worker.
enum class WorkerListing
{
  kUnread, // this owner has read no list yet
  kListed,
  kUnlisted,
};

inline constexpr EnumTable<WorkerListing, 3> kWorkerListingNames{ { {
  { WorkerListing::kUnread, "unread" },
  { WorkerListing::kListed, "listed" },
  { WorkerListing::kUnlisted, "unlisted" },
} } };

// WaitRelease is how the wait for an inherited worker ended.
enum class WaitRelease
{
  kAnswered,    // it sent its run lists
  kWaitExpired, // nothing that former owners started can run there
  kGone,        // another process answers at its address
  kRunsBounded, // as kWaitExpired, earlier by what is known of former owners
};

inline constexpr EnumTable<WaitRelease, 4> kWaitReleaseNames{ { {
  { WaitRelease::kAnswered, "answered" },
  { WaitRelease::kWaitExpired, "wait_expired" },
  { WaitRelease::kGone, "gone" },
  { WaitRelease::kRunsBounded, "runs_bounded" },
} } };

// WaitReason is why an inherited worker is waited for.
struct WaitReason
{
  WaitEvidence mEvidence = WaitEvidence::kNoNote;
  WorkerListing mListing = WorkerListing::kUnread;
};

// EndedWait is a wait that has ended. Its durations begin at the claim.
struct EndedWait
{
  WaitReason mReason;
  WaitRelease mRelease = WaitRelease::kAnswered;
  // How long the worker was waited for, and how long it was to be at most.
  Milliseconds mHeldFor{ 0 };
  Milliseconds mLimit{ 0 };
};

// HeldTaskCounts counts the tasks that wait for inherited workers, and these
// workers; all are zero if no task does.
struct HeldTaskCounts
{
  size_t mJobs = 0;
  size_t mTasks = 0;
  // Those of mTasks of which an inherited worker that answered has listed an
  // end, and those whose last listed end is a lapsed lease.
  size_t mEndedTasks = 0;
  size_t mLapsedTasks = 0;
  size_t mWorkers = 0;
  // Those of mWorkers by what is known of them, in the order of WaitEvidence.
  std::array<size_t, kWaitEvidenceNames.mRows.size()> mByEvidence{};
  // Those of mWorkers that the list of workers lacks, and those whose wait
  // covers all that a former owner may have done.
  size_t mUnlisted = 0;
  size_t mAssumed = 0;

  friend bool operator==(const HeldTaskCounts& aLeft,
                         const HeldTaskCounts& aRight)
  {
    const auto tied = [](const HeldTaskCounts& aCounts) {
      return std::tie(aCounts.mJobs,
                      aCounts.mTasks,
                      aCounts.mEndedTasks,
                      aCounts.mLapsedTasks,
                      aCounts.mWorkers,
                      aCounts.mByEvidence,
                      aCounts.mUnlisted,
                      aCounts.mAssumed);
    };
    return tied(aLeft) == tied(aRight);
  }
};

// Returns what the note of a worker tells, which was restored as aInherited.
inline WaitEvidence EvidenceOfNote(const InheritedWorker& aInherited)
{
  if (aInherited.mIsAssumed) {
    return aInherited.mPossibleTasks ? WaitEvidence::kTasksNoted
                                     : WaitEvidence::kNoNote;
  }
  return aInherited.mPossibleTasks ? WaitEvidence::kBothNoted
                                   : WaitEvidence::kLimitNoted;
}

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_INHERITED_WAIT_H_
