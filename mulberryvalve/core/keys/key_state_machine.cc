#include "mulberryvalve/core/keys/key_state_machine.h"

#include <utility>
#include <variant>

namespace mulberryvalve {

ApplyResult KeyStateMachine::Apply(const StoredRecord& aStored)
{
  if (aStored.mOffset <= mFolded) {
    return ApplyResult::kDuplicate;
  }
  if (aStored.mOffset != mFolded.Next()) {
    return ApplyResult::kGap;
  }
  mFolded = aStored.mOffset;
  const Record& body = aStored.mRecord.mBody;
  if (std::holds_alternative<UnreadableRecord>(body)) {
    return ApplyResult::kIgnored;
  }
  if (!mWriters.Accept(aStored.mRecord.mHeader, aStored.mOffset)) {
    return ApplyResult::kDuplicate;
  }
  if (const auto* claimed = std::get_if<KeyClaimed>(&body)) {
    return On(aStored, *claimed);
  }
  if (const auto* settled = std::get_if<KeySettled>(&body)) {
    return On(*settled);
  }
  return ApplyResult::kIgnored;
}

const KeyEntry* KeyStateMachine::Find(const IdempotencyKey& aKey) const
{
  const auto found = mKeys.find(aKey);
  return found == mKeys.end() ? nullptr : &found->second;
}

ApplyResult KeyStateMachine::On(const StoredRecord& aAt,
                                const KeyClaimed& aRecord)
{
  if (mKeys.count(aRecord.mKey) != 0) {
    return ApplyResult::kConflict;
  }
  InsertEntry(aRecord.mKey,
              KeyEntry{ aAt.mRecord.mHeader.mWriter,
                        aRecord.mAttempt,
                        aAt.mOffset,
                        std::nullopt });
  EvictOldestKeys();
  return ApplyResult::kApplied;
}

ApplyResult KeyStateMachine::On(const KeySettled& aRecord)
{
  const auto found = mKeys.find(aRecord.mKey);
  if (found == mKeys.end() || found->second.mAttempt != aRecord.mAttempt ||
      found->second.mSettled) {
    return ApplyResult::kIllegal;
  }
  if (aRecord.mStatus == RequestStatus::kNotRun) {
    EraseEntry(found);
    return ApplyResult::kApplied;
  }
  found->second.mSettled = aRecord;
  TrackBody(found->second);
  DropOldestBodies();
  return ApplyResult::kApplied;
}

void KeyStateMachine::InsertEntry(const IdempotencyKey& aKey, KeyEntry aEntry)
{
  mKeysByClaimOffset.emplace(aEntry.mOffset, aKey);
  mKeys.emplace(aKey, std::move(aEntry));
}

void KeyStateMachine::TrackBody(const KeyEntry& aEntry)
{
  const KeySettled& settled = *aEntry.mSettled;
  if (!settled.mBody.empty()) {
    mBodyBytes += settled.mBody.size();
    mBodiesByClaimOffset.emplace(aEntry.mOffset, settled.mKey);
  }
}

void KeyStateMachine::EraseEntry(Entries::iterator aEntry)
{
  const KeyEntry& entry = aEntry->second;
  if (mBodiesByClaimOffset.erase(entry.mOffset) != 0) {
    mBodyBytes -= entry.mSettled->mBody.size();
  }
  mKeysByClaimOffset.erase(entry.mOffset);
  mKeys.erase(aEntry);
}

void KeyStateMachine::EvictOldestKeys()
{
  while (mKeys.size() > mLimits.mMaxKeys) {
    EraseEntry(mKeys.find(mKeysByClaimOffset.begin()->second));
  }
}

void KeyStateMachine::DropOldestBodies()
{
  while (mBodyBytes > mLimits.mMaxBodyBytes) {
    const auto oldest = mBodiesByClaimOffset.begin();
    KeySettled& settled = *mKeys.at(oldest->second).mSettled;
    mBodyBytes -= settled.mBody.size();
    settled.mStatus = RequestStatus::kUnknown;
    settled.mReason = RequestReason::kAnswerNotKept;
    settled.mBody = std::string();
    mBodiesByClaimOffset.erase(oldest);
  }
}

} // namespace mulberryvalve
