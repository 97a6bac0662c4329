#include "worker.h"

#include <algorithm>

namespace review {
namespace {

using nlohmann::json;

constexpr size_t kThreads = 16;
constexpr size_t kMaxListedEnds = 500;
constexpr int64_t kMaxWaitMs = 2000;
// Longer than callers wait for any answer.
constexpr int64_t kCallEndsMs = 3500;
constexpr std::chrono::milliseconds kTick{ 2 };

int64_t UnixMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

} // namespace

size_t History::OnStart(const std::string& aTask,
                        const std::string& aWorker,
                        uint64_t aRun)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  RunHistory run;
  run.mWorker = aWorker;
  run.mRun = aRun;
  run.mStartedAt = NowMs();
  mRuns[aTask].push_back(run);
  return mRuns[aTask].size() - 1;
}

void History::OnEnd(const std::string& aTask,
                    size_t aIndex,
                    const std::string& aHow)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  auto& runs = mRuns[aTask];
  const bool wasDone =
    std::any_of(runs.begin(), runs.end(), [](const RunHistory& aRun) {
      return aRun.mHow == "done";
    });
  runs[aIndex].mEndedAt = NowMs();
  runs[aIndex].mHow = aHow;
  mDoneTasks += !wasDone && aHow == "done" ? 1 : 0;
}

void History::OnNoted(const std::string& aTask, size_t aIndex)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mRuns[aTask][aIndex].mNotedAt = NowMs();
}

void History::OnLapse(const std::string& aTask, size_t aIndex)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mRuns[aTask][aIndex].mLapsedBetween = true;
}

size_t History::DoneTasks() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mDoneTasks;
}

RuleCheck History::Check() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  RuleCheck check;
  for (const auto& [task, runs] : mRuns) {
    for (const RunHistory& run : runs) {
      check.mRuns++;
      check.mDone += run.mHow == "done" ? 1 : 0;
      for (const RunHistory& other : runs) {
        if (&other == &run || other.mStartedAt > run.mStartedAt) {
          continue;
        }
        const bool overlaps =
          &other < &run &&
          (other.mEndedAt < 0 || other.mEndedAt > run.mStartedAt);
        const bool afterDone = other.mHow == "done" && other.mNotedAt >= 0 &&
                               !other.mLapsedBetween &&
                               other.mEndedAt < run.mStartedAt;
        check.mOverlaps += overlaps ? 1 : 0;
        check.mStartsAfterDone += afterDone ? 1 : 0;
        if (check.mFirst.empty() && (overlaps || afterDone)) {
          check.mFirst =
            "task " + task + ": run " + std::to_string(other.mRun) + " on " +
            other.mWorker + " started at " + std::to_string(other.mStartedAt) +
            " ms, ended " + other.mHow + " at " +
            std::to_string(other.mEndedAt) + " ms, noted at " +
            std::to_string(other.mNotedAt) + " ms; run " +
            std::to_string(run.mRun) + " on " + run.mWorker + " started at " +
            std::to_string(run.mStartedAt) + " ms";
        }
      }
    }
  }
  return check;
}

Worker::Worker(WorkerOptions aOptions,
               Store& aStore,
               History& aHistory,
               Record& aRecord)
  : mOptions(std::move(aOptions))
  , mBornUnixMs(UnixMs())
  , mStore(aStore)
  , mHistory(aHistory)
  , mRecord(aRecord)
{
  mServer.new_task_queue = [] { return new httplib::ThreadPool(kThreads); };
  mServer.set_tcp_nodelay(true);
  mServer.set_keep_alive_max_count(1000000);
  mServer.set_keep_alive_timeout(30);
  const auto handle = [this](Handler aHandler) {
    return [this, aHandler](const httplib::Request& aRequest,
                            httplib::Response& aResponse) {
      Handle(aHandler, aRequest, aResponse);
    };
  };
  mServer.Post("/v1/run-start", handle(&Worker::Start));
  mServer.Post("/v1/run-stop", handle(&Worker::Stop));
  mServer.Post("/v1/hold", handle(&Worker::Hold));
  mServer.Post("/v1/pace", handle(&Worker::Pace));
  mPort = mServer.bind_to_any_port(mOptions.mAddress);
  mThread = std::thread([this] { mServer.listen_after_bind(); });
  mTicker = std::thread([this] {
    while (!mStopping) {
      Tick();
      std::this_thread::sleep_for(kTick);
    }
  });
  mHeart = std::thread([this] {
    int64_t next = 0;
    while (!mStopping) {
      if (NowMs() >= next && !mIsDark) {
        next = NowMs() + mOptions.mHeartbeatMs;
        Heartbeat();
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
  });
}

Worker::~Worker()
{
  mStopping = true;
  mHasEnded.notify_all();
  mServer.stop();
  mThread.join();
  mTicker.join();
  mHeart.join();
}

void Worker::Handle(Handler aHandler,
                    const httplib::Request& aRequest,
                    httplib::Response& aResponse)
{
  const uint64_t life = mLife;
  if (mIsDark) {
    AwaitEndOfCall();
  } else if (IsOfThisLife(aRequest)) {
    if (aRequest.get_header_value("Mulberryvalve-Expected-Instance") !=
        mOptions.mId) {
      aResponse.status = 421;
      return;
    }
    (this->*aHandler)(aRequest, aResponse);
    if (life == mLife && !mIsDark) {
      return;
    }
    // Power was lost during the call.
    AwaitEndOfCall();
  }
  // The connection is of a former life, and breaks.
  aResponse.set_content_provider(
    1, "text/plain", [](size_t, size_t, httplib::DataSink&) { return false; });
}

bool Worker::IsOfThisLife(const httplib::Request& aRequest)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const uint64_t life = mLife;
  return mConnections.emplace(aRequest.remote_port, life).first->second == life;
}

// Waits until the caller has given up.
void Worker::AwaitEndOfCall()
{
  const int64_t until = NowMs() + kCallEndsMs;
  while (NowMs() < until && !mStopping) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
}

void Worker::LosePower(int64_t aDarkMs)
{
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mIsDark = true;
    mLife++;
    mRecord.Line(mOptions.mId + ": loses power");
    for (const auto& [task, run] : mRunning) {
      mHistory.OnEnd(task, run.mIndex, "gone");
      mRecord.Line(mOptions.mId + ": " + task + " run " +
                   std::to_string(run.mRun) + " is gone");
    }
    mRunning.clear();
    mEnded.clear();
    mClosed.clear();
    mFence = 0;
    mUntil = 0;
    mLastEnd = 0;
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(aDarkMs));
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mBornAt = NowMs();
    mBornUnixMs = UnixMs();
    mIsDark = false;
    mRecord.Line(mOptions.mId + ": starts again");
  }
  Heartbeat();
}

