#pragma once

/// @file
/// Listener addresses: an IP address and a port.

#include <cstdint>     // uint16_t
#include <string>      // string
#include <string_view> // string_view

#include "acaciapulley/transport/transport_error.hpp" // TransportResult

namespace acp {

/// An IPv4 or bracketed IPv6 address and a TCP port.
struct Address
{
  std::string ip;
  std::uint16_t port = 0;

  /// @brief Parses `ip:port`; host names are rejected because names are not resolved.
  /// @return the address, or TransportErrorCode::InvalidAddress
  /// @par Example
  /// @code
  /// const auto address = acp::Address::Parse("127.0.0.1:8080");
  /// @endcode
  static TransportResult<Address> Parse(std::string_view text);

  /// @brief Returns the form `ip:port`.
  [[nodiscard]] std::string ToString() const;

  bool operator==(const Address&) const = default;
};

} // namespace acp
