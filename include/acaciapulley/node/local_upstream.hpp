#pragma once

/// @file
/// The local upstream of a node and its announcements.

#include <cstdint>     // int64_t
#include <functional>  // function
#include <memory>      // shared_ptr
#include <mutex>       // mutex
#include <optional>    // optional
#include <string>      // string
#include <string_view> // string_view
#include <utility>     // move

#include "acaciapulley/node/node_error.hpp"       // NodeResult
#include "acaciapulley/transport/address.hpp"     // Address
#include "acaciapulley/transport/http_client.hpp" // HttpPool

namespace acp {

/// Body of `PUT /.acp/upstream` on the egress listener.
struct Announcement
{
  std::string service;
  Address address;
  int slots = 0;          ///< requests that the upstream serves concurrently
  int maxConnections = 0; ///< connections that the upstream accepts
  std::int64_t coldStartMs = 0;
  bool draining = false;
  std::string instanceId; ///< changes with each start of the upstream; may be empty

  /// @brief Parses an announcement.
  /// @return the announcement, or NodeErrorCode::InvalidAnnouncement
  static NodeResult<Announcement> Parse(std::string_view text);

  bool operator==(const Announcement&) const = default;
};

/// The announced upstream and the pool of connections to it. Calls may come from any thread.
class LocalUpstream
{
public:
  /// Creates the translation for the connections to an announced upstream.
  using TranslationFactory = std::function<HttpTranslation(const Announcement& announcement)>;

  /// @param makeTranslation used for upstreams that speak another protocol; may be empty
  /// @param connections counts the connections to the upstream; may be null
  explicit LocalUpstream(TranslationFactory makeTranslation = nullptr,
                         std::shared_ptr<ConnectionCounts> connections = nullptr)
    : makeTranslation_(std::move(makeTranslation))
    , connections_(std::move(connections))
  {
  }

  /// @brief Applies an announcement; connections are kept unless the address, the instance or the
  /// number of connections has changed.
  /// @return whether it differs from the announcement before it
  bool Announce(const Announcement& announcement);

  /// @brief Marks the upstream as draining, whatever it announces later: its node will stop.
  void BeginStop();

  /// @brief Replaces the cold start in the announcement and in later ones; nothing: as announced.
  /// @return whether the current announcement has changed
  bool ReplaceColdStart(std::optional<std::int64_t> coldStartMs);

  /// @brief Returns the latest announcement, or nothing before the first.
  [[nodiscard]] std::optional<Announcement> Current() const;

  /// @brief Returns the connection pool, or nullptr before the first announcement.
  [[nodiscard]] std::shared_ptr<HttpPool> Pool() const;

private:
  TranslationFactory makeTranslation_;
  std::shared_ptr<ConnectionCounts> connections_;
  mutable std::mutex mutex_;
  std::optional<Announcement> announced_; ///< the last one, as it was made
  std::optional<Announcement> current_;
  std::optional<std::int64_t> coldStartMs_; ///< instead of the announced one
  bool stopping_ = false;
  std::shared_ptr<HttpPool> pool_;
};

} // namespace acp
