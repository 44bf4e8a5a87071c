#pragma once

/// @file
/// The signed context that a request carries along its call chain in `Acp-Context`.

#include <cstddef>     // size_t
#include <cstdint>     // int64_t
#include <functional>  // function
#include <string>      // string
#include <string_view> // string_view

#include "acaciapulley/core/clock.hpp"            // UnixMillis
#include "acaciapulley/retries/retries_error.hpp" // RetriesResult

namespace acp {

/// Upper bound on the difference between the clocks of two hosts.
inline constexpr std::chrono::milliseconds kMaxClockSkew{ 250 };

/// Maximum retry budget of a root request.
inline constexpr int kMaxRetryBudget = 8;

/// Maximum length of a header value that Verify() accepts.
inline constexpr std::size_t kMaxContextBytes = 1024;

/// Maximum length of a client account or issuer name in a context.
inline constexpr std::size_t kMaxContextNameBytes = 128;

/// Properties of a root request that are passed to every hop of its call tree.
struct RequestContext
{
  std::string rootId;         ///< 32 hexadecimal digits, identical at every hop
  std::string hopId;          ///< 16 hexadecimal digits, unique to the hop
  std::string account;        ///< client account, empty on routes open to all
  int priority = 0;           ///< of the root request's class; 0 is the most important
  bool idempotent = true;     ///< of the root request's class
  UnixMillis deadline{};      ///< time by which the complete response is due
  int retriesLeft = 0;        ///< retries that this hop and its descendants may make in total
  std::string issuer;         ///< node that signed the context
  std::int64_t issuerEpoch{}; ///< changes on each start of the issuer
};

/// Signs and verifies contexts with the fleet secret.
class ContextSigner
{
public:
  /// @param secret at least 32 bytes, the same on all nodes
  explicit ContextSigner(std::string secret);

  /// @param secret called at each use, for a secret that control distributes after construction
  explicit ContextSigner(std::function<std::string()> secret);

  /// @brief Returns the header value for @p context.
  /// @throw std::invalid_argument for a field that Verify() would reject: an id of the wrong length
  /// or not hexadecimal, a name that contains control characters or is longer than
  /// kMaxContextNameBytes, a priority outside 0 to 9, or retries outside 0 to kMaxRetryBudget
  /// @par Example
  /// @code
  /// headers.Set("Acp-Context", signer.Sign(context));
  /// @endcode
  [[nodiscard]] std::string Sign(const RequestContext& context) const;

  /// @brief Verifies and parses a header value.
  /// @param now wall-clock time of this host
  /// @return the context, or MalformedContext, InvalidSignature or ExpiredContext
  [[nodiscard]] RetriesResult<RequestContext> Verify(std::string_view text, UnixMillis now) const;

private:
  [[nodiscard]] std::string Signature(std::string_view payload) const;

  std::function<std::string()> secret_;
};

} // namespace acp
