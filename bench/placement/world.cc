#include "bench/placement/world.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace mulberryvalve::bench {
namespace {

constexpr size_t kWatcherClass = 4;
constexpr double kBaseLatencyMs = 20;
constexpr double kSpreadOfLatency = 0.5;
constexpr Milliseconds kSyncEvery{ 500 };
constexpr int64_t kReportEveryMs = 500;
constexpr size_t kReportsCovered = 4;
constexpr int kRackSize = 8;
constexpr uint64_t kFnvPrime = 1099511628211ULL;

// Declared resources of a task by class, and its run time without interference.
constexpr std::array<Resources, 5> kDeclaredDemand{ { { 2000, 6000, 0 },
                                                      { 4000, 8000, 0 },
                                                      { 2000, 14000, 0 },
                                                      { 1000, 3000, 0 },
                                                      { 500, 1000, 0 } } };
constexpr std::array<double, 5> kRunSeconds{ 15, 25, 20, 8, 0 };
// Relative increase of request latency per core that a class uses.
constexpr std::array<double, 5> kLatencyIncreasePerCore{ 0.01,
                                                         0.12,
                                                         0.03,
                                                         0.05,
                                                         0.0 };

} // namespace

World::World(const Site& aSite,
             const ScenarioFaults& aFaults,
             PolicyKind aPolicy,
             uint64_t aSeed)
  : mSite(aSite)
  , mFaults(aFaults)
  , mKind(aPolicy)
  , mRandom(aSeed)
  , mNow(Milliseconds(1000000))
{
  for (size_t one = 0; one < kClasses; one++) {
    mLatencyIncreasePerCore[one] =
      kLatencyIncreasePerCore[one] * (0.7 + 0.6 * Uniform());
    const double off =
      mFaults.mWrongDemands ? std::pow(5, 2 * Uniform() - 1) : 1;
    mUse[one] = (0.8 + 0.3 * Uniform()) * off;
    const double late =
      mFaults.mWrongDemands ? std::pow(5, 2 * Uniform() - 1) : 1;
    mRun[one] = kRunSeconds[one] * 1000 * (0.8 + 0.4 * Uniform()) * late;
    for (size_t other = 0; other < kClasses; other++) {
      mPairSlowdown[one][other] =
        one == other ? 0.08 * Uniform() : 0.03 * Uniform();
    }
  }
  const int each = mSite.mWorkers / mSite.mDomains;
  for (int index = 0; index < mSite.mDomains; index++) {
    const int extra = index < mSite.mWorkers % mSite.mDomains ? 1 : 0;
    BuildDomain(index, each + extra);
  }
}

double World::Uniform()
{
  return static_cast<double>(mRandom() >> 11) / 9007199254740992.0;
}

double World::Normal()
{
  const double radius = std::sqrt(-2 * std::log(1 - Uniform()));
  return radius * std::cos(6.283185307179586 * Uniform());
}

bool World::IsBetween(Milliseconds aFrom, Milliseconds aTo) const
{
  return mElapsed >= aFrom && mElapsed < aTo;
}

double World::AdvisoryLoadOf(const Domain& aDomain,
                             const WorkerId& aWorker) const
{
  for (const Worker& worker : aDomain.mWorkers) {
    if (worker.mSpec.mId == aWorker && !worker.mReports.empty()) {
      return static_cast<double>(worker.mReports.front().mCpuMillis);
    }
  }
  return 0.0;
}

void World::BuildDomain(int aIndex, int aWorkers)
{
  Domain domain;
  domain.mId = DomainId("d" + std::to_string(aIndex));
  domain.mShard = ShardId(domain.mId.Text() + "/0");
  domain.mLedger = std::make_unique<ShardStateMachine>(domain.mShard);
  mDomains.reserve(static_cast<size_t>(mSite.mDomains));
  for (int number = 0; number < aWorkers; number++) {
    Worker worker;
    worker.mSpec.mId =
      WorkerId(domain.mId.Text() + "-" + std::to_string(number));
    worker.mSpec.mDomain = domain.mId;
    worker.mSpec.mRack = RackId(std::to_string(number / kRackSize));
    worker.mSpec.mCapacity = Resources{ 16000, 61440, 0 };
    worker.mSpec.mSlots = 8;
    worker.mWillFail = mFaults.mWorkersFail && number % 10 == 5;
    domain.mWorkers.push_back(std::move(worker));
  }
  mDomains.push_back(std::move(domain));
  Domain& added = mDomains.back();
  added.mPolicy = MakeBaseline(mKind, [this, &added](const WorkerId& aWorker) {
    return AdvisoryLoadOf(added, aWorker);
  });
  if (mKind == PolicyKind::kLearned) {
    added.mColocation =
      std::make_unique<ColocationController>(ColocationOptions());
  }
  Append(mDomains.back(), ShardClaimed{});
  Submit(mDomains.back(), kWatcherClass, 6);
}

