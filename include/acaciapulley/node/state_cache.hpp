#pragma once

/// @file
/// A node's cached copy of control's state, and its age.

#include <cstdint>      // int64_t
#include <map>          // map
#include <memory>       // shared_ptr
#include <optional>     // optional
#include <set>          // set
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

/// Requests with a key are refused when the state is older than this. Together with one poll
/// interval it stays below the 5 s within which a revoked key must stop working.
inline constexpr Duration kKeyedMaxStateAge = std::chrono::seconds(4);

/// Requests to open routes are refused when the state is older than this. It is below the 19 s
/// within which an accepted configuration must be in force on all nodes.
inline constexpr Duration kOpenMaxStateAge = std::chrono::seconds(15);

/// A document as received from control.
struct ReceivedDocument
{
  std::int64_t version = 0;
  std::string body;
};

/// Changes of the state as received from control.
struct ReceivedChanges
{
  bool isSnapshot = false;
  std::int64_t toVersion = 0;
  std::vector<ReceivedDocument> documents;
  std::vector<KeyRecord> issuedKeys;
  std::vector<std::string> revokedKeyIds;
  std::optional<ReceivedDocument> fleet;      ///< set when the fleet document has changed
  std::string fleetSecret;                    ///< empty until control has created it
  std::set<std::string> evacuatedDataCentres; ///< complete
};

/// The state by which a node admits and routes requests. All calls may come from any thread.
class StateCache
{
public:
  /// @brief Applies changes, unless they are older than the current state.
  /// @param confirmedAt latest time on this node's clock at which the state is known to have been
  /// current
  void Apply(const ReceivedChanges& changes, TimePoint confirmedAt);

  /// @brief Returns the state version, 0 before the first Apply.
  [[nodiscard]] std::int64_t Version() const;

  /// @brief Waits until there is a state, for at most @p maxWait.
  /// @param stopToken ends the wait when a stop is requested
  void AwaitFirstState(const Clock& clock,
                       Duration maxWait,
                       const std::stop_token& stopToken) const;

  /// @brief Returns whether the state was current within the last @p maxAge.
  [[nodiscard]] bool IsFresh(TimePoint now, Duration maxAge) const;

  /// @brief Returns the age of the state, or Duration::max() before the first Apply.
  [[nodiscard]] Duration Age(TimePoint now) const;

  /// @brief Returns the document of @p service, or nullptr.
  [[nodiscard]] std::shared_ptr<const ServiceDocument> DocumentOf(const std::string& service) const;

  /// @brief Returns the fleet document, or nullptr before the first.
  [[nodiscard]] FleetDocumentPtr Fleet() const;

  /// @brief Returns the version of the fleet document, 0 before the first.
  [[nodiscard]] std::int64_t FleetVersion() const;

  /// @brief Returns the secret that signs request contexts, empty until control has created it.
  [[nodiscard]] std::string FleetSecret() const;

  /// @brief Returns the data centres whose upstreams must get no requests. As old as the state.
  [[nodiscard]] std::set<std::string> EvacuatedDataCentres() const;

  /// @brief Returns the client account of @p keyText, or nothing.
  [[nodiscard]] std::optional<std::string> FindAccountByKey(const std::string& keyText) const;

  /// @brief Returns the signal that counts the changes applied.
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
  std::set<std::string> evacuated_;
};

} // namespace acp
