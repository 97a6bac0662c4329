// AuditProjection: derives audit trail entries from the records of one stream.
#ifndef MULBERRYVALVE_CORE_AUDIT_AUDIT_PROJECTION_H_
#define MULBERRYVALVE_CORE_AUDIT_AUDIT_PROJECTION_H_

#include "mulberryvalve/core/audit/audit_entry.h"
#include "mulberryvalve/core/config/config_state_machine.h"

#include <map>
#include <optional>

namespace mulberryvalve {

// AuditProjection reads a stream's records in offset order, starting at the
// first retained one or any later one. Implementations are not synchronised.
class AuditProjection
{
public:
  virtual ~AuditProjection() = default;

  // Apply returns the entry for aStored, or nullopt when it is a duplicate or
  // not a change that is audited.
  virtual std::optional<AuditEntry> Apply(const StoredRecord& aStored) = 0;

  // Restore replaces the state by aSnapshot. The next record to apply is the
  // one after aSnapshot.mCoveredOffset.
  virtual void Restore(const Snapshot& aSnapshot) = 0;
};

// ConfigAuditProjection audits the stream of bundles and domain changes.
class ConfigAuditProjection : public AuditProjection
{
public:
  explicit ConfigAuditProjection(StreamName aStream);

  std::optional<AuditEntry> Apply(const StoredRecord& aStored) override;
  void Restore(const Snapshot& aSnapshot) override;

private:
  AuditEntry Describe(const StoredRecord& aStored) const;
  void SetWinner(AuditEntry& aEntry, const StoredRecord& aStored);

  const StreamName mStream;
  ConfigStateMachine mConfig;
};

// ShardAuditProjection audits a shard's stream. It tracks the current owner and
// the placement of live tasks.
class ShardAuditProjection : public AuditProjection
{
public:
  explicit ShardAuditProjection(StreamName aStream);

  std::optional<AuditEntry> Apply(const StoredRecord& aStored) override;
  void Restore(const Snapshot& aSnapshot) override;

private:
  struct Placement
  {
    WorkerId mWorker;
    Attempt mAttempt;
  };

  void RestoreItem(const WriterItem& aItem);
  void RestoreItem(const ClaimItem& aItem);
  void RestoreItem(const TaskItem& aItem);
  template<typename I>
  void RestoreItem(const I&)
  {
  }
  bool IsCurrent(const RecordHeader& aHeader) const;
  std::string OwnerText() const;
  std::string PlacementText(const TaskId& aTask) const;
  AuditEntry MakeShardEntry(const StoredRecord& aStored) const;
  std::optional<AuditEntry> On(AuditEntry aEntry, const ShardClaimed&);
  std::optional<AuditEntry> On(AuditEntry aEntry, const ShardReleased&);
  std::optional<AuditEntry> On(AuditEntry aEntry, const JobCancelRequested&);
  std::optional<AuditEntry> On(const AuditEntry& aEntry, const TaskAssigned&);
  std::optional<AuditEntry> On(const AuditEntry& aEntry, const TaskFinished&);
  std::optional<AuditEntry> On(AuditEntry aEntry, const TaskEvicted&);
  std::optional<AuditEntry> On(AuditEntry aEntry, const TaskCancelled&);
  std::optional<AuditEntry> On(AuditEntry aEntry, const TaskImpossible&);
  std::optional<AuditEntry> On(AuditEntry aEntry, const TaskHandedOver&);
  std::optional<AuditEntry> On(AuditEntry aEntry, const AuditNote&);
  template<typename R>
  std::optional<AuditEntry> On(const AuditEntry&, const R&)
  {
    return std::nullopt;
  }

  const StreamName mStream;
  DuplicateFilter mWriters;
  WriterId mOwner;
  Epoch mEpoch;
  std::map<TaskId, Placement> mPlacements;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_AUDIT_AUDIT_PROJECTION_H_
