#include "mulberryvalve/core/jobs/queueing_load_fake.h"

#include "mulberryvalve/core/jobs/fair_share_policy.h"
#include "mulberryvalve/core/jobs/shard_simulation_fake.h"

#include <algorithm>
#include <memory>
#include <random>
#include <vector>

namespace mulberryvalve {
namespace {

// Four workers run 32 tasks at a time.
constexpr size_t kWorkers = 4;
constexpr int64_t kTaskCpu = 2000;
constexpr Milliseconds kStartUp{ 400 };
constexpr double kLateWorth = 0.15;
constexpr int64_t kPercent = 100;
// What an account may send, a little over what it usually sends.
constexpr double kAccountRate = 1.5;
constexpr int64_t kFirstAcceptedMs = 1780000000000;

// JobKind describes jobs of one kind. Of ten jobs seven have mSmall tasks a
// step, two have mMedium and one has mLarge.
struct JobKind
{
  std::string mName;
  int mPriority = 0;
  uint32_t mSmall = 1;
  uint32_t mMedium = 1;
  uint32_t mLarge = 1;
  size_t mSteps = 1;
  Milliseconds mTaskDuration{ 800 };
  Milliseconds mTarget{ 0 };
  int64_t mStretchPercent = 100;
  ClientAccountId mAccount;
};

// Arrivals submits jobs of a kind at random intervals with a mean of mInterval.
struct Arrivals
{
  JobKind mKind;
  Milliseconds mFrom{ 0 };
  Milliseconds mTo{ 0 };
  Milliseconds mInterval{ 0 };
};

// Outage is a time in which the first mWorkers workers are unreachable.
struct Outage
{
  size_t mWorkers = 0;
  Milliseconds mFrom{ 0 };
  Milliseconds mTo{ 0 };
};

struct LoadPlan
{
  std::vector<Arrivals> mArrivals;
  Outage mOutage;
  std::vector<ClientAccountId> mAccounts;
  Milliseconds mLength{ 0 };
};

struct SimulatedJob
{
  JobKind mKind;
  JobGraph mGraph;
  Milliseconds mSubmitAt{ 0 };
  Milliseconds mTaskDuration{ 0 };
  std::optional<Milliseconds> mTook;

