#include "acaciapulley/node/region_map.hpp"

#include <algorithm> // find
#include <utility>   // move

namespace acp {

void AllowedRegions::Restrict(const std::vector<std::string>& regions)
{
  if (regions.empty()) {
    return;
  }
  if (!regions_) {
    regions_ = regions;
    return;
  }
  std::erase_if(*regions_, [&regions](const std::string& region) {
    return std::find(regions.begin(), regions.end(), region) == regions.end();
  });
}

bool AllowedRegions::Contains(std::string_view region) const
{
  return !regions_ || std::find(regions_->begin(), regions_->end(), region) != regions_->end();
}

RegionMap::RegionMap(RegionsByDataCentre regionOf)
  : regionOf_(std::make_shared<const RegionsByDataCentre>(std::move(regionOf)))
{
}

void RegionMap::Replace(RegionsByDataCentre regionOf)
{
  auto replacement = std::make_shared<const RegionsByDataCentre>(std::move(regionOf));
  const std::lock_guard lock(mutex_);
  regionOf_ = std::move(replacement);
}

std::function<bool(const std::string&)> RegionMap::DataCentresIn(
  const AllowedRegions& allowed) const
{
  if (allowed.AllowsAll()) {
    return {};
  }
  const std::lock_guard lock(mutex_);
  return [regionOf = regionOf_, allowed](const std::string& dataCentre) {
    const auto found = regionOf->find(dataCentre);
    return found != regionOf->end() && allowed.Contains(found->second);
  };
}

} // namespace acp
