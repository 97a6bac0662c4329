// Fakes for tests of the job services: an in-memory keyed log with injected
// failures, and workers that end each task at once.
#ifndef MULBERRYVALVE_APP_JOBS_JOBS_FAKE_H_
#define MULBERRYVALVE_APP_JOBS_JOBS_FAKE_H_

#include "mulberryvalve/app/jobs/job_graph_service.h"
#include "mulberryvalve/app/jobs/shard_membership_manager.h"
#include "mulberryvalve/core/base/mutex.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace mulberryvalve {

class SilentEvents : public EventLog
{
public:
  void Write(EventLevel,
             std::string_view,
             const std::vector<EventField>&) override
  {
  }
};

class NoMetrics : public Metrics
{
public:
  void Add(Counter, uint64_t) override {}
  void Set(Gauge, int64_t) override {}
  void Record(Timing, Microseconds) override {}
};

class RealClock : public Clock
{
public:
  MonotonicTime Now() const override
  {
    return MonotonicTime(std::chrono::duration_cast<Microseconds>(
      std::chrono::steady_clock::now().time_since_epoch()));
  }
  WallTime WallNow() const override { return WallTime{ 1 }; }
};

// Outcome of an append.
enum class AppendFault
{
  kNone,
  kRefused,    // no effect
  kAnswerLost, // takes effect, but the writer gets no answer
  kLost,       // no effect, and the writer gets no answer
};

// Marks the failure of an append that took effect.
inline constexpr const char* kAppendFaultDone = "done";

// In-memory keyed log. Thread-safe.
class MemoryLog : public KeyedLog
{
public:
  // Sets the outcomes of the next appends, one each.
  void FailNext(std::vector<AppendFault> aFaults);

  // Makes each append take aEach. Appends run one at a time.
  void SetAppendTime(Milliseconds aEach);

  // Expires all offsets, so that readers have to start with the newest records.
  void ExpireRecords();

  // Returns the number of appends to a topic that took effect.
  size_t CountAppends(KeyedTopic aTopic) const;

  // Returns the number of epochs under which owners have written to a place.
  size_t CountEpochs(const TopicPartition& aPlace) const;

  // Returns whether a key has a record.
  bool Holds(KeyedTopic aTopic, const std::string& aKey) const;

  Result<KeyedPage> ReadLatest(const TopicPartition& aPlace) override;
  Result<KeyedPage> Read(const TopicPartition& aPlace,
                         uint64_t aFrom,
                         Milliseconds aWait) override;
  Result<void> Append(const TopicPartition& aPlace,
                      const std::vector<KeyedEntry>& aEntries) override;
  Result<void> AppendAt(const TopicPartition& aPlace,
                        uint64_t aEnd,
                        const std::vector<KeyedEntry>& aEntries) override;
  Result<void> AppendFenced(const AppendFence& aProof,
                            const std::vector<KeyedEntry>& aEntries) override;

private:
  struct Partition
  {
    std::map<std::string, std::string> mNewest;
    std::vector<KeyedEntry> mRecords;
    uint64_t mFirst = 0;
    Epoch mEpoch;
    uint64_t mSequence = 0;
    size_t mEpochs = 0;
    size_t mAppends = 0;
  };

  Partition& At(const TopicPartition& aPlace) MV_REQUIRES(mMutex);
  Result<void> ApplyAppend(Partition& aPartition,
                           const std::vector<KeyedEntry>& aEntries)
    MV_REQUIRES(mMutex);

  mutable Mutex mMutex;
  CondVar mCond;
  std::map<std::pair<KeyedTopic, uint32_t>, Partition> mPartitions
    MV_GUARDED_BY(mMutex);
  std::deque<AppendFault> mFaults MV_GUARDED_BY(mMutex);
  Milliseconds mAppendTime MV_GUARDED_BY(mMutex){ 0 };
  bool mBusy MV_GUARDED_BY(mMutex) = false;
  CondVar mAppendCond;
};

// A group whose calling member is always alone and holds shard 0.
class SoleMemberGroup : public ShardGroup
{
public:
  explicit SoleMemberGroup(uint64_t aGeneration)
    : mGeneration(aGeneration)
  {
  }

