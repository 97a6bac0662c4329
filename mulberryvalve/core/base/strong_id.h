// StrongId and StrongNumber: value types that prevent mixing identifiers of
// different kinds at compile time.
#ifndef MULBERRYVALVE_CORE_BASE_STRONG_ID_H_
#define MULBERRYVALVE_CORE_BASE_STRONG_ID_H_

#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace mulberryvalve {

// StrongId is a string identifier whose type is distinguished by Tag. Not
// synchronised.
//
//   using WorkerId = StrongId<struct WorkerIdTag>;
//   WorkerId id("w-3");
template<typename Tag>
class StrongId
{
public:
  StrongId() = default;
  explicit StrongId(std::string aText)
    : mText(std::move(aText))
  {
  }

  // Text returns the identifier as it appears in messages and records.
  const std::string& Text() const { return mText; }

  // Empty returns whether no identifier is set.
  bool Empty() const { return mText.empty(); }

  friend bool operator==(const StrongId& aLeft, const StrongId& aRight)
  {
    return aLeft.mText == aRight.mText;
  }
  friend bool operator!=(const StrongId& aLeft, const StrongId& aRight)
  {
    return aLeft.mText != aRight.mText;
  }
  friend bool operator<(const StrongId& aLeft, const StrongId& aRight)
  {
    return aLeft.mText < aRight.mText;
  }

private:
  std::string mText;
};

// StrongNumber is a 64-bit ordinal whose type is distinguished by Tag. Zero
// means that no number is set.
template<typename Tag>
class StrongNumber
{
public:
  constexpr StrongNumber() = default;
  constexpr explicit StrongNumber(uint64_t aValue)
    : mValue(aValue)
  {
  }

  // Value returns the underlying integer.
  constexpr uint64_t Value() const { return mValue; }

  // Next returns the successor of this number.
  constexpr StrongNumber Next() const { return StrongNumber(mValue + 1); }

  friend constexpr bool operator==(StrongNumber aLeft, StrongNumber aRight)
  {
    return aLeft.mValue == aRight.mValue;
  }
  friend constexpr bool operator!=(StrongNumber aLeft, StrongNumber aRight)
  {
    return aLeft.mValue != aRight.mValue;
  }
  friend constexpr bool operator<(StrongNumber aLeft, StrongNumber aRight)
  {
    return aLeft.mValue < aRight.mValue;
  }
  friend constexpr bool operator<=(StrongNumber aLeft, StrongNumber aRight)
  {
    return aLeft.mValue <= aRight.mValue;
  }
  friend constexpr bool operator>(StrongNumber aLeft, StrongNumber aRight)
  {
    return aLeft.mValue > aRight.mValue;
  }
  friend constexpr bool operator>=(StrongNumber aLeft, StrongNumber aRight)
  {
    return aLeft.mValue >= aRight.mValue;
  }

private:
  uint64_t mValue = 0;
};

} // namespace mulberryvalve

namespace std {
template<typename Tag>
struct hash<mulberryvalve::StrongId<Tag>>
{
  size_t operator()(const mulberryvalve::StrongId<Tag>& aId) const
  {
    return hash<string>()(aId.Text());
  }
};
template<typename Tag>
struct hash<mulberryvalve::StrongNumber<Tag>>
{
  size_t operator()(mulberryvalve::StrongNumber<Tag> aNumber) const
  {
    return hash<uint64_t>()(aNumber.Value());
  }
};
} // namespace std

#endif // MULBERRYVALVE_CORE_BASE_STRONG_ID_H_
