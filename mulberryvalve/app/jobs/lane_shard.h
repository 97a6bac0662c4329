// LaneShard: the lanes of some workers, one thread that sends what they have.
#ifndef MULBERRYVALVE_APP_JOBS_LANE_SHARD_H_
#define MULBERRYVALVE_APP_JOBS_LANE_SHARD_H_

#include "mulberryvalve/app/jobs/worker_lane.h"
#include "mulberryvalve/core/base/mutex.h"
#include "mulberryvalve/ports/out/task_worker_port.h"

#include <map>
#include <optional>
#include <set>
#include <thread>
#include <tuple>
#include <utility>

namespace mulberryvalve {

// LaneHost decides what a lane sends and takes in the answers.
// Implementations are thread-safe and do not block for long.
class LaneHost
{
public:
  virtual ~LaneHost() = default;

  // NextHold returns the renewal that is due, or nothing when the worker is
  // not known any more, which ends the lane.
  virtual std::optional<HoldOrder> NextHold(const WorkerId& aWorker) = 0;

  // OnHold takes in an answer to a renewal that was sent at aSentAt. It returns
  // whether all ends that the worker listed are durable.
  virtual bool OnHold(const HoldOrder& aOrder,
                      const HoldReply& aReply,
                      MonotonicTime aSentAt) = 0;

  // MaySend tells, immediately before it is sent, whether an order still holds.
  virtual bool MaySend(const TaskOrder& aOrder) = 0;

  // OnOrder takes in the answer to an order.
  virtual void OnOrder(const TaskOrder& aOrder, const OrderReply& aReply) = 0;

  // Now returns the present time.
  virtual MonotonicTime Now() const = 0;
};

// LaneShard's methods are thread-safe. Its lock is never held while the host or
// the port is called.
class LaneShard : private WorkerReplies
{
public:
  // aHost and aPort must outlive this object.
  LaneShard(LaneHost& aHost, TaskWorkerPort& aPort);
  ~LaneShard() override;
  LaneShard(const LaneShard&) = delete;
  LaneShard& operator=(const LaneShard&) = delete;

  // Open, Post, OnDurable, BeginStop and Stop are those of WorkerLanes.
  void Open(const WorkerId& aWorker);
  void Post(TaskOrder aOrder);
  void OnDurable(const WorkerId& aWorker);
  void BeginStop();
  void Stop();

private:
  using Time = WorkerLane::Time;
  using DueKey = std::pair<Time, WorkerId>;
  // The number keeps those of one urgency in the order of their coming.
  using ReadyKey = std::tuple<LaneUrgency, uint64_t, WorkerId>;

  // Listed is a lane and where it stands among those that wait.
  struct Listed
  {
    WorkerLane mLane;
    MonotonicTime mHoldSentAt;
    std::optional<DueKey> mDue;
    std::optional<ReadyKey> mReady;
  };

  // Step is what is to be sent next: an order, or else a renewal.
  struct Step
  {
    WorkerId mWorker;
    std::optional<TaskOrder> mOrder;
  };

  using Row = std::map<WorkerId, Listed>::iterator;

  void Run();
  std::optional<Step> AwaitStep();
  std::optional<Step> TakeStep(Time aNow) MV_REQUIRES(mMutex);
  void SendHold(const WorkerId& aWorker);
  void SendOrder(TaskOrder aOrder);
  void EndHolds(const WorkerId& aWorker);
  void OnOrderReply(const TaskOrder& aOrder, const OrderReply& aReply) override;
  void OnHoldReply(const HoldOrder& aOrder, const HoldReply& aReply) override;
  void StepDone(Row aRow) MV_REQUIRES(mMutex);
  void List(Row aRow) MV_REQUIRES(mMutex);
  void ListDue(Row aRow) MV_REQUIRES(mMutex);
  void ListReady(Row aRow) MV_REQUIRES(mMutex);

  LaneHost& mHost;
  TaskWorkerPort& mPort;
  Mutex mMutex;
  // Wakes the thread that sends.
  CondVar mCond;
  // Wakes who waits for the answers to calls under way.
  CondVar mDoneCond;
  std::map<WorkerId, Listed> mLanes MV_GUARDED_BY(mMutex);
  std::set<DueKey> mDue MV_GUARDED_BY(mMutex);
  std::set<ReadyKey> mReady MV_GUARDED_BY(mMutex);
  uint64_t mNumber MV_GUARDED_BY(mMutex) = 0;
  size_t mUnderWay MV_GUARDED_BY(mMutex) = 0;
  bool mStopping MV_GUARDED_BY(mMutex) = false;
  std::thread mThread;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_JOBS_LANE_SHARD_H_
