#include "cluster.h"

#include <algorithm>
#include <utility>

namespace review {
namespace {

using nlohmann::json;

constexpr Ms kHeartbeat{ 1100 };
constexpr Ms kTick{ 5 };
constexpr Ms kGangTimeout{ 3000 };
constexpr int64_t kMaxHoldMs = 10000;
constexpr size_t kMaxListedEnds = 500;
constexpr int64_t kMemoryMb = 64000;

} // namespace

Cluster::Cluster(Store& aStore,
                 Record& aRecord,
                 std::string aService,
                 std::string aZone,
                 const std::string& aAddress,
                 const std::vector<WorkerSpec>& aWorkers)
  : mStore(aStore)
  , mRecord(aRecord)
  , mService(std::move(aService))
  , mZone(std::move(aZone))
{
  for (const WorkerSpec& spec : aWorkers) {
    auto worker = std::make_unique<Worker>();
    Worker* raw = worker.get();
    worker->mSpec = spec;
    worker->mBorn = static_cast<uint64_t>(
      std::chrono::duration_cast<Ms>(
        std::chrono::system_clock::now().time_since_epoch())
        .count());
    worker->mBegan = Steady::now();
    worker->mServer = std::make_unique<HttpServer>(
      aAddress,
      [this, raw](const Request& aRequest) { return Handle(*raw, aRequest); });
    mWorkers.push_back(std::move(worker));
  }
  mTicks = std::thread([this] { RunTicks(); });
  mHeartbeats = std::thread([this] { RunHeartbeats(); });
}

Cluster::~Cluster()
{
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mStopping = true;
    mChanged.notify_all();
  }
  mTicks.join();
  mHeartbeats.join();
  for (const auto& worker : mWorkers) {
    worker->mServer->Drop();
  }
}

void Cluster::Describe(const std::string& aStep,
                       const StepBehaviour& aBehaviour)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mSteps[aStep] = aBehaviour;
}

Cluster::Worker& Cluster::Find(const std::string& aWorker)
{
  return **std::find_if(
    mWorkers.begin(), mWorkers.end(), [&](const auto& aEntry) {
      return aEntry->mSpec.mId == aWorker;
    });
}

void Cluster::EndWorker(Worker& aWorker, const std::string& aHow)
{
  aWorker.mIsUp = false;
  for (const auto& [task, run] : aWorker.mRuns) {
    Note(aWorker, task, run.mRun, "gone", "");
    mGangs[StepOf(task) + "/" + std::to_string(run.mRun)].mIsBroken = true;
  }
  aWorker.mRuns.clear();
  mRemoveAt[aWorker.mSpec.mId] = Steady::now() + 3 * kHeartbeat;
  mRecord.Line("TROUBLE " + aWorker.mSpec.mId + aHow);
  mChanged.notify_all();
}

void Cluster::Lose(const std::string& aWorker)
{
  Worker* lost = nullptr;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    lost = &Find(aWorker);
    EndWorker(*lost, " is lost for good");
  }
  lost->mServer->Drop();
}

void Cluster::Darken(const std::string& aWorker)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  EndWorker(Find(aWorker), " loses power for good");
}

void Cluster::Spoil(const std::string& aWorker, bool aIsBad)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  Find(aWorker).mIsBad = aIsBad;
  mRecord.Line("TROUBLE " + aWorker +
               (aIsBad ? " fails all that it runs" : " is sound again"));
}

void Cluster::EndAll(const std::string& aStep, const std::string& aHow)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  for (const auto& worker : mWorkers) {
    std::vector<std::string> tasks;
    for (const auto& [task, run] : worker->mRuns) {
      if (StepOf(task) == aStep) {
        tasks.push_back(task);
      }
    }
    for (const std::string& task : tasks) {
      EndRun(*worker, task, aHow);
    }
  }
}

std::vector<RunEvent> Cluster::Events() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mEvents;
}

std::vector<RunningTask> Cluster::Running() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  std::vector<RunningTask> running;
  for (const auto& worker : mWorkers) {
    for (const auto& [task, run] : worker->mRuns) {
      running.push_back(RunningTask{ worker->mSpec.mId, task, run.mRun });
    }
  }
  return running;
}

