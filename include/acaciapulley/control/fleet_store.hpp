#pragma once

/// @file
/// The fleet document in force, and which changes of it were accepted.

#include <cstdint> // int64_t
#include <set>     // set
#include <string>  // string
#include <vector>  // vector

#include "acaciapulley/control/control_error.hpp" // ControlResult

namespace acp {

/// Largest change of the fleet document, as the operator sent it.
inline constexpr std::size_t kMaxFleetBytes = 1U << 20U;

/// A change of the fleet document.
struct FleetChange
{
  std::int64_t version = 0;     ///< number the operator gives to the new document
  std::int64_t baseVersion = 0; ///< version the operator edited, 0 for the first document
  std::string document;         ///< in the project's own format
  std::string source;           ///< as the operator sent it, read back unchanged
};

/// Answer to an accepted change.
struct PutFleetResult
{
  std::int64_t version = 0;
  bool isResend = false; ///< the same change was accepted before
};

/// The fleet document. Its rules: of changes made from the same version one is accepted, versions
/// grow, and a change that was accepted once is acknowledged whenever it is sent again.
class FleetStore
{
public:
  /// @brief Accepts @p change when it was made from the version in force.
  /// @return the receipt; or VersionConflict, or InvalidDocument when its version does not grow
  /// @par Example
  /// @code
  /// const auto receipt = fleet.Put({ .version = 7, .baseVersion = 5, .document = text });
  /// @endcode
  ControlResult<PutFleetResult> Put(const FleetChange& change);

  /// @brief Sets the secret of the fleet; all but the first call change nothing.
  void InitSecret(const std::string& secret);

  /// @brief Returns the document in force; its version is 0 before the first change.
  [[nodiscard]] const FleetChange& Current() const { return current_; }

  /// @brief Returns the secret that signs request contexts, empty before InitSecret().
  [[nodiscard]] const std::string& Secret() const { return secret_; }

  /// @brief Returns the SHA-256 of every accepted change.
  [[nodiscard]] const std::set<std::string>& AcceptedDigests() const { return accepted_; }

  /// @brief Replaces everything by what a snapshot holds.
  void Restore(FleetChange current, std::set<std::string> accepted, std::string secret);

private:
  FleetChange current_;
  std::set<std::string> accepted_;
  std::string secret_;
};

} // namespace acp
