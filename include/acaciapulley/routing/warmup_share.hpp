#pragma once

/// @file
/// One node's share of the requests that a cold member tolerates.

#include <algorithm>  // max, min
#include <cstddef>    // size_t
#include <functional> // function
#include <optional>   // optional

#include "acaciapulley/core/clock.hpp" // Duration, TimePoint

namespace acp {

/// A token bucket of one token, filled with this node's share of the rate while the member is cold.
///
/// The node beside the member enforces its rate. The shares only keep the others from sending
/// requests that it would refuse, and leave a part of the rate for retries and outdated lists.
class WarmupShare
{
public:
  /// Part of the rate that the nodes divide among them.
  static constexpr double kSharedPart = 0.7;

  /// @brief Begins a time of @p coldStart for which the member is cold; 0: it is warm.
  void Begin(TimePoint now, Duration coldStart)
  {
    coldUntil_ = now + coldStart;
    tokens_.reset();
  }

  /// @brief Returns whether the member is cold.
  [[nodiscard]] bool IsCold(TimePoint now) const { return now < coldUntil_; }

  /// @brief Returns whether this node may send a request to the cold member.
  /// @param rate requests per second that the member tolerates from all nodes
  /// @param nodes number of nodes that share the rate
  /// @param random returns a number in [0, 1), for the first token: if all nodes had the whole
  /// token at the beginning, their requests would arrive at once
  [[nodiscard]] bool HasToken(TimePoint now,
                              double rate,
                              std::size_t nodes,
                              const std::function<double()>& random)
  {
    if (!tokens_) {
      tokens_ = random();
      filledAt_ = now;
    }
    const double perSecond =
      kSharedPart * rate / static_cast<double>(std::max<std::size_t>(nodes, 1));
    const double seconds = std::chrono::duration<double>(now - filledAt_).count();
    tokens_ = std::min(*tokens_ + perSecond * std::max(seconds, 0.0), 1.0);
    filledAt_ = now;
    return *tokens_ >= 1;
  }

  /// @brief Records a request to the member; one above the share empties the bucket.
  void Take() { tokens_ = std::max(tokens_.value_or(0) - 1, 0.0); }

private:
  TimePoint coldUntil_;
  std::optional<double> tokens_; ///< nothing before the first request
  TimePoint filledAt_;
};

} // namespace acp
