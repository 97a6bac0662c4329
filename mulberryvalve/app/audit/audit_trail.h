// AuditTrail: reads the newest changes from the platform's log.
#ifndef MULBERRYVALVE_APP_AUDIT_AUDIT_TRAIL_H_
#define MULBERRYVALVE_APP_AUDIT_AUDIT_TRAIL_H_

#include "mulberryvalve/core/audit/audit_projection.h"
#include "mulberryvalve/core/shards/shard_map.h"
#include "mulberryvalve/ports/in/operator_api.h"
#include "mulberryvalve/ports/out/log_service.h"

#include <atomic>
#include <functional>

namespace mulberryvalve {

// AuditTrail is thread-safe. It serves one reader at a time and rejects others
// with kOverloaded, so that audits cannot exhaust the platform's capacity.
class AuditTrail
{
public:
  // Both references must outlive the trail.
  AuditTrail(LogService& aLog, const ShardMap& aShards);

  // Read returns the newest aLimit entries. Its memory is bounded by one page
  // of records, aLimit entries per stream and one snapshot. The snapshot
  // provides the initial state of a stream whose oldest records are not read.
  // Errors: kLogUnavailable, kLogAnswerLost, kOverloaded.
  Result<AuditPage> Read(size_t aLimit);

private:
  using RecordVisitor = std::function<void(const StoredRecord&)>;

  Result<void> Scan(const StreamName& aStream,
                    Offset aFrom,
                    Offset aEnd,
                    const RecordVisitor& aVisitor);
  Result<void> ReadStream(const StreamName& aStream,
                          AuditProjection& aProjection,
                          size_t aLimit,
                          AuditPage& aPage);
  Result<AuditPage> ReadAll(size_t aLimit);

  LogService& mLog;
  const ShardMap& mShards;
  std::atomic<bool> mBusy{ false };
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_AUDIT_AUDIT_TRAIL_H_
