#include "mulberryvalve/core/keys/key_state_machine.h"
#include "mulberryvalve/core/keys/storable_outcome.h"

#include <string>

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

KeySettled Answer(const std::string& aKey, std::string aBody)
{
  return KeySettled{ IdempotencyKey(aKey),
                     AttemptId("a"),
                     RequestStatus::kAnswered,
                     RequestReason::kNone,
                     200,
                     std::move(aBody) };
}

} // namespace

TEST_GROUP(StorableOutcome){};

TEST(StorableOutcome, KeepsOnlyBodiesThatTheLogStoresExactly)
{
  struct Row
  {
    std::string mBody;
    bool mStorable;
  };
  const Row rows[] = {
    { "", true },
    { "plain \x01 \x7f", true },
    { "\xc3\xa9 \xe2\x82\xac \xf0\x9f\x8c\xb1", true },
    { std::string(1, '\0'), true },
    { "\x80", false },             // continuation byte without a first byte
    { "\xc3", false },             // truncated sequence
    { "\xc0\xaf", false },         // overlong encoding
    { "\xed\xa0\x80", false },     // surrogate
    { "\xf4\x90\x80\x80", false }, // past the last code point
    { std::string(kMaxStoredBodyBytes, 'x'), true },
    { std::string(kMaxStoredBodyBytes + 1, 'x'), false },
  };
  for (const Row& row : rows) {
    const KeySettled storable = StorableOutcome(Answer("k", row.mBody));
    CHECK((storable.mStatus == RequestStatus::kAnswered) == row.mStorable);
    CHECK(storable.mBody == (row.mStorable ? row.mBody : ""));
  }
}

TEST_GROUP(KeyStateMachine)
{
  KeyStateMachine mLedger{ KeyStateMachineLimits{ 3, 10 } };
  uint64_t mNextOffset = 1;

  ApplyResult Apply(Record aRecord)
  {
    RecordHeader header;
    header.mWriter = WriterId{ InstanceId("e"), Incarnation(1) };
    header.mSequence = mNextOffset;
    const LogRecord record{ header, std::move(aRecord) };
    return mLedger.Apply(StoredRecord{ Offset(mNextOffset++), record });
  }

  ApplyResult Claim(const std::string& aKey)
  {
    return Apply(KeyClaimed{ IdempotencyKey(aKey), AttemptId("a") });
  }
};

TEST(KeyStateMachine, RetainsTheNewestClaims)
{
  for (const char* key : { "1", "2", "3" }) {
    CHECK(Claim(key) == ApplyResult::kApplied);
    CHECK(Apply(Answer(key, "abc")) == ApplyResult::kApplied);
  }
  CHECK(Claim("1") == ApplyResult::kConflict);
  CHECK(Claim("4") == ApplyResult::kApplied);
  CHECK(mLedger.Find(IdempotencyKey("1")) == nullptr);
  CHECK(mLedger.Find(IdempotencyKey("2")) != nullptr);
}

TEST(KeyStateMachine, DropsTheOldestBodiesButNotTheirKeys)
{
  for (const char* key : { "1", "2", "3" }) {
    Claim(key);
    Apply(Answer(key, "abcd"));
  }
  const KeyEntry* first = mLedger.Find(IdempotencyKey("1"));
  CHECK(first->mSettled->mStatus == RequestStatus::kUnknown);
  CHECK(first->mSettled->mReason == RequestReason::kAnswerNotKept);
  CHECK(mLedger.Find(IdempotencyKey("2"))->mSettled->mBody == "abcd");
  CHECK(Claim("1") == ApplyResult::kConflict);
}

TEST(KeyStateMachine, RestoredStateEvictsTheSameKeys)
{
  Claim("1");
  Claim("2");
  KeySettled notRun = Answer("1", "");
  notRun.mStatus = RequestStatus::kNotRun;
  Apply(notRun);
  Apply(Answer("2", "abcdefgh"));
  KeyStateMachine restored(KeyStateMachineLimits{ 3, 10 });
  CHECK(restored.Restore(mLedger.Capture()));
  for (const char* key : { "3", "4", "5" }) {
    const uint64_t at = mNextOffset;
    Claim(key);
    RecordHeader header;
    header.mWriter = WriterId{ InstanceId("e"), Incarnation(1) };
    header.mSequence = at;
    const LogRecord record{ header,
                            KeyClaimed{ IdempotencyKey(key), AttemptId("a") } };
    CHECK(restored.Apply(StoredRecord{ Offset(at), record }) ==
          ApplyResult::kApplied);
  }
  for (const char* key : { "1", "2", "3", "4", "5" }) {
    CHECK((mLedger.Find(IdempotencyKey(key)) == nullptr) ==
          (restored.Find(IdempotencyKey(key)) == nullptr));
  }
  CHECK(restored.Find(IdempotencyKey("2")) == nullptr);
}

TEST(KeyStateMachine, KeySettledAsUnknownStaysClaimed)
{
  Claim("1");
  KeySettled unknown = Answer("1", "");
  unknown.mStatus = RequestStatus::kUnknown;
  CHECK(Apply(unknown) == ApplyResult::kApplied);
  unknown.mStatus = RequestStatus::kNotRun;
  CHECK(Apply(unknown) == ApplyResult::kIllegal);
  CHECK(Claim("1") == ApplyResult::kConflict);
}

} // namespace mulberryvalve
