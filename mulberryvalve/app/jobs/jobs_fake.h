// Fakes for tests of the job services: a keyed log in memory with faults, a
// group of one process and workers that end each task at once.
#ifndef MULBERRYVALVE_APP_JOBS_JOBS_FAKE_H_
#define MULBERRYVALVE_APP_JOBS_JOBS_FAKE_H_

#include "mulberryvalve/app/jobs/job_entry_service.h"
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

// AppendFault is what becomes of an append.
enum class AppendFault
{
  kNone,
  kRefused,    // nothing is done
  kAnswerLost, // it is done, but its writer is not told
  kLost,       // nothing is done, and its writer is not told
};

// kAppendFaultDone marks the failure of an append that took effect.
inline constexpr const char* kAppendFaultDone = "done";

// MemoryLog is thread-safe.
class MemoryLog : public KeyedLog
{
public:
  // FailNext makes the next appends fail so, one each.
  void FailNext(std::vector<AppendFault> aFaults);

  // SetAppendTime makes each append take so long, one after the other.
  void SetAppendTime(Milliseconds aEach);

  // Forget drops all offsets, so that readers begin with the newest records.
  void Forget();

  // CountAppends counts the appends to a topic that took effect.
  size_t CountAppends(KeyedTopic aTopic) const;

  // Holds tells whether a key has a record.
  bool Holds(KeyedTopic aTopic, const std::string& aKey) const;

  Result<KeyedPage> Newest(const KeyedPlace& aPlace) override;
  Result<KeyedPage> Read(const KeyedPlace& aPlace,
                         uint64_t aFrom,
                         Milliseconds aWait) override;
  Result<void> Append(const KeyedPlace& aPlace,
                      const std::vector<KeyedEntry>& aEntries) override;
  Result<void> AppendFenced(const FencedAppend& aProof,
                            const std::vector<KeyedEntry>& aEntries) override;

private:
  struct Partition
  {
    std::map<std::string, std::string> mNewest;
    std::vector<KeyedEntry> mRecords;
    uint64_t mFirst = 0;
    Epoch mEpoch;
    uint64_t mSequence = 0;
    size_t mAppends = 0;
  };

  Partition& At(const KeyedPlace& aPlace) MV_REQUIRES(mMutex);
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

// LastJoinerGroup gives the shard to whoever joined last.
class LastJoinerGroup : public ShardGroup
{
public:
  explicit LastJoinerGroup(uint64_t aGeneration)
    : mGeneration(aGeneration)
  {
  }

  Result<GroupShare> Join(ShardNumber aShard, Generation aKnown) override;
  Result<GroupView> View(ShardNumber aShard) override;
  Result<void> Leave(ShardNumber) override { return Done(); }

private:
  const uint64_t mGeneration;
};

// kWholeCore is the processor of members unless they are said to have another.
inline constexpr MilliCores kWholeCore = 1000;

// AssignmentOrder says to which of a group's members the shard goes at each
// change.
enum class AssignmentOrder
{
  kNewestFirst,
  kOldestFirst,
  // The oldest, and its first join after a change does not list the shard.
  kOldestAfterOneEmptyJoin,
};

// FakeShardGroups has a group for each of its shards. Thread-safe.
class FakeShardGroups
{
public:
  explicit FakeShardGroups(
    AssignmentOrder aOrder = AssignmentOrder::kNewestFirst)
    : mOrder(aOrder)
  {
  }

  // Join, View and Leave are the calls of the member that is reached at aPort.
  // Those of a member that is cut off fail.
  Result<GroupShare> Join(uint16_t aPort, ShardNumber aShard);
  Result<GroupView> View(uint16_t aPort, ShardNumber aShard);
  Result<void> Leave(uint16_t aPort, ShardNumber aShard);

  // Disconnect makes a member unreachable and its time run out; Reconnect ends
  // that. In between, RestoreJoins lets its joins through again and no views.
  void Disconnect(uint16_t aPort);
  void RestoreJoins(uint16_t aPort);
  void Reconnect(uint16_t aPort);

  // AwaitViews blocks until View was called aCount more times.
  void AwaitViews(size_t aCount);

  // AwaitFailedViews does the same for calls of View that failed.
  void AwaitFailedViews(size_t aCount);

  // AwaitJoins does the same for Join.
  void AwaitJoins(size_t aCount);

  // Joins counts the calls of a member.
  size_t Joins(uint16_t aPort) const;

  // SetProcessor says what a member's name tells of it.
  void SetProcessor(uint16_t aPort, MilliCores aProcessor);

  // Owners returns which member holds each shard that is held.
  std::map<ShardNumber, uint16_t> Owners() const;

