// OperatorApi: operator access to configuration bundles, failure domains,
// status and the audit trail.
#ifndef MULBERRYVALVE_PORTS_IN_OPERATOR_API_H_
#define MULBERRYVALVE_PORTS_IN_OPERATOR_API_H_

#include "mulberryvalve/core/audit/audit_entry.h"
#include "mulberryvalve/core/base/failure.h"
#include "mulberryvalve/core/bundle/bundle_fault.h"
#include "mulberryvalve/core/config/config_state_machine.h"
#include "mulberryvalve/core/ledger/shard_state_machine.h"
#include "mulberryvalve/core/model/ids.h"
#include "mulberryvalve/core/model/worker.h"
#include "mulberryvalve/core/records/record.h"

#include <string>
#include <vector>

namespace mulberryvalve {

// ShardStatus is the state of a shard as known to this instance: its claim, the
// offset up to which its log was applied, and its waiting and running tasks.
struct ShardStatus
{
  ShardId mShard;
  ShardClaim mClaim;
  Offset mFolded;
  bool mIsActiveOwner = false;
  size_t mWaiting = 0;
  size_t mHeld = 0;
};

// InstanceStatus is the status that an instance reports about itself.
struct InstanceStatus
{
  WriterId mSelf;
  DomainId mDomain;
  bool mReady = false;
  bool mStopping = false;
  bool mLogReachable = false;
  BundleInForce mBundle;
  BundleVersion mNewestBundle;
  std::vector<ShardStatus> mShards;
  std::vector<WriterId> mPeersAlive;
};

// DomainView is a failure domain and its status.
struct DomainView
{
  DomainId mDomain;
  DomainStatus mStatus;
};

// PublishReceipt identifies an accepted bundle.
struct PublishReceipt
{
  BundleVersion mVersion;
  std::string mDigest;
  Offset mOffset;
};

// PublishFailure explains why a bundle was not published. mFaults holds every
// fault of its document if mFailure is kInvalidInput.
struct PublishFailure
{
  Failure mFailure;
  std::vector<BundleFault> mFaults;
};

using PublishOutcome =
  boost::outcome_v2::basic_result<PublishReceipt,
                                  PublishFailure,
                                  boost::outcome_v2::policy::all_narrow>;

// AuditPage is the newest part of the audit trail, newest entry first.
// mTruncated is set if older entries exist or may have existed.
struct AuditPage
{
  std::vector<AuditEntry> mEntries;
  bool mTruncated = false;
};

// OperatorApi applies operator changes. Implementations are thread-safe and
// block at most until their own deadline. Errors of every change:
// kLogUnavailable (nothing changed), kUnknownOutcome (read the state before
// retrying), kConflict (mDetail names the change that took precedence).
class OperatorApi
{
public:
  virtual ~OperatorApi() = default;

  // Publish proposes a bundle document. It conflicts unless aExpected, the
  // newest version that the operator saw, is still the newest. Errors: also
  // kInvalidInput with all faults of the document.
  virtual PublishOutcome Publish(const std::string& aDocument,
                                 BundleVersion aExpected,
                                 const OperatorId& aOperator) = 0;

  // SignOff puts the published version aVersion in force if its document has
  // the digest aDigest.
  virtual Result<Offset> SignOff(BundleVersion aVersion,
                                 const std::string& aDigest,
                                 const OperatorId& aOperator) = 0;

  // Published returns a published bundle; version 0 means the one in force.
  // Errors: kNotFound.
  virtual Result<PublishedBundle> Published(BundleVersion aVersion) = 0;

  // ChangeDomain takes a failure domain out of service or returns it. It
  // conflicts unless aChange.mExpected is the offset of the domain's last
  // change.
  virtual Result<Offset> ChangeDomain(const DomainChanged& aChange) = 0;

  // Domains returns every failure domain.
  virtual std::vector<DomainView> Domains() = 0;

  // Status returns this instance's status.
  virtual InstanceStatus Status() = 0;

  // Workers returns the workers from the last read of the instance list.
  virtual std::vector<WorkerSpec> Workers() = 0;

  // Audit returns up to aLimit changes, newest first. It reads the platform's
  // log page by page and keeps at most one page and aLimit entries per stream
  // in memory. Errors: kLogUnavailable, kLogAnswerLost.
  virtual Result<AuditPage> Audit(size_t aLimit) = 0;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_PORTS_IN_OPERATOR_API_H_
