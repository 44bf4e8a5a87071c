#pragma once

/// @file
/// Grants of rate tokens to nodes by the leader.

#include <cstdint>  // int64_t, uint64_t
#include <map>      // map
#include <mutex>    // mutex
#include <optional> // optional
#include <string>   // string
#include <thread>   // jthread

#include "acaciapulley/control/control_hooks.hpp"      // Leadership
#include "acaciapulley/control/control_state.hpp"      // ControlState
#include "acaciapulley/core/clock.hpp"                 // Clock
#include "acaciapulley/limits/rate_authority.hpp"      // RateAuthority
#include "acaciapulley/replication/replicated_log.hpp" // ReplicatedLog

namespace acp {

/// A RateAuthority whose term and limits are kept up to date with leadership and documents.
/// Thread-safe.
class RateService
{
public:
  /// The references must outlive the service.
  RateService(const ControlState& state,
              ReplicatedLog& log,
              const Clock& clock,
              const RateAuthorityOptions& options = {});

  /// @brief Answers a token request; implements ControlHooks::acquireTokens.
  ControlResult<void> Acquire(wire::TokenReply& reply,
                              const wire::TokenRequest& request,
                              const Leadership& leadership);

  /// @brief Updates term and limits, also while another replica is the leader.
  /// @note Must be called several times a second: buckets start empty and fill only once the
  /// authority knows of them, and a new leader grants earlier if it has known its predecessor for
  /// the length of a lease.
  void Refresh();

private:
  void RefreshTerm(const Leadership& leadership, TimePoint now);
  void RefreshLimits(TimePoint now);

  const ControlState& state_;
  ReplicatedLog& log_;
  const Clock& clock_;
  std::mutex mutex_;
  RateAuthority authority_;
  std::uint64_t term_ = 0;
  std::optional<PreviousTerm> previousTerm_; ///< last known term of another leader
  std::int64_t stateVersion_ = -1;
  std::map<LimitKey, TokenLimit> appliedLimits_;
};

/// @brief Starts a thread that calls Refresh() once per @p interval until it is stopped.
/// @param rates must outlive the thread
[[nodiscard]] std::jthread StartRateRefresh(RateService& rates, Duration interval);

} // namespace acp
