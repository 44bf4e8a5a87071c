#pragma once

/// @file
/// Error codes of the admission module, 400 to 499.

#include <array> // array

#include "acaciapulley/core/error.hpp" // BasicError, Result

namespace acp {

/// Why a header value was rejected.
enum class AdmissionErrorCode
{
  MalformedLoad = 400,      ///< not of the form in-flight=N;limit=N;queue-ms=N
  MalformedThreshold = 401, ///< not of the form priority=N;share=N
};

template<>
struct NameTable<AdmissionErrorCode>
{
  static constexpr std::array<EnumName<AdmissionErrorCode>, 2> kRows = { {
    { AdmissionErrorCode::MalformedLoad, "malformed_load" },
    { AdmissionErrorCode::MalformedThreshold, "malformed_threshold" },
  } };
};

using AdmissionError = BasicError<AdmissionErrorCode>;

template<typename T>
using AdmissionResult = Result<T, AdmissionError>;

} // namespace acp
