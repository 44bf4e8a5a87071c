#pragma once

/// @file
/// Operators and the hashes of their keys.

#include <map>         // map
#include <optional>    // optional
#include <string>      // string
#include <string_view> // string_view

#include "acaciapulley/control/control_error.hpp" // ControlResult

namespace acp {

/// Maps the SHA-256 hash of an operator key to the name of the operator. The operator key file has
/// one `name:sha256` per line; empty lines and lines that start with `#` are ignored.
class OperatorDirectory
{
public:
  /// @brief Parses the text of an operator key file.
  /// @return the directory, or InvalidOperators with the number of the invalid line
  /// @par Example
  /// @code
  /// const auto operators = acp::OperatorDirectory::Parse(acp::ReadFile(path));
  /// @endcode
  static ControlResult<OperatorDirectory> Parse(std::string_view text);

  /// @brief Returns the name of the operator with the key @p keyText, or std::nullopt.
  [[nodiscard]] std::optional<std::string> NameOf(const std::string& keyText) const;

private:
  std::map<std::string, std::string> nameByHash_;
};

} // namespace acp