  int64_t Work() const
  {
    return static_cast<int64_t>(mGraph.TasksPerOccurrence()) *
           mTaskDuration.count();
  }
  Milliseconds Objective() const
  {
    return mKind.mTarget + static_cast<int64_t>(mKind.mSteps) * mTaskDuration *
                             mKind.mStretchPercent / kPercent;
  }
};

// The usual load is seven counter jobs and one batch job a second, which need
// about three quarters of the capacity.
constexpr Milliseconds kCounterInterval{ 143 };
constexpr Milliseconds kBatchInterval{ 1000 };
constexpr Milliseconds kLoadEnd{ 25000 };
constexpr Milliseconds kLoadLength{ 60000 };
// A burst of 6 s at two and a half times the usual.
constexpr Milliseconds kBurstFrom{ 5000 };
constexpr Milliseconds kBurstTo{ 11000 };

JobKind CounterKind()
{
  JobKind kind;
  kind.mName = "counter";
  kind.mSmall = 2;
  kind.mMedium = 4;
  kind.mLarge = 8;
  kind.mTaskDuration = Milliseconds(600);
  kind.mTarget = Milliseconds(1500);
  return kind;
}

JobKind BatchKind()
{
  JobKind kind;
  kind.mName = "batch";
  kind.mPriority = 2;
  kind.mSmall = 4;
  kind.mMedium = 10;
  kind.mLarge = 28;
  kind.mSteps = 2;
  kind.mTarget = Milliseconds(2500);
  return kind;
}

Arrivals Usual(JobKind aKind, Milliseconds aInterval)
{
  return Arrivals{ std::move(aKind), Milliseconds(0), kLoadEnd, aInterval };
}

// Returns the additional arrivals of a burst.
Arrivals Burst(JobKind aKind, Milliseconds aInterval)
{
  return Arrivals{ std::move(aKind), kBurstFrom, kBurstTo, aInterval * 2 / 3 };
}

LoadPlan UsualPlan()
{
  LoadPlan plan;
  plan.mArrivals = { Usual(CounterKind(), kCounterInterval),
                     Usual(BatchKind(), kBatchInterval) };
  plan.mLength = kLoadLength;
  return plan;
}

// Small jobs need nine tenths of the capacity for long, and large ones more
// than the rest.
LoadPlan LargeBehindSmallPlan()
{
  JobKind small;
  small.mName = "small";
  small.mTaskDuration = Milliseconds(500);
  small.mTarget = Milliseconds(1000);
  JobKind large = small;
  large.mName = "large";
  large.mSmall = large.mMedium = large.mLarge = 32;
  LoadPlan plan;
  plan.mArrivals = {
    Arrivals{ small, Milliseconds(0), Milliseconds(60000), Milliseconds(19) },
    Arrivals{ large, Milliseconds(0), Milliseconds(30000), Milliseconds(4000) }
  };
  plan.mLength = Milliseconds(62000);
  return plan;
}

// Jobs whose chain is longer than three times their objective.
LoadPlan HopelessPlan()
{
  JobKind hopeless = BatchKind();
  hopeless.mName = "hopeless";
  hopeless.mTarget = Milliseconds(100);
  hopeless.mStretchPercent = 20;
  LoadPlan plan = UsualPlan();
  plan.mArrivals.push_back(Usual(hopeless, Milliseconds(800)));
  return plan;
}

// Five accounts send the usual batch, and the first of them seven times that
// for some seconds, in smaller jobs.
LoadPlan FloodPlan(bool aHasAccounts)
{
  LoadPlan plan = UsualPlan();
  plan.mArrivals.pop_back();
  constexpr int accounts = 5;
  constexpr Milliseconds interval = kBatchInterval * accounts;
  for (int number = 0; number < accounts; number++) {
    JobKind kind = BatchKind();
    kind.mAccount = ClientAccountId("account-" + std::to_string(number));
    plan.mAccounts.push_back(kind.mAccount);
    if (number == 0) {
      kind.mName = "flooding";
      kind.mSmall = 3;
      kind.mMedium = 8;
      kind.mLarge = 20;
      plan.mArrivals.push_back(
        Arrivals{ kind, kBurstFrom, Milliseconds(15000), interval / 6 });
    }
    plan.mArrivals.push_back(Usual(kind, interval));
  }
  if (!aHasAccounts) {
    plan.mAccounts.clear();
  }
  return plan;
}

// Counter jobs alone need more than the capacity for longer than batch takes to
// age.
LoadPlan TwoPrioritiesPlan()
{
  constexpr Milliseconds end{ 75000 };
  LoadPlan plan;
  plan.mArrivals = {
    Arrivals{ CounterKind(), Milliseconds(0), end, Milliseconds(58) },
    Arrivals{
      BatchKind(), Milliseconds(0), Milliseconds(20000), Milliseconds(2500) }
  };
  plan.mLength = Milliseconds(80000);
  return plan;
}

LoadPlan PlanOf(QueueingLoad aLoad)
{
  LoadPlan plan = UsualPlan();
  switch (aLoad) {
    case QueueingLoad::kBatchBurst:
      plan.mArrivals.push_back(Burst(BatchKind(), kBatchInterval));
      break;
    case QueueingLoad::kCounterBurst:
      plan.mArrivals.push_back(Burst(CounterKind(), kCounterInterval));
      break;
    case QueueingLoad::kBacklogPastUse:
      plan.mOutage = { kWorkers, kBurstFrom, Milliseconds(19000) };
      break;
    case QueueingLoad::kLargeBehindSmall:
      return LargeBehindSmallPlan();
    case QueueingLoad::kHopelessJobs:
      return HopelessPlan();
    case QueueingLoad::kDomainGone:
      plan.mOutage = { kWorkers / 2, kBurstFrom, Milliseconds(14000) };
      break;
    case QueueingLoad::kAccountFlood:
      return FloodPlan(true);
    case QueueingLoad::kFloodWithoutAccounts:
      return FloodPlan(false);
    case QueueingLoad::kTwoPriorities:
      return TwoPrioritiesPlan();
  }
  return plan;
}

// Returns an integer from aFrom to aTo, the same on every platform.
int64_t Between(std::mt19937& aRandom, int64_t aFrom, int64_t aTo)
{
  return aFrom + static_cast<int64_t>(aRandom() %
                                      static_cast<uint32_t>(aTo - aFrom + 1));
}

uint32_t DrawTasks(const JobKind& aKind, std::mt19937& aRandom)
{
  const int64_t draw = Between(aRandom, 1, 10);
  if (draw <= 7) {
    return aKind.mSmall;
  }
  return draw <= 9 ? aKind.mMedium : aKind.mLarge;
}

// Run times vary by half; declared ones are wrong by up to a factor of two.
SimulatedJob DrawJob(const JobKind& aKind, std::mt19937& aRandom)
{
  SimulatedJob job;
  job.mKind = aKind;
  job.mTaskDuration =
    aKind.mTaskDuration * Between(aRandom, 50, 150) / kPercent;
  const Milliseconds declared =
    job.mTaskDuration * Between(aRandom, 50, 200) / kPercent;
  job.mGraph = OneStepJob("", DrawTasks(aKind, aRandom), kTaskCpu);
  job.mGraph.mQueue = QueueId(aKind.mName);
  job.mGraph.mAccount = aKind.mAccount;
  job.mGraph.mRules.mPriority = aKind.mPriority;
  job.mGraph.mRules.mSlack = aKind.mTarget;
  job.mGraph.mRules.mStretchPercent = aKind.mStretchPercent;
  StepSpec step = job.mGraph.mSteps[0];
  step.mEstimate = declared;
  job.mGraph.mSteps.assign(aKind.mSteps, step);
  for (uint32_t index = 1; index < aKind.mSteps; index++) {
    job.mGraph.mSteps[index].mDependsOn = { index - 1 };
  }
  return job;
}

std::vector<SimulatedJob> DrawJobs(const LoadPlan& aPlan, uint32_t aSeed)
{
  std::mt19937 random(aSeed);
  std::vector<SimulatedJob> jobs;
  for (const Arrivals& arrivals : aPlan.mArrivals) {
    Milliseconds at = arrivals.mFrom;
    while (at < arrivals.mTo) {
      SimulatedJob& job = jobs.emplace_back(DrawJob(arrivals.mKind, random));
      job.mSubmitAt = at;
      at += arrivals.mInterval * Between(random, 0, 2 * kPercent) / kPercent;
    }
  }
  std::stable_sort(jobs.begin(),
                   jobs.end(),
                   [](const SimulatedJob& aLeft, const SimulatedJob& aRight) {
                     return aLeft.mSubmitAt < aRight.mSubmitAt;
                   });
  for (size_t number = 0; number < jobs.size(); number++) {
    JobGraph& graph = jobs[number].mGraph;
    graph.mId = JobId(std::to_string(number));
    graph.mAcceptedAt.mMilliseconds =
      kFirstAcceptedMs + jobs[number].mSubmitAt.count();
  }
  return jobs;
}

ClusterConfig ConfigOf(const LoadPlan& aPlan)
{
  ClusterConfig config;
  config.mVersion = 1;
  if (!aPlan.mAccounts.empty()) {
    AccountDirectory::Accounts accounts;
    for (const ClientAccountId& id : aPlan.mAccounts) {
      accounts.emplace(id, ClientAccount{ id, kAccountRate, {} });
    }
    config.mAccounts = std::make_shared<const AccountDirectory>(accounts);
  }
  return config;
}

// LoadRun plays the jobs of a plan.
class LoadRun
{
public:
  LoadRun(const LoadPlan& aPlan,
          std::vector<SimulatedJob> aJobs,
          const QueueingPolicy& aOrder)
    : mPlan(aPlan)
    , mJobs(std::move(aJobs))
    , mWorld(kWorkers, aOrder)
    , mOwner(mWorld.AddOwner())
  {
    mWorld.mDurationOf = [this](const TaskRef& aTask) {
      return mJobs[std::stoul(aTask.mStep.mJob.Text())].mTaskDuration;
    };
    mWorld.Configure(ConfigOf(aPlan));
  }

