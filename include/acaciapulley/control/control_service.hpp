#pragma once

/// @file
/// The control process: answers nodes over Thrift and operators over HTTP.

#include <memory> // unique_ptr
#include <string> // string

#include "acaciapulley/core/clock.hpp"        // Clock, Duration
#include "acaciapulley/transport/address.hpp" // Address

namespace acp {

/// Construction options of a ControlProcess.
struct ControlProcessOptions
{
  Address rpcAddress;
  Address operatorAddress;
  std::string operatorKeyHash; ///< SHA-256 of the operator key in hexadecimal
  const Clock* clock = nullptr;
};

/// One control process.
class ControlProcess
{
public:
  explicit ControlProcess(const ControlProcessOptions& options);
  ControlProcess(const ControlProcess&) = delete;
  ControlProcess& operator=(const ControlProcess&) = delete;
  ~ControlProcess();

  /// @brief Ends open calls and stops.
  void Stop(Duration patience);

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace acp
