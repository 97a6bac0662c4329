#include "mulberryvalve/core/config/config_state_machine.h"

#include "mulberryvalve/core/bundle/bundle.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace mulberryvalve {
namespace {

constexpr size_t kMaxRetainedVerdicts = 1024;
constexpr size_t kMaxRetainedBundles = 8;

} // namespace

ApplyResult ConfigStateMachine::Apply(const StoredRecord& aStored)
{
  if (aStored.mOffset <= mFolded) {
    return ApplyResult::kDuplicate;
  }
  if (aStored.mOffset != mFolded.Next()) {
    return ApplyResult::kGap;
  }
  mFolded = aStored.mOffset;
  const ConfigVerdict verdict = ApplyNext(aStored);
  mVerdicts.push_back(verdict);
  if (mVerdicts.size() > kMaxRetainedVerdicts) {
    mVerdicts.pop_front();
  }
  return verdict.mVerdict;
}

ConfigVerdict ConfigStateMachine::ApplyNext(const StoredRecord& aStored)
{
  const Record& body = aStored.mRecord.mBody;
  if (std::holds_alternative<UnreadableRecord>(body)) {
    return { aStored.mOffset, ApplyResult::kIgnored, Offset() };
  }
  if (!mWriters.Accept(aStored.mRecord.mHeader, aStored.mOffset)) {
    return { aStored.mOffset, ApplyResult::kDuplicate, Offset() };
  }
  if (const auto* published = std::get_if<BundlePublished>(&body)) {
    return On(aStored, *published);
  }
  if (const auto* signedOff = std::get_if<BundleSignedOff>(&body)) {
    return On(aStored, *signedOff);
  }
  if (const auto* changed = std::get_if<DomainChanged>(&body)) {
    return On(aStored, *changed);
  }
  return { aStored.mOffset, ApplyResult::kIgnored, Offset() };
}

ConfigVerdict ConfigStateMachine::On(const StoredRecord& aAt,
                                     const BundlePublished& aRecord)
{
  if (aRecord.mExpected != mNewest || aRecord.mVersion <= mNewest) {
    const PublishedBundle* winner = Published(mNewest);
    return { aAt.mOffset,
             ApplyResult::kConflict,
             winner == nullptr ? Offset() : winner->mOffset };
  }
  mNewest = aRecord.mVersion;
  mPublished[aRecord.mVersion] =
    PublishedBundle{ aRecord.mVersion,
                     aRecord.mDocument,
                     BundleDigest(aRecord.mDocument),
                     aRecord.mOperator,
                     aAt.mOffset };
  if (mPublished.size() > kMaxRetainedBundles) {
    mPublished.erase(mPublished.begin());
  }
  return { aAt.mOffset, ApplyResult::kApplied, Offset() };
}

ConfigVerdict ConfigStateMachine::On(const StoredRecord& aAt,
                                     const BundleSignedOff& aRecord)
{
  const PublishedBundle* bundle = Published(aRecord.mVersion);
  if (bundle == nullptr || bundle->mDigest != aRecord.mDigest) {
    return { aAt.mOffset, ApplyResult::kIllegal, Offset() };
  }
  if (aRecord.mVersion <= mInForce.mVersion) {
    return { aAt.mOffset, ApplyResult::kConflict, mInForce.mOffset };
  }
  mInForce = BundleInForce{
    aRecord.mVersion, aAt.mOffset, bundle->mDigest, bundle->mDocument
  };
  return { aAt.mOffset, ApplyResult::kApplied, Offset() };
}

ConfigVerdict ConfigStateMachine::On(const StoredRecord& aAt,
                                     const DomainChanged& aRecord)
{
  DomainStatus& status = mDomains[aRecord.mDomain];
  if (aRecord.mExpected != status.mOffset) {
    return { aAt.mOffset, ApplyResult::kConflict, status.mOffset };
  }
  status = DomainStatus{
    aRecord.mState, aAt.mOffset, aRecord.mOperator, aRecord.mReason
  };
  return { aAt.mOffset, ApplyResult::kApplied, Offset() };
}

