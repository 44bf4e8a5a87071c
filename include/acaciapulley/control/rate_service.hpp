#pragma once

/// @file
/// Grants rate tokens to nodes on the leader.

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

/// A RateAuthority that follows leadership and the documents. Calls may come from any thread.
class RateService
{
public:
  /// All parameters outlive the service.
  RateService(const ControlState& state,
              ReplicatedLog& log,
              const Clock& clock,
              const RateAuthorityOptions& options = {});

  /// @brief Answers a node; the function for ControlHooks::acquireTokens.
  ControlResult<void> Acquire(wire::TokenReply& reply,
                              const wire::TokenRequest& request,
                              const Leadership& leadership);

  /// @brief Follows leadership and documents, also while another replica leads. Call it several
  /// times a second: buckets start empty and fill only from the moment at which the authority knows
  /// of them, and a new leader grants sooner when it has known its predecessor for a lease length.
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
  std::optional<PreviousTerm>
    previousTerm_; ///< the leader that this replica follows or followed last
  std::int64_t stateVersion_ = -1;
  std::map<LimitKey, TokenLimit> appliedLimits_;
};

/// @brief Starts a thread that calls Refresh() once in each @p interval until it is stopped.
/// @param rates outlives the thread
[[nodiscard]] std::jthread StartRateRefresh(RateService& rates, Duration interval);

} // namespace acp
