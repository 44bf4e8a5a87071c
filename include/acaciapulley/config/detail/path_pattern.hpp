#pragma once

/// @file
/// Path patterns of request classes.

#include <string>      // string
#include <string_view> // string_view
#include <vector>      // vector

namespace acp::detail {

/// @brief Returns the segments of @p path between slashes; empty for `/`.
std::vector<std::string_view> SplitPath(std::string_view path);

/// @brief Returns a description of the error in @p pattern, or an empty string when it is valid.
std::string DescribePatternError(std::string_view pattern);

/// @brief Returns whether @p pattern matches @p path.
bool PatternMatches(std::string_view pattern, std::string_view path);

/// @brief Returns whether there is a path that matches both patterns.
bool PatternsOverlap(std::string_view first, std::string_view second);

} // namespace acp::detail
