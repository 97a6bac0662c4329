// AccountScheduling: the limits and shares of client accounts in the decisions
// of a shard's owner.
#ifndef MULBERRYVALVE_CORE_JOBS_ACCOUNT_SCHEDULING_H_
#define MULBERRYVALVE_CORE_JOBS_ACCOUNT_SCHEDULING_H_

#include "mulberryvalve/core/accounts/account_load.h"
#include "mulberryvalve/core/accounts/account_rate.h"
#include "mulberryvalve/core/accounts/account_usage.h"
#include "mulberryvalve/core/jobs/cluster_config.h"
#include "mulberryvalve/core/jobs/inherited_workers.h"
#include "mulberryvalve/core/jobs/job_decision.h"
#include "mulberryvalve/core/jobs/job_table.h"
#include "mulberryvalve/core/jobs/queueing_policy.h"
#include "mulberryvalve/core/jobs/worker_table.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace mulberryvalve {

// Does nothing while the configuration has no accounts, but for counting what
// their jobs have running. Not synchronised.
class AccountScheduling
{
public:
  // aShards owners divide the limits. The references must outlive this object.
  AccountScheduling(uint32_t aShards,
                    const JobTable& aJobs,
                    const WorkerTable& aWorkers,
                    const InheritedWorkers& aInherited);

  // Applies a configuration.
  void OnConfig(const ClusterConfig& aConfig);

  // Records a job that was added to the table, in any order for those of before
  // the claim.
  void OnJobAdded(JobEntry& aJob);

  // Charge adds a task of aJob that is to start on a worker or was found there,
  // and Release removes it.
  void Charge(const JobEntry& aJob, const StepSpec& aSpec);
  void Release(const JobEntry& aJob, const StepSpec& aSpec);

  // Begins a pass over the waiting steps: rates the jobs that are new in aJobs,
  // compares the accounts, and forgets which were refused.
  void BeginPass(JobTable& aJobs, MonotonicTime aNow);

  // Returns what the order of a step of aJob depends on. The job was accepted
  // at aAcceptedAt and should be over aObjective after that.
  AccountShare ShareOf(const JobEntry& aJob,
                       MonotonicTime aAcceptedAt,
                       Milliseconds aObjective,
                       MonotonicTime aNow) const;

  // Returns whether a task of a step of aJob may start now, or all of a gang.
  // Once a step of an account may not, no other of the account may in the same
  // pass, so that large tasks are not passed over forever. A step that would
  // not fit if nothing of its account ran holds up no other. Before the first
  // configuration no task of an account may, as its limit is not known.
  bool MayStart(const JobEntry& aJob, const StepSpec& aSpec);

  // Returns limit, charge and version of the account of a job, for a log line;
  // an empty text if the step does not wait for its account.
  std::string WaitReason(const JobEntry& aJob, const StepSpec& aSpec) const;

  // Returns the accounts that reached their limit or fell below it since the
  // last call, each at most once a second.
  std::vector<JobDecision> TakeChanges(MonotonicTime aNow);

  const AccountUsage& Usage() const { return mUsage; }

  // Returns the accounts that have something charged or waiting, in no order;
  // none while the configuration has no accounts. Looks at every ready step.
  std::vector<AccountLoad> Loads() const;

private:
  // PassState is what the passes over the waiting steps know of an account: its
  // weight, and the last pass in which something was so. Steps find it by a
  // number, as looking up the name for each step of a backlog is expensive.
  struct PassState
  {
    double mWeight = 0;
    uint64_t mActiveInPass = 0;
    uint64_t mAboveShareInPass = 0;
    uint64_t mRefusedInPass = 0;
  };

  // LimitState tells when an account was last refused and what was logged.
  struct LimitState
  {
    MonotonicTime mRefusedAt;
    MonotonicTime mReportAt;
    bool mIsReported = false;
  };

  bool IsConfigKnown() const { return mVersion > 0; }
  void RateNewJobs(JobTable& aJobs);
  void CompareShares();
  void ChargeInherited(MonotonicTime aNow);
  using Demand = std::map<ClientAccountId, Resources>;
  Demand ForeignDemand(MonotonicTime aNow) const;
  Demand InheritedDemand() const;
  bool IsRefusedInPass(const JobEntry& aJob) const;
  bool MayRunElsewhere(const JobEntry& aJob, const TaskRef& aTask) const;
  std::string Describe(const ClientAccountId& aAccount) const;

  const JobTable& mJobs;
  const WorkerTable& mWorkers;
  const InheritedWorkers& mInherited;
  AccountUsage mUsage;
  AccountRate mRate;
  uint64_t mVersion = 0;
  std::vector<JobId> mUnratedJobs;
  // The number of the present pass, and when it began.
  uint64_t mPass = 0;
  MonotonicTime mPassBegunAt;
  // By number. The accounts of all jobs of this ownership have one.
  std::unordered_map<ClientAccountId, uint32_t> mNumbers;
  std::vector<PassState> mPassStates{ PassState() };
  std::unordered_map<ClientAccountId, LimitState> mLimited;
  // What inherited tasks may use, and when it is counted next.
  Demand mInheritedDemand;
  MonotonicTime mCountInheritedAt;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_ACCOUNT_SCHEDULING_H_