  Result<GroupAssignment> Join(ShardNumber aShard, Generation aKnown) override;
  Result<GroupView> View(ShardNumber aShard) override;
  Result<void> Leave(ShardNumber) override { return Done(); }

private:
  const uint64_t mGeneration;
};

// The processor of the instances in tests, unless a test sets another one.
inline constexpr MilliCores kWholeCore = 1000;

// Answers orders on one thread and renewals on another, one at a time.
// Thread-safe.
class ThreadedWorker : public TaskWorkerPort
{
public:
  ThreadedWorker();
  ~ThreadedWorker() override;

  void Send(TaskOrder aOrder, WorkerReplyHandler& aReplies) override;
  void Renew(RenewalRequest aOrder, WorkerReplyHandler& aReplies) override;

private:
  // Answer one order or one renewal. They may block.
  virtual OrderReply HandleOrder(const TaskOrder& aOrder) = 0;
  virtual RenewalReply HandleRenewal(const RenewalRequest& aOrder) = 0;

  struct OrderCall
  {
    TaskOrder mOrder;
    WorkerReplyHandler* mReplies = nullptr;
  };
  struct RenewalCall
  {
    RenewalRequest mOrder;
    WorkerReplyHandler* mReplies = nullptr;
  };

  template<typename Call>
  std::optional<Call> Await(std::deque<Call> ThreadedWorker::*aCalls);
  void RunOrders();
  void RunRenewals();

  Mutex mCallMutex;
  CondVar mCallCond;
  std::deque<OrderCall> mOrders MV_GUARDED_BY(mCallMutex);
  std::deque<RenewalCall> mRenewals MV_GUARDED_BY(mCallMutex);
  bool mEnding MV_GUARDED_BY(mCallMutex) = false;
  std::thread mOrderThread;
  std::thread mRenewalThread;
};

// Reports each started task as done in the next renewal. Thread-safe.
class InstantWorker : public ThreadedWorker
{
public:
  // Makes the tasks of a step a gang of aMembers: they run until all were
  // started, and end together.
  void EndTogether(const StepRef& aStep, size_t aMembers);

  // Returns how often a task was started, or all tasks.
  size_t Starts(const TaskRef& aTask) const;
  size_t Starts() const
  {
    MutexLock lock(mMutex);
    size_t count = 0;
    for (const auto& [task, starts] : mStarts) {
      count += starts;
    }
    return count;
  }

  // Returns the number of ends that no owner has acknowledged.
  size_t PendingEnds() const
  {
    MutexLock lock(mMutex);
    return mEnded.size();
  }

private:
  OrderReply HandleOrder(const TaskOrder& aOrder) override;
  RenewalReply HandleRenewal(const RenewalRequest& aOrder) override;
  void Start(const TaskOrder& aOrder) MV_REQUIRES(mMutex);
  void End(const TaskRef& aTask, RunNumber aRun) MV_REQUIRES(mMutex);

  mutable Mutex mMutex;
  CondVar mCond;
  Epoch mFence MV_GUARDED_BY(mMutex);
  std::map<StepRef, size_t> mGangs MV_GUARDED_BY(mMutex);
  // The members of gangs that run.
  std::map<TaskRef, RunNumber> mRunning MV_GUARDED_BY(mMutex);
  std::vector<RunEndReport> mEnded MV_GUARDED_BY(mMutex);
  EndNumber mLast MV_GUARDED_BY(mMutex);
  std::map<TaskRef, size_t> mStarts MV_GUARDED_BY(mMutex);
};

// Lists one worker.
class SingleWorkerFeedFactory : public WorkerFeedFactory
{
public:
  std::unique_ptr<WorkerFeed> Open() override;
};

class NoPeers : public PeerQueryClient
{
public:
  Result<PeerQueryResult> Ask(const Endpoint&,
                              const PeerQuery&,
                              Milliseconds) override
  {
    return Fail(FailureKind::kPeerUnreachable);
  }
};

class FixedRandom : public RandomSource
{
public:
  uint64_t Below(uint64_t) override { return 0; }
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_JOBS_JOBS_FAKE_H_