Snapshot ConfigStateMachine::Capture() const
{
  Snapshot snapshot{ mFolded, {} };
  std::vector<SnapshotItem>& items = snapshot.mItems;
  mWriters.Capture(items);
  for (const auto& [version, bundle] : mPublished) {
    items.push_back(BundleItem{
      version, bundle.mDocument, bundle.mOperator, bundle.mOffset });
  }
  if (mInForce.mVersion != BundleVersion()) {
    items.push_back(
      InForceItem{ mInForce.mVersion, mInForce.mDocument, mInForce.mOffset });
  }
  for (const auto& [domain, status] : mDomains) {
    items.push_back(DomainItem{ domain,
                                status.mState,
                                status.mOffset,
                                status.mOperator,
                                status.mReason });
  }
  return snapshot;
}

bool ConfigStateMachine::Restore(const Snapshot& aSnapshot)
{
  if (aSnapshot.mCoveredOffset <= mFolded) {
    return false;
  }
  ConfigStateMachine restored;
  for (const SnapshotItem& item : aSnapshot.mItems) {
    std::visit([&](const auto& aItem) { restored.RestoreItem(aItem); }, item);
  }
  restored.mFolded = aSnapshot.mCoveredOffset;
  restored.mPeerBundle = std::move(mPeerBundle);
  restored.mPeerDomains = std::move(mPeerDomains);
  *this = std::move(restored);
  return true;
}

void ConfigStateMachine::RestoreItem(const WriterItem& aItem)
{
  mWriters.Restore(aItem);
}

void ConfigStateMachine::RestoreItem(const BundleItem& aItem)
{
  mNewest = std::max(mNewest, aItem.mVersion);
  mPublished[aItem.mVersion] = PublishedBundle{ aItem.mVersion,
                                                aItem.mDocument,
                                                BundleDigest(aItem.mDocument),
                                                aItem.mOperator,
                                                aItem.mOffset };
}

void ConfigStateMachine::RestoreItem(const InForceItem& aItem)
{
  mInForce = BundleInForce{ aItem.mVersion,
                            aItem.mOffset,
                            BundleDigest(aItem.mDocument),
                            aItem.mDocument };
}

void ConfigStateMachine::RestoreItem(const DomainItem& aItem)
{
  mDomains[aItem.mDomain] =
    DomainStatus{ aItem.mState, aItem.mOffset, aItem.mOperator, aItem.mReason };
}

bool ConfigStateMachine::MergeBundle(const BundleInForce& aBundle)
{
  if (aBundle.mVersion <= InForce().mVersion || aBundle.mDocument.empty() ||
      BundleDigest(aBundle.mDocument) != aBundle.mDigest) {
    return false;
  }
  mPeerBundle = aBundle;
  return true;
}

bool ConfigStateMachine::MergeDomain(const DomainId& aDomain,
                                     const DomainStatus& aStatus)
{
  if (aStatus.mOffset <= Domain(aDomain).mOffset) {
    return false;
  }
  mPeerDomains[aDomain] = aStatus;
  return true;
}

const BundleInForce& ConfigStateMachine::InForce() const
{
  return mPeerBundle.mVersion > mInForce.mVersion ? mPeerBundle : mInForce;
}

const PublishedBundle* ConfigStateMachine::Published(
  BundleVersion aVersion) const
{
  const auto found = mPublished.find(aVersion);
  return found == mPublished.end() ? nullptr : &found->second;
}

DomainStatus ConfigStateMachine::Domain(const DomainId& aDomain) const
{
  const auto fromLog = mDomains.find(aDomain);
  const auto fromPeer = mPeerDomains.find(aDomain);
  DomainStatus local =
    fromLog == mDomains.end() ? DomainStatus() : fromLog->second;
  if (fromPeer != mPeerDomains.end() &&
      fromPeer->second.mOffset > local.mOffset) {
    return fromPeer->second;
  }
  return local;
}

std::map<DomainId, DomainStatus> ConfigStateMachine::Domains() const
{
  std::map<DomainId, DomainStatus> all = mDomains;
  for (const auto& [domain, fromPeer] : mPeerDomains) {
    all[domain] = Domain(domain);
  }
  return all;
}

std::optional<ConfigVerdict> ConfigStateMachine::VerdictAt(Offset aOffset) const
{
  for (auto row = mVerdicts.rbegin(); row != mVerdicts.rend(); ++row) {
    if (row->mOffset == aOffset) {
      return *row;
    }
  }
  return std::nullopt;
}

} // namespace mulberryvalve
