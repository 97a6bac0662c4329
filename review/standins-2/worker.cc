#include "worker.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace review {
namespace {

using nlohmann::json;

constexpr size_t kMaxListedEnds = 500;
constexpr int64_t kTimerMs = 5;

int64_t WorkMs(const std::string& aSpecification)
{
  const size_t at = aSpecification.find("ms=");
  return at == std::string::npos ? 200
                                 : std::stoll(aSpecification.substr(at + 3));
}

int64_t UnixMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

} // namespace

Worker::Worker(WorkerSettings aSettings, Store& aStore, Record& aRecord)
  : mSettings(std::move(aSettings))
  , mKind(mSettings.mKind)
  , mStore(aStore)
  , mRecord(aRecord)
{
  Begin();
  mServer = std::make_unique<Server>(
    mSettings.mAddress, 0, [this](const Request& aRequest) {
      return Handle(aRequest);
    });
  Register();
  mTimers = std::thread([this] { RunTimers(); });
  mHeartbeat = std::thread([this] { RunHeartbeat(); });
}

Worker::~Worker()
{
  {
    std::lock_guard<std::mutex> lock(mMutex);
    mStopping = true;
    mChanged.notify_all();
  }
  mServer->Kill();
  mTimers.join();
  mHeartbeat.join();
}

// Starts a new life, which knows nothing of the one before.
void Worker::Begin()
{
  mIncarnation++;
  mBornAt = NowMs();
  mBornUnixMs = UnixMs();
  mFence = 0;
  mLeaseUntil = 0;
  mLastEnd = 0;
  mSequence = 0;
  mRuns.clear();
  mEnds.clear();
  mPast.clear();
  mRecord.Add(
    Event{ 0, Id(), "born", "", 0, 0, mIncarnation, "kind=" + mKind });
}

std::string Worker::Kind()
{
  std::lock_guard<std::mutex> lock(mMutex);
  return mKind;
}

void Worker::Restart(int aDownMs, const std::string& aKind)
{
  {
    std::lock_guard<std::mutex> lock(mMutex);
    mIsUp = false;
    mRecord.Add(Event{ 0, Id(), "killed", "", 0, 0, mIncarnation, "" });
  }
  mServer->Kill();
  std::this_thread::sleep_for(std::chrono::milliseconds(aDownMs));
  {
    std::lock_guard<std::mutex> lock(mMutex);
    mKind = aKind.empty() ? mKind : aKind;
    Begin();
    mIsUp = true;
    mChanged.notify_all();
  }
  // The entry is in the store before the first call can be answered.
  Register();
  mServer->Listen();
}

size_t Worker::Running()
{
  std::lock_guard<std::mutex> lock(mMutex);
  return mRuns.size();
}

size_t Worker::RunningOf(const std::string& aJob)
{
  std::lock_guard<std::mutex> lock(mMutex);
  return static_cast<size_t>(
    std::count_if(mRuns.begin(), mRuns.end(), [&](const auto& aRun) {
      return aRun.first.compare(0, aJob.size(), aJob) == 0;
    }));
}

Response Worker::Handle(const Request& aRequest)
{
  {
    std::lock_guard<std::mutex> lock(mMutex);
    if (!mIsUp) {
      Response none;
      none.mDropConnection = true;
      return none;
    }
    const auto expected =
      aRequest.mHeaders.find("mulberryvalve-expected-instance");
    if (expected != aRequest.mHeaders.end() && expected->second != Id()) {
      return Response{ 421, json{ { "clock_ms", ClockMs() } }.dump() };
    }
  }
  if (aRequest.mPath == "/v1/run-start") {
    return Start(aRequest);
  }
  if (aRequest.mPath == "/v1/run-stop") {
    return Stop(aRequest);
  }
  if (aRequest.mPath == "/v1/hold") {
    return Hold(aRequest);
  }
  if (aRequest.mPath == "/v1/pace") {
    std::lock_guard<std::mutex> lock(mMutex);
    return Response{ 200, json{ { "clock_ms", ClockMs() } }.dump() };
  }
  return Response{ 404, "{}" };
}

