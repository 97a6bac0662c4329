#include "mulberryvalve/adapters/json/json_mend.h"

#include <charconv>
#include <cstdint>

namespace mulberryvalve {
namespace {

constexpr unsigned char kFirstPrintable = 0x20;
constexpr size_t kEscapeBytes = 6; // \uXXXX
constexpr std::string_view kHex = "0123456789abcdef";

struct Range
{
  unsigned char mLow;
  unsigned char mHigh;
};

// LeadRule says what follows a first byte of UTF-8.
struct LeadRule
{
  Range mLead;
  Range mSecond;
  size_t mBytes;
};

constexpr Range kFollowing{ 0x80, 0xbf };
constexpr LeadRule kLeadRules[] = {
  { { 0xc2, 0xdf }, kFollowing, 2 }, { { 0xe0, 0xe0 }, { 0xa0, 0xbf }, 3 },
  { { 0xe1, 0xec }, kFollowing, 3 }, { { 0xed, 0xed }, { 0x80, 0x9f }, 3 },
  { { 0xee, 0xef }, kFollowing, 3 }, { { 0xf0, 0xf0 }, { 0x90, 0xbf }, 4 },
  { { 0xf1, 0xf3 }, kFollowing, 4 }, { { 0xf4, 0xf4 }, { 0x80, 0x8f }, 4 },
};
constexpr uint32_t kFirstHighHalf = 0xd800;
constexpr uint32_t kFirstLowHalf = 0xdc00;
constexpr uint32_t kLastLowHalf = 0xdfff;

bool IsIn(Range aRange, char aByte)
{
  const auto byte = static_cast<unsigned char>(aByte);
  return byte >= aRange.mLow && byte <= aRange.mHigh;
}

// Returns the bytes of the character that aText begins with; 0 if it is none.
size_t CharacterBytes(std::string_view aText)
{
  if (static_cast<unsigned char>(aText[0]) < kFollowing.mLow) {
    return 1;
  }
  for (const LeadRule& rule : kLeadRules) {
    if (!IsIn(rule.mLead, aText[0])) {
      continue;
    }
    bool whole = aText.size() >= rule.mBytes && IsIn(rule.mSecond, aText[1]);
    for (size_t at = 2; whole && at < rule.mBytes; at++) {
      whole = IsIn(kFollowing, aText[at]);
    }
    return whole ? rule.mBytes : 0;
  }
  return 0;
}

// Returns the code of the escape \uXXXX that aText begins with; 0 if none.
uint32_t EscapedCode(std::string_view aText)
{
  if (aText.size() < kEscapeBytes || aText.substr(0, 2) != "\\u") {
    return 0;
  }
  uint32_t code = 0;
  const char* end = aText.data() + kEscapeBytes;
  const auto read = std::from_chars(aText.data() + 2, end, code, 16);
  return read.ptr == end ? code : 0;
}

bool IsLowHalf(uint32_t aCode)
{
  return aCode >= kFirstLowHalf && aCode <= kLastLowHalf;
}

bool IsHighHalf(uint32_t aCode)
{
  return aCode >= kFirstHighHalf && aCode < kFirstLowHalf;
}

// Mender goes through the text once.
class Mender
{
public:
  explicit Mender(std::string_view aText)
    : mRest(aText)
  {
    mOut.reserve(aText.size());
  }

  std::string Run()
  {
    while (!mRest.empty()) {
      Step();
    }
    return std::move(mOut);
  }

private:
  void Step()
  {
    if (mRest[0] == '\\') {
      TakeEscape();
      return;
    }
    const size_t bytes = CharacterBytes(mRest);
    if (bytes == 0) {
      Replace(kUnreadableMark, 1);
      return;
    }
    if (mInText && static_cast<unsigned char>(mRest[0]) < kFirstPrintable) {
      EscapeControl();
      return;
    }
    mInText = mInText != (mRest[0] == '"');
    Copy(bytes);
  }

  void TakeEscape()
  {
    const uint32_t code = EscapedCode(mRest);
    if (IsHighHalf(code) &&
        IsLowHalf(EscapedCode(mRest.substr(kEscapeBytes)))) {
      Copy(2 * kEscapeBytes);
    } else if (IsHighHalf(code) || IsLowHalf(code)) {
      Replace(kUnreadableMark, kEscapeBytes);
    } else if (mRest.size() > 1 && CharacterBytes(mRest.substr(1)) == 1) {
      Copy(2);
    } else {
      Copy(1);
    }
  }

  void EscapeControl()
  {
    const auto byte = static_cast<unsigned char>(mRest[0]);
    mOut += "\\u00";
    mOut += kHex[byte >> 4U];
    mOut += kHex[byte & 0xfU];
    mRest.remove_prefix(1);
  }

  void Replace(std::string_view aWith, size_t aBytes)
  {
    mOut += aWith;
    mRest.remove_prefix(aBytes);
  }

  void Copy(size_t aBytes)
  {
    mOut += mRest.substr(0, aBytes);
    mRest.remove_prefix(aBytes);
  }

  std::string_view mRest;
  std::string mOut;
  bool mInText = false;
};

} // namespace

std::string MendJson(std::string_view aText)
{
  return Mender(aText).Run();
}

} // namespace mulberryvalve
