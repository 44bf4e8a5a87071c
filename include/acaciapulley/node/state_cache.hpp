#pragma once

/// @file
/// A node's copy of the fleet's state, and how fresh it is.

#include <cstdint>      // int64_t
#include <map>          // map
#include <memory>       // shared_ptr
#include <optional>     // optional
#include <shared_mutex> // shared_mutex
#include <stop_token>   // stop_token
#include <string>       // string
#include <vector>       // vector

#include "acaciapulley/accounts/key_table.hpp"      // KeyRecord, KeyTable
#include "acaciapulley/config/fleet_document.hpp"   // FleetDocumentPtr
#include "acaciapulley/config/service_document.hpp" // ServiceDocument
#include "acaciapulley/core/change_signal.hpp"      // ChangeSignal
#include "acaciapulley/core/clock.hpp"              // Clock, Duration, TimePoint

namespace acp {

/// Keyed requests are refused when the state is older than this. One poll more stays below the
/// 5 s within which a revoked key stops working.
inline constexpr Duration kKeyedMaxStateAge = std::chrono::seconds(4);

/// Requests of open routes are refused when the state is older than this; below the 19 s within
/// which an accepted configuration is in force everywhere.
inline constexpr Duration kOpenMaxStateAge = std::chrono::seconds(15);

/// A service document as control sent it.
struct ReceivedDocument
{
  std::int64_t version = 0;
  std::string body;
};

/// Changes as control sent them.
struct ReceivedChanges
{
  bool isSnapshot = false;
  std::int64_t toVersion = 0;
  std::vector<ReceivedDocument> documents;
  std::vector<KeyRecord> issuedKeys;
  std::vector<std::string> revokedKeyIds;
  std::optional<ReceivedDocument> fleet; ///< set when the fleet document has changed
  std::string fleetSecret;               ///< empty until the fleet is founded
};

/// The state a node decides by. All calls may come from any thread.
class StateCache
{
public:
  /// @brief Takes over changes.
  /// @param confirmedAt moment on this node's clock at which the state was surely current
  void Apply(const ReceivedChanges& changes, TimePoint confirmedAt);

  /// @brief Returns the state version, 0 before the first Apply.
  [[nodiscard]] std::int64_t Version() const;

  /// @brief Waits until there is a state, for at most @p maxWait.
  /// @param stopToken ends the wait when it is stopped
  void AwaitFirstState(const Clock& clock,
                       Duration maxWait,
                       const std::stop_token& stopToken) const;

  /// @brief Returns whether the state was current within the last @p maxAge.
  [[nodiscard]] bool IsFresh(TimePoint now, Duration maxAge) const;

  /// @brief Returns how long ago the state was surely current; the largest span when never.
  [[nodiscard]] Duration Age(TimePoint now) const;

  /// @brief Returns the document of @p service, or nullptr.
  [[nodiscard]] std::shared_ptr<const ServiceDocument> DocumentOf(const std::string& service) const;

  /// @brief Returns the fleet document, or nullptr before the first.
  [[nodiscard]] FleetDocumentPtr Fleet() const;

  /// @brief Returns the version of the fleet document, 0 before the first.
  [[nodiscard]] std::int64_t FleetVersion() const;

  /// @brief Returns the secret that signs request contexts, empty until the fleet is founded.
  [[nodiscard]] std::string FleetSecret() const;

  /// @brief Returns the client account of @p keyText, or nothing.
  [[nodiscard]] std::optional<std::string> FindAccountByKey(const std::string& keyText) const;

  /// @brief Returns the signal that counts the calls of Apply that took something over.
  [[nodiscard]] ChangeSignal& Changes() { return changes_; }

private:
  void ApplyFleetDocument(const ReceivedDocument& received);

  mutable ChangeSignal changes_;
  mutable std::shared_mutex mutex_;
  std::int64_t version_ = 0;
  std::optional<TimePoint> confirmedAt_;
  std::map<std::string, std::shared_ptr<const ServiceDocument>> documents_;
  KeyTable keys_;
  FleetDocumentPtr fleet_;
  std::int64_t fleetVersion_ = 0;
  std::string fleetSecret_;
};

} // namespace acp
