// FakeInstance: one incarnation of an instance, which runs real shard owners
// against fake ports in simulated time.
#ifndef MULBERRYVALVE_TESTS_SCHEDULES_FAKE_INSTANCE_H_
#define MULBERRYVALVE_TESTS_SCHEDULES_FAKE_INSTANCE_H_

#include "mulberryvalve/app/owner/shard_owner.h"
#include "mulberryvalve/ports/out/bundle_reader.h"
#include "tests/schedules/fake_worker.h"

#include <deque>
#include <memory>
#include <optional>

namespace schedules {

class FakeInstance;

// Fleet holds what the instances of a schedule share. Ended incarnations stay
// in mInstances.
struct Fleet
{
  mulberryvalve::ShardMap mShards;
  std::map<mulberryvalve::WorkerId, std::unique_ptr<FakeWorker>> mWorkers;
  std::map<mulberryvalve::DomainId, mulberryvalve::WorkersOfDomain>
    mWorkerLists;
  std::vector<std::unique_ptr<FakeInstance>> mInstances;
};

// The thread that an event stands for. While an owner decides, events of the
// log follower may run in between; all others are postponed.
enum class EventThread
{
  kFollower,
  kOther,
};

// FakeAppender follows the protocol of a log writer without a thread: it
// batches records, has one append in flight, and reads the log back when the
// outcome of an append is unknown.
class FakeAppender : public mulberryvalve::RecordAppender
{
public:
  FakeAppender(FakeInstance& aInstance,
               std::string aStream,
               mulberryvalve::StreamState& aState);
  void Submit(std::vector<mulberryvalve::Record> aRecords,
              mulberryvalve::Epoch aEpoch,
              mulberryvalve::AppendDone aDone) override;

private:
  struct Pending
  {
    std::vector<mulberryvalve::LogRecord> mRecords;
    mulberryvalve::AppendDone mDone;
  };

  void StartBatch();
  void ScheduleBatch();
  void TryAppend();
  void ReadBack(mulberryvalve::MonotonicTime aFailedAt);
  void Finish(mulberryvalve::Offset aFirst);

