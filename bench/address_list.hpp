#pragma once

/// @file
/// Command line arguments of the benches.

#include <algorithm> // min
#include <string>    // string
#include <vector>    // vector

#include "acaciapulley/transport/address.hpp" // Address

/// @brief Returns the addresses of a list that is separated by commas.
inline std::vector<acp::Address> ParseAddresses(const std::string& text)
{
  std::vector<acp::Address> addresses;
  std::size_t start = 0;
  while (start < text.size()) {
    const std::size_t end = std::min(text.find(',', start), text.size());
    addresses.push_back(acp::Address::Parse(text.substr(start, end - start)).value());
    start = end + 1;
  }
  return addresses;
}
