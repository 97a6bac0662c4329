#include "tests/schedules/schedule.h"

#include "mulberryvalve/core/bundle/bundle.h"
#include "tests/schedules/fake_instance.h"

namespace schedules {

using namespace mulberryvalve;

namespace {

constexpr int64_t kSecond = 1000 * kMs;
constexpr int64_t kListLag = 2000 * kMs;
constexpr int64_t kCompletionLimit = 90 * kSecond;
constexpr int kInstancesPerDomain = 2;
constexpr int kWorkersPerDomain = 2;
constexpr int64_t kFaultKinds = 17;

class Schedule
{
public:
  Schedule(uint64_t aSeed, DisabledMechanism aDisabled)
    : mWorld(aSeed, aDisabled)
    , mFleet{ ShardMap({ DomainId("a"), DomainId("b") }, 1), {}, {}, {} }
  {
  }

  History Run()
  {
    BuildWorkers();
    for (const DomainId& domain : mFleet.mShards.Domains()) {
      for (int i = 0; i < kInstancesPerDomain; i++) {
        StartInstance(domain.Text() + std::to_string(i), domain);
      }
    }
    Gossip();
    const int64_t faultsEnd = mWorld.Uniform(8, 18) * kSecond;
    while (mWorld.mNow < faultsEnd) {
      mWorld.RunUntil(mWorld.After(mWorld.Uniform(50, 700) * kMs));
      InjectRandomEvent();
      Sample(false);
    }
    EndFaults();
    const int64_t limit = mWorld.mNow + kCompletionLimit;
    do {
      mWorld.RunUntil(mWorld.mNow + 3 * kSecond);
    } while (mWorld.mNow < limit && !AllAcceptedTasksEnded());
    Sample(true);
    CollectEnds(mWorld, mHistory);
    CollectConfig(mWorld, mHistory);
    return std::move(mHistory);
  }

private:
  void BuildWorkers()
  {
    for (const DomainId& domain : mFleet.mShards.Domains()) {
      for (int i = 0; i < kWorkersPerDomain; i++) {
        WorkerSpec spec;
        spec.mId = WorkerId("w" + domain.Text() + std::to_string(i));
        spec.mDomain = domain;
        spec.mCapacity = Resources{ 4000, 4000, 1 };
        mHistory.mCapacity[spec.mId.Text()] = ResourceAmount{ 4000, 4000, 1 };
        mFleet.mWorkers[spec.mId] =
          std::make_unique<FakeWorker>(mWorld, mHistory, spec);
      }
    }
    PublishWorkerList();
  }

  // Publishes the current list of workers.
  void PublishWorkerList()
  {
    for (const DomainId& domain : mFleet.mShards.Domains()) {
      auto list = std::make_shared<std::vector<WorkerSpec>>();
      for (const auto& [id, worker] : mFleet.mWorkers) {
        if (worker->mSpec.mDomain != domain || mUnlisted.count(id) != 0) {
          continue;
        }
        list->push_back(worker->mSpec);
        if (mLeaving.count(id) != 0) {
          list->back().mState = WorkerState::kLeaving;
        }
      }
      mFleet.mWorkerLists[domain] = std::move(list);
    }
  }

  void PublishWorkerListLater()
  {
    mWorld.ScheduleAt(mWorld.After(mWorld.Random(kListLag)),
                      [this] { PublishWorkerList(); });
  }

  void StartInstance(const std::string& aName, const DomainId& aDomain)
  {
    mFleet.mInstances.push_back(std::make_unique<FakeInstance>(
      mWorld,
      mFleet,
      WriterId{ InstanceId(aName), Incarnation(++mIncarnation) },
      aDomain));
    mFleet.mInstances.back()->Begin();
  }

  FakeInstance* RandomInstance()
  {
    std::vector<FakeInstance*> alive;
    for (const auto& life : mFleet.mInstances) {
      if (life->mAlive) {
        alive.push_back(life.get());
      }
    }
    return alive.empty()
             ? nullptr
             : alive[mWorld.Random(static_cast<int64_t>(alive.size()))];
  }

  FakeWorker& RandomWorker()
  {
    auto at = mFleet.mWorkers.begin();
    std::advance(at,
                 mWorld.Random(static_cast<int64_t>(mFleet.mWorkers.size())));
    return *at->second;
  }