// Returns "JOB.STEP" of a task "JOB.K.STEP.INDEX".
std::string Cluster::StepOf(const std::string& aTask)
{
  const size_t job = aTask.find('.');
  const size_t occurrence = aTask.find('.', job + 1);
  const size_t step = aTask.find('.', occurrence + 1);
  return aTask.substr(0, job) + aTask.substr(occurrence, step - occurrence);
}

const StepBehaviour& Cluster::BehaviourOf(const std::string& aTask) const
{
  return mSteps.at(StepOf(aTask));
}

int64_t Cluster::ClockOf(const Worker& aWorker)
{
  return std::chrono::duration_cast<Ms>(Steady::now() - aWorker.mBegan).count();
}

Response Cluster::Answer(const Worker& aWorker,
                         int aStatus,
                         const std::string& aReason)
{
  json body{ { "clock_ms", ClockOf(aWorker) } };
  if (!aReason.empty()) {
    body["reason"] = aReason;
  }
  return Response{ aStatus, body.dump() };
}

void Cluster::Extend(Worker& aWorker, const json& aBody)
{
  const int64_t until = std::min(aBody.value("until_ms", int64_t{ 0 }),
                                 ClockOf(aWorker) + kMaxHoldMs);
  aWorker.mUntil = std::max(aWorker.mUntil, until);
}

Response Cluster::Handle(Worker& aWorker, const Request& aRequest)
{
  const auto named = aRequest.mHeaders.find("mulberryvalve-expected-instance");
  if (named != aRequest.mHeaders.end() && named->second != aWorker.mSpec.mId) {
    return Answer(aWorker, 421, "");
  }
  const json body = json::parse(aRequest.mBody, nullptr, false);
  std::unique_lock<std::mutex> lock(mMutex);
  if (!aWorker.mIsUp) {
    return Response{ kNoAnswer, "" };
  }
  if (!body.is_object()) {
    return Answer(aWorker, 400, "");
  }
  const uint64_t fence = body.value("fencing_token", uint64_t{ 0 });
  if (fence < aWorker.mFence) {
    return Answer(aWorker, 409, "fence");
  }
  aWorker.mFence = fence;
  if (aRequest.mPath == "/v1/run-start") {
    return Start(aWorker, body);
  }
  if (aRequest.mPath == "/v1/run-stop") {
    return Stop(aWorker, body);
  }
  if (aRequest.mPath == "/v1/hold") {
    return Hold(aWorker, body, lock);
  }
  return Answer(aWorker, aRequest.mPath == "/v1/pace" ? 200 : 404, "");
}

Response Cluster::Start(Worker& aWorker, const json& aBody)
{
  const auto task = aBody.at("task").get<std::string>();
  const auto run = aBody.at("run").get<uint64_t>();
  if (aBody.at("until_ms").get<int64_t>() <= ClockOf(aWorker)) {
    return Answer(aWorker, 409, "late");
  }
  Extend(aWorker, aBody);
  const auto present = aWorker.mRuns.find(task);
  if (present != aWorker.mRuns.end() && present->second.mRun == run) {
    return Answer(aWorker, 200, "");
  }
  const bool isOld =
    present != aWorker.mRuns.end() || run <= aWorker.mHighestEnded[task];
  if (isOld) {
    return Answer(aWorker, 409, "old");
  }
  const std::string checkpoint = aBody.value("checkpoint", std::string());
  aWorker.mRuns[task] = Run{ run, Steady::now(), checkpoint };
  Note(aWorker, task, run, "start", checkpoint);
  mChanged.notify_all();
  return Answer(aWorker, 200, "");
}

Response Cluster::Stop(Worker& aWorker, const json& aBody)
{
  const auto task = aBody.at("task").get<std::string>();
  const auto run = aBody.at("run").get<uint64_t>();
  const auto present = aWorker.mRuns.find(task);
  if (present != aWorker.mRuns.end() && present->second.mRun <= run) {
    EndRun(aWorker, task, "stopped");
  }
  uint64_t& highest = aWorker.mHighestEnded[task];
  highest = std::max(highest, run);
  return Answer(aWorker, 200, "");
}

