#pragma once

/// @file
/// Detection of overload triggers in a goodput series and of the recovery time of goodput.

#include <cstdint>  // int64_t
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

#include "acaciapulley/core/clock.hpp"          // UnixMillis
#include "acaciapulley/record/record_error.hpp" // RecordResult

namespace acp {

/// Requests of one service within one second.
struct SecondCounts
{
  std::int64_t offered = 0;
  std::int64_t completed = 0;
};

/// A contiguous series with one entry for each second.
struct GoodputSeries
{
  UnixMillis start{};
  std::vector<SecondCounts> seconds;
};

/// An overload trigger and the recovery after it. Times are whole seconds of the series.
struct Surge
{
  UnixMillis start{};                         ///< first second with excess demand or low goodput
  UnixMillis triggerEnd{};                    ///< first second with normal demand again
  std::optional<std::int64_t> recoveryMillis; ///< from triggerEnd; empty: not within the series
  double offeredBefore = 0;                   ///< per second, before the surge
  double goodputBefore = 0;
  double highestOffered = 0;
  double lowestGoodput = 0; ///< per second, from start until recovery

  bool operator==(const Surge&) const = default;
};

/// A stored surge of a service.
struct ServiceSurge
{
  std::string service;
  Surge surge;
};

/// @brief Returns a surge as one line of tab-separated fields without a line terminator.
[[nodiscard]] std::string SerialiseSurge(const ServiceSurge& surge);

/// @brief Parses a line written by SerialiseSurge.
/// @return the surge, or MalformedRow
[[nodiscard]] RecordResult<ServiceSurge> DeserialiseSurge(const std::string& line);

/// @brief Finds the surges in @p series.
///
/// A surge starts when demand exceeds 1.5 times its mean over the previous 30 s, or when goodput is
/// below 0.8 times its mean while demand is not. Either value must also differ from its mean by 5
/// standard deviations, so that random variation is not reported as a surge. The trigger ends when
/// demand is at most 1.2 times its mean.
/// Goodput has recovered at the first of three consecutive seconds with at least 95% of the
/// previous goodput, or of the demand when that is smaller.
/// @par Complexity
/// Linear in the length of the series.
[[nodiscard]] std::vector<Surge> FindSurges(const GoodputSeries& series);

} // namespace acp
