#include "mulberryvalve/core/audit/audit_projection.h"
#include "mulberryvalve/core/bundle/bundle.h"

#include <string>
#include <utility>

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

StoredRecord Stored(uint64_t aOffset,
                    const char* aInstance,
                    uint64_t aEpoch,
                    Record aBody)
{
  return { Offset(aOffset),
           { { { InstanceId(aInstance), Incarnation(1) },
               aOffset,
               Epoch(aEpoch),
               { static_cast<int64_t>(aOffset) } },
             std::move(aBody) } };
}

DomainChanged DomainOut(uint64_t aExpected, const char* aOperator)
{
  return { DomainId("north"),
           DomainState::kOut,
           Offset(aExpected),
           OperatorId(aOperator),
           "works" };
}

} // namespace

TEST_GROUP(AuditProjection)
{
  ConfigAuditProjection mConfig{ StreamName("config") };
  ShardAuditProjection mShard{ StreamName("shard") };
};

TEST(AuditProjection, DomainChangeRecordsBeforeAfterAndReason)
{
  const auto entry = mConfig.Apply(Stored(1, "i", 0, DomainOut(0, "ann")));
  CHECK(entry.has_value());
  STRCMP_EQUAL("ann", entry->mWho.c_str());
  STRCMP_EQUAL("in", entry->mBefore.c_str());
  STRCMP_EQUAL("out", entry->mAfter.c_str());
  STRCMP_EQUAL("works", entry->mWhy.c_str());
  CHECK(entry->mVerdict == AuditVerdict::kApplied);
}

TEST(AuditProjection, ConflictingChangeRecordsTheWinner)
{
  mConfig.Apply(Stored(1, "i", 0, DomainOut(0, "ann")));
  const auto lost = mConfig.Apply(Stored(2, "j", 0, DomainOut(0, "bo")));
  CHECK(lost.has_value());
  CHECK(lost->mVerdict == AuditVerdict::kConflict);
  CHECK(lost->mWinner == Offset(1));
}

TEST(AuditProjection, BundleIsPublishedThenSignedOff)
{
  const auto published = mConfig.Apply(
    Stored(1,
           "i",
           0,
           BundlePublished{
             BundleVersion(2), BundleVersion(0), "{}", OperatorId("ann") }));
  STRCMP_EQUAL("none published", published->mBefore.c_str());
  const auto bad = mConfig.Apply(
    Stored(2,
           "i",
           0,
           BundleSignedOff{ BundleVersion(2), "other", OperatorId("ann") }));
  CHECK(bad->mVerdict == AuditVerdict::kIllegal);
  const auto good = mConfig.Apply(Stored(
    3,
    "i",
    0,
    BundleSignedOff{ BundleVersion(2), BundleDigest("{}"), OperatorId("bo") }));
  CHECK(good->mVerdict == AuditVerdict::kApplied);
  STRCMP_EQUAL("none in force", good->mBefore.c_str());
  STRCMP_EQUAL("version 2 in force", good->mAfter.c_str());
}

TEST(AuditProjection, DuplicateRecordYieldsNoEntry)
{
  StoredRecord first = Stored(1, "i", 0, DomainOut(0, "ann"));
  StoredRecord again = first;
  again.mOffset = Offset(2);
  CHECK(mConfig.Apply(first).has_value());
  CHECK(!mConfig.Apply(again).has_value());
}

TEST(AuditProjection, StreamWithoutItsOldestRecordsIsNotKept)
{
  const auto entry = mConfig.Apply(Stored(9, "i", 0, DomainOut(0, "ann")));
  CHECK(entry->mVerdict == AuditVerdict::kNotKept);
}

TEST(AuditProjection, SnapshotReplacesDroppedRecords)
{
  ConfigStateMachine original;
  original.Apply(Stored(1, "i", 0, DomainOut(0, "ann")));
  mConfig.Restore(original.Capture());
  DomainChanged back = DomainOut(1, "bo");
  back.mState = DomainState::kIn;
  const auto entry = mConfig.Apply(Stored(2, "i", 0, back));
  CHECK(entry->mVerdict == AuditVerdict::kApplied);
  STRCMP_EQUAL("out", entry->mBefore.c_str());
}

TEST(AuditProjection, EvictionRecordsWhereTheTaskRan)
{
  const TaskId task("north.0.a/0");
  mShard.Apply(Stored(1, "i", 0, ShardClaimed{}));
  CHECK(!mShard.Apply(
    Stored(2, "i", 1, TaskAssigned{ task, Attempt(1), WorkerId("w") })));
  const auto evicted = mShard.Apply(Stored(
    3,
    "i",
    1,
    TaskEvicted{
      task, Attempt(1), EvictionCause::kDomainOut, CheckpointId("5@l") }));
  STRCMP_EQUAL("attempt 1 on w", evicted->mBefore.c_str());
  STRCMP_EQUAL("waiting with checkpoint 5@l", evicted->mAfter.c_str());
  STRCMP_EQUAL("domain_out", evicted->mWhy.c_str());
  STRCMP_EQUAL("i", evicted->mWho.c_str());
}

TEST(AuditProjection, ChangesOfAFormerOwnerAreFenced)
{
  mShard.Apply(Stored(1, "i", 0, ShardClaimed{}));
  const auto claim = mShard.Apply(Stored(2, "j", 0, ShardClaimed{}));
  STRCMP_EQUAL("i", claim->mBefore.c_str());
  STRCMP_EQUAL("j in epoch 2", claim->mAfter.c_str());
  const auto late =
    mShard.Apply(Stored(3, "i", 1, TaskCancelled{ TaskId("t") }));
  CHECK(late->mVerdict == AuditVerdict::kFenced);
}

} // namespace mulberryvalve
