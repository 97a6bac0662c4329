#include "standins/worker_model/worker_fleet.h"

#include <algorithm>

namespace mulberryvalve::standins {

WorkerFleet::WorkerFleet(const std::vector<WorkerSettings>& aSettings,
                         const Clock& aClock,
                         WorkerEventSink& aEventLog)
  : mClock(aClock)
{
  DeadlineListener& listener = *this;
  for (const WorkerSettings& settings : aSettings) {
    Entry& entry = mEntries[settings.mId];
    entry.mWorker =
      std::make_unique<Worker>(settings, aClock, aEventLog, listener);
    entry.mNextDeadline = aClock.Now();
  }
  mThread = std::thread([this] { Run(); });
}

WorkerFleet::~WorkerFleet()
{
  {
    std::lock_guard<std::mutex> lock(mMutex);
    mStopped = true;
    mCondition.notify_all();
  }
  mThread.join();
}

Worker* WorkerFleet::Find(const std::string& aId)
{
  const auto found = mEntries.find(aId);
  return found == mEntries.end() ? nullptr : found->second.mWorker.get();
}

std::vector<Worker*> WorkerFleet::All()
{
  std::vector<Worker*> workers;
  workers.reserve(mEntries.size());
  for (const auto& [id, entry] : mEntries) {
    workers.push_back(entry.mWorker.get());
  }
  return workers;
}

void WorkerFleet::OnDeadline(const std::string& aWorker, SteadyTime aDeadline)
{
  std::lock_guard<std::mutex> lock(mMutex);
  Entry& entry = mEntries.at(aWorker);
  entry.mNextDeadline = std::min(entry.mNextDeadline, aDeadline);
  if (aDeadline < mWakeAt) {
    mCondition.notify_all();
  }
}

void WorkerFleet::Run()
{
  std::unique_lock<std::mutex> lock(mMutex);
  while (!mStopped) {
    const std::vector<Entry*> due = TakeDueEntries(mClock.Now());
    // Lock order: a worker's lock is acquired before the fleet's.
    lock.unlock();
    for (Entry* entry : due) {
      const SteadyTime next = entry->mWorker->Advance();
      OnDeadline(entry->mWorker->Settings().mId, next);
    }
    lock.lock();
    mWakeAt = NextDeadline();
    if (!mStopped && mWakeAt > mClock.Now()) {
      mCondition.wait_until(lock, mWakeAt);
    }
  }
}

std::vector<WorkerFleet::Entry*> WorkerFleet::TakeDueEntries(SteadyTime aNow)
{
  std::vector<Entry*> due;
  for (auto& [id, entry] : mEntries) {
    if (entry.mNextDeadline <= aNow) {
      entry.mNextDeadline = SteadyTime::max();
      due.push_back(&entry);
    }
  }
  return due;
}

SteadyTime WorkerFleet::NextDeadline() const
{
  SteadyTime next = SteadyTime::max();
  for (const auto& [id, entry] : mEntries) {
    next = std::min(next, entry.mNextDeadline);
  }
  return next;
}

} // namespace mulberryvalve::standins