  // Changes counts the changes of all groups' members.
  size_t Changes() const;

private:
  struct Group
  {
    uint64_t mGeneration = 1;
    std::vector<uint16_t> mMembers;
    // The generation that each member was told last.
    std::map<uint16_t, uint64_t> mLastToldGeneration;
  };

  void Remove(Group& aGroup, uint16_t aPort) MV_REQUIRES(mMutex);
  void Await(const size_t& aCounter, size_t aMore) MV_REQUIRES(mMutex);
  uint16_t HolderOf(const Group& aGroup) const MV_REQUIRES(mMutex);

  const AssignmentOrder mOrder;
  mutable Mutex mMutex;
  CondVar mCond;
  std::map<ShardNumber, Group> mGroups MV_GUARDED_BY(mMutex);
  std::map<uint16_t, MilliCores> mProcessors MV_GUARDED_BY(mMutex);
  std::set<uint16_t> mDisconnected MV_GUARDED_BY(mMutex);
  std::set<uint16_t> mJoinsOnly MV_GUARDED_BY(mMutex);
  size_t mFailedViews MV_GUARDED_BY(mMutex) = 0;
  std::map<uint16_t, size_t> mJoins MV_GUARDED_BY(mMutex);
  size_t mViews MV_GUARDED_BY(mMutex) = 0;
  size_t mAllJoins MV_GUARDED_BY(mMutex) = 0;
};

// FakeShardGroupsMember is one instance's access to a FakeShardGroups.
class FakeShardGroupsMember : public ShardGroup
{
public:
  FakeShardGroupsMember(FakeShardGroups& aGroup, uint16_t aPort)
    : mGroup(aGroup)
    , mPort(aPort)
  {
  }

  Result<GroupShare> Join(ShardNumber aShard, Generation) override
  {
    return mGroup.Join(mPort, aShard);
  }
  Result<GroupView> View(ShardNumber aShard) override
  {
    return mGroup.View(mPort, aShard);
  }
  Result<void> Leave(ShardNumber aShard) override
  {
    return mGroup.Leave(mPort, aShard);
  }

private:
  FakeShardGroups& mGroup;
  const uint16_t mPort;
};

// ThreadedWorker answers orders on one thread and renewals on another, one
// after the other. Thread-safe.
class ThreadedWorker : public TaskWorkerPort
{
public:
  ThreadedWorker();
  ~ThreadedWorker() override;

  void Send(TaskOrder aOrder, WorkerReplies& aReplies) override;
  void Hold(HoldOrder aOrder, WorkerReplies& aReplies) override;

private:
  // CarryOut and List answer one call; they may block.
  virtual OrderReply CarryOut(const TaskOrder& aOrder) = 0;
  virtual HoldReply List(const HoldOrder& aOrder) = 0;

  struct OrderCall
  {
    TaskOrder mOrder;
    WorkerReplies* mReplies = nullptr;
  };
  struct HoldCall
  {
    HoldOrder mOrder;
    WorkerReplies* mReplies = nullptr;
  };

  template<typename Call>
  std::optional<Call> Await(std::deque<Call> ThreadedWorker::*aCalls);
  void RunOrders();
  void RunHolds();

  Mutex mCallMutex;
  CondVar mCallCond;
  std::deque<OrderCall> mOrders MV_GUARDED_BY(mCallMutex);
  std::deque<HoldCall> mHolds MV_GUARDED_BY(mCallMutex);
  bool mEnding MV_GUARDED_BY(mCallMutex) = false;
  std::thread mOrderThread;
  std::thread mHoldThread;
};

// InstantWorker ends each task as done when it is listed next. Thread-safe.
class InstantWorker : public ThreadedWorker
{
public:
  // Starts counts the starts of a task.
  size_t Starts(const TaskRef& aTask) const;

private:
  OrderReply CarryOut(const TaskOrder& aOrder) override;
  HoldReply List(const HoldOrder& aOrder) override;

  mutable Mutex mMutex;
  CondVar mCond;
  Epoch mFence MV_GUARDED_BY(mMutex);
  std::vector<EndedRow> mEnded MV_GUARDED_BY(mMutex);
  EndNumber mLast MV_GUARDED_BY(mMutex);
  std::map<TaskRef, size_t> mStarts MV_GUARDED_BY(mMutex);
};

// SingleWorkerFeedFactory lists one worker.
class SingleWorkerFeedFactory : public WorkerFeeds
{
public:
  std::unique_ptr<WorkerFeed> Open() override;
};

class NoPeers : public PeerCalls
{
public:
  Result<PeerAnswer> Ask(const Endpoint&,
                         const PeerQuestion&,
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