void World::Append(Domain& aDomain, Record aRecord)
{
  StoredRecord stored;
  stored.mOffset = aDomain.mLedger->Folded().Next();
  RecordHeader& header = stored.mRecord.mHeader;
  header.mWriter = WriterId{ InstanceId(aDomain.mId.Text()), Incarnation(1) };
  header.mSequence = ++aDomain.mSequence;
  header.mEpoch = aDomain.mLedger->Claim().mEpoch;
  stored.mRecord.mBody = std::move(aRecord);
  if (const auto* assigned = std::get_if<TaskAssigned>(&stored.mRecord.mBody)) {
    for (const char letter :
         assigned->mTask.Text() + assigned->mWorker.Text()) {
      mMetrics.mDecisionHash =
        (mMetrics.mDecisionHash ^ static_cast<unsigned char>(letter)) *
        kFnvPrime;
    }
  }
  aDomain.mLedger->Apply(stored);
}

void World::Submit(Domain& aDomain, size_t aClass, uint32_t aParts)
{
  JobSpec job;
  job.mId = JobId("job" + std::to_string(mJobs++));
  job.mParts = aParts;
  job.mDemand.mTeam = TeamId("team");
  job.mDemand.mClass = TaskClass("class" + std::to_string(aClass));
  job.mDemand.mResources = kDeclaredDemand[aClass];
  job.mDemand.mKind =
    aClass == kWatcherClass ? TaskKind::kWatcher : TaskKind::kBatch;
  Append(aDomain, JobSubmitted{ job });
}

// Fails all running tasks of the worker; tasks that start later fail too.
void World::FailWorker(Worker& aWorker)
{
  aWorker.mFailing = true;
  for (const auto& [id, lease] : aWorker.mLeases) {
    const double kept =
      lease.mCheckpoint.Empty() ? 0 : std::stod(lease.mCheckpoint.Text());
    mMetrics.mRedoneSeconds += (lease.mProgressMs - kept) / 1000;
    aWorker.mFinished[id] = FinishedLease{ id,
                                           lease.mTask,
                                           lease.mAttempt,
                                           LeaseEnd::kFailed,
                                           lease.mCheckpoint,
                                           "worker_fault" };
  }
  aWorker.mLeases.clear();
}

void World::GenerateLoad()
{
  const double seconds = static_cast<double>(kTimeStep.count()) / 1000;
  double rate = mSite.mJobsPerSecond;
  const bool wave = mFaults.mInterferenceWave &&
                    IsBetween(Milliseconds(30000), Milliseconds(60000));
  rate *= wave ? 1.5 : 1;
  for (double due = rate * seconds; due > 0; due -= 1) {
    if (Uniform() >= due) {
      continue;
    }
    Domain* domain = nullptr;
    while (domain == nullptr || domain->mOut) {
      domain = &mDomains[mRandom() % mDomains.size()];
    }
    const size_t drawn = mRandom() % kWatcherClass;
    const size_t size = wave && Uniform() < 0.5 ? 1 : drawn;
    const size_t count = 1 + mRandom() % 4;
    Submit(*domain, size, count);
  }
}

// Returns the relative slowdown of a task, or of requests if aOf is null,
// compared with running alone.
double World::Slowdown(const Worker& aWorker, const Lease* aOf) const
{
  double slowdown = 0;
  double cores = aWorker.mBusy * 0.5;
  for (const auto& [id, lease] : aWorker.mLeases) {
    const double used = lease.mCores * lease.mThrottle / 100;
    cores += used;
    if (aOf == nullptr) {
      slowdown += mLatencyIncreasePerCore[lease.mClass] * used *
                  (0.5 + aWorker.mBusy / 8);
    } else if (&lease != aOf) {
      slowdown += mPairSlowdown[aOf->mClass][lease.mClass] * used;
    }
  }
  const double over = std::max(0.0, cores / 16 - 1);
  return slowdown + (aOf == nullptr ? 3 : 1) * over;
}

void World::ServeRequests(Worker& aWorker, double aRate)
{
  const double factor = 1 + Slowdown(aWorker, nullptr);
  const double busy = aRate * kBaseLatencyMs * factor / 1000;
  aWorker.mBusy = std::min(8.0, 0.7 * aWorker.mBusy + 0.3 * busy);
  const double queue = busy > 7 ? 1 + (busy - 7) : 1;
  std::vector<double> latencies;
  for (double due = aRate * kTimeStep.count() / 1000; due > 0; due -= 1) {
    if (Uniform() >= due) {
      continue;
    }
    const double latency =
      kBaseLatencyMs * factor * queue * std::exp(kSpreadOfLatency * Normal());
    latencies.push_back(latency);
    mMetrics.mRequests++;
    mMetrics.mLateRequests += latency > kDeadlineMs ? 1 : 0;
    mHistogram[std::min(mHistogram.size() - 1, static_cast<size_t>(latency))]++;
  }
  aWorker.mLatencies.push_back(std::move(latencies));
  if (aWorker.mLatencies.size() > 8) {
    aWorker.mLatencies.pop_front();
  }
}

