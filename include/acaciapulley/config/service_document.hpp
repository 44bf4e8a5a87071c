#pragma once

/// @file
/// The document in which a service team describes its service.

#include <cstdint>     // int64_t
#include <map>         // map
#include <string>      // string
#include <string_view> // string_view
#include <vector>      // vector

#include "acaciapulley/config/config_error.hpp" // ConfigResult
#include "acaciapulley/core/clock.hpp"          // Duration

namespace acp {

/// Highest value of RequestClass::priority; 0 is the most important.
inline constexpr int kLowestPriority = 9;

/// What a client account bought from one service, counted over all hosts together.
struct AccountLimit
{
  double rate = 0;  ///< requests per second
  double burst = 0; ///< requests that may come at once after a quiet time
};

/// One class of requests of a service.
struct RequestClass
{
  std::string name;
  std::vector<std::string> methods; ///< upper-case HTTP methods
  std::string pathPattern;          ///< segments; `*` matches one, a final `**` the rest
  int priority = kLowestPriority;   ///< 0 is the most important, kLowestPriority is shed first
  bool idempotent = true;           ///< false: runs at most once, needs an `Idempotency-Key`
  bool openToAll = false;           ///< true: no client account key is needed
  Duration deadline{};              ///< time from arrival to the whole answer
  std::int64_t maxBodyBytes = 0;    ///< larger request bodies are refused before anything runs
  bool needsClaim = true; ///< non-idempotent requests are claimed; false: each is sent at most once
  Duration targetLatency{}; ///< an answer within this time is in time; 0 when none is set
  int maxAttempts = 0;      ///< upstreams that one request may be sent to; 0: as the budget allows
};

/// A service's document: its request classes and what each client account may send.
///
/// Immutable once parsed. Its rules: names are unique, no two classes match the same request, and
/// all numbers are within the ranges in docs/operators.md.
class ServiceDocument
{
public:
  /// @brief Parses and checks a document.
  /// @param text the document as JSON
  /// @return the document, or an error that names the place and the problem
  /// @par Example
  /// @code
  /// const auto document = acp::ServiceDocument::Parse(text);
  /// if (!document) { fmt::print(stderr, "{}\n", document.error().Describe()); }
  /// @endcode
  static ConfigResult<ServiceDocument> Parse(std::string_view text);

  /// @brief Returns the name of the service, the first segment of its URLs.
  [[nodiscard]] const std::string& Service() const { return service_; }

  /// @brief Returns all request classes in the order of the document.
  [[nodiscard]] const std::vector<RequestClass>& Classes() const { return classes_; }

  /// @brief Returns the limits by client account name.
  [[nodiscard]] const std::map<std::string, AccountLimit>& Accounts() const { return accounts_; }

  /// @brief Finds the class of a request.
  /// @param method upper-case HTTP method
  /// @param path path after the service's name, starting with `/`, without the query
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
