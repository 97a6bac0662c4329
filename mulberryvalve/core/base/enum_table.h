// EnumTable: the names of the values of an `enum class`.
#ifndef MULBERRYVALVE_CORE_BASE_ENUM_TABLE_H_
#define MULBERRYVALVE_CORE_BASE_ENUM_TABLE_H_

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace mulberryvalve {

// EnumName pairs an enumerator with its name in messages, records and logs.
template<typename E>
struct EnumName
{
  E mValue;
  std::string_view mName;
};

// EnumTable maps between enumerators and names. Immutable and therefore
// thread-safe.
//
//   inline constexpr EnumTable<Colour, 2> kColourNames{
//     { { { Colour::kRed, "red" }, { Colour::kBlue, "blue" } } }
//   };
template<typename E, size_t N>
struct EnumTable
{
  std::array<EnumName<E>, N> mRows;

  // Name returns the name of aValue, or "unknown" if it has no row.
  constexpr std::string_view Name(E aValue) const
  {
    for (const auto& row : mRows) {
      if (row.mValue == aValue) {
        return row.mName;
      }
    }
    return "unknown";
  }

  // Find returns the enumerator named aName, or nullopt.
  constexpr std::optional<E> Find(std::string_view aName) const
  {
    for (const auto& row : mRows) {
      if (row.mName == aName) {
        return row.mValue;
      }
    }
    return std::nullopt;
  }

  // JoinedNames returns all names, separated by ", ".
  std::string JoinedNames() const
  {
    std::string all;
    for (const auto& row : mRows) {
      all += (all.empty() ? "" : ", ");
      all += row.mName;
    }
    return all;
  }
};

// RowsFollowEnum returns whether the row of each enumerator, whose first value
// is 0, stands at its value in aRows.
template<typename Row, size_t N, typename E>
constexpr bool RowsFollowEnum(const std::array<Row, N>& aRows,
                              E Row::*aEnumerator)
{
  for (size_t i = 0; i < N; i++) {
    if (static_cast<size_t>(aRows[i].*aEnumerator) != i) {
      return false;
    }
  }
  return true;
}

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_BASE_ENUM_TABLE_H_
