#pragma once

/// @file
/// `acpctl fleet check`.

#include <string> // string

#include "commands.hpp" // ExitCode

namespace acp {

/// @brief Prints the findings of the fleet document in the file @p path, and its differences from
/// the one in @p againstPath unless that is empty.
/// @return Refused if there is an error or a document is invalid
[[nodiscard]] ExitCode RunFleetCheck(const std::string& path, const std::string& againstPath);

} // namespace acp
