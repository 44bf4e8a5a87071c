#pragma once

/// @file
/// Errors of the module config, numbers 100 to 199.

#include <array> // array

#include "acaciapulley/core/error.hpp" // BasicError, Result

namespace acp {

/// What is wrong with a service document.
enum class ConfigErrorCode
{
  Malformed = 100,         ///< not JSON, a field is missing, unknown, of a wrong type or range
  InvalidName = 101,       ///< a name has characters that URLs or metrics cannot carry
  DuplicateName = 102,     ///< two classes or two client accounts have the same name
  InvalidPattern = 103,    ///< a path pattern or method cannot be used
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
