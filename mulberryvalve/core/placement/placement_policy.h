// PlacementPolicy: the interface of the policies that select a worker for a
// waiting task.
#ifndef MULBERRYVALVE_CORE_PLACEMENT_PLACEMENT_POLICY_H_
#define MULBERRYVALVE_CORE_PLACEMENT_PLACEMENT_POLICY_H_

#include "mulberryvalve/core/ledger/task_entry.h"
#include "mulberryvalve/core/placement/worker_pool.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace mulberryvalve {

// CandidateScore is the cost of placing a task on one worker. All parts are
// dimensionless. The lowest total is selected.
struct CandidateScore
{
  WorkerId mWorker;
  double mInterference = 0;
  double mSpread = 0;
  double mFragmentation = 0;
  double mCheckpoint = 0;

  // Total returns the cost by which candidates are compared.
  double Total() const
  {
    return mInterference + mSpread + mFragmentation + mCheckpoint;
  }
};

// PlacementChoice is the result of a selection. mCandidates has bounded size
// and is empty for policies that do not score. mPostponed is true when a worker
// has room but the task should wait.
struct PlacementChoice
{
  std::optional<WorkerId> mWorker;
  std::vector<CandidateScore> mCandidates;
  bool mPostponed = false;
};

// PlacementPolicy selects a worker for a task. Implementations never return a
// worker that the demand does not fit on, and are deterministic for the same
// arguments and history. Not thread-safe.
class PlacementPolicy
{
public:
  virtual ~PlacementPolicy() = default;

  // Choose returns the worker for aTask, or none when no worker can run it now.
  virtual PlacementChoice Choose(const TaskEntry& aTask,
                                 const WorkerPool& aPool) = 0;
};

// PlacementSeed returns a hash of the task, its attempt and aSalt. It is the
// same on every machine and uniformly distributed.
uint64_t PlacementSeed(const TaskEntry& aTask, uint64_t aSalt);

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_PLACEMENT_PLACEMENT_POLICY_H_
