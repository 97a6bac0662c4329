// WorkerDirectory: a cache of the instance list, refreshed by a thread.
#ifndef MULBERRYVALVE_APP_DIRECTORY_WORKER_DIRECTORY_H_
#define MULBERRYVALVE_APP_DIRECTORY_WORKER_DIRECTORY_H_

#include "mulberryvalve/app/directory/worker_source.h"
#include "mulberryvalve/app/streams/stop_signal.h"
#include "mulberryvalve/core/base/mutex.h"
#include "mulberryvalve/core/base/time.h"
#include "mulberryvalve/ports/out/instance_list.h"

#include <map>
#include <memory>
#include <thread>
#include <vector>

namespace mulberryvalve {

// WorkerDirectory polls the list. While the list cannot be read, the last known
// workers are returned. Thread-safe.
class WorkerDirectory : public WorkerSource
{
public:
  // aList must outlive the directory; it is read every aInterval.
  WorkerDirectory(InstanceList& aList, Milliseconds aInterval);
  ~WorkerDirectory() override;

  // Start starts the thread. Call once.
  void Start();

  // Stop stops and joins the thread.
  void Stop();

  WorkersOfDomain InDomain(const DomainId& aDomain) const override;

  // All returns every worker.
  std::vector<WorkerSpec> All() const;

private:
  void Run();
  void Refresh();

  InstanceList& mList;
  const Milliseconds mInterval;
  StopSignal mStop;
  mutable Mutex mMutex;
  std::map<DomainId, WorkersOfDomain> mByDomain MV_GUARDED_BY(mMutex);
  std::thread mThread;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_DIRECTORY_WORKER_DIRECTORY_H_
