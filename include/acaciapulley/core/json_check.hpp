#pragma once

/// @file
/// Checks of JSON text that the JSON library does not make.

#include <cstddef>     // size_t
#include <optional>    // optional
#include <string>      // string
#include <string_view> // string_view

namespace acp {

/// Maximum nesting of objects and arrays.
inline constexpr std::size_t kMaxJsonDepth = 64;

/// @brief Checks what POCO's parser accepts or alters without an error: nesting that exhausts the
/// stack, whole numbers beyond 64 bits (it wraps them), numbers beyond a double, text that is not
/// UTF-8. Does not check the grammar.
/// @return nothing, or a description of the first problem
///
/// @par Example
/// @code
/// if (const auto problem = acp::FindJsonProblem(body)) { Reject(*problem); }
/// @endcode
[[nodiscard]] std::optional<std::string> FindJsonProblem(std::string_view text);

} // namespace acp
