#include "mulberryvalve/core/keys/storable_outcome.h"

#include <cstdint>

namespace mulberryvalve {
namespace {

// Utf8Range describes the sequences whose first byte lies in a range: the
// number of bytes after it and the bounds of the second byte.
struct Utf8Range
{
  uint8_t mFirstLow;
  uint8_t mFirstHigh;
  uint8_t mFollowing;
  uint8_t mSecondLow;
  uint8_t mSecondHigh;
};

constexpr Utf8Range kRanges[] = {
  { 0x00, 0x7F, 0, 0x00, 0x00 }, { 0xC2, 0xDF, 1, 0x80, 0xBF },
  { 0xE0, 0xE0, 2, 0xA0, 0xBF }, { 0xE1, 0xEC, 2, 0x80, 0xBF },
  { 0xED, 0xED, 2, 0x80, 0x9F }, { 0xEE, 0xEF, 2, 0x80, 0xBF },
  { 0xF0, 0xF0, 3, 0x90, 0xBF }, { 0xF1, 0xF3, 3, 0x80, 0xBF },
  { 0xF4, 0xF4, 3, 0x80, 0x8F },
};
constexpr uint8_t kFollowingLow = 0x80;
constexpr uint8_t kFollowingHigh = 0xBF;

const Utf8Range* RangeOf(uint8_t aFirst)
{
  for (const Utf8Range& range : kRanges) {
    if (aFirst >= range.mFirstLow && aFirst <= range.mFirstHigh) {
      return &range;
    }
  }
  return nullptr;
}

bool IsWithin(char aByte, uint8_t aLow, uint8_t aHigh)
{
  const auto byte = static_cast<uint8_t>(aByte);
  return byte >= aLow && byte <= aHigh;
}

// Returns the length of the UTF-8 sequence that aText begins with, or 0 when
// it is invalid.
size_t SequenceLength(std::string_view aText)
{
  const Utf8Range* range = RangeOf(static_cast<uint8_t>(aText[0]));
  if (range == nullptr || aText.size() <= range->mFollowing) {
    return 0;
  }
  for (size_t i = 1; i <= range->mFollowing; i++) {
    const bool second = i == 1;
    if (!IsWithin(aText[i],
                  second ? range->mSecondLow : kFollowingLow,
                  second ? range->mSecondHigh : kFollowingHigh)) {
      return 0;
    }
  }
  return size_t{ range->mFollowing } + 1;
}

} // namespace

bool IsUtf8(std::string_view aText)
{
  while (!aText.empty()) {
    const size_t length = SequenceLength(aText);
    if (length == 0) {
      return false;
    }
    aText.remove_prefix(length);
  }
  return true;
}

KeySettled StorableOutcome(KeySettled aOutcome)
{
  const bool storable =
    aOutcome.mStatus != RequestStatus::kAnswered ||
    (aOutcome.mBody.size() <= kMaxStoredBodyBytes && IsUtf8(aOutcome.mBody));
  if (!storable) {
    aOutcome.mStatus = RequestStatus::kUnknown;
    aOutcome.mReason = RequestReason::kAnswerNotKept;
    aOutcome.mBody.clear();
  }
  return aOutcome;
}

} // namespace mulberryvalve
