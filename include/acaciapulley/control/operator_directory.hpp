#pragma once

/// @file
/// The operators and the hashes of their keys.

#include <map>         // map
#include <optional>    // optional
#include <string>      // string
#include <string_view> // string_view

#include "acaciapulley/control/control_error.hpp" // ControlResult

namespace acp {

/// Operators by the SHA-256 of their key, read from the operator key file: one `name:sha256` for
/// each line; empty lines and lines that begin with `#` are ignored.
class OperatorDirectory
{
public:
  /// @brief Reads the text of an operator key file.
  /// @return the operators, or InvalidOperators with the number of the offending line
  /// @par Example
  /// @code
  /// const auto operators = acp::OperatorDirectory::Parse(acp::ReadFile(path));
  /// @endcode
  static ControlResult<OperatorDirectory> Parse(std::string_view text);

  /// @brief Returns the name of the operator with the key @p keyText, or nothing.
  [[nodiscard]] std::optional<std::string> NameOf(const std::string& keyText) const;

private:
  std::map<std::string, std::string> nameByHash_;
};

} // namespace acp
