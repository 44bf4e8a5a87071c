#pragma once

/// @file
/// Errors of the module node, numbers 1200 to 1299.

#include <array> // array

#include "acaciapulley/core/error.hpp" // BasicError, Result

namespace acp {

/// Input that a node rejects.
enum class NodeErrorCode
{
  InvalidAnnouncement = 1200, ///< malformed announcement of the upstream
};

template<>
struct NameTable<NodeErrorCode>
{
  static constexpr std::array<EnumName<NodeErrorCode>, 1> kRows = { {
    { NodeErrorCode::InvalidAnnouncement, "invalid_announcement" },
  } };
};

using NodeError = BasicError<NodeErrorCode>;

template<typename T>
using NodeResult = Result<T, NodeError>;

} // namespace acp