  void Play()
  {
    mWorld.RunFor(kStartUp);
    mBegin = mWorld.Now();
    while (Passed() < mPlan.mLength) {
      ApplyOutage();
      SubmitDueJobs();
      mWorld.Step();
      RecordEnds();
    }
  }

  const std::vector<SimulatedJob>& Jobs() const { return mJobs; }
  size_t Violations() const { return mWorld.Violations().size(); }

private:
  Milliseconds Passed() const
  {
    return std::chrono::duration_cast<Milliseconds>(mWorld.Now() - mBegin);
  }

  void ApplyOutage()
  {
    const Outage& outage = mPlan.mOutage;
    const bool isOut = Passed() >= outage.mFrom && Passed() < outage.mTo;
    if (isOut == mIsOut) {
      return;
    }
    mIsOut = isOut;
    for (size_t number = 0; number < outage.mWorkers; number++) {
      const WorkerId id = mWorld.Worker(number).mInfo.mId;
      if (isOut) {
        mWorld.MakeUnreachable(id);
      } else {
        mWorld.MakeReachable(id);
      }
    }
  }

  void SubmitDueJobs()
  {
    while (mSubmitted < mJobs.size() &&
           mJobs[mSubmitted].mSubmitAt <= Passed()) {
      mWorld.Submit(mJobs[mSubmitted].mGraph);
      mOpen.push_back(mSubmitted);
      mSubmitted++;
    }
  }

