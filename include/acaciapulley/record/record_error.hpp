#pragma once

/// @file
/// Errors of module record, numbered 1000 to 1099.

#include <array> // array

#include "acaciapulley/core/error.hpp" // BasicError, Result

namespace acp {

/// Reason for which a stored row was rejected.
enum class RecordErrorCode
{
  MalformedRow = 1000, ///< not a row, or a field of it cannot be parsed
};

template<>
struct NameTable<RecordErrorCode>
{
  static constexpr std::array<EnumName<RecordErrorCode>, 1> kRows = { {
    { RecordErrorCode::MalformedRow, "malformed_row" },
  } };
};

using RecordError = BasicError<RecordErrorCode>;

template<typename T>
using RecordResult = Result<T, RecordError>;

} // namespace acp
