#include "mulberryvalve/app/owner/shard_owner.h"

#include <utility>

namespace mulberryvalve {
ShardOwner::ShardOwner(ShardOwnerOptions aOptions,
                       ShardOwnerPorts aPorts,
                       std::unique_ptr<ColocationController> aColocation)
  : mOptions(std::move(aOptions))
  , mDomain(ShardMap::DomainOf(mOptions.mShard))
  , mPorts(aPorts)
  , mColocation(std::move(aColocation))
  , mOwnership(mOptions.mSelf, mOptions.mOwnership)
{
}

ShardOwner::~ShardOwner()
{
  Stop();
}

void ShardOwner::Start()
{
  mThread = std::thread([this] { Run(); });
}

void ShardOwner::Wake()
{
  MutexLock lock(mMutex);
  mWakeRequested = true;
  mCondVar.NotifyAll();
}

void ShardOwner::Stop()
{
  {
    MutexLock lock(mMutex);
    mStopping = true;
    mCondVar.NotifyAll();
  }
  if (mThread.joinable()) {
    mThread.join();
  }
}

bool ShardOwner::IsActing() const
{
  MutexLock lock(mMutex);
  return mStep == OwnershipStep::kActAsOwner;
}

void ShardOwner::BeginRelease()
{
  MutexLock lock(mMutex);
  mReleasing = true;
  mWakeRequested = true;
  mCondVar.NotifyAll();
}

bool ShardOwner::Release(MonotonicTime aDeadline)
{
  const auto deadline = SteadyDeadline(mPorts.mClock, aDeadline);
  BeginRelease();
  MutexLock lock(mMutex);
  while (mOwnership.IsOwner() || mClaimInFlight) {
    if (!mCondVar.WaitUntil(mMutex, deadline)) {
      return !mOwnership.IsOwner();
    }
  }
  return true;
}

void ShardOwner::Run()
{
  while (true) {
    {
      MutexLock lock(mMutex);
      const auto next =
        std::chrono::steady_clock::now() + mOptions.mRoundInterval;
      while (!mWakeRequested && !mStopping &&
             mCondVar.WaitUntil(mMutex, next)) {
      }
      if (mStopping) {
        return;
      }
      mWakeRequested = false;
    }
    RunRound();
  }
}

void ShardOwner::RunRound()
{
  bool claim = false;
  bool release = false;
  Epoch heldEpoch;
  {
    MutexLock lock(mMutex);
    const MonotonicTime now = mPorts.mClock.Now();
    ApplyClaim(now);
    ApplyBundle();
    PruneInFlightStates();
    mStep = Decide(now);
    claim = mStep == OwnershipStep::kClaim && !mClaimInFlight;
    release = mStep == OwnershipStep::kRelease && !mClaimInFlight;
    mClaimInFlight = mClaimInFlight || claim || release;
    heldEpoch = mOwnership.HeldEpoch();
    if (mStep == OwnershipStep::kActAsOwner) {
      RunOwnerSteps(now);
    } else if (mOwnership.IsOwner() && now >= mOwnership.TakeoverWaitEnds()) {
      SyncDueWorkers(now);
    }
    mCondVar.NotifyAll();
  }
  if (claim) {
    SubmitOwnership(ShardClaimed{}, Epoch());
  }
  if (release) {
    SubmitOwnership(ShardReleased{}, heldEpoch);
  }
}

void ShardOwner::ApplyClaim(MonotonicTime aNow)
{
  Offset folded;
  const ShardClaim claim =
    mPorts.mShard.Read([&](const ShardStateMachine& aState) {
      mMutex.AssertHeld();
      folded = aState.Folded();
      return aState.Claim();
    });
  if (mClaimAppendedAt != Offset() && mClaimAppendedAt <= folded) {
    mClaimInFlight = false;
    mClaimAppendedAt = Offset();
  }
  const ShardClaim& known = mOwnership.Claim();
  if (claim.mEpoch == known.mEpoch && claim.mReleased == known.mReleased) {
    return;
  }
  const bool newEpoch = claim.mEpoch != known.mEpoch;
  mOwnership.OnClaim(claim, aNow);
  if (newEpoch) {
    mSyncStates.clear();
    mUnknownLeaseCharges.clear();
    mRenew.clear();
    mAcknowledge.clear();
    mInFlightStates.clear();
  }
  mPorts.mLog.Write(EventLevel::kInfo,
                    "shard_claim",
                    { { "shard", mOptions.mShard.Text() },
                      { "owner", claim.mOwner.mInstance.Text() },
                      { "epoch", std::to_string(claim.mEpoch.Value()) },
                      { "released", claim.mReleased ? "true" : "false" } });
}

void ShardOwner::ApplyBundle()
{
  std::string document;
  const BundleVersion known = mBundle;
  mBundle = mPorts.mConfig.Read([&](const ConfigStateMachine& aConfigState) {
    const BundleInForce& inForce = aConfigState.InForce();
    if (inForce.mVersion != known) {
      document = inForce.mDocument;
    }
    return inForce.mVersion;
  });
  if (mBundle == known) {
    return;
  }
  const CheckedBundle checked = mPorts.mBundles.Read(document);
  if (checked.mFaults.empty()) {
    mColocation->OnBundle(checked.mBundle);
  }
}

void ShardOwner::PruneInFlightStates()
{
  if (mInFlightStates.size() < mPruneThreshold) {
    return;
  }
  mPorts.mShard.Read([&](const ShardStateMachine& aState) {
    mMutex.AssertHeld();
    for (auto row = mInFlightStates.begin(); row != mInFlightStates.end();) {
      const TaskEntry* task = aState.FindTask(row->first);
      const bool over = task == nullptr || IsTerminal(task->mState);
      const bool idle = !IsBusy(row->first, aState.Folded());
      row = over && idle ? mInFlightStates.erase(row) : std::next(row);
    }
    return true;
  });
  mPruneThreshold = std::max(kPruneThreshold, 2 * mInFlightStates.size());
}

OwnershipStep ShardOwner::Decide(MonotonicTime aNow)
{
  OwnershipView view;
  view.mNow = aNow;
  view.mHeadValidUntil = HeadsValidUntil();
  view.mOwnerAlive = mPorts.mPeers.IsAlive(mOwnership.Claim().mOwner);
  view.mIsPreferredOwner =
    mPorts.mPeers.Prefers(mOptions.mShard, mDomain, mOptions.mSelf);
  view.mStopping = mReleasing;
  return mOwnership.Decide(view);
}

void ShardOwner::SubmitOwnership(Record aRecord, Epoch aEpoch)
{
  std::vector<Record> records;
  records.push_back(std::move(aRecord));
  mPorts.mWriter.Submit(
    std::move(records), aEpoch, [this](const Result<Offset>& aAt) {
      MutexLock lock(mMutex);
      mClaimAppendedAt = aAt ? aAt.value() : Offset();
      mClaimInFlight = static_cast<bool>(aAt);
      mWakeRequested = true;
      mCondVar.NotifyAll();
    });
}

Explanation ShardOwner::Explain(const TaskId& aTask) const
{
  MutexLock lock(mMutex);
  return mPorts.mShard.Read([&](const ShardStateMachine& aState) {
    mMutex.AssertHeld();
    const TaskEntry* task = aState.FindTask(aTask);
    return task == nullptr ? Explanation{ aTask, {} }
                           : mColocation->Explain(*task);
  });
}

bool ShardOwner::IsBusy(const TaskId& aTask, Offset aFolded)
{
  const auto found = mInFlightStates.find(aTask);
  if (found == mInFlightStates.end()) {
    return false;
  }
  TaskInFlightState& inFlight = found->second;
  if (inFlight.mProposed && inFlight.mProposedAt != Offset() &&
      inFlight.mProposedAt <= aFolded) {
    inFlight.mProposed = false;
    inFlight.mProposedWorker = WorkerId();
  }
  return inFlight.mProposed || inFlight.mCommandInFlight;
}

bool ShardOwner::WasCommandSent(const TaskEntry& aTask,
                                TaskCommandKind aKind) const
{
  const auto found = mInFlightStates.find(aTask.mId);
  if (found == mInFlightStates.end() ||
      found->second.mAttempt != aTask.mAttempt) {
    return false;
  }
  const TaskInFlightState& inFlight = found->second;
  return inFlight.mStopped ||
         (aKind == TaskCommandKind::kStart && inFlight.mStartSent);
}

TaskInFlightState& ShardOwner::InFlightStateOf(const TaskId& aTask,
                                               Attempt aAttempt)
{
  TaskInFlightState& inFlight = mInFlightStates[aTask];
  if (inFlight.mAttempt != aAttempt) {
    const TaskInFlightState old = inFlight;
    inFlight = TaskInFlightState();
    inFlight.mAttempt = aAttempt;
    inFlight.mProposed = old.mProposed;
    inFlight.mProposedAt = old.mProposedAt;
    inFlight.mProposedWorker = old.mProposedWorker;
    inFlight.mProposedCharge = old.mProposedCharge;
    inFlight.mCommandInFlight = old.mCommandInFlight;
  }
  return inFlight;
}

WorkerSyncState& ShardOwner::SyncStateOf(const WorkerId& aWorker)
{
  const MonotonicTime over =
    mOwnership.TakeoverWaitEnds() + mOptions.mRenewalWindow + mOptions.mLease;
  return mSyncStates.try_emplace(aWorker, mOptions.mWorkerSync, over)
    .first->second;
}

bool ShardOwner::DomainIsOut() const
{
  return mPorts.mConfig.Read([&](const ConfigStateMachine& aConfigState) {
    return aConfigState.Domain(mDomain).mState == DomainState::kOut;
  });
}

MonotonicTime ShardOwner::HeadsValidUntil() const
{
  const MonotonicTime oldest =
    std::min(mPorts.mShard.ConfirmedAt(), mPorts.mConfig.ConfirmedAt());
  return oldest + mOptions.mOwnership.mHeadStaleness;
}

MonotonicTime ShardOwner::RenewalsAllowedUntil() const
{
  return mPorts.mShard.ConfirmedAt() + mOptions.mRenewalWindow;
}

std::optional<WorkerSpec> ShardOwner::FindWorker(const WorkerId& aWorker) const
{
  const WorkersOfDomain workers = mPorts.mDirectory.InDomain(mDomain);
  for (const WorkerSpec& worker : *workers) {
    if (worker.mId == aWorker) {
      return worker;
    }
  }
  return std::nullopt;
}

} // namespace mulberryvalve