  DomainId RandomDomain()
  {
    return DomainId(mWorld.Random(2) == 0 ? "a" : "b");
  }

  int64_t RandomDuration(int64_t aMostMs)
  {
    return mWorld.Uniform(100, aMostMs) * kMs;
  }

  void RestartInstance(FakeInstance& aLife)
  {
    aLife.Kill();
    mWorld.ScheduleAt(
      mWorld.After(RandomDuration(3000)),
      [this, name = aLife.mSelf.mInstance.Text(), domain = aLife.mDomain] {
        StartInstance(name, domain);
      });
  }

  // Injects one random fault, operator action or job.
  void InjectRandomEvent()
  {
    FakeInstance* life = RandomInstance();
    if (life == nullptr) {
      return;
    }
    FakeWorker& worker = RandomWorker();
    const int64_t now = mWorld.mNow;
    switch (mWorld.Random(kFaultKinds)) {
      case 0:
        RestartInstance(*life);
        break;
      case 1:
        life->mFrozenUntil = now + RandomDuration(9000);
        break;
      case 2: {
        life->mPlatformCutUntil = now + RandomDuration(9000);
        const bool arePeersCut = mWorld.Random(2) != 0;
        const int64_t until = now + RandomDuration(9000);
        life->mPeersCutUntil = arePeersCut ? until : 0;
        break;
      }
      case 3:
        mWorld.mOutageUntil =
          now + RandomDuration(mWorld.Random(4) == 0 ? 14000 : 1500);
        break;
      case 4:
        mWorld.mSlowUntil = now + RandomDuration(4000);
        break;
      case 5:
        worker.mFrozenUntil = now + RandomDuration(9000);
        break;
      case 6:
        worker.Reboot();
        break;
      case 7:
        worker.mCutUntil = now + RandomDuration(9000);
        break;
      case 8:
        ToggleWorker(worker);
        break;
      case 9:
        RestartDomain(RandomDomain());
        break;
      case 10:
        PlannedStop(*life);
        break;
      case 11:
        RacePublications();
        break;
      case 12:
        RaceDomainChanges(RandomDomain());
        break;
      case 13:
        TakeOutFrozenDomain(*life);
        break;
      default:
        SubmitJob(*life);
        SubmitJob(*life);
        break;
    }
  }

  void ToggleWorker(FakeWorker& aWorker)
  {
    const WorkerId id = aWorker.mSpec.mId;
    if (aWorker.mDead || mLeaving.count(id) != 0) {
      aWorker.mDead = false;
      mLeaving.erase(id);
      mUnlisted.erase(id);
    } else if (mWorld.Random(2) == 0) {
      mLeaving.insert(id);
    } else {
      aWorker.Reboot();
      aWorker.mDead = true;
      mUnlisted.insert(id);
    }
    PublishWorkerListLater();
  }

  void RestartDomain(const DomainId& aDomain)
  {
    std::vector<FakeInstance*> lives;
    for (const auto& life : mFleet.mInstances) {
      if (life->mAlive && life->mDomain == aDomain) {
        lives.push_back(life.get());
      }
    }
    for (FakeInstance* life : lives) {
      RestartInstance(*life);
    }
  }

  void PlannedStop(FakeInstance& aLife)
  {
    aLife.mLeaving = true;
    aLife.RunLater(0, [&aLife] {
      for (auto& [shard, owner] : aLife.mOwners) {
        owner->BeginRelease();
      }
    });
    mWorld.ScheduleAt(mWorld.After(RandomDuration(3000)), [this, &aLife] {
      if (aLife.mAlive) {
        RestartInstance(aLife);
      }
    });
  }

  void SubmitJob(FakeInstance& aLife) { SubmitJob(aLife, RandomDomain()); }

