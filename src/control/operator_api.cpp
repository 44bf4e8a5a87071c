#include "acaciapulley/control/detail/operator_api.hpp"

#include <algorithm> // all_of
#include <exception> // exception
#include <optional>  // optional
#include <utility>   // move

#include "acaciapulley/config/detail/path_pattern.hpp" // SplitPath
#include "acaciapulley/core/log.hpp"                   // Log

namespace acp::detail {

namespace {

constexpr std::string_view kBearer = "Bearer ";
constexpr std::size_t kMaxTargetBytes = 2048;
constexpr std::size_t kMaxHeaderBytes = 16'384;
constexpr std::size_t kMinRequestIdLength = 8;
constexpr std::size_t kMaxRequestIdLength = 64;

void Send(ServerExchange& exchange, const OperatorResponse& response)
{
  HttpResponseHead head{ .status = response.status };
  head.headers.Set("Content-Type", "application/json");
  if (!response.leader.empty()) {
    head.headers.Set("Acp-Leader", response.leader);
  }
  exchange.Respond(head, response.json + "\n");
}

bool IsIdCharacter(char c)
{
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
         c == '_';
}

bool IsRequestId(const std::string& id)
{
  return id.size() >= kMinRequestIdLength && id.size() <= kMaxRequestIdLength &&
         std::all_of(id.begin(), id.end(), IsIdCharacter);
}

OperatorResponse BadRequest(const std::string& message)
{
  return MakeError({ ControlErrorCode::InvalidRequest, message });
}

/// Returns a refusal if the head is too large.
std::optional<OperatorResponse> CheckHead(const HttpRequestHead& head)
{
  std::size_t bytes = 0;
  for (const auto& [name, value] : head.headers.Fields()) {
    bytes += name.size() + value.size();
  }
  if (head.target.size() > kMaxTargetBytes || bytes > kMaxHeaderBytes) {
    return MakeError(
      431, 0, "too_large", "request head too large", "shorten the request target or headers");
  }
  return std::nullopt;
}

OperatorApiRequest ReadRequest(const HttpRequestHead& head)
{
  OperatorApiRequest request;
  const std::size_t question = std::min(head.target.find('?'), head.target.size());
  for (const auto& segment : SplitPath(std::string_view(head.target).substr(0, question))) {
    request.segments.emplace_back(segment);
  }
  const bool isVersion1 = !request.segments.empty() && request.segments.front() == "v1";
  request.segments.erase(request.segments.begin(), request.segments.begin() + (isVersion1 ? 1 : 0));
  if (!isVersion1) {
    request.segments.clear();
  }
  request.method = head.method;
  request.query = question < head.target.size() ? head.target.substr(question + 1) : "";
  request.requestId = head.headers.Find("Acp-Request-Id").value_or("");
  request.ifVersion = head.headers.Find("If-Version").value_or("");
  return request;
}

/// Answers with Unconfirmed on exceptions, because a change may have been proposed before.
OperatorResponse DispatchCatchingExceptions(OperatorApi& api, const OperatorApiRequest& request)
{
  try {
    return api.Dispatch(request);
  } catch (const std::exception& e) {
    Log(LogLevel::Error, "operator_request_failed", { { "error", e.what() } });
    return MakeError({ ControlErrorCode::Unconfirmed, e.what() });
  }
}

} // namespace

OperatorApi::OperatorApi(ControlContext& context, std::function<void(Duration)> pause)
  : context_(context)
  , pause_(std::move(pause))
{
}

void OperatorApi::Handle(ServerExchange& exchange)
{
  const HttpRequestHead& head = exchange.Request();
  const std::string path = head.target.substr(0, head.target.find('?'));
  if (path == "/healthz") {
    exchange.Respond({ .status = 200 }, "ok\n");
    return;
  }
  if (path == "/metrics") {
    HttpResponseHead response{ .status = 200 };
    response.headers.Set("Content-Type", "text/plain; version=0.0.4");
    exchange.Respond(response, context_.metrics.Render(ReadGauges()));
    return;
  }
  if (const auto refusal = CheckHead(head)) {
    Send(exchange, *refusal);
    return;
  }
  const std::string authorization = head.headers.Find("Authorization").value_or("");
  const bool hasKey = authorization.starts_with(kBearer);
  const auto name =
    hasKey ? context_.operators.NameOf(authorization.substr(kBearer.size())) : std::nullopt;
  if (!name) {
    Send(exchange,
         MakeError(401,
                   0,
                   "unauthorized",
                   "operator key missing or unknown to this replica",
                   "set --operator-key-file; the operator key file of each control host must "
                   "contain a line for your key"));
    return;
  }
  OperatorApiRequest request = ReadRequest(head);
  request.operatorName = *name;
  const auto body = ReadAll(exchange.RequestBody(), kMaxDocumentBytes);
  OperatorResponse response =
    body ? OperatorResponse{}
         : MakeError(413, 0, "too_large", "request body exceeds 128 KiB", "shorten the body");
  if (body) {
    request.body = *body;
    response = DispatchCatchingExceptions(*this, request);
  }
  context_.metrics.CountOperatorRequest(response.status);
  if (request.method != "GET") {
    Log(LogLevel::Info,
        "operator_request",
        { { "operator", request.operatorName },
          { "method", request.method },
          { "path", path },
          { "request_id", request.requestId },
          { "status", std::to_string(response.status) } });
  }
  Send(exchange, response);
}

OperatorResponse OperatorApi::Dispatch(const OperatorApiRequest& request)
{
  if (request.segments.empty()) {
    return MakeError(404, 0, "not_found", "no such operation", "see acpctl --help");
  }
  const bool isView = request.method == "GET";
  if (isView && !request.body.empty()) {
    return BadRequest("GET takes no body");
  }
  if (!isView && !IsRequestId(request.requestId)) {
    return BadRequest("Acp-Request-Id must consist of 8 to 64 characters A-Z a-z 0-9 - _");
  }
  if (isView && request.segments[0] == "control" && request.segments.size() == 1) {
    // Answered by any replica from its own knowledge, because there may be no leader during a
    // failure.
    return ShowControl();
  }
  if (!context_.ConfirmedLeadershipAge()) {
    return MakeNotLeader(context_.log.Status());
  }
  auto response = isView ? DispatchView(request) : DispatchChange(request);
  const auto notLeader = MakeError({ ControlErrorCode::NotLeader, "" }).status;
  return response.status == notLeader ? MakeNotLeader(context_.log.Status()) : response;
}

OperatorResponse OperatorApi::DispatchChange(const OperatorApiRequest& request)
{
  const auto& path = request.segments;
  const bool isKeys = path[0] == "accounts" && path.size() >= 3 && path[2] == "keys";
  if (request.method == "PUT" && path[0] == "services" && path.size() == 3 &&
      path[2] == "document") {
    return PutDocument(request, path[1]);
  }
  if (request.method == "POST" && path[0] == "control" && path.size() == 2 &&
      path[1] == "replace") {
    return ReplaceReplica(request);
  }
  if (!request.body.empty()) {
    return BadRequest("this operation takes no body");
  }
  if (request.method == "POST" && isKeys && path.size() == 3) {
    return IssueKey(request, path[1]);
  }
  if (request.method == "DELETE" && isKeys && path.size() == 4) {
    return RevokeKey(request, path[1], path[3]);
  }
  const bool isStart = request.method == "PUT";
  if ((isStart || request.method == "DELETE") && path[0] == "evacuations" && path.size() == 2) {
    return SetEvacuation(request, path[1], isStart);
  }
  return MakeError(404, 0, "not_found", "no such operation", "see acpctl --help");
}

OperatorResponse OperatorApi::DispatchView(const OperatorApiRequest& request)
{
  const auto& path = request.segments;
  const std::string name = path.size() >= 2 ? path[1] : "";
  const std::string part = path.size() >= 3 ? path[2] : "";
  if (path[0] == "services" && path.size() == 3 && part == "document") {
    return ShowDocument(name);
  }
  if (path[0] == "services" && path.size() == 3 && part == "history") {
    return ShowHistory(name);
  }
  if (path[0] == "accounts" && path.size() == 3 && part == "keys") {
    return ShowKeys(name);
  }
  if (path.size() == 1 && path[0] == "status") {
    return ShowStatus();
  }
  if (path.size() == 1 && path[0] == "members") {
    return ShowMembers();
  }
  if (path.size() == 1 && path[0] == "evacuations") {
    return ShowEvacuations();
  }
  if (path.size() == 1 && path[0] == "audit") {
    return ShowAudit(request.query);
  }
  if (path.size() == 1 && path[0] == "report") {
    return ShowReport(request.query);
  }
  return MakeError(404, 0, "not_found", "no such operation", "see acpctl --help");
}

} // namespace acp::detail
