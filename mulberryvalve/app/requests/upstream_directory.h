// UpstreamDirectory: a periodically rebuilt snapshot of the upstreams eligible
// for requests, the limits in force and the slots used by peers.
#ifndef MULBERRYVALVE_APP_REQUESTS_UPSTREAM_DIRECTORY_H_
#define MULBERRYVALVE_APP_REQUESTS_UPSTREAM_DIRECTORY_H_

#include "mulberryvalve/app/directory/worker_directory.h"
#include "mulberryvalve/app/peers/peer_directory.h"
#include "mulberryvalve/core/bundle/bundle.h"
#include "mulberryvalve/core/requests/peer_slot_usage.h"
#include "mulberryvalve/core/requests/slot_shares.h"
#include "mulberryvalve/core/shards/shard_map.h"
#include "mulberryvalve/ports/out/bundle_reader.h"

#include <memory>
#include <vector>

namespace mulberryvalve {

// UpstreamSnapshot is immutable once shared.
struct UpstreamSnapshot
{
  std::vector<WorkerSpec> mWorkers;
  PeerSlotUsage mPeers;
  bool mHasBundle = false;
  Limits mLimits;
};

// UpstreamSource provides the upstreams that requests may use. Implementations
// are thread-safe.
class UpstreamSource
{
public:
  virtual ~UpstreamSource() = default;

  // Now returns the current snapshot; never null.
  virtual std::shared_ptr<const UpstreamSnapshot> Now() = 0;
};

// UpstreamDirectoryPorts are the directory's dependencies; all must outlive it.
struct UpstreamDirectoryPorts
{
  const WorkerDirectory& mDirectory;
  const ShardMap& mShards;
  StreamReplica<ConfigStateMachine>& mConfig;
  const PeerDirectory& mPeers;
  const BundleReader& mBundles;
  const Clock& mClock;
};

// UpstreamDirectory provides the live workers of this instance's failure
// domain. While that domain is out or has none, it provides those of the other
// domains. Thread-safe.
class UpstreamDirectory : public UpstreamSource
{
public:
  UpstreamDirectory(WriterId aSelf,
                    DomainId aDomain,
                    UpstreamDirectoryPorts aPorts);

  std::shared_ptr<const UpstreamSnapshot> Now() override;

private:
  std::shared_ptr<const UpstreamSnapshot> BuildSnapshot() MV_REQUIRES(mMutex);
  void ReadLimits(UpstreamSnapshot& aSnapshot) MV_REQUIRES(mMutex);
  std::vector<WorkerSpec> EligibleWorkers() const;
  std::vector<WorkerSpec> LiveWorkersOf(const DomainId& aDomain) const;
  std::vector<LiveInstance> MembersOf(const DomainId& aDomain,
                                      const std::vector<Member>& aLive) const;

  const WriterId mSelf;
  const DomainId mDomain;
  UpstreamDirectoryPorts mPorts;
  Mutex mMutex;
  MonotonicTime mRebuildAt MV_GUARDED_BY(mMutex);
  std::shared_ptr<const UpstreamSnapshot> mSnapshot MV_GUARDED_BY(mMutex);
  BundleVersion mLimitsVersion MV_GUARDED_BY(mMutex);
  Limits mLimits MV_GUARDED_BY(mMutex);
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_REQUESTS_UPSTREAM_DIRECTORY_H_
