#pragma once

/// @file
/// Enforces the rate limit of the local upstream while it is cold.

#include <cstdint>    // int64_t, uint64_t
#include <functional> // function
#include <mutex>      // mutex
#include <optional>   // optional
#include <string>     // string

#include "acaciapulley/admission/load_report.hpp"  // LoadReport
#include "acaciapulley/admission/warmup_limit.hpp" // WarmupLimit, WarmupReport
#include "acaciapulley/core/clock.hpp"             // Clock
#include "acaciapulley/node/local_upstream.hpp"    // LocalUpstream
#include "acaciapulley/node/state_cache.hpp"       // StateCache

namespace acp::detail {

/// Construction options of a WarmupGuard. The objects pointed to must outlive it.
struct WarmupGuardOptions
{
  const Clock* clock = nullptr;
  const StateCache* stateCache = nullptr;
  LocalUpstream* upstream = nullptr;
  /// Called when the upstream is assumed to be cold; must not block. May be empty.
  std::function<void()> requestHealthCheck;
  /// Called when the time for which the upstream is announced as cold has changed.
  std::function<void()> onColdStartChanged;
};

/// Statistics of a WarmupGuard.
struct WarmupStats
{
  bool isCold = false;
  std::uint64_t refused = 0;
};

/// The WarmupLimit of the local upstream, with the settings of its service from the fleet document.
/// Logs changes, and replaces the cold start in the upstream's announcement to control by what is
/// left of it, so that other nodes see when the upstream becomes cold or warm. Without a rate limit
/// it only counts. Thread-safe.
class WarmupGuard
{
public:
  explicit WarmupGuard(const WarmupGuardOptions& options);

  /// @brief Sets the service of the upstream, from its announcement.
  void SetService(const std::string& service);

  /// @brief Applies what the upstream reports.
  void Apply(const WarmupReport& report);

  /// @brief Assumes that the upstream is cold, and requests a health check.
  void AssumeCold();

  /// @brief Returns whether a request may be sent now; counts a refusal if not.
  [[nodiscard]] bool MayStart();

  /// @brief As MayStart(), and counts the request as started.
  [[nodiscard]] bool TryStart();

  /// @brief Records that the upstream has refused a connection or not accepted it in time.
  void RecordConnectFailure() { AssumeCold(); }

  /// @brief Records the answer to a request that was sent at @p startedAt.
  void RecordAnswer(TimePoint startedAt);

  /// @brief Records a request that was sent and ended without an answer.
  void RecordLoss();

  /// @brief Records a request that has completed since @p startedAt.
  void RecordRun(TimePoint startedAt);

  /// @brief Returns @p load, with a limit that the rate allows while the upstream is cold.
  [[nodiscard]] LoadReport Bound(LoadReport load) const;

  [[nodiscard]] WarmupStats Stats() const;

private:
  /// Applies the current settings, runs @p action on the limit and handles what has changed.
  void Update(const std::function<void(TimePoint now)>& action);
  void Configure();
  void LogChange(ColdReason reason, TimePoint now);
  std::optional<std::int64_t> ColdStartToPublish(TimePoint now);
  void PublishColdStart(TimePoint now);

  WarmupGuardOptions options_;
  mutable std::mutex mutex_;
  WarmupLimit limit_;
  std::string service_;
  std::uint64_t refused_ = 0;
  ColdReason loggedReason_ = ColdReason::None;
  bool isCheckWanted_ = false;
  std::optional<std::int64_t> publishedMs_; ///< cold start in the announcement to control
  TimePoint publishedUntil_;                ///< its end, as other nodes know it
};

} // namespace acp::detail