Response Cluster::Hold(Worker& aWorker,
                       const json& aBody,
                       std::unique_lock<std::mutex>& aLock)
{
  Extend(aWorker, aBody);
  const uint64_t seen = aBody.value("seen_upto", uint64_t{ 0 });
  aWorker.mEnds.erase(
    std::remove_if(aWorker.mEnds.begin(),
                   aWorker.mEnds.end(),
                   [seen](const End& aEnd) { return aEnd.mNumber <= seen; }),
    aWorker.mEnds.end());
  mChanged.wait_for(
    aLock, Ms(aBody.value("wait_ms", int64_t{ 0 })), [this, &aWorker] {
      return !aWorker.mEnds.empty() || mStopping || !aWorker.mIsUp;
    });
  if (!aWorker.mIsUp) {
    return Response{ kNoAnswer, "" };
  }
  json running = json::array();
  for (const auto& [task, run] : aWorker.mRuns) {
    running.push_back({ task, run.mRun, run.mCheckpoint, 100, 0 });
  }
  json ended = json::array();
  for (const End& end : aWorker.mEnds) {
    if (ended.size() < kMaxListedEnds) {
      ended.push_back(
        { end.mNumber, end.mTask, end.mRun, end.mHow, end.mCheckpoint });
    }
  }
  return Response{ 200,
                   json{ { "clock_ms", ClockOf(aWorker) },
                         { "born", aWorker.mBorn },
                         { "running", std::move(running) },
                         { "ended", std::move(ended) } }
                     .dump() };
}

// Ends a run, and with it the others of its gang.
void Cluster::EndRun(Worker& aWorker,
                     const std::string& aTask,
                     const std::string& aHow)
{
  const auto present = aWorker.mRuns.find(aTask);
  const Run run = present->second;
  aWorker.mRuns.erase(present);
  uint64_t& highest = aWorker.mHighestEnded[aTask];
  highest = std::max(highest, run.mRun);
  const std::string checkpoint = aHow == "done" ? "" : run.mCheckpoint;
  aWorker.mEnds.push_back(
    End{ ++aWorker.mLastEnd, aTask, run.mRun, aHow, checkpoint });
  Note(aWorker, aTask, run.mRun, aHow, checkpoint);
  if (BehaviourOf(aTask).mGang && aHow != "done") {
    mGangs[StepOf(aTask) + "/" + std::to_string(run.mRun)].mIsBroken = true;
  }
  mChanged.notify_all();
}

void Cluster::Note(const Worker& aWorker,
                   const std::string& aTask,
                   uint64_t aRun,
                   const std::string& aWhat,
                   const std::string& aCheckpoint)
{
  mEvents.push_back(RunEvent{
    Steady::now(), aWorker.mSpec.mId, aTask, aRun, aWhat, aCheckpoint });
  mRecord.Line(aWorker.mSpec.mId + " " + aWhat + " " + aTask + " run " +
               std::to_string(aRun) +
               (aCheckpoint.empty() ? "" : " checkpoint " + aCheckpoint));
}

void Cluster::RunTicks()
{
  std::unique_lock<std::mutex> lock(mMutex);
  while (!mStopping) {
    Tick();
    lock.unlock();
    std::this_thread::sleep_for(kTick);
    lock.lock();
  }
}

void Cluster::Tick()
{
  const Steady::time_point now = Steady::now();
  for (const auto& worker : mWorkers) {
    if (worker->mIsUp) {
      TickWorker(*worker, now);
    }
  }
  TickGangs(now);
}

// Ends runs whose lease has expired, and those outside gangs that have done
// their work or that their worker fails.
void Cluster::TickWorker(Worker& aWorker, Steady::time_point aNow)
{
  std::vector<std::pair<std::string, std::string>> ends;
  for (const auto& [task, run] : aWorker.mRuns) {
    const StepBehaviour& step = BehaviourOf(task);
    if (ClockOf(aWorker) > aWorker.mUntil) {
      ends.emplace_back(task, "lapsed");
    } else if (!step.mGang && aWorker.mIsBad) {
      ends.emplace_back(task, "failed");
    } else if (!step.mGang && step.mWork &&
               aNow >= run.mStartedAt + *step.mWork) {
      ends.emplace_back(task, "done");
    }
  }
  for (const auto& [task, how] : ends) {
    EndRun(aWorker, task, how);
  }
}