void Worker::Heartbeat()
{
  static std::atomic<uint64_t> sequence{ 0 };
  const json entry{ { "service", mOptions.mService },
                    { "address",
                      mOptions.mAddress + ":" + std::to_string(mPort) },
                    { "zone", mOptions.mZone },
                    { "version", "v1" },
                    { "slots", 8 },
                    { "state", "ready" },
                    { "cold_remaining_ms", 0 },
                    { "capacity",
                      { { "cpu", mOptions.mCpu },
                        { "mem_mb", mOptions.mMemoryMb },
                        { "gpu", 0 } } },
                    { "labels", { "a", mOptions.mRack } },
                    { "born", mBornUnixMs.load() },
                    { "clock_ms", Clock() },
                    { "sequence", ++sequence } };
  mStore.Put("keyed.servers", mOptions.mId, entry.dump());
}

// Ends the runs whose time has come, and all of them when the lease is over.
void Worker::Tick()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const int64_t now = NowMs();
  const bool lapsed = Clock() >= mUntil;
  std::vector<std::pair<std::string, std::string>> over;
  for (const auto& [task, run] : mRunning) {
    if (now >= run.mEndsAt) {
      over.emplace_back(task, run.mIsStopping ? "stopped" : "done");
    } else if (lapsed) {
      over.emplace_back(task, "lapsed");
    }
  }
  if (lapsed) {
    for (const Ended& end : mEnded) {
      mHistory.OnLapse(end.mTask, end.mIndex);
    }
  }
  for (const auto& [task, how] : over) {
    End(task, how);
  }
  if (!over.empty()) {
    mHasEnded.notify_all();
  }
}

// Precondition: the caller holds mMutex.
void Worker::End(const std::string& aTask, const std::string& aHow)
{
  const Running run = mRunning.at(aTask);
  mRunning.erase(aTask);
  mClosed[aTask] = std::max(mClosed[aTask], run.mRun);
  mEnded.push_back(Ended{ ++mLastEnd, aTask, run.mRun, aHow, run.mIndex });
  mHistory.OnEnd(aTask, run.mIndex, aHow);
  mRecord.Line(mOptions.mId + ": " + aTask + " run " +
               std::to_string(run.mRun) + " ended " + aHow + ", end " +
               std::to_string(mLastEnd));
}

// Answers 409 and returns true if the call carries a lower token than one that
// was seen. Precondition: the caller holds mMutex.
bool Worker::IsFenced(const json& aBody, httplib::Response& aResponse)
{
  const uint64_t token = aBody.value("fencing_token", uint64_t{ 0 });
  if (token >= mFence) {
    mFence = token;
    return false;
  }
  aResponse.status = 409;
  aResponse.set_content(json{ { "clock_ms", Clock() },
                              { "born", mBornUnixMs.load() },
                              { "reason", "fence" } }
                          .dump(),
                        "application/json");
  return true;
}

// Precondition: the caller holds mMutex.
void Worker::Extend(int64_t aUntil)
{
  mUntil = std::max(mUntil, std::min(aUntil, Clock() + mOptions.mMaxHoldMs));
}

