#pragma once

/// @file
/// Errors of the module control, numbers 900 to 999.

#include <array> // array

#include "acaciapulley/core/error.hpp" // BasicError, Result

namespace acp {

/// Why control refused a change.
enum class ControlErrorCode
{
  InvalidDocument = 900, ///< the document does not pass its checks
  VersionConflict = 901, ///< another operator's change came first
  KeyRefused = 902,      ///< the key exists already or is not in force
};

template<>
struct NameTable<ControlErrorCode>
{
  static constexpr std::array<EnumName<ControlErrorCode>, 3> kRows = { {
    { ControlErrorCode::InvalidDocument, "invalid_document" },
    { ControlErrorCode::VersionConflict, "version_conflict" },
    { ControlErrorCode::KeyRefused, "key_refused" },
  } };
};

using ControlError = BasicError<ControlErrorCode>;

template<typename T>
using ControlResult = Result<T, ControlError>;

} // namespace acp
