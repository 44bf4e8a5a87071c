#pragma once

/// @file
/// The fleet document: routing table, services and client accounts as one aggregate.

#include <cstdint>       // int64_t
#include <map>           // map
#include <memory>        // shared_ptr
#include <optional>      // optional
#include <string>        // string
#include <string_view>   // string_view
#include <unordered_map> // unordered_map
#include <vector>        // vector

#include "acaciapulley/config/config_error.hpp"     // ConfigResult
#include "acaciapulley/config/service_document.hpp" // AccountLimit, RequestClass

namespace acp {

/// One part of a route's traffic.
struct FleetDestination
{
  std::string service;
  double weight = 1; ///< share relative to the route's other destinations, at least 0
};

/// Requests of one host whose path begins with one prefix.
struct FleetRoute
{
  std::string host;       ///< lower case, without a port
  std::string pathPrefix; ///< begins and ends with `/`
  RequestClass requestClass;
  std::vector<FleetDestination> destinations; ///< at least one, with a weight above 0 in all
};

/// A service of the fleet.
struct FleetService
{
  std::string name;
  std::string healthPath;
  int maxConnections = 0; ///< that each upstream of the service accepts from all nodes together
};

/// A client account, with keys that the operator has chosen.
struct FleetAccount
{
  std::string name;
  std::vector<std::string> keyHashes; ///< SHA-256 of each key in hexadecimal
  std::optional<int> priority;        ///< goes before the priority of the route
  AccountLimit limit;                 ///< over all services; a rate of 0 means no limit
};

/// Bounds on what callers may send.
struct FleetLimits
{
  std::int64_t maxBodyBytes = 0;
  Duration headTimeout{}; ///< from the first byte of a request's head to its last
  Duration idleTimeout{}; ///< of a connection without a request
};

/// The fleet document. Immutable once parsed.
///
/// Its rules: names are unique, routes name known services, no two routes share host and prefix, a
/// key belongs to one account, and all numbers are within their ranges.
class FleetDocument
{
public:
  /// @brief Parses and checks a document in the project's own format (docs/operators.md).
  /// @return the document, or an error that names the place and the problem
  /// @par Example
  /// @code
  /// const auto fleet = acp::FleetDocument::Parse(text);
  /// if (!fleet) { fmt::print(stderr, "{}\n", fleet.error().Describe()); }
  /// @endcode
  static ConfigResult<FleetDocument> Parse(std::string_view text);

  /// @brief Finds the route with the longest prefix that begins @p path.
  /// @param host value of the Host header; a port and the case of letters do not matter
  /// @param path path without the query
  /// @return the route, or nullptr; owned by the document
  /// @par Complexity
  /// Linear in the number of segments of the path.
  [[nodiscard]] const FleetRoute* Match(std::string_view host, std::string_view path) const;

  /// @brief Returns the account that holds the key with @p keyHash, or nullptr.
  [[nodiscard]] const FleetAccount* FindAccountByKeyHash(const std::string& keyHash) const;

  /// @brief Returns the service called @p name, or nullptr.
  [[nodiscard]] const FleetService* FindService(const std::string& name) const;

  /// @brief Returns all routes in the order of the document.
  [[nodiscard]] const std::vector<FleetRoute>& Routes() const { return routes_; }

  /// @brief Returns all accounts in the order of the document.
  [[nodiscard]] const std::vector<FleetAccount>& Accounts() const { return accounts_; }

  /// @brief Returns whether callers need keys on routes that are not open to all.
  [[nodiscard]] bool HasAccounts() const { return !accounts_.empty(); }

  /// @brief Returns the bounds on what callers may send.
  [[nodiscard]] const FleetLimits& Limits() const { return limits_; }

private:
  FleetDocument() = default;

  std::vector<FleetRoute> routes_;
  std::vector<FleetService> services_;
  std::vector<FleetAccount> accounts_;
  FleetLimits limits_;
  std::unordered_map<std::string, std::size_t> routeByHostAndPrefix_; ///< host and prefix
  std::unordered_map<std::string, std::size_t> accountByKeyHash_;
};

using FleetDocumentPtr = std::shared_ptr<const FleetDocument>;

} // namespace acp