void Worker::Start(const httplib::Request& aRequest,
                   httplib::Response& aResponse)
{
  const json body = json::parse(aRequest.body);
  const std::string task = body.at("task");
  const uint64_t run = body.at("run");
  const int64_t until = body.at("until_ms");
  const std::lock_guard<std::mutex> lock(mMutex);
  if (IsFenced(body, aResponse)) {
    return;
  }
  json answer{ { "clock_ms", Clock() }, { "born", mBornUnixMs.load() } };
  const auto present = mRunning.find(task);
  const bool isPresent =
    present != mRunning.end() && present->second.mRun == run;
  const auto closed = mClosed.find(task);
  const bool isOld = (closed != mClosed.end() && closed->second >= run) ||
                     (present != mRunning.end() && present->second.mRun > run);
  if (until <= Clock()) {
    aResponse.status = 409;
    answer["reason"] = "late";
  } else if (isPresent) {
    Extend(until);
    aResponse.status = 200;
  } else if (isOld) {
    Extend(until);
    aResponse.status = 409;
    answer["reason"] = "old";
  } else {
    Extend(until);
    Running entry;
    entry.mRun = run;
    entry.mBegunAt = NowMs();
    entry.mEndsAt = NowMs() + mOptions.mTaskMs;
    entry.mIndex = mHistory.OnStart(task, mOptions.mId, run);
    mRunning[task] = entry;
    mRecord.Line(mOptions.mId + ": " + task + " run " + std::to_string(run) +
                 " started, token " + std::to_string(mFence));
    aResponse.status = 200;
  }
  aResponse.set_content(answer.dump(), "application/json");
}

void Worker::Stop(const httplib::Request& aRequest,
                  httplib::Response& aResponse)
{
  const json body = json::parse(aRequest.body);
  const std::string task = body.at("task");
  const uint64_t run = body.at("run");
  const std::lock_guard<std::mutex> lock(mMutex);
  if (IsFenced(body, aResponse)) {
    return;
  }
  mClosed[task] = std::max(mClosed[task], run);
  const auto found = mRunning.find(task);
  if (found != mRunning.end() && found->second.mRun == run &&
      !found->second.mIsStopping) {
    found->second.mIsStopping = true;
    found->second.mEndsAt = NowMs() + mOptions.mStopMs / 2;
    mRecord.Line(mOptions.mId + ": " + task + " run " + std::to_string(run) +
                 " told to stop");
  }
  aResponse.status = 200;
  aResponse.set_content(
    json{ { "clock_ms", Clock() }, { "born", mBornUnixMs.load() } }.dump(),
    "application/json");
}

void Worker::Pace(const httplib::Request& aRequest,
                  httplib::Response& aResponse)
{
  const json body = json::parse(aRequest.body);
  const std::lock_guard<std::mutex> lock(mMutex);
  if (IsFenced(body, aResponse)) {
    return;
  }
  aResponse.status = 200;
  aResponse.set_content(
    json{ { "clock_ms", Clock() }, { "born", mBornUnixMs.load() } }.dump(),
    "application/json");
}

void Worker::Hold(const httplib::Request& aRequest,
                  httplib::Response& aResponse)
{
  const json body = json::parse(aRequest.body);
  const uint64_t seen = body.value("seen_upto", uint64_t{ 0 });
  const int64_t wait =
    std::min(body.value("wait_ms", int64_t{ 0 }), kMaxWaitMs);
  std::unique_lock<std::mutex> lock(mMutex);
  if (IsFenced(body, aResponse)) {
    return;
  }
  if (body.contains("until_ms")) {
    Extend(body.at("until_ms"));
  }
  const auto firstKept =
    std::find_if(mEnded.begin(), mEnded.end(), [seen](const Ended& aEnd) {
      return aEnd.mNumber > seen;
    });
  for (auto end = mEnded.begin(); end != firstKept; ++end) {
    mHistory.OnNoted(end->mTask, end->mIndex);
  }
  if (firstKept != mEnded.begin()) {
    mRecord.Line(mOptions.mId + ": ends up to " + std::to_string(seen) +
                 " taken note of, " + std::to_string(mEnded.end() - firstKept) +
                 " left");
  }
  mEnded.erase(mEnded.begin(), firstKept);
  const Steady::time_point until =
    Steady::now() + std::chrono::milliseconds(wait);
  while (mEnded.empty() && !mStopping && Steady::now() < until) {
    mHasEnded.wait_until(lock, until);
  }
  json running = json::array();
  for (const auto& [task, run] : mRunning) {
    const int64_t worked = NowMs() - run.mBegunAt;
    const int64_t percent = std::min<int64_t>(
      99, worked * 100 / std::max<int64_t>(1, mOptions.mTaskMs));
    running.push_back(json::array({ task, run.mRun, "", percent, 50 }));
  }
  json ended = json::array();
  for (const Ended& end : mEnded) {
    if (ended.size() == kMaxListedEnds) {
      break;
    }
    ended.push_back(
      json::array({ end.mNumber, end.mTask, end.mRun, end.mHow, "" }));
  }
  aResponse.status = 200;
  aResponse.set_content(json{ { "clock_ms", Clock() },
                              { "born", mBornUnixMs.load() },
                              { "running", running },
                              { "ended", ended } }
                          .dump(),
                        "application/json");
}

} // namespace review
