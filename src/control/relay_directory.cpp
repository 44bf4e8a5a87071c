#include "acaciapulley/control/detail/relay_directory.hpp"

#include <functional> // hash
#include <iterator>   // next

#include "acaciapulley/core/log.hpp"          // Log
#include "acaciapulley/transport/address.hpp" // Address

namespace acp::detail {

void RelayDirectory::RecordCall(const std::string& rpcAddress, TimePoint now)
{
  const auto address = Address::Parse(rpcAddress);
  if (!address || address.value().port == 0) {
    return;
  }
  const std::lock_guard lock(mutex_);
  RemoveSilent(now);
  const bool isNew = lastCallByAddress_.insert_or_assign(rpcAddress, now).second;
  if (isNew) {
    Log(LogLevel::Info, "relay_available", { { "address", rpcAddress } });
  }
}

void RelayDirectory::Clear()
{
  const std::lock_guard lock(mutex_);
  lastCallByAddress_.clear();
}

std::string RelayDirectory::Select(const std::string& nodeId, TimePoint now)
{
  const std::lock_guard lock(mutex_);
  RemoveSilent(now);
  if (lastCallByAddress_.empty()) {
    return "";
  }
  const std::size_t index = std::hash<std::string>()(nodeId) % lastCallByAddress_.size();
  return std::next(lastCallByAddress_.begin(), static_cast<std::ptrdiff_t>(index))->first;
}

void RelayDirectory::RemoveSilent(TimePoint now)
{
  std::erase_if(lastCallByAddress_, [now](const auto& relay) {
    const bool isSilent = now - relay.second >= kMaxRelayCallAge;
    if (isSilent) {
      Log(LogLevel::Info, "relay_silent", { { "address", relay.first } });
    }
    return isSilent;
  });
}

} // namespace acp::detail