  FakeInstance& mInstance;
  const std::string mStream;
  mulberryvalve::StreamState& mState;
  std::deque<Pending> mQueue;
  std::deque<Pending> mBatch;
  std::vector<mulberryvalve::LogRecord> mRecords;
  uint64_t mNextSequence = 1;
  bool mBusy = false;
  bool mOutcomeUnknown = false;
  int64_t mNextAt = 0;
};

// FakeInstance implements every port of its shard owners. Its events are
// postponed while it is frozen and dropped once it has been killed.
class FakeInstance
  : public mulberryvalve::Clock
  , public mulberryvalve::WorkerPort
  , public mulberryvalve::CommandRunner
  , public mulberryvalve::BundleReader
  , public mulberryvalve::OwnerElection
  , public mulberryvalve::WorkerSource
  , public mulberryvalve::RecordSink
  , public mulberryvalve::Metrics
  , public mulberryvalve::EventLog
{
public:
  FakeInstance(World& aWorld,
               Fleet& aFleet,
               mulberryvalve::WriterId aSelf,
               mulberryvalve::DomainId aDomain);

  ~FakeInstance() override;

  // Starts the decision rounds and the polling of the log.
  void Begin();

  // Runs aEvent after aDelay microseconds, unless the instance has been killed
  // by then.
  void RunLater(int64_t aDelay,
                std::function<void()> aEvent,
                EventThread aThread = EventThread::kOther);

  // Ends this incarnation. The object stays valid for calls on the stack.
  void Kill();

  // Returns whether the platform can be reached.
  bool ReachesPlatform() const;

  // Returns the request time of the last page that reached the end of the
  // stream.
  mulberryvalve::MonotonicTime ConfirmedAt(
    const mulberryvalve::StreamState& aState) const;

  // Returns the clock of the instance without simulating a pause, unlike Now.
  mulberryvalve::MonotonicTime LocalTime() const;

  mulberryvalve::MonotonicTime Now() const override;
  mulberryvalve::WallTime WallNow() const override { return {}; }
  mulberryvalve::Result<mulberryvalve::SyncReply> Sync(
    const mulberryvalve::WorkerSpec& aWorker,
    const mulberryvalve::SyncRequest& aRequest) override;
  mulberryvalve::Result<void> Start(
    const mulberryvalve::WorkerSpec& aWorker,
    const mulberryvalve::StartCommand& aCommand) override;
  mulberryvalve::Result<void> Stop(
    const mulberryvalve::WorkerSpec& aWorker,
    const mulberryvalve::CommandFence& aFence,
    const mulberryvalve::LeaseId& aLease) override;
  mulberryvalve::Result<mulberryvalve::CheckpointId> Checkpoint(
    const mulberryvalve::WorkerSpec& aWorker,
    const mulberryvalve::CommandFence& aFence,
    const mulberryvalve::LeaseId& aLease) override;
  mulberryvalve::Result<void> Throttle(const mulberryvalve::WorkerSpec&,
                                       const mulberryvalve::CommandFence&,
                                       const mulberryvalve::LeaseId&,
                                       int) override
  {
    return mulberryvalve::Done();
  }
  mulberryvalve::CheckedBundle Read(const std::string&) const override;
  bool Post(std::function<void()> aJob) override;
  bool IsAlive(const mulberryvalve::WriterId& aWriter) const override;
  bool Prefers(const mulberryvalve::ShardId& aShard,
               const mulberryvalve::DomainId& aDomain,
               const mulberryvalve::WriterId& aSelf) const override;
  mulberryvalve::WorkersOfDomain InDomain(
    const mulberryvalve::DomainId& aDomain) const override;
  void AppendTo(const mulberryvalve::ShardId& aShard,
                std::vector<mulberryvalve::Record> aRecords,
                mulberryvalve::AppendDone aDone) override;
  void Add(mulberryvalve::Counter, uint64_t) override {}
  void Set(mulberryvalve::Gauge, int64_t) override {}
  void Record(mulberryvalve::Timing, mulberryvalve::Microseconds) override {}
  void Write(mulberryvalve::EventLevel,
             std::string_view,
             const std::vector<mulberryvalve::EventField>&) override
  {
  }

  World& mWorld;
  Fleet& mFleet;
  const mulberryvalve::WriterId mSelf;
  const mulberryvalve::DomainId mDomain;
  bool mAlive = true;
  int64_t mDiedAt = 0;
  bool mLeaving = false;
  mutable int64_t mFrozenUntil = 0;
  int64_t mPlatformCutUntil = 0;
  int64_t mPeersCutUntil = 0;
  std::unique_ptr<
    mulberryvalve::StreamReplica<mulberryvalve::ConfigStateMachine>>
    mConfig;
  std::unique_ptr<FakeAppender> mConfigWriter;
  std::map<mulberryvalve::ShardId,
           std::unique_ptr<
             mulberryvalve::StreamReplica<mulberryvalve::ShardStateMachine>>>
    mLedgers;
  std::map<mulberryvalve::ShardId, std::unique_ptr<FakeAppender>> mWriters;
  std::map<mulberryvalve::ShardId, std::unique_ptr<mulberryvalve::ShardOwner>>
    mOwners;

private:
  struct ArrivedPage
  {
    mulberryvalve::StreamState* mState = nullptr;
    mulberryvalve::LogPage mPage;
    mulberryvalve::MonotonicTime mAskedAt;
  };

  void Poll(const std::string& aStream, mulberryvalve::StreamState& aState);
  void Round(mulberryvalve::ShardOwner& aOwner);
  void Fold(ArrivedPage aArrived);
  void BlockFor(int64_t aTime);
  int64_t LeaseExcess() const;
  template<typename T>
  mulberryvalve::Result<T> Call(
    const mulberryvalve::WorkerSpec& aWorker,
    const std::function<mulberryvalve::Result<T>(FakeWorker&)>& aEffect);

  const int64_t mOffset;
  const int64_t mRatePpm;
  bool mDeciding = false;
  std::map<const mulberryvalve::StreamState*, mulberryvalve::MonotonicTime>
    mConfirmed;
};

} // namespace schedules

#endif // MULBERRYVALVE_TESTS_SCHEDULES_FAKE_INSTANCE_H_
