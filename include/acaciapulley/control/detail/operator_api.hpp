#pragma once

/// @file
/// HTTP/JSON interface for operators.

#include <functional>  // function
#include <mutex>       // mutex
#include <optional>    // optional
#include <set>         // set
#include <string>      // string
#include <string_view> // string_view
#include <utility>     // pair
#include <vector>      // vector

#include "acaciapulley/control/detail/control_context.hpp" // ControlContext
#include "acaciapulley/transport/http_server.hpp"          // ServerExchange

namespace acp::detail {

/// A response; errors include advice on what to do next.
struct OperatorResponse
{
  int status = 200;
  std::string json;
  std::string leader; ///< operator address of the leader, with status 421
};

/// An authorised request.
struct OperatorApiRequest
{
  std::string operatorName;
  std::string requestId;
  std::string method;
  std::vector<std::string> segments; ///< path segments after `v1`
  std::string query;
  std::string ifVersion;
  std::string body;
};

/// Answers operator requests. Thread-safe.
class OperatorApi
{
public:
  /// @param pause sleeps between two checks of node confirmations
  OperatorApi(ControlContext& context, std::function<void(Duration)> pause);

  /// @brief Answers one request. Without a valid operator key it responds with 401, except on
  /// `/healthz` and `/metrics`.
  void Handle(ServerExchange& exchange);

  /// @brief Routes an authorised request to its operation.
  OperatorResponse Dispatch(const OperatorApiRequest& request);

private:
  OperatorResponse DispatchChange(const OperatorApiRequest& request);
  OperatorResponse DispatchView(const OperatorApiRequest& request);

  OperatorResponse PutDocument(const OperatorApiRequest& request, const std::string& service);
  OperatorResponse IssueKey(const OperatorApiRequest& request, const std::string& account);
  OperatorResponse RevokeKey(const OperatorApiRequest& request,
                             const std::string& account,
                             const std::string& keyId);
  OperatorResponse ReplaceReplica(const OperatorApiRequest& request);
  OperatorResponse SetEvacuation(const OperatorApiRequest& request,
                                 const std::string& dataCentre,
                                 bool evacuated);
  std::optional<OperatorResponse> ChangeReplicas(const std::string& lostId,
                                                 const std::string& newId);
  OperatorResponse MakeRefusal(const wire::CommandReply& reply) const;

  OperatorResponse ShowDocument(const std::string& service);
  OperatorResponse ShowHistory(const std::string& service);
  OperatorResponse ShowStatus();
  OperatorResponse ShowKeys(const std::string& account);
  OperatorResponse ShowMembers();
  OperatorResponse ShowAudit(const std::string& query);
  OperatorResponse ShowControl();
  OperatorResponse ShowEvacuations();
  OperatorResponse ShowReport(const std::string& query);

  [[nodiscard]] ControlGauges ReadGauges();
  ConfirmationStatus AwaitConfirmation(std::int64_t stateVersion);

  ControlContext& context_;
  std::function<void(Duration)> pause_;
  std::mutex replacementsMutex_;
  /// Lost and new ids of replacements that this process made or may have made. Distinguishes a
  /// resend from a replacement of a replica that never existed.
  std::set<std::pair<std::string, std::string>> replacements_;
};

/// @brief Builds an error response.
/// @param next advice for the operator
[[nodiscard]] OperatorResponse MakeError(int status,
                                         int code,
                                         std::string_view name,
                                         const std::string& message,
                                         const std::string& next);

/// @brief Builds the error response for @p error with its HTTP status.
[[nodiscard]] OperatorResponse MakeError(const ControlError& error);

/// @brief Builds the response of a replica that is not the leader.
[[nodiscard]] OperatorResponse MakeNotLeader(const ReplicaStatus& status);

/// @brief Returns the value of @p name in @p query, or an empty string.
[[nodiscard]] std::string QueryValue(const std::string& query, std::string_view name);

} // namespace acp::detail
