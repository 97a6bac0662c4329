// The event log of the workers, in memory and optionally in a file of JSON
// lines.

#pragma once

#include <condition_variable>
#include <cstdio>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "standins/record/worker_event_sink.h"

namespace mulberryvalve::standins {

// Collects events and writes them from a background thread. Thread-safe.
class WorkerEventLog : public WorkerEventSink
{
public:
  // Appends to the file `aPath`; with an empty path the log is kept in memory
  // only. `IsOpen` tells whether the file could be opened.
  explicit WorkerEventLog(const std::string& aPath);

  // Writes the events that are still pending.
  ~WorkerEventLog() override;

  WorkerEventLog(const WorkerEventLog&) = delete;
  WorkerEventLog& operator=(const WorkerEventLog&) = delete;

  bool IsOpen() const { return mOpen; }

  void Append(WorkerEvent aEvent) override;

  // The JSON lines of one worker, or of all if `aWorker` is empty, in the order
  // in which the events were appended. All of them have been written to the
  // file when this returns.
  std::string Lines(const std::string& aWorker);

private:
  struct Line
  {
    std::string mWorker;
    std::string mText;
  };

  struct CloseFile
  {
    void operator()(std::FILE* aFile) const { std::fclose(aFile); }
  };

  void Run();
  void Flush();

  std::unique_ptr<std::FILE, CloseFile> mFile;
  const bool mOpen;

  // Locked before `mMutex` where both are held.
  std::mutex mLinesMutex;
  std::vector<Line> mLines;

  std::mutex mMutex;
  std::condition_variable mCondition;
  std::vector<WorkerEvent> mPending;
  bool mStopped = false;

  std::thread mThread;
};

} // namespace mulberryvalve::standins
