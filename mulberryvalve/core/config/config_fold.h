// ConfigFold: folds the stream "config" into the bundle in force and the state
// of each failure domain, and says who won each race.
#ifndef MULBERRYVALVE_CORE_CONFIG_CONFIG_FOLD_H_
#define MULBERRYVALVE_CORE_CONFIG_CONFIG_FOLD_H_

#include "mulberryvalve/core/records/duplicate_filter.h"
#include "mulberryvalve/core/records/record.h"

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace mulberryvalve {

// PublishedBundle is an accepted proposal.
struct PublishedBundle
{
  BundleVersion mVersion;
  std::string mDocument;
  std::string mDigest;
  OperatorId mOperator;
  Offset mOffset;
};

// BundleInForce is the signed-off bundle that holds; mVersion is zero when
// none was signed off.
struct BundleInForce
{
  BundleVersion mVersion;
  Offset mOffset;
  std::string mDigest;
  std::string mDocument;
};

// DomainStatus is a failure domain's state as of its last change.
struct DomainStatus
{
  DomainState mState = DomainState::kIn;
  Offset mOffset;
  OperatorId mOperator;
  std::string mReason;
};

// ConfigVerdict is what folding the record at mOffset did; mWinner is the
// offset of the record that it lost against, when it lost.
struct ConfigVerdict
{
  Offset mOffset;
  ApplyResult mVerdict = ApplyResult::kIgnored;
  Offset mWinner;
};

// ConfigFold is deterministic and never reverts: versions in force and the
// offsets of domain changes only grow. What peers told is kept beside what was
// folded, so that verdicts depend on the log alone. Not synchronised.
class ConfigFold
{
public:
  // Apply folds the record at the next offset; see ShardLedger::Apply.
  ApplyResult Apply(const StoredRecord& aStored);

  // Capture returns what was folded: the bundles still remembered, the one in
  // force and each domain's state, with the offsets they were accepted at.
  Snapshot Capture() const;

  // Restore replaces what was folded by aSnapshot; see ShardLedger::Restore.
  // What peers told stays, and verdicts of former records are forgotten.
  bool Restore(const Snapshot& aSnapshot);

  // MergeBundle takes in a bundle that a peer has in force. It returns whether
  // it is newer than ours.
  bool MergeBundle(const BundleInForce& aBundle);

  // MergeDomain takes in a domain state that a peer knows. It returns whether
  // it is newer than ours.
  bool MergeDomain(const DomainId& aDomain, const DomainStatus& aStatus);

  // Folded returns the highest offset folded.
  Offset Folded() const { return mFolded; }

  // InForce returns the bundle in force: the newer of what was folded and
  // what was heard from a peer.
  const BundleInForce& InForce() const;

  // Published returns the accepted bundle of a version, or null.
  const PublishedBundle* Published(BundleVersion aVersion) const;

  // Newest returns the newest accepted version, or zero.
  BundleVersion Newest() const { return mNewest; }

  // Domain returns a domain's status; a domain never changed is in.
  DomainStatus Domain(const DomainId& aDomain) const;

  // Domains returns all domains that were ever changed.
  std::map<DomainId, DomainStatus> Domains() const;

  // VerdictAt returns what the record at aOffset did, while it is remembered.
  std::optional<ConfigVerdict> VerdictAt(Offset aOffset) const;

  // Newest returns the newest record folded of aWriter.
  WriterPosition Newest(const WriterId& aWriter) const
  {
    return mWriters.Newest(aWriter);
  }

private:
  ConfigVerdict Fold(const StoredRecord& aStored);
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
  BundleInForce mHeardBundle;
  std::map<DomainId, DomainStatus> mHeardDomains;
  std::deque<ConfigVerdict> mVerdicts;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_CONFIG_CONFIG_FOLD_H_
