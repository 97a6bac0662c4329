// Instance: wires the components of one instance from its settings and outbound
// ports. It owns their threads; the daemon creates the adapters.
#ifndef MULBERRYVALVE_APP_INSTANCE_INSTANCE_H_
#define MULBERRYVALVE_APP_INSTANCE_INSTANCE_H_

#include "mulberryvalve/app/directory/worker_directory.h"
#include "mulberryvalve/app/executor/executor.h"
#include "mulberryvalve/app/instance/stream_runtime.h"
#include "mulberryvalve/app/owner/shard_owner.h"
#include "mulberryvalve/app/peers/peer_directory.h"
#include "mulberryvalve/app/requests/request_router.h"
#include "mulberryvalve/app/services/job_service.h"
#include "mulberryvalve/app/services/operator_service.h"
#include "mulberryvalve/core/settings/instance_settings.h"
#include "mulberryvalve/ports/out/instance_list.h"

#include <atomic>
#include <map>
#include <memory>
#include <thread>

namespace mulberryvalve {

// InstancePorts are the outbound ports; all must outlive the instance.
struct InstancePorts
{
  LogService& mLog;
  InstanceList& mInstances;
  WorkerPort& mWorkers;
  UpstreamPort& mUpstreams;
  const BundleReader& mBundles;
  const Clock& mClock;
  RandomSource& mRandom;
  Metrics& mMetrics;
  EventLog& mEvents;
};

// Instance provides the inbound ports. Its accessors are thread-safe.
class Instance : public RecordSink
{
public:
  Instance(const InstanceSettings& aSettings, InstancePorts aPorts);
  ~Instance() override;

  // Start starts all threads. Status messages are broadcast over aPeers, which
  // must stay valid until Stop returns. Call once.
  void Start(PeerPort& aPeers);

  // BeginStop marks the instance as not ready, releases its shards and blocks
  // until no request is in flight, for at most the configured drain time. The
  // front end keeps serving meanwhile.
  void BeginStop();

  // Stop stops all threads. The front end and the peer port must be stopped
  // before.
  void Stop();

  // Requests, Jobs, Operators and Listener return the inbound ports.
  RequestApi& Requests() { return *mRouter; }
  JobApi& Jobs() { return *mJobs; }
  OperatorApi& Operators() { return *mOperators; }
  PeerListener& Listener() { return mPeers; }

  void AppendTo(const ShardId& aShard,
                std::vector<Record> aRecords,
                AppendDone aDone) override;

private:
  using ShardStreamRuntime = StreamRuntime<ShardStateMachine>;

  void BuildShards();
  void BuildServices();
  void OnConfigChanged();
  void WakeOwners();
  void RunHeartbeat(PeerPort& aPeers);
  void SendHeartbeat(PeerPort& aPeers, uint64_t aSequence);
  void WriteSnapshots();
  bool IsReady() const;
  InstanceStatus Describe() const;
  Explanation Explain(const TaskId& aTask) const;
  void UpdateGauges();

  const InstanceSettings mSettings;
  InstancePorts mPorts;
  const WriterId mSelf;
  const ShardMap mShards;
  const StreamDeps mDeps;
  StreamRuntime<ConfigStateMachine> mConfig;
  StreamRuntime<KeyStateMachine> mKeys;
  std::map<ShardId, std::unique_ptr<ShardStreamRuntime>> mStreams;
  WorkerDirectory mDirectory;
  const MembershipOptions mMembership;
  PeerDirectory mPeers;
  Executor mExecutor;
  UpstreamDirectory mUpstreamDirectory;
  LowestCostPolicy mUpstreamPolicy;
  UpstreamTable mUpstreams;
  SlotDispatcher mSlots;
  KeyStore mKeyStore;
  std::map<ShardId, std::unique_ptr<ShardOwner>> mOwners;
  std::unique_ptr<RequestRouter> mRouter;
  std::unique_ptr<JobService> mJobs;
  std::unique_ptr<OperatorService> mOperators;
  std::atomic<bool> mStopping{ false };
  std::atomic<uint64_t> mConfigFingerprint{ 0 };
  StopSignal mStop;
  std::thread mHeartbeat;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_INSTANCE_INSTANCE_H_
