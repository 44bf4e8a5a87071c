#pragma once

/// @file
/// The operators' HTTP/JSON interface.

#include <string> // string

#include "acaciapulley/control/shared_state.hpp"  // SharedState
#include "acaciapulley/core/clock.hpp"            // Clock
#include "acaciapulley/transport/http_server.hpp" // ServerExchange

namespace acp::detail {

/// Answers operators' requests.
class OperatorApi
{
public:
  OperatorApi(SharedState& state, const Clock& clock, std::string operatorKeyHash);

  /// @brief Answers one request; 401 without the operator key, except on `/healthz`.
  void Handle(ServerExchange& exchange);

private:
  void PutDocument(ServerExchange& exchange);
  void GetDocument(ServerExchange& exchange, const std::string& service);
  void IssueKey(ServerExchange& exchange, const std::string& account);
  void ListKeys(ServerExchange& exchange, const std::string& account);
  void RevokeKey(ServerExchange& exchange, const std::string& keyId);
  void ListMembers(ServerExchange& exchange);
  [[nodiscard]] bool IsOperator(const ServerExchange& exchange) const;

  SharedState& state_;
  const Clock& clock_;
  std::string operatorKeyHash_;
};

} // namespace acp::detail
