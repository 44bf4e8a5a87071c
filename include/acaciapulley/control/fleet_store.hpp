#pragma once

/// @file
/// The current fleet document and the digests of accepted changes.

#include <cstdint>  // int64_t
#include <optional> // optional
#include <set>      // set
#include <string>   // string
#include <vector>   // vector

#include "acaciapulley/control/control_error.hpp" // ControlResult

namespace acp {

/// Maximum size of a change of the fleet document as sent by the operator.
inline constexpr std::size_t kMaxFleetBytes = 1U << 20U;

/// A change of the fleet document; also describes the current document.
struct FleetChange
{
  std::int64_t version = 0;     ///< version that the operator assigned to the new document
  std::int64_t baseVersion = 0; ///< version that the operator edited, 0 for the first document
  std::string document;         ///< in the native format of this project
  std::string source;           ///< text as sent by the operator, returned unchanged
};

/// Result of an accepted change.
struct PutFleetResult
{
  std::int64_t version = 0;
  bool isResend = false; ///< the same change had already been accepted
};

/// The fleet document. Of several changes based on the same version only one is accepted, versions
/// increase, and a resent change that was accepted before is always acknowledged.
class FleetStore
{
public:
  /// @brief Accepts @p change if it is based on the current version.
  /// @return the result; or VersionConflict; or InvalidDocument if the version does not increase
  /// @par Example
  /// @code
  /// const auto result = fleet.Put({ .version = 7, .baseVersion = 5, .document = text });
  /// @endcode
  ControlResult<PutFleetResult> Put(const FleetChange& change);

  /// @brief Returns the result of Put() if no later change can alter it: for a change that was
  /// accepted already, and for one whose base or version the current document has passed.
  [[nodiscard]] std::optional<ControlResult<PutFleetResult>> Settle(
    const FleetChange& change) const;

  /// @brief Sets the secret of the fleet; has no effect if it is already set.
  void InitSecret(const std::string& secret);

  /// @brief Returns the current document; its version is 0 before the first change.
  [[nodiscard]] const FleetChange& Current() const { return current_; }

  /// @brief Returns the secret that signs request contexts, empty before InitSecret().
  [[nodiscard]] const std::string& Secret() const { return secret_; }

  /// @brief Returns the SHA-256 digests of all accepted changes.
  [[nodiscard]] const std::set<std::string>& AcceptedDigests() const { return accepted_; }

  /// @brief Replaces the contents, as part of restoring a snapshot.
  void Restore(FleetChange current, std::set<std::string> accepted, std::string secret);

private:
  [[nodiscard]] ControlResult<PutFleetResult> Check(const FleetChange& change) const;

  FleetChange current_;
  std::set<std::string> accepted_;
  std::string secret_;
};

} // namespace acp
