#pragma once

/// @file
/// Finds overload triggers in a goodput series and how long goodput took to recover.

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

/// A series without gaps, one entry for each second.
struct GoodputSeries
{
  UnixMillis start{};
  std::vector<SecondCounts> seconds;
};

/// An overload trigger and the recovery after it. Times are whole seconds of the series.
struct Surge
{
  UnixMillis start{};      ///< first second with too much demand, or too little goodput for it
  UnixMillis triggerEnd{}; ///< first second in which demand was normal again
  std::optional<std::int64_t> recoveryMillis; ///< from triggerEnd; nothing: not within the series
  double offeredBefore = 0;                   ///< per second, before the surge
  double goodputBefore = 0;
  double highestOffered = 0;
  double lowestGoodput = 0; ///< per second, from start until recovery

  bool operator==(const Surge&) const = default;
};

/// A surge of a service, as it is stored.
struct ServiceSurge
{
  std::string service;
  Surge surge;
};

/// @brief Returns a surge as one line of tab-separated fields without a line end.
[[nodiscard]] std::string SerialiseSurge(const ServiceSurge& surge);

/// @brief Reads a line that SerialiseSurge wrote.
/// @return the surge, or MalformedRow
[[nodiscard]] RecordResult<ServiceSurge> DeserialiseSurge(const std::string& line);

/// @brief Finds the surges in @p series.
///
/// A surge starts when demand is above 1.5 times its mean over the 30 s before, or when goodput is
/// below 0.8 times its mean although demand is not lower; either must also differ from the mean by
/// 5 standard deviations, so that chance is not taken for a surge. It ends when demand is below 1.2
/// times its mean.
/// Goodput has recovered at the first of three seconds in a row with at least 95% of the goodput
/// before, or of the demand when that is smaller.
/// @par Complexity
/// Linear in the length of the series.
[[nodiscard]] std::vector<Surge> FindSurges(const GoodputSeries& series);

} // namespace acp
