#pragma once

/// @file
/// The evacuated data centres.

#include <cstddef> // size_t
#include <cstdint> // int64_t
#include <set>     // set
#include <string>  // string
#include <vector>  // vector

#include "acaciapulley/control/control_error.hpp" // ControlResult

namespace acp {

/// Maximum number of evacuated data centres.
inline constexpr std::size_t kMaxEvacuations = 64;

/// Maximum length of the name of a data centre, in bytes.
inline constexpr std::size_t kMaxDataCentreBytes = 128;

/// @brief Returns whether @p name can be the name of a data centre: 1 to 128 bytes without control
/// characters.
[[nodiscard]] bool IsDataCentreName(const std::string& name);

/// Result of an accepted order to start or finish an evacuation.
struct SetEvacuationResult
{
  std::int64_t stateVersion = 0;
  bool isResend = false; ///< the order was in force already
};

/// The data centres whose upstreams must get no requests.
class EvacuationStore
{
public:
  /// @brief Starts or finishes the evacuation of @p dataCentre.
  /// @return whether this changed anything; or InvalidRequest if the name is invalid; or
  /// TooManyEvacuations
  /// @par Example
  /// @code
  /// const auto changed = evacuations.Set("jawa-a", true);
  /// @endcode
  ControlResult<bool> Set(const std::string& dataCentre, bool evacuated);

  /// @brief Returns the evacuated data centres, ordered by name.
  [[nodiscard]] std::vector<std::string> All() const { return { names_.begin(), names_.end() }; }

  /// @brief Replaces the contents, as part of restoring a snapshot.
  void Restore(const std::vector<std::string>& names) { names_ = { names.begin(), names.end() }; }

private:
  std::set<std::string> names_;
};

} // namespace acp
