#pragma once

/// @file
/// Options of acp-load.

#include <cstdint> // int64_t
#include <string>  // string
#include <vector>  // vector

#include "acaciapulley/core/clock.hpp"         // Duration
#include "acaciapulley/transport/address.hpp"  // Address
#include "acaciapulley/transport/settings.hpp" // Settings

/// A client account and its key.
struct LoadAccount
{
  std::string name; ///< file name of the key without its extension
  std::string key;  ///< empty for requests without a key
};

/// Options of one load run.
struct LoadOptions
{
  std::vector<acp::Address> targets;
  std::vector<LoadAccount> accounts;
  std::string path;
  std::string method;
  std::string body;
  std::int64_t requests = 0;    ///< 0 for no bound by count
  acp::Duration duration{};     ///< 0 for no bound by time
  std::int64_t connections = 1; ///< concurrent requests
  std::int64_t rate = 0;        ///< per second; 0 sends the next one after each response
  std::int64_t retries = 0;
  acp::Duration retryPause{};
  std::int64_t resends = 0; ///< times each request is sent again with its idempotency key
  acp::Duration timeout{};
  std::int64_t deadlineMs = 0; ///< value of Acp-Deadline-Ms; 0 for none
  bool printBody = false;
  bool printJson = false;

  /// @brief Declares the command-line flags.
  static void Declare(acp::Settings& settings);

  /// @brief Reads the flags and the key files.
  /// @throw std::runtime_error when a key file cannot be read, or neither count nor time is bounded
  static LoadOptions Read(const acp::Settings& settings);
};
