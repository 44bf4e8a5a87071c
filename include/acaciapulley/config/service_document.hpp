#pragma once

/// @file
/// The document that configures a service.

#include <cstdint>     // int64_t
#include <map>         // map
#include <string>      // string
#include <string_view> // string_view
#include <vector>      // vector

#include "acaciapulley/config/config_error.hpp" // ConfigResult
#include "acaciapulley/core/clock.hpp"          // Duration

namespace acp {

/// Maximum value of RequestClass::priority, the least important; 0 is the most important.
inline constexpr int kLowestPriority = 9;

/// Rate limit of a client account at one service, counted across all hosts.
struct AccountLimit
{
  double rate = 0;  ///< requests per second
  double burst = 0; ///< requests allowed at once after an idle period
};

/// A request class of a service.
struct RequestClass
{
  std::string name;
  std::vector<std::string> methods; ///< upper-case HTTP methods
  std::string pathPattern;          ///< `*` matches one segment, a final `**` all remaining ones
  int priority = kLowestPriority;   ///< 0 is the most important; kLowestPriority is shed first
  bool idempotent = true;           ///< false: runs at most once, requires an `Idempotency-Key`
  bool openToAll = false;           ///< true: no client account key is required
  Duration deadline{};              ///< time from arrival to the complete response
  std::int64_t maxBodyBytes = 0;    ///< larger request bodies are refused before the request runs
  bool needsClaim = true;   ///< non-idempotent requests take a claim; false: sent at most once
  Duration targetLatency{}; ///< target for the complete response; 0 when not set
  int maxAttempts = 0;      ///< upstreams that a request is sent to; 0: limited by the retry budget
};

/// A service document: request classes and the rate limit of each client account.
///
/// Immutable once parsed. Invariants: names are unique, no two classes match the same request, and
/// all numbers are within the ranges given in docs/operators.md.
class ServiceDocument
{
public:
  /// @brief Parses and validates a document.
  /// @param text the document as JSON
  /// @return the document, or an error with the path of the invalid field and the reason
  /// @par Example
  /// @code
  /// const auto document = acp::ServiceDocument::Parse(text);
  /// if (!document) { fmt::print(stderr, "{}\n", document.error().Describe()); }
  /// @endcode
  static ConfigResult<ServiceDocument> Parse(std::string_view text);

  /// @brief Returns the name of the service, the first segment of its URLs.
  [[nodiscard]] const std::string& Service() const { return service_; }

  /// @brief Returns all request classes in document order.
  [[nodiscard]] const std::vector<RequestClass>& Classes() const { return classes_; }

  /// @brief Returns the limits by client account name.
  [[nodiscard]] const std::map<std::string, AccountLimit>& Accounts() const { return accounts_; }

  /// @brief Finds the class of a request.
  /// @param method upper-case HTTP method
  /// @param path path after the service name, starting with `/`, without the query
  /// @return the class, or nullptr when none matches; owned by the document
  /// @par Complexity
  /// Linear in the number of classes.
  [[nodiscard]] const RequestClass* Match(std::string_view method, std::string_view path) const;

  /// @brief Returns the limit of @p account, or nullptr when the document does not list it.
  [[nodiscard]] const AccountLimit* FindLimit(const std::string& account) const;

private:
  ServiceDocument() = default;

  std::string service_;
  std::vector<RequestClass> classes_;
  std::map<std::string, AccountLimit> accounts_;
};

} // namespace acp