  void RecordEnds()
  {
    const auto ended = [this](size_t aNumber) {
      SimulatedJob& job = mJobs[aNumber];
      if (mOwner.mShard->Phase(job.mGraph.mId) != JobPhase::kCompleted) {
        return false;
      }
      job.mTook = Passed() - job.mSubmitAt;
      return true;
    };
    mOpen.erase(std::remove_if(mOpen.begin(), mOpen.end(), ended), mOpen.end());
  }

  const LoadPlan& mPlan;
  std::vector<SimulatedJob> mJobs;
  ShardSimulation mWorld;
  SimulatedOwner& mOwner;
  MonotonicTime mBegin;
  size_t mSubmitted = 0;
  std::vector<size_t> mOpen;
  bool mIsOut = false;
};

void Count(JobOutcomes& aOutcomes, const SimulatedJob& aJob)
{
  const Milliseconds objective = aJob.Objective();
  if (aJob.mTook && *aJob.mTook <= objective) {
    aOutcomes.mInTime++;
  } else if (aJob.mTook && *aJob.mTook <= kUsefulObjectives * objective) {
    aOutcomes.mLate++;
  } else {
    aOutcomes.mLost++;
  }
}

// Returns the sizes of jobs in the order of aJobs.
std::vector<JobSize> SizesOf(const std::vector<SimulatedJob>& aJobs)
{
  std::vector<size_t> byWork;
  for (size_t number = 0; number < aJobs.size(); number++) {
    byWork.push_back(number);
  }
  std::stable_sort(
    byWork.begin(), byWork.end(), [&](size_t aLeft, size_t aRight) {
      return aJobs[aLeft].Work() > aJobs[aRight].Work();
    });
  std::vector<JobSize> sizes(aJobs.size(), JobSize::kRest);
  for (size_t rank = 0; rank < byWork.size() * 3 / 10; rank++) {
    sizes[byWork[rank]] =
      rank < byWork.size() / 10 ? JobSize::kLargestTenth : JobSize::kNextFifth;
  }
  return sizes;
}

// Adds the jobs of a run to aResult. A job that has not ended counts with the
// time until aLength.
void AddRun(QueueingResult& aResult, const LoadRun& aRun, Milliseconds aLength)
{
  aResult.mViolations += aRun.Violations();
  const std::vector<JobSize> sizes = SizesOf(aRun.Jobs());
  for (size_t number = 0; number < aRun.Jobs().size(); number++) {
    const SimulatedJob& job = aRun.Jobs()[number];
    const std::string& kind = job.mKind.mName;
    Count(aResult.mAll, job);
    Count(aResult.mByKind[kind], job);
    Count(aResult.mBySize[sizes[number]], job);
    Milliseconds& longest = aResult.mLongestByKind[kind];
    longest = std::max(longest, job.mTook.value_or(aLength - job.mSubmitAt));
    aResult.mUnfinishedByKind[kind] += job.mTook ? 0 : 1;
  }
}

} // namespace

double JobOutcomes::Worth() const
{
  return mInTime + kLateWorth * mLate;
}

QueueingResult SimulateLoad(QueueingLoad aLoad,
                            const QueueingPolicy& aOrder,
                            uint32_t aFirstSeed,
                            uint32_t aSeeds)
{
  const LoadPlan plan = PlanOf(aLoad);
  const FairSharePolicy order(aOrder);
  QueueingResult result;
  for (uint32_t number = 0; number < aSeeds; number++) {
    LoadRun run(plan, DrawJobs(plan, aFirstSeed + number), order);
    run.Play();
    AddRun(result, run, plan.mLength);
  }
  return result;
}

} // namespace mulberryvalve
