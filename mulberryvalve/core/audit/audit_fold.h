// AuditFold: turns the records of one stream into entries of the audit trail.
#ifndef MULBERRYVALVE_CORE_AUDIT_AUDIT_FOLD_H_
#define MULBERRYVALVE_CORE_AUDIT_AUDIT_FOLD_H_

#include "mulberryvalve/core/audit/audit_entry.h"
#include "mulberryvalve/core/config/config_fold.h"

#include <map>
#include <optional>

namespace mulberryvalve {

// AuditFold takes a stream's records in the order of their offsets, from the
// first one kept or from any later one. Implementations are not synchronised.
class AuditFold
{
public:
  virtual ~AuditFold() = default;

  // Apply returns the entry of aStored, or nothing when it is no change or a
  // repetition.
  virtual std::optional<AuditEntry> Apply(const StoredRecord& aStored) = 0;

  // Restore takes what the records up to aSnapshot.mCovers fold to; the record
  // after that is applied next.
  virtual void Restore(const Snapshot& aSnapshot) = 0;
};

// ConfigAudit folds the stream of bundles and failure domains.
class ConfigAudit : public AuditFold
{
public:
  explicit ConfigAudit(StreamName aStream);

  std::optional<AuditEntry> Apply(const StoredRecord& aStored) override;
  void Restore(const Snapshot& aSnapshot) override;

private:
  AuditEntry Describe(const StoredRecord& aStored) const;
  void Judge(AuditEntry& aEntry, const StoredRecord& aStored);

  const StreamName mStream;
  ConfigFold mFold;
};

// ShardAudit folds a shard's stream. It remembers the present owner and where
// live tasks were placed.
class ShardAudit : public AuditFold
{
public:
  explicit ShardAudit(StreamName aStream);

  std::optional<AuditEntry> Apply(const StoredRecord& aStored) override;
  void Restore(const Snapshot& aSnapshot) override;

private:
  struct Placed
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
  std::string PlaceText(const TaskId& aTask) const;
  AuditEntry Start(const StoredRecord& aStored) const;
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
  std::map<TaskId, Placed> mPlaced;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_AUDIT_AUDIT_FOLD_H_
