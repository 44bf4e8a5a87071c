#pragma once

/// @file
/// Random bytes for keys and identifiers, random choices, and jitter for timers.

#include <cstddef> // size_t
#include <string>  // string

#include "acaciapulley/core/clock.hpp" // Duration

namespace acp {

/// @brief Returns @p bytes cryptographically secure random bytes as lower-case hexadecimal.
/// @throw std::runtime_error when the operating system gives no random bytes
[[nodiscard]] std::string RandomHex(std::size_t bytes);

/// @brief Returns a uniformly random number in [0, 1), not for secrets.
[[nodiscard]] double UniformRandom();

/// @brief Returns @p base changed by a uniformly random factor within 1 - @p fraction to 1 + @p
/// fraction.
[[nodiscard]] Duration Jittered(Duration base, double fraction);

/// @brief Returns @p bytes as lower-case hexadecimal digits.
[[nodiscard]] std::string ToHex(const std::string& bytes);

/// @brief Returns the 32-byte SHA-256 digest of @p text.
[[nodiscard]] std::string Sha256(const std::string& text);

} // namespace acp