void Cluster::TickGangs(Steady::time_point aNow)
{
  std::map<std::string, std::vector<Place>> gangs;
  for (const auto& worker : mWorkers) {
    for (const auto& [task, run] : worker->mRuns) {
      if (BehaviourOf(task).mGang) {
        gangs[StepOf(task) + "/" + std::to_string(run.mRun)].push_back(
          Place{ worker.get(), task });
      }
    }
  }
  for (const auto& [key, members] : gangs) {
    TickGang(key, members, aNow);
  }
}

// A gang works once all its members are present. A worker that is bad fails
// those members that it runs, and that breaks the others.
void Cluster::TickGang(const std::string& aKey,
                       const std::vector<Place>& aMembers,
                       Steady::time_point aNow)
{
  Gang& gang = mGangs[aKey];
  const StepBehaviour& step = BehaviourOf(aMembers.front().mTask);
  if (gang.mIsBroken && gang.mIsWorking) {
    for (const Place& member : aMembers) {
      EndRun(*member.mWorker, member.mTask, "broken");
    }
    return;
  }
  if (!gang.mIsWorking) {
    if (aMembers.size() == step.mCount) {
      gang.mIsWorking = true;
      gang.mWorkingSince = aNow;
      mRecord.Line("gang " + aKey + " works");
      return;
    }
    for (const Place& member : aMembers) {
      const Run& run = member.mWorker->mRuns.at(member.mTask);
      if (aNow >= run.mStartedAt + kGangTimeout) {
        EndRun(*member.mWorker, member.mTask, "alone");
      }
    }
    return;
  }
  const bool hasFailed =
    std::any_of(aMembers.begin(), aMembers.end(), [](const Place& aMember) {
      return aMember.mWorker->mIsBad;
    });
  const bool isDone = step.mWork && aNow >= gang.mWorkingSince + *step.mWork;
  for (const Place& member : aMembers) {
    if (hasFailed) {
      const bool isAtFault = member.mWorker->mIsBad;
      EndRun(*member.mWorker, member.mTask, isAtFault ? "failed" : "broken");
    } else if (isDone) {
      EndRun(*member.mWorker, member.mTask, "done");
    }
  }
}

void Cluster::RunHeartbeats()
{
  std::unique_lock<std::mutex> lock(mMutex);
  while (!mStopping) {
    for (const auto& worker : mWorkers) {
      if (worker->mIsUp) {
        Heartbeat(*worker);
      }
    }
    for (auto entry = mRemoveAt.begin(); entry != mRemoveAt.end();) {
      if (entry->second > Steady::now()) {
        ++entry;
        continue;
      }
      mStore.Put("keyed.servers", entry->first, std::nullopt);
      mRecord.Line(entry->first + " is no longer listed");
      entry = mRemoveAt.erase(entry);
    }
    mChanged.wait_for(lock, kHeartbeat, [this] { return mStopping; });
  }
}

void Cluster::Heartbeat(Worker& aWorker)
{
  mStore.Put("keyed.servers",
             aWorker.mSpec.mId,
             json{ { "service", mService },
                   { "address", aWorker.mServer->Endpoint() },
                   { "zone", mZone },
                   { "version", "v1" },
                   { "slots", 8 },
                   { "state", "ready" },
                   { "cold_remaining_ms", 0 },
                   { "capacity",
                     { { "cpu", aWorker.mSpec.mCpu },
                       { "mem_mb", kMemoryMb },
                       { "gpu", 0 } } },
                   { "labels", { aWorker.mSpec.mKind, aWorker.mSpec.mRack } },
                   { "clock_ms", ClockOf(aWorker) },
                   { "born", aWorker.mBorn },
                   { "sequence", ++aWorker.mSequence } }
               .dump());
}

} // namespace review
