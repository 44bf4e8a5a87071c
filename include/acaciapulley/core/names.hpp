#pragma once

/// @file
/// Tables of the stable external names of enumerators.

#include <array>       // array
#include <cstddef>     // size_t
#include <optional>    // optional
#include <string_view> // string_view

namespace acp {

/// One row of a name table.
template<typename Enum>
struct EnumName
{
  Enum value;
  std::string_view name;
};

/// Specialise with a static constexpr array `kRows` of EnumName<Enum>.
template<typename Enum>
struct NameTable;

/// @brief Returns the external name of @p value, or "unknown" for a value outside the table.
/// @par Complexity
/// Linear in the size of the table.
template<typename Enum>
constexpr std::string_view NameOf(Enum value)
{
  for (const auto& row : NameTable<Enum>::kRows) {
    if (row.value == value) {
      return row.name;
    }
  }
  return "unknown";
}

/// @brief Finds the enumerator with the external name @p name.
/// @return the enumerator, or std::nullopt when the table has no such name
template<typename Enum>
constexpr std::optional<Enum> FromName(std::string_view name)
{
  for (const auto& row : NameTable<Enum>::kRows) {
    if (row.name == name) {
      return row.value;
    }
  }
  return std::nullopt;
}

} // namespace acp
