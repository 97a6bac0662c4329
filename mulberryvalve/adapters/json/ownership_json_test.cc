// Tests of the records that tell a successor who may have used which worker,
// and until when.
#include "mulberryvalve/adapters/json/job_log_json.h"

#include "CppUTest/TestHarness.h"

#include <map>
#include <optional>
#include <string>

namespace mulberryvalve {
namespace {

UsedWorkerRecord PlainWorker()
{
  UsedWorkerRecord worker;
  worker.mId = WorkerId("w");
  worker.mEndpoint = Endpoint{ "10.0.0.1", 80 };
  return worker;
}

UsedWorkerRecord RoundTrip(const UsedWorkerRecord& aWorker)
{
  const JobLogJson codec;
  const Result<ProgressItem> item = codec.DecodeProgress(codec.Encode(aWorker));
  CHECK(item.has_value());
  return std::get<UsedWorkerRecord>(item.value());
}

} // namespace

TEST_GROUP(OwnershipJsonTest){};

// Guards against a successor that waits for owners that never used a worker, or
// not for one that has: the record must say who used it last.
TEST(OwnershipJsonTest, LastUserOfAWorkerRoundTrips)
{
  UsedWorkerRecord worker = PlainWorker();
  CHECK_FALSE(RoundTrip(worker).mLastUser.has_value());
  worker.mLastUser = Epoch(320);
  CHECK(Epoch(320) == RoundTrip(worker).mLastUser.value());
}

// Guards against an owner of an earlier version that is taken for one that
// names itself in each worker's record.
TEST(OwnershipJsonTest, AClaimTellsWhetherItsOwnerRecordsUse)
{
  const JobLogJson codec;
  OwnershipRecord claim;
  claim.mEpoch = Epoch(64);
  for (const bool recordsUse : { false, true }) {
    claim.mRecordsUse = recordsUse;
    const auto item = codec.DecodeProgress(codec.Encode(claim));
    CHECK_EQUAL(recordsUse,
                std::get<OwnershipRecord>(item.value()).mRecordsUse);
  }
}

// Guards against a successor that waits from anew as its process is fresh.
TEST(OwnershipJsonTest, AClaimTellsHowLongRunsOfFormerOwnersGoOn)
{
  const JobLogJson codec;
  OwnershipRecord claim;
  claim.mEpoch = Epoch(320);
  claim.mFormerRunsLeft = { { Epoch(64), Milliseconds(0) },
                            { Epoch(192), Milliseconds(9514) } };
  const auto item = codec.DecodeProgress(codec.Encode(claim));
  CHECK(claim.mFormerRunsLeft ==
        std::get<OwnershipRecord>(item.value()).mFormerRunsLeft);
}

// Guards against an owner that ends by an unreadable record of former runs.
TEST(OwnershipJsonTest, FormerRunsThatCannotBeReadAreLeftOut)
{
  const JobLogJson codec;
  OwnershipRecord claim;
  claim.mEpoch = Epoch(320);
  KeyedEntry entry = codec.Encode(claim);
  entry.mValue = R"({"epoch":320,"instance":"","former_runs_ms":[[64,-1],"x",)"
                 R"([1],[2,99999999999999999],[128,7.5],[192,5]]})";
  const auto item = codec.DecodeProgress(entry);
  const std::map<Epoch, Milliseconds> expected{ { Epoch(192),
                                                  Milliseconds(5) } };
  CHECK(expected == std::get<OwnershipRecord>(item.value()).mFormerRunsLeft);
}

// Guards against a last user or a claim that an owner can't read and ends on.
TEST(OwnershipJsonTest, RejectsMalformedUse)
{
  const JobLogJson codec;
  const KeyedEntry worker = codec.Encode(PlainWorker());
  OwnershipRecord owner;
  owner.mEpoch = Epoch(64);
  const KeyedEntry claim = codec.Encode(owner);
  const auto isRejected = [&codec](KeyedEntry aEntry,
                                   const std::string& aMore) {
    aEntry.mValue->pop_back();
    *aEntry.mValue += "," + aMore + "}";
    return !codec.DecodeProgress(aEntry);
  };
  for (const char* malformed : { "\"1\"",
                                 "-1",
                                 "1.5",
                                 "1e300",
                                 "9223372036854775808",
                                 "18446744073709551616",
                                 "null",
                                 "[]",
                                 "{}" }) {
    CHECK_TEXT(isRejected(worker, R"("last_user":)" + std::string(malformed)),
               malformed);
    CHECK_TEXT(isRejected(claim, R"("records_use":)" + std::string(malformed)),
               malformed);
  }
  CHECK_FALSE(isRejected(worker, R"("last_user":9223372036854775807)"));
  CHECK_FALSE(isRejected(claim, R"("records_use":true)"));
}

} // namespace mulberryvalve
