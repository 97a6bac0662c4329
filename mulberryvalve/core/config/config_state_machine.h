// ConfigStateMachine: the configuration stream's state: the bundle in force and
// the state of each failure domain. Concurrent changes are resolved by offset.
#ifndef MULBERRYVALVE_CORE_CONFIG_CONFIG_STATE_MACHINE_H_
#define MULBERRYVALVE_CORE_CONFIG_CONFIG_STATE_MACHINE_H_

#include "mulberryvalve/core/records/duplicate_filter.h"
#include "mulberryvalve/core/records/record.h"

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace mulberryvalve {

// PublishedBundle is a published bundle version that was accepted.
struct PublishedBundle
{
  BundleVersion mVersion;
  std::string mDocument;
  std::string mDigest;
  OperatorId mOperator;
  Offset mOffset;
};

// BundleInForce is the signed-off bundle that is in effect; mVersion is zero
// when none was signed off.
struct BundleInForce
{
  BundleVersion mVersion;
  Offset mOffset;
  std::string mDigest;
  std::string mDocument;
};

// DomainStatus is a failure domain's state and the change that set it.
struct DomainStatus
{
  DomainState mState = DomainState::kIn;
  Offset mOffset;
  OperatorId mOperator;
  std::string mReason;
};

// ConfigVerdict is the result of applying the record at mOffset. When it was
// rejected as a conflict, mWinner is the offset of the change that prevailed.
struct ConfigVerdict
{
  Offset mOffset;
  ApplyResult mVerdict = ApplyResult::kIgnored;
  Offset mWinner;
};

// ConfigStateMachine is deterministic and monotonic: the version in force and
// the offsets of domain changes only increase. State received from peers is
// held apart from state applied from the log, so that verdicts depend on the
// log alone. Not synchronised.
class ConfigStateMachine
{
public:
  // Apply applies the record at the next offset; see ShardStateMachine::Apply.
  ApplyResult Apply(const StoredRecord& aStored);

  // Capture returns a snapshot of the state applied from the log: the retained
  // bundles, the one in force and each domain's state, with their offsets.
  Snapshot Capture() const;

  // Restore replaces the state applied from the log by aSnapshot; see
  // ShardStateMachine::Restore. State received from peers is preserved; the
  // verdicts of earlier records are dropped.
  bool Restore(const Snapshot& aSnapshot);

  // MergeBundle merges the bundle that a peer has in force. It returns whether
  // that bundle is valid and newer than the local one.
  bool MergeBundle(const BundleInForce& aBundle);

  // MergeDomain merges a domain state received from a peer. It returns whether
  // that state is newer than the local one.
  bool MergeDomain(const DomainId& aDomain, const DomainStatus& aStatus);

  // Folded returns the highest applied offset.
  Offset Folded() const { return mFolded; }

  // InForce returns the bundle in force: the newer of the one applied from the
  // log and the one received from a peer.
  const BundleInForce& InForce() const;

  // Published returns the accepted bundle of aVersion, or null when there is
  // none or it is no longer retained.
  const PublishedBundle* Published(BundleVersion aVersion) const;

  // Newest returns the newest accepted version, or zero.
  BundleVersion Newest() const { return mNewest; }

  // Domain returns a domain's status. A domain that was never changed is in.
  DomainStatus Domain(const DomainId& aDomain) const;

  // Domains returns all domains that have been changed.
  std::map<DomainId, DomainStatus> Domains() const;

  // VerdictAt returns the result of the record at aOffset, or nullopt when it
  // is no longer retained.
  std::optional<ConfigVerdict> VerdictAt(Offset aOffset) const;

  // Newest returns the position of aWriter's newest applied record.
  WriterPosition Newest(const WriterId& aWriter) const
  {
    return mWriters.Newest(aWriter);
  }

private:
  ConfigVerdict ApplyNext(const StoredRecord& aStored);
  ConfigVerdict On(const StoredRecord& aAt, const BundlePublished& aRecord);
  ConfigVerdict On(const StoredRecord& aAt, const BundleSignedOff& aRecord);
  ConfigVerdict On(const StoredRecord& aAt, const DomainChanged& aRecord);

  void RestoreItem(const WriterItem& aItem);
  void RestoreItem(const BundleItem& aItem);
  void RestoreItem(const InForceItem& aItem);
  void RestoreItem(const DomainItem& aItem);
  template<typename Other>
  void RestoreItem(const Other&)
  {
  }

  Offset mFolded;
  DuplicateFilter mWriters;
  BundleVersion mNewest;
  std::map<BundleVersion, PublishedBundle> mPublished;
  BundleInForce mInForce;
  std::map<DomainId, DomainStatus> mDomains;
  BundleInForce mPeerBundle;
  std::map<DomainId, DomainStatus> mPeerDomains;
  std::deque<ConfigVerdict> mVerdicts;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_CONFIG_CONFIG_STATE_MACHINE_H_
