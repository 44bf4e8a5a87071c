#pragma once

/// @file
/// Random bytes for keys and identifiers, random choices, jitter for timers, and hashing.

#include <cstddef> // size_t
#include <string>  // string

#include "acaciapulley/core/clock.hpp" // Duration

namespace acp {

/// @brief Returns @p bytes cryptographically secure random bytes as lower-case hexadecimal.
/// @throw std::runtime_error when no secure random bytes can be generated
[[nodiscard]] std::string RandomHex(std::size_t bytes);

/// @brief Returns a uniformly distributed random number in [0, 1). Not cryptographically secure.
[[nodiscard]] double UniformRandom();

/// @brief Returns @p base multiplied by a uniformly distributed random factor between
/// 1 - @p fraction and 1 + @p fraction.
[[nodiscard]] Duration Jittered(Duration base, double fraction);

/// @brief Returns @p bytes as lower-case hexadecimal digits.
[[nodiscard]] std::string ToHex(const std::string& bytes);

/// @brief Returns the 32-byte SHA-256 digest of @p text.
[[nodiscard]] std::string Sha256(const std::string& text);

} // namespace acp
