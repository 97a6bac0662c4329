#include "mulberryvalve/core/jobs/account_scheduling.h"

#include <algorithm>
#include <utility>

namespace mulberryvalve {
namespace {

// A job beyond the rate of its account that is older than this many objectives
// counts as within, so that none waits forever.
constexpr int64_t kMaxAgeBeyondRate = 6;
// An account with this many times its share running is served after the others.
// Jobs differ in size, so that twice the share is common for a moment.
constexpr double kMaxOvershare = 3.0;
// How often the demand of inherited tasks is counted while workers of former
// owners are awaited. Between two counts it is too high rather than too low.
constexpr Milliseconds kInheritedInterval{ 100 };
// At most one line an account in this time. Also the time without a refusal
// after which an account counts as below its limit again.
constexpr Milliseconds kLimitReportInterval{ 1000 };

std::string ToText(const Resources& aAmount)
{
  return "cpu " + std::to_string(aAmount.mCpuMillis) + " mem " +
         std::to_string(aAmount.mMemoryMb) + " acc " +
         std::to_string(aAmount.mAccelerators);
}

// The members of a gang start together.
uint32_t TasksAtOnce(const StepSpec& aSpec)
{
  return aSpec.mGang ? aSpec.mCount : 1;
}

} // namespace

AccountScheduling::AccountScheduling(uint32_t aShards,
                                     const JobTable& aJobs,
                                     const WorkerTable& aWorkers,
                                     const InheritedWorkers& aInherited)
  : mJobs(aJobs)
  , mWorkers(aWorkers)
  , mInherited(aInherited)
  , mUsage(aShards)
{
}

void AccountScheduling::OnConfig(const ClusterConfig& aConfig)
{
  mUsage.SetAccounts(aConfig.mAccounts);
  mVersion = aConfig.mVersion;
  for (const auto& [account, number] : mNumbers) {
    mPassStates[number].mWeight = mUsage.Weight(account);
  }
  if (aConfig.mAccounts != nullptr) {
    mRate.RetainOnly(*aConfig.mAccounts);
  } else if (IsConfigKnown()) {
    // No rate applies to jobs of before the accounts, and a deployment without
    // accounts remembers none.
    mUnratedJobs.clear();
  }
}

void AccountScheduling::OnJobAdded(JobEntry& aJob)
{
  if (!aJob.mGraph.mAccount.Empty()) {
    const auto [found, isNew] = mNumbers.try_emplace(
      aJob.mGraph.mAccount, static_cast<uint32_t>(mPassStates.size()));
    if (isNew) {
      mPassStates.emplace_back().mWeight = mUsage.Weight(aJob.mGraph.mAccount);
    }
    aJob.mAccountNumber = found->second;
  }
  const bool mayHaveRate = mUsage.IsInForce() || !IsConfigKnown();
  if (mayHaveRate && !aJob.mGraph.mAccount.Empty()) {
    mUnratedJobs.push_back(aJob.mGraph.mId);
  }
}

void AccountScheduling::Charge(const JobEntry& aJob, const StepSpec& aSpec)
{
  mUsage.Charge(aJob.mGraph.mAccount, aSpec.mDemand);
}

void AccountScheduling::Release(const JobEntry& aJob, const StepSpec& aSpec)
{
  mUsage.Release(aJob.mGraph.mAccount, aSpec.mDemand);
}

void AccountScheduling::BeginPass(JobTable& aJobs, MonotonicTime aNow)
{
  mPass++;
  mPassBegunAt = aNow;
  if (mUsage.IsInForce()) {
    RateNewJobs(aJobs);
    ChargeInherited(aNow);
    CompareShares();
  }
}

// Compares, for each account that has something running or waiting, the CPU of
// its running tasks with its part of that of all, by weight.
void AccountScheduling::CompareShares()
{
  double totalWeight = 0;
  double totalCpu = 0;
  const auto addWeight = [&](PassState& aState) {
    if (aState.mActiveInPass != mPass) {
      aState.mActiveInPass = mPass;
      totalWeight += aState.mWeight;
    }
  };
  for (const auto& [key, job] : mJobs.ReadySteps()) {
    if (job->mAccountNumber != 0) {
      addWeight(mPassStates[job->mAccountNumber]);
    }
  }
  std::vector<std::pair<PassState*, double>> running;
  running.reserve(mUsage.All().size());
  for (const auto& [account, charged] : mUsage.All()) {
    PassState& state = mPassStates[mNumbers.at(account)];
    const auto cpu = static_cast<double>(charged.mCpuMillis);
    running.emplace_back(&state, cpu);
    addWeight(state);
    totalCpu += cpu;
  }
  if (totalWeight <= 0) {
    return;
  }
  for (const auto& [state, cpu] : running) {
    if (cpu > kMaxOvershare * totalCpu * state->mWeight / totalWeight) {
      state->mAboveShareInPass = mPass;
    }
  }
}

// Jobs of before the claim are restored in any order, so they are rated by time
// of acceptance; a successor then counts them as its predecessor did.
void AccountScheduling::RateNewJobs(JobTable& aJobs)
{
  std::vector<JobEntry*> jobs;
  for (const JobId& id : std::exchange(mUnratedJobs, {})) {
    if (JobEntry* job = aJobs.Find(id)) {
      jobs.push_back(job);
    }
  }
  std::stable_sort(jobs.begin(),
                   jobs.end(),
                   [](const JobEntry* aLeft, const JobEntry* aRight) {
                     return aLeft->mGraph.mAcceptedAt.mMilliseconds <
                            aRight->mGraph.mAcceptedAt.mMilliseconds;
                   });
  for (JobEntry* job : jobs) {
    const ClientAccountId& account = job->mGraph.mAccount;
    const double rate = mUsage.Weight(account);
    job->mIsBeyondRate =
      rate > 0 && !mRate.Admit(account, rate, job->mGraph.mAcceptedAt);
  }
}

// Charges what runs or may run beside the tasks that are placed.
void AccountScheduling::ChargeInherited(MonotonicTime aNow)
{
  if (mInherited.PendingCount() == 0) {
    mInheritedDemand.clear();
  } else if (aNow >= mCountInheritedAt) {
    mInheritedDemand = InheritedDemand();
    mCountInheritedAt = aNow + kInheritedInterval;
  }
  Demand demand = ForeignDemand(aNow);
  for (const auto& [account, inherited] : mInheritedDemand) {
    demand[account] += inherited;
  }
  demand.erase(ClientAccountId());
  mUsage.SetInherited(std::move(demand));
}

// Returns the demand of the runs that workers listed and that are being
// stopped, until they are no longer listed or their leases have expired.
AccountScheduling::Demand AccountScheduling::ForeignDemand(
  MonotonicTime aNow) const
{
  Demand demand;
  for (const auto& [id, worker] : mWorkers.All()) {
    if (worker.mSilent && aNow >= worker.mLeasesExpiredAt) {
      continue;
    }
    for (const TaskRef& task : worker.mForeignRuns) {
      if (mJobs.FindTask(task) != nullptr) {
        const JobEntry& job = *mJobs.Find(task.mStep.mJob);
        demand[job.mGraph.mAccount] +=
          job.mGraph.mSteps[task.mStep.mStep].mDemand;
      }
    }
  }
  return demand;
}

// Returns the demand of the tasks that may run on workers that have not
// answered: by their records or, if the log took none, by their bucket.
AccountScheduling::Demand AccountScheduling::InheritedDemand() const
{
  Demand demand;
  for (const auto& [task, workers] : mInherited.BlockedTasks()) {
    const JobEntry* job = mJobs.Find(task.mStep.mJob);
    const TaskProgress* progress = mJobs.FindTask(task);
    if (job != nullptr && progress != nullptr &&
        progress->mPhase == TaskPhase::kWaiting) {
      demand[job->mGraph.mAccount] +=
        job->mGraph.mSteps[task.mStep.mStep].mDemand;
    }
  }
  for (const auto& [key, job] : mJobs.ReadySteps()) {
    const StepRef step{ job->mGraph.mId, key.mOccurrence, key.mStep };
    const StepSpec& spec = job->mGraph.mSteps[key.mStep];
    for (uint32_t index = 0; index < spec.mCount; index++) {
      if (MayRunElsewhere(*job, TaskRef{ step, index })) {
        demand[job->mGraph.mAccount] += spec.mDemand;
      }
    }
  }
  return demand;
}

// Returns whether a run of a waiting task without a record may be left.
bool AccountScheduling::MayRunElsewhere(const JobEntry& aJob,
                                        const TaskRef& aTask) const
{
  const StepSpec& spec = aJob.mGraph.mSteps[aTask.mStep.mStep];
  return !aJob.mGraph.mAccount.Empty() && !mInherited.BlocksTask(aTask) &&
         mInherited.MayRun(aTask, spec, aJob.mMayHaveFormerRuns) &&
         mJobs.FindTask(aTask)->mPhase == TaskPhase::kWaiting;
}

AccountShare AccountScheduling::ShareOf(const JobEntry& aJob,
                                        MonotonicTime aAcceptedAt,
                                        Milliseconds aObjective,
                                        MonotonicTime aNow) const
{
  AccountShare share;
  if (mUsage.IsInForce() && aJob.mAccountNumber != 0) {
    share.mIsBeyondRate =
      aJob.mIsBeyondRate && aNow - aAcceptedAt < kMaxAgeBeyondRate * aObjective;
    share.mIsAboveShare =
      mPassStates[aJob.mAccountNumber].mAboveShareInPass == mPass;
  }
  return share;
}

bool AccountScheduling::MayStart(const JobEntry& aJob, const StepSpec& aSpec)
{
  const ClientAccountId& account = aJob.mGraph.mAccount;
  if (account.Empty()) {
    return true;
  }
  if (!mUsage.IsInForce()) {
    return IsConfigKnown();
  }
  if (IsRefusedInPass(aJob)) {
    return false;
  }
  const uint32_t tasks = TasksAtOnce(aSpec);
  if (mUsage.MayStart(account, aSpec.mDemand, tasks)) {
    return true;
  }
  LimitState& state = mLimited[account];
  state.mRefusedAt = mPassBegunAt;
  if (mUsage.FitsAlone(account, aSpec.mDemand, tasks)) {
    mPassStates[aJob.mAccountNumber].mRefusedInPass = mPass;
  }
  return false;
}

bool AccountScheduling::IsRefusedInPass(const JobEntry& aJob) const
{
  return mPassStates[aJob.mAccountNumber].mRefusedInPass == mPass;
}

std::string AccountScheduling::WaitReason(const JobEntry& aJob,
                                          const StepSpec& aSpec) const
{
  const ClientAccountId& account = aJob.mGraph.mAccount;
  if (account.Empty()) {
    return "";
  }
  const bool waits =
    !IsConfigKnown() ||
    (mUsage.IsInForce() &&
     (IsRefusedInPass(aJob) ||
      !mUsage.MayStart(account, aSpec.mDemand, TasksAtOnce(aSpec))));
  return waits ? Describe(account) : std::string();
}

std::vector<JobDecision> AccountScheduling::TakeChanges(MonotonicTime aNow)
{
  std::vector<JobDecision> changes;
  for (auto entry = mLimited.begin(); entry != mLimited.end();) {
    LimitState& state = entry->second;
    const bool isLimited = aNow < state.mRefusedAt + kLimitReportInterval;
    if (isLimited != state.mIsReported && aNow >= state.mReportAt) {
      state.mIsReported = isLimited;
      state.mReportAt = aNow + kLimitReportInterval;
      JobDecision decision;
      decision.mKind = isLimited ? DecisionKind::kAccountLimited
                                 : DecisionKind::kAccountUnlimited;
      decision.mReason = Describe(entry->first);
      changes.push_back(std::move(decision));
    }
    const bool isOver = !isLimited && !state.mIsReported;
    entry = isOver ? mLimited.erase(entry) : std::next(entry);
  }
  return changes;
}

std::vector<AccountLoad> AccountScheduling::Loads() const
{
  std::vector<AccountLoad> loads;
  if (!mUsage.IsInForce()) {
    return loads;
  }
  std::unordered_map<ClientAccountId, int64_t> waiting;
  for (const auto& [account, charged] : mUsage.All()) {
    waiting.try_emplace(account);
  }
  for (const auto& [account, charged] : mUsage.Inherited()) {
    waiting.try_emplace(account);
  }
  // The steps of a job follow each other.
  const JobEntry* counted = nullptr;
  for (const auto& [key, job] : mJobs.ReadySteps()) {
    if (job != counted && !job->mGraph.mAccount.Empty()) {
      waiting[job->mGraph.mAccount]++;
    }
    counted = job;
  }
  loads.reserve(waiting.size());
  for (const auto& [account, jobs] : waiting) {
    loads.push_back(AccountLoad{
      account, mUsage.Charged(account), mUsage.Limit(account), jobs });
  }
  return loads;
}

std::string AccountScheduling::Describe(const ClientAccountId& aAccount) const
{
  return "account " + aAccount.Text() + ", charged " +
         ToText(mUsage.Charged(aAccount)) + ", limit " +
         ToText(mUsage.Limit(aAccount)) + ", version " +
         std::to_string(mVersion);
}

} // namespace mulberryvalve
