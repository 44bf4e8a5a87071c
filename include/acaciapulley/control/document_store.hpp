#pragma once

/// @file
/// Versioned storage of service documents.

#include <cstdint> // int64_t
#include <map>     // map
#include <string>  // string
#include <vector>  // vector

#include "acaciapulley/control/control_error.hpp" // ControlResult
#include "acaciapulley/core/clock.hpp"            // UnixMillis

namespace acp {

/// Maximum size of a service document; 43 documents of this size fit into one message to a node.
inline constexpr std::size_t kMaxDocumentBytes = 131'072;

/// Number of versions of each document retained for `acpctl config history`.
inline constexpr std::size_t kMaxDocumentHistory = 20;

/// Maximum number of services with a document.
inline constexpr std::size_t kMaxServices = 100;

/// One version of a service document.
struct StoredDocument
{
  std::string service;
  std::int64_t version = 0; ///< starts at 1, incremented by 1 with each accepted change
  std::string body;         ///< text as sent by the operator
  UnixMillis changedAt{};
  std::string operatorName;
  std::int64_t stateVersion = 0; ///< state version after the change

  bool operator==(const StoredDocument&) const = default;
};

/// The documents of all services, with optimistic concurrency control: of several changes based on
/// the same version only one is accepted.
class DocumentStore
{
public:
  /// @brief Stores @p document if the current version is @p ifVersion.
  /// @param document new content; its version is ignored
  /// @param ifVersion version that the operator edited, 0 for a new service
  /// @return the stored version, or VersionConflict or TooManyServices
  /// @par Example
  /// @code
  /// const auto stored = documents.Put({ .service = "orders", .body = text }, 3);
  /// @endcode
  ControlResult<StoredDocument> Put(StoredDocument document, std::int64_t ifVersion);

  /// @brief Returns the current document of @p service, or nullptr.
  [[nodiscard]] const StoredDocument* Current(const std::string& service) const;

  /// @brief Returns the retained versions of the document of @p service, oldest first.
  [[nodiscard]] std::vector<StoredDocument> History(const std::string& service) const;

  /// @brief Returns the current documents ordered by service.
  [[nodiscard]] std::vector<StoredDocument> AllCurrent() const;

  /// @brief Replaces the contents by @p versions, which are ordered by version within a service.
  void Restore(const std::vector<StoredDocument>& versions);

private:
  std::map<std::string, std::vector<StoredDocument>> byService_;
};

} // namespace acp
