#pragma once

/// @file
/// Regions of data centres, and the regions that a request allows.

#include <functional>  // function
#include <map>         // map
#include <memory>      // shared_ptr
#include <mutex>       // mutex
#include <optional>    // optional
#include <string>      // string
#include <string_view> // string_view
#include <vector>      // vector

namespace acp {

using RegionsByDataCentre = std::map<std::string, std::string>;

/// The regions whose upstreams may run a request; all of them until Restrict() is called.
class AllowedRegions
{
public:
  /// @brief Keeps only the regions that are also in @p regions; an empty list restricts nothing.
  void Restrict(const std::vector<std::string>& regions);

  /// @brief Returns whether every region is allowed, also an unknown one.
  [[nodiscard]] bool AllowsAll() const { return !regions_; }

  /// @brief Returns whether no region is allowed, because lists have no region in common.
  [[nodiscard]] bool AllowsNone() const { return regions_ && regions_->empty(); }

  [[nodiscard]] bool Contains(std::string_view region) const;

private:
  std::optional<std::vector<std::string>> regions_;
};

/// The region of each data centre, from the settings. Calls may come from any thread.
class RegionMap
{
public:
  explicit RegionMap(RegionsByDataCentre regionOf = {});

  /// @brief Replaces all regions.
  void Replace(RegionsByDataCentre regionOf);

  /// @brief Returns a predicate for the data centres whose region is known and in @p allowed. It
  /// keeps the regions of the time of this call.
  /// @return the predicate; empty if @p allowed does not restrict
  /// @par Example
  /// @code
  /// const auto isAllowed = regions.DataCentresIn(request.allowedRegions);
  /// if (isAllowed && !isAllowed("jawa-a")) { return; }
  /// @endcode
  [[nodiscard]] std::function<bool(const std::string& dataCentre)> DataCentresIn(
    const AllowedRegions& allowed) const;

private:
  mutable std::mutex mutex_;
  std::shared_ptr<const RegionsByDataCentre> regionOf_;
};

} // namespace acp