// Precondition: mMutex is held. A lease never gets shorter, and no lease is
// longer than the maximum.
void Worker::ExtendLease(int64_t aUntil)
{
  mLeaseUntil =
    std::max(mLeaseUntil, std::min(aUntil, ClockMs() + mSettings.mMaxHoldMs));
}

Response Worker::Start(const Request& aRequest)
{
  const json body = json::parse(aRequest.mBody);
  const std::string task = body.at("task");
  const auto run = body.at("run").get<int64_t>();
  const int64_t fence = body.value("fencing_token", int64_t{ 0 });
  std::unique_lock<std::mutex> lock(mMutex);
  const uint64_t incarnation = mIncarnation;
  lock.unlock();
  std::this_thread::sleep_for(std::chrono::milliseconds(mSettings.mStartMs));
  lock.lock();
  if (incarnation != mIncarnation || !mIsUp) {
    // A call to a killed process is not carried out.
    Response none;
    none.mDropConnection = true;
    return none;
  }
  const auto refuse = [&](const char* aReason) {
    mRecord.Add(
      Event{ 0, Id(), "refused", task, run, 0, mIncarnation, aReason });
    return Response{
      409, json{ { "clock_ms", ClockMs() }, { "reason", aReason } }.dump()
    };
  };
  if (fence < mFence) {
    return refuse("fence");
  }
  mFence = fence;
  const auto until = body.at("until_ms").get<int64_t>();
  if (until <= ClockMs()) {
    return refuse("late");
  }
  ExtendLease(until);
  const auto present = mRuns.find(task);
  const auto past = mPast.find(task);
  if (present != mRuns.end() && present->second.mNumber == run) {
    return Response{ 200, json{ { "clock_ms", ClockMs() } }.dump() };
  }
  if (present != mRuns.end() || (past != mPast.end() && run <= past->second)) {
    return refuse("old");
  }
  const std::string specification = body.value("specification", "");
  mRuns[task] =
    Run{ run, NowMs() + WorkMs(specification), body.value("checkpoint", "") };
  mRecord.Add(Event{ 0,
                     Id(),
                     "start",
                     task,
                     run,
                     0,
                     mIncarnation,
                     "kind=" + mKind + " " + specification +
                       " checkpoint=" + body.value("checkpoint", "") });
  return Response{ 200, json{ { "clock_ms", ClockMs() } }.dump() };
}

Response Worker::Stop(const Request& aRequest)
{
  const json body = json::parse(aRequest.mBody);
  const std::string task = body.at("task");
  const auto run = body.at("run").get<int64_t>();
  const int64_t fence = body.value("fencing_token", int64_t{ 0 });
  std::lock_guard<std::mutex> lock(mMutex);
  if (fence < mFence) {
    return Response{
      409, json{ { "clock_ms", ClockMs() }, { "reason", "fence" } }.dump()
    };
  }
  mFence = fence;
  const auto present = mRuns.find(task);
  if (present != mRuns.end() && present->second.mNumber <= run) {
    Finish(task, "stopped");
  }
  mPast[task] = std::max(mPast[task], run);
  return Response{ 200, json{ { "clock_ms", ClockMs() } }.dump() };
}

