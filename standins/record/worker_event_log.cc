#include "standins/record/worker_event_log.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "standins/base/clock.h"

namespace mulberryvalve::standins {
namespace {

constexpr Milliseconds kFlushInterval{ 50 };

std::string ToLine(const WorkerEvent& aEvent)
{
  const nlohmann::ordered_json line = {
    { "ms", aEvent.mWallMs },
    { "worker", aEvent.mWorker },
    { "domain", aEvent.mDomain },
    { "event", std::string(NameOf(kWorkerEventKindNames, aEvent.mKind)) },
    { "lease", aEvent.mLease },
    { "task", aEvent.mTask },
    { "attempt", aEvent.mAttempt },
    { "key", aEvent.mKey },
    { "shard", aEvent.mShard },
    { "fence", aEvent.mFence },
    { "cpu_millis", aEvent.mCpuMillis },
    { "memory_mb", aEvent.mMemoryMb },
    { "accelerators", aEvent.mAccelerators },
    { "resume_from", aEvent.mResumeFrom },
    { "checkpoint", aEvent.mCheckpoint },
  };
  return line.dump(
           -1, ' ', false, nlohmann::ordered_json::error_handler_t::replace) +
         "\n";
}

} // namespace

WorkerEventLog::WorkerEventLog(const std::string& aPath)
  : mFile(aPath.empty() ? nullptr : std::fopen(aPath.c_str(), "a"))
  , mOpen(aPath.empty() || mFile != nullptr)
  , mThread([this] { Run(); })
{
}

WorkerEventLog::~WorkerEventLog()
{
  {
    std::lock_guard<std::mutex> lock(mMutex);
    mStopped = true;
    mCondition.notify_all();
  }
  mThread.join();
  Flush();
}

void WorkerEventLog::Append(WorkerEvent aEvent)
{
  std::lock_guard<std::mutex> lock(mMutex);
  if (mPending.empty()) {
    mCondition.notify_all();
  }
  mPending.push_back(std::move(aEvent));
}

std::string WorkerEventLog::Lines(const std::string& aWorker)
{
  Flush();
  std::lock_guard<std::mutex> lock(mLinesMutex);
  std::string text;
  for (const Line& line : mLines) {
    if (aWorker.empty() || line.mWorker == aWorker) {
      text += line.mText;
    }
  }
  return text;
}

void WorkerEventLog::Run()
{
  std::unique_lock<std::mutex> lock(mMutex);
  while (!mStopped) {
    mCondition.wait(lock, [this] { return mStopped || !mPending.empty(); });
    const SteadyTime flushAt =
      std::chrono::steady_clock::now() + kFlushInterval;
    mCondition.wait_until(lock, flushAt, [this] { return mStopped; });
    lock.unlock();
    Flush();
    lock.lock();
  }
}

void WorkerEventLog::Flush()
{
  std::lock_guard<std::mutex> linesLock(mLinesMutex);
  std::vector<WorkerEvent> events;
  {
    std::lock_guard<std::mutex> lock(mMutex);
    events.swap(mPending);
  }
  for (WorkerEvent& event : events) {
    std::string text = ToLine(event);
    if (mFile) {
      std::fwrite(text.data(), 1, text.size(), mFile.get());
    }
    mLines.push_back({ std::move(event.mWorker), std::move(text) });
  }
  if (mFile && !events.empty()) {
    std::fflush(mFile.get());
  }
}

} // namespace mulberryvalve::standins
