// Tables that map the values of an `enum class` to their names on the wire.

#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace mulberryvalve::standins {

template<typename Enum>
struct NameEntry
{
  Enum mValue;
  std::string_view mName;
};

template<typename Enum, std::size_t Size>
using NameTable = std::array<NameEntry<Enum>, Size>;

// Returns the name of `aValue`, or an empty view when it is not in the table.
template<typename Enum, std::size_t Size>
constexpr std::string_view NameOf(const NameTable<Enum, Size>& aTable,
                                  Enum aValue)
{
  for (const auto& entry : aTable) {
    if (entry.mValue == aValue) {
      return entry.mName;
    }
  }
  return {};
}

// Returns the value named `aName`, or nullopt when no entry has that name.
template<typename Enum, std::size_t Size>
constexpr std::optional<Enum> ValueOf(const NameTable<Enum, Size>& aTable,
                                      std::string_view aName)
{
  for (const auto& entry : aTable) {
    if (entry.mName == aName) {
      return entry.mValue;
    }
  }
  return std::nullopt;
}

} // namespace mulberryvalve::standins