Response Worker::Hold(const Request& aRequest)
{
  const json body = json::parse(aRequest.mBody);
  const int64_t fence = body.value("fencing_token", int64_t{ 0 });
  const int64_t seen = body.value("seen_upto", int64_t{ 0 });
  std::unique_lock<std::mutex> lock(mMutex);
  if (fence < mFence) {
    return Response{
      409, json{ { "clock_ms", ClockMs() }, { "reason", "fence" } }.dump()
    };
  }
  mFence = fence;
  if (body.contains("until_ms")) {
    ExtendLease(body.at("until_ms").get<int64_t>());
  }
  while (!mEnds.empty() && mEnds.front().mNumber <= seen) {
    const End& end = mEnds.front();
    mRecord.Add(Event{ 0,
                       Id(),
                       "seen",
                       end.mTask,
                       end.mRun,
                       end.mNumber,
                       mIncarnation,
                       end.mHow + " seen_upto=" + std::to_string(seen) });
    mEnds.pop_front();
  }
  const uint64_t incarnation = mIncarnation;
  const auto until =
    Clock::now() + std::chrono::milliseconds(std::min<int64_t>(
                     body.value("wait_ms", int64_t{ 0 }), 2000));
  mChanged.wait_until(lock, until, [&] {
    return !mEnds.empty() || incarnation != mIncarnation || !mIsUp || mStopping;
  });
  if (incarnation != mIncarnation || !mIsUp) {
    Response none;
    none.mDropConnection = true;
    return none;
  }
  json running = json::array();
  for (const auto& [task, run] : mRuns) {
    running.push_back({ task, run.mNumber, run.mCheckpoint, 100, 0 });
  }
  json ended = json::array();
  for (const End& end : mEnds) {
    if (ended.size() == kMaxListedEnds) {
      break;
    }
    ended.push_back(
      { end.mNumber, end.mTask, end.mRun, end.mHow, end.mCheckpoint });
  }
  return Response{ 200,
                   json{ { "clock_ms", ClockMs() },
                         { "born", mBornUnixMs },
                         { "running", running },
                         { "ended", ended } }
                     .dump() };
}

// Precondition: mMutex is held, and the task is at work.
void Worker::Finish(const std::string& aTask, const std::string& aHow)
{
  const Run run = mRuns.at(aTask);
  mRuns.erase(aTask);
  mPast[aTask] = std::max(mPast[aTask], run.mNumber);
  mEnds.push_back(End{ ++mLastEnd, aTask, run.mNumber, aHow, run.mCheckpoint });
  mRecord.Add(
    Event{ 0, Id(), aHow, aTask, run.mNumber, mLastEnd, mIncarnation, "" });
  mChanged.notify_all();
}

void Worker::RunTimers()
{
  std::unique_lock<std::mutex> lock(mMutex);
  while (!mStopping) {
    mChanged.wait_for(lock, std::chrono::milliseconds(kTimerMs));
    if (!mIsUp) {
      continue;
    }
    const bool hasLapsed = ClockMs() >= mLeaseUntil;
    std::vector<std::string> over;
    for (const auto& [task, run] : mRuns) {
      if (hasLapsed || run.mEndsAt <= NowMs()) {
        over.push_back(task);
      }
    }
    for (const std::string& task : over) {
      Finish(task, hasLapsed ? "lapsed" : "done");
    }
  }
}

void Worker::RunHeartbeat()
{
  int64_t next = NowMs() + mSettings.mHeartbeatMs;
  while (true) {
    {
      std::unique_lock<std::mutex> lock(mMutex);
      mChanged.wait_for(lock, std::chrono::milliseconds(50));
      if (mStopping) {
        return;
      }
      if (!mIsUp || NowMs() < next) {
        continue;
      }
    }
    next = NowMs() + mSettings.mHeartbeatMs;
    Register();
  }
}

void Worker::Register()
{
  json entry;
  {
    std::lock_guard<std::mutex> lock(mMutex);
    entry =
      json{ { "service", mSettings.mService },
            { "address",
              mSettings.mAddress + ":" + std::to_string(mServer->Port()) },
            { "zone", mSettings.mZone },
            { "version", "v1" },
            { "slots", 8 },
            { "state", "ready" },
            { "cold_remaining_ms", 0 },
            { "capacity",
              { { "cpu", mSettings.mCpu },
                { "mem_mb", mSettings.mMemoryMb },
                { "gpu", 0 } } },
            { "labels", { mKind, mSettings.mRack } },
            { "clock_ms", ClockMs() },
            { "born", mBornUnixMs },
            { "sequence", ++mSequence } };
  }
  mStore.Put("keyed.servers", Id(), entry.dump());
}

} // namespace review
