#include "mulberryvalve/adapters/json/json_sanitizer.h"

#include "mulberryvalve/adapters/json/text_validation.h"

#include <charconv>
#include <cstdint>

namespace mulberryvalve {
namespace {

constexpr size_t kEscapeBytes = 6; // \uXXXX
constexpr std::string_view kHex = "0123456789abcdef";

struct Range
{
  unsigned char mLow;
  unsigned char mHigh;
};

// LeadByteRule gives the valid second byte and the length of a UTF-8 sequence
// whose lead byte is in mLead.
struct LeadByteRule
{
  Range mLead;
  Range mSecond;
  size_t mBytes;
};

constexpr Range kContinuation{ 0x80, 0xbf };
constexpr LeadByteRule kLeadByteRules[] = {
  { { 0xc2, 0xdf }, kContinuation, 2 }, { { 0xe0, 0xe0 }, { 0xa0, 0xbf }, 3 },
  { { 0xe1, 0xec }, kContinuation, 3 }, { { 0xed, 0xed }, { 0x80, 0x9f }, 3 },
  { { 0xee, 0xef }, kContinuation, 3 }, { { 0xf0, 0xf0 }, { 0x90, 0xbf }, 4 },
  { { 0xf1, 0xf3 }, kContinuation, 4 }, { { 0xf4, 0xf4 }, { 0x80, 0x8f }, 4 },
};
constexpr uint32_t kFirstHighSurrogate = 0xd800;
constexpr uint32_t kFirstLowSurrogate = 0xdc00;
constexpr uint32_t kLastLowSurrogate = 0xdfff;

bool IsIn(Range aRange, char aByte)
{
  const auto byte = static_cast<unsigned char>(aByte);
  return byte >= aRange.mLow && byte <= aRange.mHigh;
}

// Returns the length of the UTF-8 character at the start of aText, 0 if
// invalid.
size_t CharacterLength(std::string_view aText)
{
  if (static_cast<unsigned char>(aText[0]) < kContinuation.mLow) {
    return 1;
  }
  for (const LeadByteRule& rule : kLeadByteRules) {
    if (!IsIn(rule.mLead, aText[0])) {
      continue;
    }
    bool valid = aText.size() >= rule.mBytes && IsIn(rule.mSecond, aText[1]);
    for (size_t at = 2; valid && at < rule.mBytes; at++) {
      valid = IsIn(kContinuation, aText[at]);
    }
    return valid ? rule.mBytes : 0;
  }
  return 0;
}

// Returns the code unit of the \uXXXX escape at the start of aText, 0 if none.
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

bool IsLowSurrogate(uint32_t aCode)
{
  return aCode >= kFirstLowSurrogate && aCode <= kLastLowSurrogate;
}

bool IsHighSurrogate(uint32_t aCode)
{
  return aCode >= kFirstHighSurrogate && aCode < kFirstLowSurrogate;
}

// JsonSanitizer copies the text in a single pass and replaces what is invalid.
class JsonSanitizer
{
public:
  explicit JsonSanitizer(std::string_view aText)
    : mRest(aText)
  {
    mOut.reserve(aText.size());
  }

  std::string Run()
  {
    while (!mRest.empty()) {
      CopyNext();
    }
    return std::move(mOut);
  }

private:
  void CopyNext()
  {
    if (mRest[0] == '\\') {
      CopyEscape();
      return;
    }
    const size_t bytes = CharacterLength(mRest);
    if (bytes == 0) {
      Replace(kReplacementCharacter, 1);
      return;
    }
    if (mInString && static_cast<unsigned char>(mRest[0]) < kFirstPrintable) {
      EscapeControlCharacter();
      return;
    }
    mInString = mInString != (mRest[0] == '"');
    Copy(bytes);
  }

  void CopyEscape()
  {
    const uint32_t code = EscapedCode(mRest);
    if (IsHighSurrogate(code) &&
        IsLowSurrogate(EscapedCode(mRest.substr(kEscapeBytes)))) {
      Copy(2 * kEscapeBytes);
    } else if (IsHighSurrogate(code) || IsLowSurrogate(code)) {
      Replace(kReplacementCharacter, kEscapeBytes);
    } else if (mRest.size() > 1 && CharacterLength(mRest.substr(1)) == 1) {
      Copy(2);
    } else {
      Copy(1);
    }
  }

  void EscapeControlCharacter()
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
  bool mInString = false;
};

} // namespace

std::string SanitizeJson(std::string_view aText)
{
  return JsonSanitizer(aText).Run();
}

} // namespace mulberryvalve
