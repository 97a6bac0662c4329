// FakeInstance: one life of an instance, which drives real shard owners over
// fake ports on the world's time line.
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

// Fleet is what the instances of a schedule share.
struct Fleet
{
  mulberryvalve::ShardMap mShards;
  std::map<mulberryvalve::WorkerId, std::unique_ptr<FakeWorker>> mWorkers;
  std::map<mulberryvalve::DomainId, mulberryvalve::WorkersOfDomain>
    mWorkerLists;
  std::vector<std::unique_ptr<FakeInstance>> mInstances;
};

// Who may run while a decision of the instance is on the stack.
enum class EventThread
{
  kFollower,
  kOther,
};

// FakeAppender is a writer's protocol without its thread: batches, one append
// at a time, and read-back after a lost answer.
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
  bool mUncertain = false;
  int64_t mNextAt = 0;
};

// FakeInstance is every port of its owners. Events of it wait while it is
// frozen, and end with it.
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

  // Begin starts its rounds and polls.
  void Begin();

  // RunLater runs aEvent of this instance after aDelay.
  void RunLater(int64_t aDelay,
                std::function<void()> aEvent,
                EventThread aThread = EventThread::kOther);

  // Kill ends the life; the object stays for calls that are on the stack.
  void Kill();

  // ReachesPlatform tells whether the platform answers.
  bool ReachesPlatform() const;

  // ConfirmedAt returns when the last page that reached the end was asked for.
  mulberryvalve::MonotonicTime ConfirmedAt(
    const mulberryvalve::StreamState& aState) const;

  // LocalTime is Now without a chance of being stalled.
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
  std::unique_ptr<mulberryvalve::FoldedStream<mulberryvalve::ConfigFold>>
    mConfig;
  std::unique_ptr<FakeAppender> mConfigWriter;
  std::map<mulberryvalve::ShardId,
           std::unique_ptr<
             mulberryvalve::FoldedStream<mulberryvalve::ShardStateMachine>>>
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
  void Block(int64_t aTime);
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
