#pragma once

/// @file
/// The share of work that a cold upstream gets while it warms up.

#include <algorithm> // clamp

#include "acaciapulley/core/clock.hpp" // Duration, TimePoint

namespace acp {

/// Ramps a member's capacity linearly from kMinShare to 1 over its announced cold-start time.
class SlowStart
{
public:
  /// A member needs some work to become warm.
  static constexpr double kMinShare = 0.1;

  /// A member that is warm already.
  SlowStart() = default;

  /// @param start when the member was first seen in this epoch
  /// @param coldStart time until it is warm, as announced
  SlowStart(TimePoint start, Duration coldStart)
    : start_(start)
    , coldStart_(coldStart)
  {
  }

  /// @brief Returns the part of the capacity that may be used at @p now, kMinShare to 1.
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
