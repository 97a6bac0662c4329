// Changes of owner in a row while workers are unreachable: an owner adds to the
// wait for a worker only if it may have used that worker.
#include "mulberryvalve/core/jobs/full_cluster_fake.h"

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

// An owner that lives this long has asked every worker and written no note.
constexpr Milliseconds kShortLife{ 1500 };
constexpr size_t kMostOwnersInARow = 3;

// Returns when the runs of an owner have ended whose newest append was sent at
// aAppendedAt.
MonotonicTime EndOfRuns(MonotonicTime aAppendedAt)
{
  return WorkerTable(LeaseTerms()).EndOfRunsProvedAt(aAppendedAt);
}

} // namespace

TEST_GROUP(OwnerChainTest)
{
  FullCluster mCluster;

  void setup() override
  {
    mCluster->mObservesOwners = true;
  }

  // Each of aOwners follows the one before it after its short life.
  void ReplaceOwnerInARow(size_t aOwners)
  {
    for (size_t owner = 0; owner < aOwners; owner++) {
      mCluster.ReplaceOwner(kTakeoverDelay);
      mCluster->RunFor(kShortLife);
    }
  }

  // Returns what to say if the lasting tasks run on other workers later than
  // kPlacementLimit after aUntil, or if something breaks an invariant.
  std::string Findings(MonotonicTime aUntil)
  {
    const MonotonicTime since = aUntil + kPlacementLimit - kLastingTaskLimit;
    const std::string tooLate = mCluster.LastingTasksTooLate(since);
    return tooLate + mCluster.ViolationsUntilSettled();
  }
};

// Guards against a wait that begins anew with each owner, though only the first
// one had used the workers that are waited for (LOST).
TEST(OwnerChainTest, OwnersThatNeverHeardFromAWorkerAddNoWaitForIt)
{
  const MonotonicTime lostAt = mCluster->Now();
  mCluster.LoseUnreachableWorkers();
  ReplaceOwnerInARow(kMostOwnersInARow);
  STRCMP_EQUAL("", Findings(EndOfRuns(lostAt)).c_str());
}

// Guards against a wait that is too short: an owner between the first and the
// last one had heard from the workers and renewed leases there (TWICE).
TEST(OwnerChainTest, AnOwnerThatUsedAWorkerIsWaitedFor)
{
  ReplaceOwnerInARow(1);
  const MonotonicTime lostAt = mCluster->Now();
  mCluster.LoseUnreachableWorkers(kUnheardKinds[0]);
  ReplaceOwnerInARow(2);
  STRCMP_EQUAL("", Findings(EndOfRuns(lostAt)).c_str());
}

} // namespace mulberryvalve
