#include "acaciapulley/transport/address.hpp"

#include <charconv> // from_chars

#include <Poco/Net/IPAddress.h>
#include <fmt/format.h> // format

namespace acp {

TransportResult<Address> Address::Parse(std::string_view text)
{
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return Fail(TransportErrorCode::InvalidAddress, fmt::format("'{}' is not ip:port", text));
  }
  const std::string_view portText = text.substr(colon + 1);
  std::string_view ipText = text.substr(0, colon);
  if (ipText.starts_with('[') && ipText.ends_with(']')) {
    ipText = ipText.substr(1, ipText.size() - 2);
  }
  Poco::Net::IPAddress parsed;
  if (!Poco::Net::IPAddress::tryParse(std::string(ipText), parsed)) {
    return Fail(TransportErrorCode::InvalidAddress,
                fmt::format("'{}' does not start with an IP address", text));
  }
  Address address;
  address.ip = parsed.toString();
  const char* end = portText.data() + portText.size();
  const auto [rest, error] = std::from_chars(portText.data(), end, address.port);
  if (error != std::errc() || rest != end || portText.empty()) {
    return Fail(TransportErrorCode::InvalidAddress,
                fmt::format("'{}' does not end with a port from 0 to 65535", text));
  }
  return address;
}

std::string Address::ToString() const
{
  const bool isV6 = ip.find(':') != std::string::npos;
  return isV6 ? fmt::format("[{}]:{}", ip, port) : fmt::format("{}:{}", ip, port);
}

} // namespace acp
