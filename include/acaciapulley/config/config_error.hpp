#pragma once

/// @file
/// Errors of module config, numbered 100 to 199.

#include <array> // array

#include "acaciapulley/core/error.hpp" // BasicError, Result

namespace acp {

/// Reason for which a service or fleet document was rejected.
enum class ConfigErrorCode
{
  Malformed = 100,         ///< not JSON, or a field is missing, unknown, mistyped or out of range
  InvalidName = 101,       ///< a name contains characters not allowed in URLs or metrics
  DuplicateName = 102,     ///< two classes or two client accounts have the same name
  InvalidPattern = 103,    ///< a path pattern or method is invalid
  OverlappingPattern = 104 ///< two classes match the same request
};

template<>
struct NameTable<ConfigErrorCode>
{
  static constexpr std::array<EnumName<ConfigErrorCode>, 5> kRows = { {
    { ConfigErrorCode::Malformed, "malformed_document" },
    { ConfigErrorCode::InvalidName, "invalid_name" },
    { ConfigErrorCode::DuplicateName, "duplicate_name" },
    { ConfigErrorCode::InvalidPattern, "invalid_pattern" },
    { ConfigErrorCode::OverlappingPattern, "overlapping_pattern" },
  } };
};

using ConfigError = BasicError<ConfigErrorCode>;

template<typename T>
using ConfigResult = Result<T, ConfigError>;

} // namespace acp
