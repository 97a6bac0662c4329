#include "mulberryvalve/core/audit/audit_projection.h"

#include "mulberryvalve/core/bundle/bundle.h"

#include <utility>
#include <variant>

namespace mulberryvalve {
namespace {

constexpr const char* kNoOwner = "nobody";
constexpr const char* kWaiting = "waiting";

std::string VersionText(const char* aState, BundleVersion aVersion)
{
  return aVersion == BundleVersion()
           ? "none " + std::string(aState)
           : "version " + std::to_string(aVersion.Value()) + " " + aState;
}

std::string ActorOf(const OperatorId& aOperator, const RecordHeader& aHeader)
{
  return aOperator.Empty()
           ? "unnamed operator at " + aHeader.mWriter.mInstance.Text()
           : aOperator.Text();
}

AuditVerdict ToAuditVerdict(ApplyResult aVerdict)
{
  switch (aVerdict) {
    case ApplyResult::kApplied:
      return AuditVerdict::kApplied;
    case ApplyResult::kConflict:
      return AuditVerdict::kConflict;
    case ApplyResult::kFenced:
      return AuditVerdict::kFenced;
    case ApplyResult::kGap:
      return AuditVerdict::kNotKept;
    default:
      return AuditVerdict::kIllegal;
  }
}

AuditEntry MakeEntry(const StreamName& aStream, const StoredRecord& aStored)
{
  AuditEntry entry;
  entry.mAt = aStored.mRecord.mHeader.mWritten;
  entry.mStream = aStream;
  entry.mOffset = aStored.mOffset;
  entry.mWho = aStored.mRecord.mHeader.mWriter.mInstance.Text();
  return entry;
}

void Describe(AuditEntry& aEntry,
              const ConfigStateMachine& aConfig,
              const RecordHeader& aHeader,
              const BundlePublished& aRecord)
{
  aEntry.mWho = ActorOf(aRecord.mOperator, aHeader);
  aEntry.mKind = AuditKind::kBundlePublished;
  aEntry.mSubject = "bundle";
  aEntry.mBefore = VersionText("published", aConfig.Newest());
  aEntry.mAfter = VersionText("published", aRecord.mVersion) + ", digest " +
                  BundleDigest(aRecord.mDocument);
  aEntry.mWhy = "over version " + std::to_string(aRecord.mExpected.Value());
}

void Describe(AuditEntry& aEntry,
              const ConfigStateMachine& aConfig,
              const RecordHeader& aHeader,
              const BundleSignedOff& aRecord)
{
  aEntry.mWho = ActorOf(aRecord.mOperator, aHeader);
  aEntry.mKind = AuditKind::kBundleSignedOff;
  aEntry.mSubject = "bundle";
  aEntry.mBefore = VersionText("in force", aConfig.InForce().mVersion);
  aEntry.mAfter = VersionText("in force", aRecord.mVersion);
  aEntry.mWhy = "signed digest " + aRecord.mDigest;
}

void Describe(AuditEntry& aEntry,
              const ConfigStateMachine& aConfig,
              const RecordHeader& aHeader,
              const DomainChanged& aRecord)
{
  aEntry.mWho = ActorOf(aRecord.mOperator, aHeader);
  aEntry.mKind = AuditKind::kDomainChanged;
  aEntry.mSubject = "domain " + aRecord.mDomain.Text();
  aEntry.mBefore =
    kDomainStateNames.Name(aConfig.Domain(aRecord.mDomain).mState);
  aEntry.mAfter = kDomainStateNames.Name(aRecord.mState);
  aEntry.mWhy = aRecord.mReason;
}

void Describe(AuditEntry& aEntry,
              const ConfigStateMachine&,
              const RecordHeader&,
              const AuditNote& aRecord)
{
  aEntry.mSubject = aRecord.mSubject;
  aEntry.mBefore = aRecord.mBefore;
  aEntry.mAfter = aRecord.mAfter;
  aEntry.mWhy = aRecord.mReason;
}

template<typename R>
void Describe(AuditEntry&,
              const ConfigStateMachine&,
              const RecordHeader&,
              const R&)
{
}

bool IsConfigChange(const Record& aRecord)
{
  return std::holds_alternative<BundlePublished>(aRecord) ||
         std::holds_alternative<BundleSignedOff>(aRecord) ||
         std::holds_alternative<DomainChanged>(aRecord) ||
         std::holds_alternative<AuditNote>(aRecord);
}

} // namespace

ConfigAuditProjection::ConfigAuditProjection(StreamName aStream)
  : mStream(std::move(aStream))
{
}

AuditEntry ConfigAuditProjection::Describe(const StoredRecord& aStored) const
{
  AuditEntry entry = MakeEntry(mStream, aStored);
  std::visit(
    [&](const auto& aBody) {
      mulberryvalve::Describe(entry, mConfig, aStored.mRecord.mHeader, aBody);
    },
    aStored.mRecord.mBody);
  return entry;
}

void ConfigAuditProjection::SetWinner(AuditEntry& aEntry,
                                      const StoredRecord& aStored)
{
  const auto verdict = mConfig.VerdictAt(aStored.mOffset);
  if (verdict) {
    aEntry.mWinner = verdict->mWinner;
  }
}

std::optional<AuditEntry> ConfigAuditProjection::Apply(
  const StoredRecord& aStored)
{
  AuditEntry entry = Describe(aStored);
  const ApplyResult verdict = mConfig.Apply(aStored);
  if (!IsConfigChange(aStored.mRecord.mBody) ||
      verdict == ApplyResult::kDuplicate) {
    return std::nullopt;
  }
  if (entry.mKind != AuditKind::kNote) {
    entry.mVerdict = ToAuditVerdict(verdict);
    SetWinner(entry, aStored);
  }
  if (entry.mVerdict == AuditVerdict::kNotKept) {
    entry.mBefore = "not kept";
  }
  return entry;
}

void ConfigAuditProjection::Restore(const Snapshot& aSnapshot)
{
  mConfig.Restore(aSnapshot);
}

ShardAuditProjection::ShardAuditProjection(StreamName aStream)
  : mStream(std::move(aStream))
{
}

void ShardAuditProjection::Restore(const Snapshot& aSnapshot)
{
  mPlacements.clear();
  for (const SnapshotItem& item : aSnapshot.mItems) {
    std::visit([this](const auto& aItem) { RestoreItem(aItem); }, item);
  }
}

void ShardAuditProjection::RestoreItem(const WriterItem& aItem)
{
  mWriters.Restore(aItem);
}

void ShardAuditProjection::RestoreItem(const ClaimItem& aItem)
{
  mOwner = aItem.mReleased ? WriterId() : aItem.mOwner;
  mEpoch = aItem.mReleased ? Epoch() : aItem.mEpoch;
}

void ShardAuditProjection::RestoreItem(const TaskItem& aItem)
{
  const TaskEntry& task = aItem.mTask;
  if (HoldsCapacity(task.mState)) {
    mPlacements[task.mId] = Placement{ task.mWorker, task.mAttempt };
  }
}

bool ShardAuditProjection::IsCurrent(const RecordHeader& aHeader) const
{
  return mEpoch != Epoch() && aHeader.mEpoch == mEpoch &&
         aHeader.mWriter == mOwner;
}

std::string ShardAuditProjection::OwnerText() const
{
  return mOwner.mInstance.Empty() ? std::string(kNoOwner)
                                  : mOwner.mInstance.Text();
}

std::string ShardAuditProjection::PlacementText(const TaskId& aTask) const
{
  const auto found = mPlacements.find(aTask);
  if (found == mPlacements.end()) {
    return kWaiting;
  }
  return "attempt " + std::to_string(found->second.mAttempt.Value()) + " on " +
         found->second.mWorker.Text();
}

AuditEntry ShardAuditProjection::MakeShardEntry(
  const StoredRecord& aStored) const
{
  AuditEntry entry = MakeEntry(mStream, aStored);
  const RecordHeader& header = aStored.mRecord.mHeader;
  if (header.mEpoch == Epoch() || IsCurrent(header)) {
    return entry;
  }
  entry.mVerdict =
    mEpoch == Epoch() ? AuditVerdict::kNotKept : AuditVerdict::kFenced;
  return entry;
}

std::optional<AuditEntry> ShardAuditProjection::Apply(
  const StoredRecord& aStored)
{
  const RecordHeader& header = aStored.mRecord.mHeader;
  if (std::holds_alternative<UnreadableRecord>(aStored.mRecord.mBody) ||
      !mWriters.Accept(header, aStored.mOffset)) {
    return std::nullopt;
  }
  auto entry = std::visit(
    [&](const auto& aBody) { return On(MakeShardEntry(aStored), aBody); },
    aStored.mRecord.mBody);
  if (std::holds_alternative<ShardClaimed>(aStored.mRecord.mBody)) {
    mOwner = header.mWriter;
    mEpoch = Epoch(aStored.mOffset.Value());
  }
  return entry;
}

std::optional<AuditEntry> ShardAuditProjection::On(AuditEntry aEntry,
                                                   const ShardClaimed&)
{
  aEntry.mKind = AuditKind::kOwnershipClaimed;
  aEntry.mVerdict = AuditVerdict::kApplied;
  aEntry.mSubject = "ownership of " + mStream.Text();
  aEntry.mBefore = OwnerText();
  aEntry.mAfter =
    aEntry.mWho + " in epoch " + std::to_string(aEntry.mOffset.Value());
  return aEntry;
}

std::optional<AuditEntry> ShardAuditProjection::On(AuditEntry aEntry,
                                                   const ShardReleased&)
{
  aEntry.mKind = AuditKind::kOwnershipReleased;
  aEntry.mSubject = "ownership of " + mStream.Text();
  aEntry.mBefore = OwnerText();
  aEntry.mAfter = kNoOwner;
  if (aEntry.mVerdict == AuditVerdict::kApplied) {
    mOwner = WriterId();
    mEpoch = Epoch();
  }
  return aEntry;
}

std::optional<AuditEntry> ShardAuditProjection::On(
  AuditEntry aEntry,
  const JobCancelRequested& aRecord)
{
  aEntry.mKind = AuditKind::kCancellationRequested;
  aEntry.mWho = aRecord.mOperator.Empty() ? "unnamed caller at " + aEntry.mWho
                                          : aRecord.mOperator.Text();
  aEntry.mSubject = "job " + aRecord.mJob.Text();
  aEntry.mBefore = "wanted";
  aEntry.mAfter = "to be cancelled";
  return aEntry;
}

std::optional<AuditEntry> ShardAuditProjection::On(const AuditEntry& aEntry,
                                                   const TaskAssigned& aRecord)
{
  if (aEntry.mVerdict != AuditVerdict::kFenced) {
    mPlacements[aRecord.mTask] = Placement{ aRecord.mWorker, aRecord.mAttempt };
  }
  return std::nullopt;
}

std::optional<AuditEntry> ShardAuditProjection::On(const AuditEntry& aEntry,
                                                   const TaskFinished& aRecord)
{
  if (aEntry.mVerdict != AuditVerdict::kFenced) {
    mPlacements.erase(aRecord.mTask);
  }
  return std::nullopt;
}

std::optional<AuditEntry> ShardAuditProjection::On(AuditEntry aEntry,
                                                   const TaskEvicted& aRecord)
{
  aEntry.mKind = AuditKind::kTaskEvicted;
  aEntry.mSubject = "task " + aRecord.mTask.Text();
  aEntry.mBefore = PlacementText(aRecord.mTask);
  aEntry.mAfter = aRecord.mCheckpoint.Empty()
                    ? std::string(kWaiting)
                    : "waiting with checkpoint " + aRecord.mCheckpoint.Text();
  aEntry.mWhy = kEvictionCauseNames.Name(aRecord.mCause);
  if (aEntry.mVerdict != AuditVerdict::kFenced) {
    mPlacements.erase(aRecord.mTask);
  }
  return aEntry;
}

std::optional<AuditEntry> ShardAuditProjection::On(AuditEntry aEntry,
                                                   const TaskCancelled& aRecord)
{
  aEntry.mKind = AuditKind::kTaskCancelled;
  aEntry.mSubject = "task " + aRecord.mTask.Text();
  aEntry.mBefore = PlacementText(aRecord.mTask);
  aEntry.mAfter = "cancelled";
  if (aEntry.mVerdict != AuditVerdict::kFenced) {
    mPlacements.erase(aRecord.mTask);
  }
  return aEntry;
}

std::optional<AuditEntry> ShardAuditProjection::On(
  AuditEntry aEntry,
  const TaskImpossible& aRecord)
{
  aEntry.mKind = AuditKind::kTaskImpossible;
  aEntry.mSubject = "task " + aRecord.mTask.Text();
  aEntry.mBefore = PlacementText(aRecord.mTask);
  aEntry.mAfter = "impossible";
  aEntry.mWhy = aRecord.mReason;
  return aEntry;
}

std::optional<AuditEntry> ShardAuditProjection::On(
  AuditEntry aEntry,
  const TaskHandedOver& aRecord)
{
  aEntry.mKind = AuditKind::kTaskMoved;
  aEntry.mSubject = "task " + aRecord.mTask.Text();
  aEntry.mBefore = PlacementText(aRecord.mTask);
  aEntry.mAfter = "waiting in shard " + aRecord.mTarget.Text();
  return aEntry;
}

std::optional<AuditEntry> ShardAuditProjection::On(AuditEntry aEntry,
                                                   const AuditNote& aRecord)
{
  aEntry.mKind = AuditKind::kNote;
  aEntry.mSubject = aRecord.mSubject;
  aEntry.mBefore = aRecord.mBefore;
  aEntry.mAfter = aRecord.mAfter;
  aEntry.mWhy = aRecord.mReason;
  return aEntry;
}

} // namespace mulberryvalve
