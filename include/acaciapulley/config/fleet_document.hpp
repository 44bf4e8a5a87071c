#pragma once

/// @file
/// The fleet document: routing table, services and client accounts in one document.

#include <array>         // array
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
#include "acaciapulley/core/names.hpp"              // EnumName, NameTable

namespace acp {

/// A destination of a route's traffic.
struct FleetDestination
{
  std::string service;
  double weight = 1; ///< share relative to the other destinations of the route, at least 0

  bool operator==(const FleetDestination&) const = default;
};

/// A route for requests to a host with a path prefix.
struct FleetRoute
{
  std::string host;       ///< lower case, without a port
  std::string pathPrefix; ///< begins and ends with `/`
  RequestClass requestClass;
  std::vector<FleetDestination> destinations; ///< at least one, with a total weight above 0
  /// Regions whose upstreams may run requests of the route; empty: all.
  std::vector<std::string> allowedRegions;
};

/// How requests are placed on the upstreams of a service.
enum class Placement
{
  Announced, ///< by the announced slots
  Learned,   ///< by the run times that their nodes measure
};

template<>
struct NameTable<Placement>
{
  static constexpr std::array<EnumName<Placement>, 2> kRows = { {
    { Placement::Announced, "announced" },
    { Placement::Learned, "learned" },
  } };
};

/// A service of the fleet.
struct FleetService
{
  std::string name;
  std::string healthPath;
  int maxConnections = 0; ///< accepted by each upstream of the service from all nodes in total
  Duration warmupTime{};  ///< for which an upstream is cold after its start
  double warmupRate = 0;  ///< requests per second to a cold upstream; 0: no limit
  /// Without it, placement is learned for upstreams that report the duration of their work.
  std::optional<Placement> placement;
};

/// A client account, with keys chosen by the operator.
struct FleetAccount
{
  std::string name;
  std::vector<std::string> keyHashes; ///< SHA-256 of each key in hexadecimal
  std::optional<int> priority;        ///< overrides the priority of the route
  /// Across all services. A rate of 0 means no limit; with a rate, a burst of 0 becomes that of
  /// 0.1 s, or one request.
  AccountLimit limit;
  /// Regions whose upstreams may run requests of the account; empty: all. A route's list applies
  /// as well.
  std::vector<std::string> allowedRegions;
};

/// Largest head of a request while no document says otherwise, and in documents without a limit.
inline constexpr std::int64_t kDefaultMaxHeadBytes = 16'384;

/// Largest limit on heads that a document may set. A node with 160 MB holds 1,500 such heads.
inline constexpr std::int64_t kLargestMaxHeadBytes = 65'536;

/// Limits on requests and connections of callers.
struct FleetLimits
{
  /// Size of a request's head: request line, fields and the empty line.
  std::int64_t maxHeadBytes = kDefaultMaxHeadBytes;
  std::int64_t maxBodyBytes = 0;
  Duration headTimeout{}; ///< from the first to the last byte of a request head
  Duration idleTimeout{}; ///< for a connection without a request
};

/// The fleet document. Immutable once parsed.
///
/// Invariants: names are unique, routes refer to known services, no two routes have the same host
/// and prefix, a key belongs to one account, and all numbers are within their ranges.
class FleetDocument
{
public:
  /// @brief Parses and validates a document in the format described in docs/operators.md.
  /// @return the document, or an error with the path of the invalid field and the reason
  /// @par Example
  /// @code
  /// const auto fleet = acp::FleetDocument::Parse(text);
  /// if (!fleet) { fmt::print(stderr, "{}\n", fleet.error().Describe()); }
  /// @endcode
  static ConfigResult<FleetDocument> Parse(std::string_view text);

  /// @brief Finds the route of @p host with the longest prefix of @p path.
  /// @param host value of the Host header; the port and letter case are ignored
  /// @param path path without the query
  /// @return the route, or nullptr; owned by the document
  /// @par Complexity
  /// Linear in the number of segments of the path.
  [[nodiscard]] const FleetRoute* Match(std::string_view host, std::string_view path) const;

  /// @brief Returns the account with the key hash @p keyHash, or nullptr.
  [[nodiscard]] const FleetAccount* FindAccountByKeyHash(const std::string& keyHash) const;

  /// @brief Returns the service with the name @p name, or nullptr.
  [[nodiscard]] const FleetService* FindService(const std::string& name) const;

  /// @brief Returns all routes in document order.
  [[nodiscard]] const std::vector<FleetRoute>& Routes() const { return routes_; }

  /// @brief Returns all accounts in document order.
  [[nodiscard]] const std::vector<FleetAccount>& Accounts() const { return accounts_; }

  /// @brief Returns whether callers need keys on routes that are not open to all. That holds for
  /// every document that defines accounts, also for one whose list of accounts is empty: then no
  /// key is valid.
  [[nodiscard]] bool RequiresKeys() const { return requiresKeys_; }

  /// @brief Returns the limits on requests and connections of callers.
  [[nodiscard]] const FleetLimits& Limits() const { return limits_; }

private:
  FleetDocument() = default;

  std::vector<FleetRoute> routes_;
  std::vector<FleetService> services_;
  std::vector<FleetAccount> accounts_;
  bool requiresKeys_ = false;
  FleetLimits limits_;
  std::unordered_map<std::string, std::size_t> routeByHostAndPrefix_; ///< key: host and prefix
  std::unordered_map<std::string, std::size_t> accountByKeyHash_;
};

using FleetDocumentPtr = std::shared_ptr<const FleetDocument>;

} // namespace acp