  void SubmitJob(FakeInstance& aLife, const DomainId& aDomain)
  {
    const ShardId shard(aDomain.Text() + ".0");
    JobSpec job;
    job.mId = JobId(shard.Text() + ".j" + std::to_string(++mJobs));
    job.mParts = static_cast<uint32_t>(mWorld.Uniform(1, 4));
    job.mDemand.mResources = Resources{ mWorld.Uniform(1, 4) * 1000,
                                        mWorld.Uniform(1, 4) * 1000,
                                        mWorld.Random(2) };
    std::vector<std::string> tasks;
    for (uint32_t part = 0; part < job.mParts; part++) {
      tasks.push_back(MakeTaskId(job.mId, part).Text());
      mHistory.mDemand[tasks.back()] =
        ResourceAmount{ job.mDemand.mResources.mCpuMillis,
                        job.mDemand.mResources.mMemoryMb,
                        job.mDemand.mResources.mAccelerators };
    }
    aLife.mWriters.at(shard)->Submit(
      { JobSubmitted{ job } },
      Epoch(),
      [this, tasks](const Result<Offset>& aAt) {
        if (aAt) {
          mHistory.mAccepted.insert(
            mHistory.mAccepted.end(), tasks.begin(), tasks.end());
        }
      });
  }

  void SubmitDomainChange(FakeInstance& aLife,
                          const DomainId& aDomain,
                          DomainState aState)
  {
    DomainChanged change{ aDomain,
                          aState,
                          Offset(),
                          OperatorId("o"),
                          "c" + std::to_string(++mChanges) };
    change.mExpected =
      aLife.mConfig->Read([&](const ConfigStateMachine& aFold) {
        return aFold.Domain(aDomain).mOffset;
      });
    aLife.mConfigWriter->Submit(
      { change }, Epoch(), [this, change, &aLife](const Result<Offset>& aAt) {
        RecordOperatorReply(aLife, change, aAt.value(), 0);
      });
  }

  // Records the reply to the operator once the instance has applied the change.
  void RecordOperatorReply(FakeInstance& aLife,
                           const DomainChanged& aChange,
                           Offset aAt,
                           int aTries)
  {
    const auto verdict = aLife.mConfig->Read(
      [&](const ConfigStateMachine& aFold) { return aFold.VerdictAt(aAt); });
    if (verdict) {
      mHistory.mOperatorReplies.push_back(OperatorReply{
        aChange.mReason, verdict->mVerdict == ApplyResult::kApplied });
    } else if (!verdict && aTries < 100) {
      aLife.RunLater(50 * kMs, [this, &aLife, aChange, aAt, aTries] {
        RecordOperatorReply(aLife, aChange, aAt, aTries + 1);
      });
    }
  }

  void RaceDomainChanges(const DomainId& aDomain)
  {
    const int operators = static_cast<int>(mWorld.Uniform(1, 4));
    for (int i = 0; i < operators; i++) {
      FakeInstance& instance = *RandomInstance();
      const bool isIn = mWorld.Random(3) == 0;
      SubmitDomainChange(
        instance, aDomain, isIn ? DomainState::kIn : DomainState::kOut);
    }
    if (mWorld.Random(2) == 0) {
      mWorld.ScheduleAt(mWorld.After(RandomDuration(6000)), [this, aDomain] {
        if (FakeInstance* life = RandomInstance()) {
          SubmitDomainChange(*life, aDomain, DomainState::kIn);
        }
      });
    }
  }

  // Takes a domain out while its instances are frozen with a submitted job.
  void TakeOutFrozenDomain(FakeInstance& aFrom)
  {
    const DomainId domain(aFrom.mDomain.Text() == "a" ? "b" : "a");
    SubmitJob(aFrom, domain);
    mWorld.ScheduleAt(mWorld.After(RandomDuration(400)), [this, domain] {
      const int64_t until = mWorld.After(RandomDuration(6000));
      for (const auto& life : mFleet.mInstances) {
        if (life->mDomain == domain) {
          life->mFrozenUntil = std::max(life->mFrozenUntil, until);
        }
      }
    });
    SubmitDomainChange(aFrom, domain, DomainState::kOut);
  }

  void RacePublications()
  {
    for (int i = 0; i < 2; i++) {
      FakeInstance& life = *RandomInstance();
      const BundleVersion newest = life.mConfig->Read(
        [](const ConfigStateMachine& aFold) { return aFold.Newest(); });
      const std::string document = "document-" + std::to_string(++mDocuments);
      life.mConfigWriter->Submit(
        { BundlePublished{ newest.Next(), newest, document, OperatorId("o") } },
        Epoch(),
        [](const Result<Offset>&) {});
      life.mConfigWriter->Submit({ BundleSignedOff{ newest.Next(),
                                                    BundleDigest(document),
                                                    OperatorId("o") } },
                                 Epoch(),
                                 [](const Result<Offset>&) {});
    }
  }

