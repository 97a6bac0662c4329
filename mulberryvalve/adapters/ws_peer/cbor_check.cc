#include "mulberryvalve/adapters/ws_peer/cbor_check.h"

#include <cstdint>
#include <vector>

namespace mulberryvalve {
namespace {

constexpr uint8_t kMajorShift = 5;
constexpr uint8_t kInfoMask = 0x1f;
constexpr uint8_t kOneByteArgument = 24;
constexpr uint8_t kEightByteArgument = 27;
constexpr uint8_t kSimpleFalse = 20;
constexpr uint8_t kSimpleNull = 22;

// MajorType types of RFC 8949, section 3.1.
enum class MajorType : uint8_t
{
  kUnsigned = 0,
  kNegative = 1,
  kBytes = 2,
  kText = 3,
  kArray = 4,
  kMap = 5,
  kTag = 6,
  kSimple = 7,
};

// ItemHeader is the head of a CBOR item: its major type and its argument.
struct ItemHeader
{
  MajorType mMajorType = MajorType::kUnsigned;
  uint64_t mArgument = 0;
};

// Container is an array or map being read. mRemaining counts the items still to
// come; a key and its value in a map count as two.
struct Container
{
  bool mIsMap = false;
  uint64_t mRemaining = 0;
};

class CborChecker
{
public:
  CborChecker(std::string_view aFrame, size_t aMaxDepth)
    : mUnread(aFrame)
    , mMaxDepth(aMaxDepth)
  {
  }

  Result<void> CheckFrame()
  {
    do {
      Result<void> item = CheckItem();
      if (!item) {
        return item;
      }
      while (!mOpenContainers.empty() &&
             mOpenContainers.back().mRemaining == 0) {
        mOpenContainers.pop_back();
      }
    } while (!mOpenContainers.empty());
    if (!mUnread.empty()) {
      return Fail(FailureKind::kMalformed, "frame", "trailing bytes");
    }
    return Done();
  }

private:
  Result<void> CheckItem()
  {
    const bool isKey = !mOpenContainers.empty() &&
                       mOpenContainers.back().mIsMap &&
                       mOpenContainers.back().mRemaining % 2 == 0;
    if (!mOpenContainers.empty()) {
      mOpenContainers.back().mRemaining--;
    }
    const Result<ItemHeader> header = ReadHeader();
    if (!header) {
      return header.error();
    }
    if (isKey && header.value().mMajorType != MajorType::kText) {
      return Fail(FailureKind::kMalformed, "frame", "key is not a text");
    }
    return CheckContent(header.value());
  }

  Result<void> CheckContent(const ItemHeader& aHeader)
  {
    switch (aHeader.mMajorType) {
      case MajorType::kUnsigned:
      case MajorType::kNegative:
        return Done();
      case MajorType::kText:
        return SkipBytes(aHeader.mArgument);
      case MajorType::kArray:
        return OpenContainer(false, aHeader.mArgument);
      case MajorType::kMap:
        return OpenContainer(true, aHeader.mArgument);
      case MajorType::kSimple:
        if (aHeader.mArgument >= kSimpleFalse &&
            aHeader.mArgument <= kSimpleNull) {
          return Done();
        }
        break;
      case MajorType::kBytes:
      case MajorType::kTag:
        break;
    }
    return Fail(FailureKind::kMalformed, "frame", "type not in use");
  }

  Result<ItemHeader> ReadHeader()
  {
    if (mUnread.empty()) {
      return Fail(FailureKind::kMalformed, "frame", "ends early");
    }
    const auto first = static_cast<uint8_t>(mUnread.front());
    mUnread.remove_prefix(1);
    ItemHeader header;
    header.mMajorType = static_cast<MajorType>(first >> kMajorShift);
    const uint8_t info = first & kInfoMask;
    if (info < kOneByteArgument) {
      header.mArgument = info;
      return header;
    }
    if (info > kEightByteArgument || header.mMajorType == MajorType::kSimple) {
      return Fail(FailureKind::kMalformed, "frame", "length not definite");
    }
    const size_t width = size_t{ 1 } << (info - kOneByteArgument);
    if (mUnread.size() < width) {
      return Fail(FailureKind::kMalformed, "frame", "ends early");
    }
    for (size_t i = 0; i < width; i++) {
      header.mArgument =
        (header.mArgument << 8) | static_cast<uint8_t>(mUnread[i]);
    }
    mUnread.remove_prefix(width);
    return header;
  }

  Result<void> SkipBytes(uint64_t aBytes)
  {
    if (aBytes > mUnread.size()) {
      return Fail(FailureKind::kMalformed, "frame", "text ends early");
    }
    mUnread.remove_prefix(aBytes);
    return Done();
  }

  // OpenContainer starts an array or map. Each item takes at least one byte,
  // so a count above the number of unread bytes is invalid.
  Result<void> OpenContainer(bool aIsMap, uint64_t aCount)
  {
    if (aCount > mUnread.size()) {
      return Fail(FailureKind::kMalformed, "frame", "list ends early");
    }
    if (mOpenContainers.size() >= mMaxDepth) {
      return Fail(FailureKind::kTooLarge, "frame", "nested too deeply");
    }
    mOpenContainers.push_back(
      Container{ aIsMap, aIsMap ? 2 * aCount : aCount });
    return Done();
  }

  std::string_view mUnread;
  const size_t mMaxDepth;
  std::vector<Container> mOpenContainers;
};

} // namespace

Result<void> CheckCbor(std::string_view aFrame, size_t aMaxDepth)
{
  return CborChecker(aFrame, aMaxDepth).CheckFrame();
}

} // namespace mulberryvalve
