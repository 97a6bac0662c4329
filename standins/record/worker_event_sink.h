// Events of the workers (task and request starts and ends), from which tests
// check what was executed.

#pragma once

#include <cstdint>
#include <string>

#include "standins/base/name_table.h"

namespace mulberryvalve::standins {

enum class WorkerEventKind
{
  kStart,
  kStop,
  kComplete,
  kFail,
  kExpire,
  kRequest,
  kRequestEnd,
  kRefuse,
};

constexpr NameTable<WorkerEventKind, 8> kWorkerEventKindNames{ {
  { WorkerEventKind::kStart, "start" },
  { WorkerEventKind::kStop, "stop" },
  { WorkerEventKind::kComplete, "complete" },
  { WorkerEventKind::kFail, "fail" },
  { WorkerEventKind::kExpire, "expire" },
  { WorkerEventKind::kRequest, "request" },
  { WorkerEventKind::kRequestEnd, "request_end" },
  { WorkerEventKind::kRefuse, "refuse" },
} };

struct WorkerEvent
{
  int64_t mWallMs = 0;
  std::string mWorker;
  std::string mDomain;
  WorkerEventKind mKind = WorkerEventKind::kStart;
  std::string mLease;
  std::string mTask;
  std::string mAttempt;
  std::string mKey;
  std::string mShard;
  uint64_t mFence = 0;
  int64_t mCpuMillis = 0;
  int64_t mMemoryMb = 0;
  int64_t mAccelerators = 0;
  std::string mResumeFrom;
  std::string mCheckpoint;
};

// Receives worker events. Thread-safe; `Append` does not wait for disk I/O.
class WorkerEventSink
{
public:
  virtual ~WorkerEventSink() = default;

  virtual void Append(WorkerEvent aEvent) = 0;
};

} // namespace mulberryvalve::standins