  // Sends the configuration in force from one random instance to another, with
  // a delay, and schedules the next exchange.
  void Gossip()
  {
    FakeInstance* from = RandomInstance();
    FakeInstance* to = RandomInstance();
    mWorld.ScheduleAt(mWorld.After(mWorld.Uniform(20, 100) * kMs),
                      [this] { Gossip(); });
    if (from == nullptr || from == to || mWorld.mNow < from->mPeersCutUntil ||
        mWorld.mNow < to->mPeersCutUntil || mWorld.mNow < from->mFrozenUntil) {
      return;
    }
    const BundleInForce bundle = from->mConfig->Read(
      [](const ConfigStateMachine& aFold) { return aFold.InForce(); });
    const auto domains = from->mConfig->Read(
      [](const ConfigStateMachine& aFold) { return aFold.Domains(); });
    to->RunLater(
      mWorld.Uniform(1, mWorld.FaultOccurs(10) ? 5000 : 20) * kMs,
      [to, bundle, domains] {
        to->mConfig->Update([&](ConfigStateMachine& aFold) {
          aFold.MergeBundle(bundle);
          for (const auto& [domain, status] : domains) {
            aFold.MergeDomain(domain, status);
          }
          return true;
        });
      },
      EventThread::kFollower);
  }

  // Ends all faults and submits one more job.
  void EndFaults()
  {
    mWorld.mFaultsEnabled = false;
    mWorld.mOutageUntil = mWorld.mSlowUntil = 0;
    for (const auto& life : mFleet.mInstances) {
      life->mPlatformCutUntil = life->mPeersCutUntil = 0;
      life->mFrozenUntil = std::min(life->mFrozenUntil, mWorld.mNow);
    }
    for (const auto& [id, worker] : mFleet.mWorkers) {
      worker->mDead = false;
      worker->mFrozenUntil = worker->mCutUntil = 0;
    }
    mUnlisted.clear();
    mLeaving.clear();
    PublishWorkerListLater();
    mWorld.RunUntil(mWorld.mNow + 4 * kSecond);
    SubmitJob(*RandomInstance());
    mWorld.RunUntil(mWorld.mNow + 4 * kSecond);
  }

  // Returns whether every accepted task has ended. Domains that are still out
  // are returned first.
  bool AllAcceptedTasksEnded()
  {
    for (const DomainId& domain : mFleet.mShards.Domains()) {
      FakeInstance& life = *RandomInstance();
      const DomainState state =
        life.mConfig->Read([&](const ConfigStateMachine& aFold) {
          return aFold.Domain(domain).mState;
        });
      if (state == DomainState::kOut) {
        SubmitDomainChange(life, domain, DomainState::kIn);
        return false;
      }
    }
    for (const auto& [id, worker] : mFleet.mWorkers) {
      worker->EndDueRuns();
    }
    CollectEnds(mWorld, mHistory);
    for (const std::string& finding : CheckHistory(mHistory)) {
      if (finding.rfind("3: lost", 0) == 0) {
        return false;
      }
    }
    return true;
  }

  void Sample(bool aFinal)
  {
    for (const auto& life : mFleet.mInstances) {
      if (!life->mAlive) {
        continue;
      }
      schedules::Sample sample;
      sample.mLife = life->mSelf.mInstance.Text() + "/" +
                     std::to_string(life->mSelf.mIncarnation.Value());
      sample.mFinal = aFinal;
      life->mConfig->Read([&](const ConfigStateMachine& aFold) {
        sample.mBundle = aFold.InForce().mVersion.Value();
        for (const auto& [domain, status] : aFold.Domains()) {
          sample.mDomains[domain.Text()] = status.mOffset.Value();
        }
        return true;
      });
      mHistory.mSamples.push_back(std::move(sample));
    }
  }

  World mWorld;
  Fleet mFleet;
  History mHistory;
  std::set<WorkerId> mLeaving;
  std::set<WorkerId> mUnlisted;
  uint64_t mIncarnation = 0;
  int mJobs = 0;
  int mDocuments = 0;
  int mChanges = 0;
};

} // namespace

History RunSchedule(uint64_t aSeed, DisabledMechanism aDisabled)
{
  return Schedule(aSeed, aDisabled).Run();
}

} // namespace schedules
