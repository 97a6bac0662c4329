#include "mulberryvalve/app/directory/worker_directory.h"

#include <utility>

namespace mulberryvalve {

WorkerDirectory::WorkerDirectory(InstanceList& aList, Milliseconds aInterval)
  : mList(aList)
  , mInterval(aInterval)
{
}

WorkerDirectory::~WorkerDirectory()
{
  Stop();
}

void WorkerDirectory::Start()
{
  mThread = std::thread([this] { Run(); });
}

void WorkerDirectory::Stop()
{
  mStop.Set();
  if (mThread.joinable()) {
    mThread.join();
  }
}

WorkersOfDomain WorkerDirectory::InDomain(const DomainId& aDomain) const
{
  static const auto kNone = std::make_shared<const std::vector<WorkerSpec>>();
  MutexLock lock(mMutex);
  const auto found = mByDomain.find(aDomain);
  return found == mByDomain.end() ? kNone : found->second;
}

std::vector<WorkerSpec> WorkerDirectory::All() const
{
  std::vector<WorkerSpec> all;
  MutexLock lock(mMutex);
  for (const auto& [domain, workers] : mByDomain) {
    all.insert(all.end(), workers->begin(), workers->end());
  }
  return all;
}

void WorkerDirectory::Run()
{
  do {
    Refresh();
  } while (!mStop.WaitUntil(std::chrono::steady_clock::now() + mInterval));
}

void WorkerDirectory::Refresh()
{
  const Result<std::vector<WorkerSpec>> workers = mList.Workers();
  if (!workers) {
    return;
  }
  std::map<DomainId, std::vector<WorkerSpec>> byDomain;
  for (const WorkerSpec& worker : workers.value()) {
    byDomain[worker.mDomain].push_back(worker);
  }
  MutexLock lock(mMutex);
  mByDomain.clear();
  for (auto& [domain, list] : byDomain) {
    mByDomain[domain] =
      std::make_shared<const std::vector<WorkerSpec>>(std::move(list));
  }
}

} // namespace mulberryvalve
