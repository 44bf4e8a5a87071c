#pragma once

/// @file
/// Parsing of the benchmarks' command line arguments.

#include <algorithm> // min
#include <string>    // string
#include <vector>    // vector

#include "acaciapulley/transport/address.hpp" // Address

/// @brief Parses a comma-separated list of addresses.
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
