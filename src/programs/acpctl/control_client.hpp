#pragma once

/// @file
/// Client for operator requests, which finds the control replica that leads.

#include <string> // string
#include <vector> // vector

#include "acaciapulley/core/clock.hpp"        // Clock, Duration
#include "acaciapulley/transport/address.hpp" // Address

namespace acp {

/// One request. A change carries a request id and is applied at most once, however often it is
/// sent.
struct ControlRequest
{
  std::string method = "GET";
  std::string target;
  std::string body;
  std::string requestId; ///< empty for a request that changes nothing
  std::string ifVersion;
};

/// How a request ended.
enum class RequestResult
{
  Answered,    ///< `status` and `body` hold the response
  Unreachable, ///< no leader responded; nothing was changed
  Unknown,     ///< the change may have been applied
};

/// Response to a request, or why there is none.
struct ControlResponse
{
  RequestResult result = RequestResult::Unreachable;
  int status = 0;
  std::string body;
  std::string problem; ///< why there is no response
};

/// Construction options of a ControlClient.
struct ControlClientOptions
{
  std::vector<Address> replicas; ///< operator addresses, tried in turn
  std::string operatorKey;
  const Clock* clock = nullptr;
  Duration timeout = std::chrono::seconds(15); ///< how long replicas are tried
};

/// Sends requests, follows leader hints and resends changes after lost responses.
class ControlClient
{
public:
  explicit ControlClient(ControlClientOptions options);

  /// @brief Sends @p request until a leader responds or the timeout passes.
  /// @par Example
  /// @code
  /// const acp::ControlResponse response = client.Call({ .target = "/v1/members" });
  /// @endcode
  ControlResponse Call(const ControlRequest& request);

private:
  struct Attempt;

  Attempt Send(const Address& address, const ControlRequest& request) const;

  ControlClientOptions options_;
  std::size_t currentReplica_ = 0;
};

} // namespace acp
