#pragma once

/// @file
/// Check of a fleet document before it is sent, and its differences from another one.

#include <array>       // array
#include <string>      // string
#include <string_view> // string_view
#include <vector>      // vector

#include "acaciapulley/config/config_error.hpp" // ConfigResult
#include "acaciapulley/core/names.hpp"          // NameTable

namespace acp {

enum class FindingSeverity
{
  Error,   ///< control or the nodes would refuse the document, or an entry refuses all requests
  Warning, ///< the document is valid, but probably not what its author intended
};

template<>
struct NameTable<FindingSeverity>
{
  static constexpr std::array<EnumName<FindingSeverity>, 2> kRows = { {
    { FindingSeverity::Error, "error" },
    { FindingSeverity::Warning, "warning" },
  } };
};

/// A problem in a fleet document.
struct FleetFinding
{
  FindingSeverity severity = FindingSeverity::Error;
  std::string path; ///< such as `routes[0].target_ms`; empty for the whole document
  std::string text;
};

enum class DifferenceKind
{
  Added,
  Removed,
  Changed,
};

template<>
struct NameTable<DifferenceKind>
{
  static constexpr std::array<EnumName<DifferenceKind>, 3> kRows = { {
    { DifferenceKind::Added, "added" },
    { DifferenceKind::Removed, "removed" },
    { DifferenceKind::Changed, "changed" },
  } };
};

/// A difference between two fleet documents.
struct FleetDifference
{
  DifferenceKind kind = DifferenceKind::Changed;
  std::string entry;               ///< such as `routes 'cart'`, or the name of a top-level field
  std::vector<std::string> fields; ///< of a changed entry; without values, as these may be hashes
};

/// @brief Checks a fleet document without a network.
/// @return the findings in document order, or one error if the document is invalid
[[nodiscard]] std::vector<FleetFinding> CheckFleet(std::string_view text);

/// @brief Compares two fleet documents by entry. The order of entries does not count.
/// @return the differences, or the error of the first invalid document
[[nodiscard]] ConfigResult<std::vector<FleetDifference>> CompareFleets(std::string_view before,
                                                                       std::string_view after);

} // namespace acp
