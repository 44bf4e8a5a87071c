#pragma once

/// @file
/// Errors of the module record, numbers 1000 to 1099.

#include <array> // array

#include "acaciapulley/core/error.hpp" // BasicError, Result

namespace acp {

/// What is wrong with a stored row.
enum class RecordErrorCode
{
  MalformedRow = 1000, ///< not a row, or a number in it cannot be read
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
