// AuditEntry: one change in the audit trail.
#ifndef MULBERRYVALVE_CORE_AUDIT_AUDIT_ENTRY_H_
#define MULBERRYVALVE_CORE_AUDIT_AUDIT_ENTRY_H_

#include "mulberryvalve/core/records/record.h"

#include <string>

namespace mulberryvalve {

enum class AuditKind
{
  kBundlePublished,
  kBundleSignedOff,
  kDomainChanged,
  kOwnershipClaimed,
  kOwnershipReleased,
  kCancellationRequested,
  kTaskCancelled,
  kTaskEvicted,
  kTaskImpossible,
  kTaskMoved,
  kNote,
};

inline constexpr EnumTable<AuditKind, 11> kAuditKindNames{ { {
  { AuditKind::kBundlePublished, "bundle_published" },
  { AuditKind::kBundleSignedOff, "bundle_signed_off" },
  { AuditKind::kDomainChanged, "domain_changed" },
  { AuditKind::kOwnershipClaimed, "ownership_claimed" },
  { AuditKind::kOwnershipReleased, "ownership_released" },
  { AuditKind::kCancellationRequested, "cancellation_requested" },
  { AuditKind::kTaskCancelled, "task_cancelled" },
  { AuditKind::kTaskEvicted, "task_evicted" },
  { AuditKind::kTaskImpossible, "task_impossible" },
  { AuditKind::kTaskMoved, "task_moved" },
  { AuditKind::kNote, "note" },
} } };

// AuditVerdict is the effect of a change. kNotKept means that the log no longer
// retains the records needed to determine it.
enum class AuditVerdict
{
  kApplied,
  kConflict,
  kFenced,
  kIllegal,
  kNotKept,
};

inline constexpr EnumTable<AuditVerdict, 5> kAuditVerdictNames{ { {
  { AuditVerdict::kApplied, "applied" },
  { AuditVerdict::kConflict, "conflict" },
  { AuditVerdict::kFenced, "fenced" },
  { AuditVerdict::kIllegal, "illegal" },
  { AuditVerdict::kNotKept, "not_kept" },
} } };

// AuditEntry records who changed what, when, from which value to which value,
// and why. mWho is an operator, or the instance that acted automatically. When
// a change was rejected as a conflict, mWinner is the offset of the change that
// prevailed. A value type; not synchronised.
struct AuditEntry
{
  WallTime mAt;
  StreamName mStream;
  Offset mOffset;
  std::string mWho;
  AuditKind mKind = AuditKind::kNote;
  std::string mSubject;
  std::string mBefore;
  std::string mAfter;
  std::string mWhy;
  AuditVerdict mVerdict = AuditVerdict::kApplied;
  Offset mWinner;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_AUDIT_AUDIT_ENTRY_H_
