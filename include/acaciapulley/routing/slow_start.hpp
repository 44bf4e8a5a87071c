#pragma once

/// @file
/// The fraction of its capacity that a cold upstream is given while it warms up.

#include <algorithm> // clamp

#include "acaciapulley/core/clock.hpp" // Duration, TimePoint

namespace acp {

/// Raises a member's share of its capacity linearly from kMinShare to 1 over its announced
/// cold-start time.
class SlowStart
{
public:
  /// Above 0, because a member warms up only under load.
  static constexpr double kMinShare = 0.1;

  /// Constructs the state of a warm member.
  SlowStart() = default;

  /// @param start time at which the member was first seen in this epoch
  /// @param coldStart announced time until the member is warm
  SlowStart(TimePoint start, Duration coldStart)
    : start_(start)
    , coldStart_(coldStart)
  {
  }

  /// @brief Returns the fraction of the capacity that may be used at @p now, kMinShare to 1.
  [[nodiscard]] double ShareAt(TimePoint now) const
  {
    if (coldStart_ <= Duration::zero()) {
      return 1;
    }
    const double part =
      static_cast<double>((now - start_).count()) / static_cast<double>(coldStart_.count());
    return std::clamp(part, kMinShare, 1.0);
  }

private:
  TimePoint start_;
  Duration coldStart_{};
};

} // namespace acp
