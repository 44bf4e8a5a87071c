#pragma once

/// @file
/// The process beside one upstream.

#include <memory> // unique_ptr
#include <string> // string
#include <vector> // vector

#include "acaciapulley/core/clock.hpp"        // Clock, Duration
#include "acaciapulley/transport/address.hpp" // Address

namespace acp {

/// Construction options of a NodeProcess.
struct NodeProcessOptions
{
  std::string nodeId;
  std::string dataCentre;
  std::string fleetSecret;
  Address ingress;
  Address egress;
  Address peer;
  Address admin;
  std::vector<Address> control; ///< rpc addresses of the control replicas
  int maxConnections = 1024;    ///< for each listener
  int retryBudget = 2;          ///< retries of one request over its whole call chain, 0 to 8
  const Clock* clock = nullptr;
};

/// One node: its listeners, its copy of the state and its polling of control.
class NodeProcess
{
public:
  /// @throw std::runtime_error when a listener cannot be opened
  explicit NodeProcess(const NodeProcessOptions& options);
  NodeProcess(const NodeProcess&) = delete;
  NodeProcess& operator=(const NodeProcess&) = delete;
  ~NodeProcess();

  /// @brief Lets requests in progress end, for at most @p patience, then stops.
  void Stop(Duration patience);

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace acp
