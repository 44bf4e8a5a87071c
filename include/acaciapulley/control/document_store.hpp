#pragma once

/// @file
/// Service documents with their versions.

#include <cstdint> // int64_t
#include <map>     // map
#include <string>  // string
#include <vector>  // vector

#include "acaciapulley/control/control_error.hpp" // ControlResult
#include "acaciapulley/core/clock.hpp"            // UnixMillis

namespace acp {

/// Largest service document; 43 of them fit into one message to a node.
inline constexpr std::size_t kMaxDocumentBytes = 131'072;

/// Versions of a service's document that are kept for `acpctl config history`.
inline constexpr std::size_t kMaxDocumentHistory = 20;

/// Most services that can have a document.
inline constexpr std::size_t kMaxServices = 100;

/// A version of a service document.
struct StoredDocument
{
  std::string service;
  std::int64_t version = 0; ///< starts at 1, grows by 1 with each accepted change
  std::string body;         ///< the text as the operator sent it
  UnixMillis changedAt{};
  std::string operatorName;
  std::int64_t stateVersion = 0; ///< state version that the change made

  bool operator==(const StoredDocument&) const = default;
};

/// The documents of all services. Its rule: of changes made from the same version one is accepted.
class DocumentStore
{
public:
  /// @brief Stores @p document as the version after @p ifVersion.
  /// @param document its version is ignored
  /// @param ifVersion version the operator edited, 0 for a new service
  /// @return the stored version, or VersionConflict or TooManyServices
  /// @par Example
  /// @code
  /// const auto stored = documents.Put({ .service = "orders", .body = text }, 3);
  /// @endcode
  ControlResult<StoredDocument> Put(StoredDocument document, std::int64_t ifVersion);

  /// @brief Returns the current version of @p service's document, or nullptr.
  [[nodiscard]] const StoredDocument* Current(const std::string& service) const;

  /// @brief Returns the kept versions of @p service's document, oldest first.
  [[nodiscard]] std::vector<StoredDocument> History(const std::string& service) const;

  /// @brief Returns the current documents ordered by service.
  [[nodiscard]] std::vector<StoredDocument> AllCurrent() const;

  /// @brief Replaces all by @p versions, which are ordered by version within each service.
  void Restore(const std::vector<StoredDocument>& versions);

private:
  std::map<std::string, std::vector<StoredDocument>> byService_;
};

} // namespace acp