void World::Report(Worker& aWorker)
{
  const int64_t now = mElapsed.count() + kUsageLagMs + 1;
  UsageReport report;
  report.mTakenAt = WorkerTime{ now };
  report.mBusySlots = static_cast<int>(std::lround(aWorker.mBusy));
  std::vector<double> recent;
  for (const auto& one : aWorker.mLatencies) {
    recent.insert(recent.end(), one.begin(), one.end());
  }
  std::sort(recent.begin(), recent.end());
  if (!recent.empty()) {
    const double p99 = recent[recent.size() * 99 / 100];
    report.mRequestP99 = Microseconds(static_cast<int64_t>(p99 * 1000));
  }
  double cores = aWorker.mBusy * 0.5;
  for (const auto& [id, lease] : aWorker.mLeases) {
    const double used = lease.mCores * lease.mThrottle / 100;
    cores += used;
    report.mByLease.push_back(
      LeaseUsage{ id, static_cast<int64_t>(used * 1000), 0 });
  }
  report.mCpuMillis = static_cast<int64_t>(std::min(16.0, cores) * 1000);
  aWorker.mReports.push_back(std::move(report));
  if (aWorker.mReports.size() > kReportsCovered + 1) {
    aWorker.mReports.pop_front();
  }
}

void World::Progress(Domain& aDomain)
{
  for (Worker& worker : aDomain.mWorkers) {
    for (auto at = worker.mLeases.begin(); at != worker.mLeases.end();) {
      Lease& lease = at->second;
      lease.mProgressMs += static_cast<double>(kTimeStep.count()) *
                           lease.mThrottle / 100 /
                           (1 + Slowdown(worker, &lease));
      if (lease.mClass == kWatcherClass || lease.mProgressMs < lease.mRunMs) {
        ++at;
        continue;
      }
      const double work =
        lease.mRunMs / 1000 *
        static_cast<double>(kDeclaredDemand[lease.mClass].mCpuMillis) / 1000;
      mMetrics.mCompleted += work;
      mMetrics.mTransitionCompleted +=
        IsBetween(kTakeOutAt, kTransitionEnd) ? work : 0;
      worker.mFinished[at->first] = FinishedLease{
        at->first, lease.mTask, lease.mAttempt, LeaseEnd::kCompleted, {}, ""
      };
      at = worker.mLeases.erase(at);
    }
  }
}

void World::CheckCommitments(const Domain& aDomain)
{
  for (const Worker& worker : aDomain.mWorkers) {
    Resources charged;
    Resources running;
    for (const TaskId& id : aDomain.mLedger->TasksOnWorker(worker.mSpec.mId)) {
      charged += aDomain.mLedger->FindTask(id)->mDemand->mResources;
    }
    for (const auto& [id, lease] : worker.mLeases) {
      running += lease.mDemand->mResources;
    }
    const bool fits = charged.FitsIn(worker.mSpec.mCapacity) &&
                      running.FitsIn(worker.mSpec.mCapacity);
    mMetrics.mOvercommitments += fits ? 0 : 1;
  }
}

RunMetrics World::Run()
{
  for (; mElapsed < kRun; mElapsed += kTimeStep, mNow += kTimeStep) {
    mDomains.back().mOut =
      mFaults.mDomainOut && IsBetween(kTakeOutAt, kReturnAt);
    const bool outage =
      mFaults.mLogOutage && IsBetween(Milliseconds(45000), Milliseconds(65000));
    if (!outage) {
      GenerateLoad();
    }
    double serving = 0;
    for (const Domain& domain : mDomains) {
      for (const Worker& worker : domain.mWorkers) {
        serving += !domain.mOut && ServesRequests(mKind, worker.mSpec) ? 1 : 0;
      }
    }
    const bool shifted =
      mFaults.mLoadShift && IsBetween(Milliseconds(50000), Milliseconds(80000));
    const double all = mSite.mRequestsPerWorker * mSite.mWorkers;
    const double rate = all * (shifted ? 1.6 : 1) / serving;
    for (Domain& domain : mDomains) {
      for (Worker& worker : domain.mWorkers) {
        if (worker.mWillFail && !worker.mFailing &&
            mElapsed >= kFailWorkersAt) {
          FailWorker(worker);
        }
        const bool serves = !domain.mOut && ServesRequests(mKind, worker.mSpec);
        ServeRequests(worker, serves ? rate : 0);
        if (mElapsed.count() % kReportEveryMs == 0) {
          Report(worker);
        }
      }
      Progress(domain);
      if (!outage && mElapsed.count() % kSyncEvery.count() == 0) {
        Sync(domain);
      }
      if (!outage) {
        Round(domain);
      }
      CheckCommitments(domain);
    }
  }
  uint64_t left = mMetrics.mRequests / 100;
  for (size_t ms = mHistogram.size(); ms > 0 && left > 0; ms--) {
    const uint64_t here = std::min(left, mHistogram[ms - 1]);
    left -= here;
    mMetrics.mP99Ms = static_cast<double>(ms);
  }
  const double seconds = static_cast<double>(kRun.count()) / 1000;
  mMetrics.mCompleted /= seconds;
  return mMetrics;
}

} // namespace mulberryvalve::bench
