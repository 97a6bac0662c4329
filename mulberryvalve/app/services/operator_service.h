// OperatorService: implements OperatorApi on the configuration stream.
#ifndef MULBERRYVALVE_APP_SERVICES_OPERATOR_SERVICE_H_
#define MULBERRYVALVE_APP_SERVICES_OPERATOR_SERVICE_H_

#include "mulberryvalve/app/audit/audit_trail.h"
#include "mulberryvalve/app/directory/worker_directory.h"
#include "mulberryvalve/app/streams/stream_replica.h"
#include "mulberryvalve/app/streams/stream_writer.h"
#include "mulberryvalve/core/shards/shard_map.h"
#include "mulberryvalve/ports/in/operator_api.h"
#include "mulberryvalve/ports/out/bundle_reader.h"

#include <functional>

namespace mulberryvalve {

// OperatorServicePorts are the service's dependencies; all must outlive it.
struct OperatorServicePorts
{
  StreamReplica<ConfigStateMachine>& mConfig;
  StreamWriter& mWriter;
  LogService& mLog;
  const ShardMap& mShards;
  const WorkerDirectory& mDirectory;
  const BundleReader& mBundles;
  const Clock& mClock;
  std::function<InstanceStatus()> mStatus;
};

// OperatorService is thread-safe.
class OperatorService : public OperatorApi
{
public:
  // aAppendTimeout bounds the wait for a change to become durable.
  OperatorService(OperatorServicePorts aPorts, Milliseconds aAppendTimeout);

  PublishOutcome Publish(const std::string& aDocument,
                         BundleVersion aExpected,
                         const OperatorId& aOperator) override;
  Result<Offset> SignOff(BundleVersion aVersion,
                         const std::string& aDigest,
                         const OperatorId& aOperator) override;
  Result<PublishedBundle> Published(BundleVersion aVersion) override;
  Result<Offset> ChangeDomain(const DomainChanged& aChange) override;
  std::vector<DomainView> Domains() override;
  InstanceStatus Status() override;
  std::vector<WorkerSpec> Workers() override;
  Result<AuditPage> Audit(size_t aLimit) override;

private:
  Result<Offset> Change(const Record& aRecord);
  std::string DescribeWinner(const Record& aRecord, Offset aWinner) const;

  OperatorServicePorts mPorts;
  const Milliseconds mAppendTimeout;
  AuditTrail mAudit;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_SERVICES_OPERATOR_SERVICE_H_
