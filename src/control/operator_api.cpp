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
constexpr std::size_t kMinRequestId = 8;
constexpr std::size_t kMaxRequestId = 64;

void Send(ServerExchange& exchange, const OperatorAnswer& answer)
{
  HttpResponseHead head{ .status = answer.status };
  head.headers.Set("Content-Type", "application/json");
  if (!answer.leader.empty()) {
    head.headers.Set("Acp-Leader", answer.leader);
  }
  exchange.Respond(head, answer.json + "\n");
}

bool IsIdCharacter(char c)
{
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
         c == '_';
}

bool IsRequestId(const std::string& id)
{
  return id.size() >= kMinRequestId && id.size() <= kMaxRequestId &&
         std::all_of(id.begin(), id.end(), IsIdCharacter);
}

OperatorAnswer BadRequest(const std::string& message)
{
  return MakeError({ ControlErrorCode::InvalidRequest, message });
}

/// Returns why the head is refused, or nothing.
std::optional<OperatorAnswer> CheckHead(const HttpRequestHead& head)
{
  std::size_t bytes = 0;
  for (const auto& [name, value] : head.headers.Fields()) {
    bytes += name.size() + value.size();
  }
  if (head.target.size() > kMaxTargetBytes || bytes > kMaxHeaderBytes) {
    return MakeError(431, 0, "too_large", "the request's head is too large", "shorten it");
  }
  return std::nullopt;
}

OperatorCall ReadCall(const HttpRequestHead& head)
{
  OperatorCall call;
  const std::size_t question = std::min(head.target.find('?'), head.target.size());
  for (const auto& segment : SplitPath(std::string_view(head.target).substr(0, question))) {
    call.segments.emplace_back(segment);
  }
  const bool isVersion1 = !call.segments.empty() && call.segments.front() == "v1";
  call.segments.erase(call.segments.begin(), call.segments.begin() + (isVersion1 ? 1 : 0));
  if (!isVersion1) {
    call.segments.clear();
  }
  call.method = head.method;
  call.query = question < head.target.size() ? head.target.substr(question + 1) : "";
  call.requestId = head.headers.Find("Acp-Request-Id").value_or("");
  call.ifVersion = head.headers.Find("If-Version").value_or("");
  return call;
}

/// Turns an exception into an answer; a change may have been proposed before it was raised.
OperatorAnswer AnswerSafely(OperatorApi& api, const OperatorCall& call)
{
  try {
    return api.Answer(call);
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
    HttpResponseHead answer{ .status = 200 };
    answer.headers.Set("Content-Type", "text/plain; version=0.0.4");
    exchange.Respond(answer, context_.metrics.Render(ReadGauges()));
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
                   "the operator key is missing or not known to this replica",
                   "set --operator-key-file; the operator key file of each control host must have "
                   "a line for your key"));
    return;
  }
  OperatorCall call = ReadCall(head);
  call.operatorName = *name;
  const auto body = ReadAll(exchange.RequestBody(), kMaxDocumentBytes);
  OperatorAnswer answer =
    body ? OperatorAnswer{}
         : MakeError(413, 0, "too_large", "the body is larger than 128 KiB", "shorten it");
  if (body) {
    call.body = *body;
    answer = AnswerSafely(*this, call);
  }
  context_.metrics.CountOperatorRequest(answer.status);
  if (call.method != "GET") {
    Log(LogLevel::Info,
        "operator_request",
        { { "operator", call.operatorName },
          { "method", call.method },
          { "path", path },
          { "request_id", call.requestId },
          { "status", std::to_string(answer.status) } });
  }
  Send(exchange, answer);
}

OperatorAnswer OperatorApi::Answer(const OperatorCall& call)
{
  if (call.segments.empty()) {
    return MakeError(404, 0, "not_found", "no such operation", "see acpctl --help");
  }
  const bool isView = call.method == "GET";
  if (isView && !call.body.empty()) {
    return BadRequest("GET takes no body");
  }
  if (!isView && !IsRequestId(call.requestId)) {
    return BadRequest("Acp-Request-Id must have 8 to 64 characters of A-Z a-z 0-9 - _");
  }
  if (isView && call.segments[0] == "control" && call.segments.size() == 1) {
    // Each replica tells what it knows itself; on the night of a failure there may be no leader.
    return ShowControl();
  }
  if (!context_.ConfirmedAge()) {
    return MakeNotLeader(context_.log.Status());
  }
  auto answer = isView ? View(call) : Change(call);
  const auto notLeader = MakeError({ ControlErrorCode::NotLeader, "" }).status;
  return answer.status == notLeader ? MakeNotLeader(context_.log.Status()) : answer;
}

OperatorAnswer OperatorApi::Change(const OperatorCall& call)
{
  const auto& path = call.segments;
  const bool isKeys = path[0] == "accounts" && path.size() >= 3 && path[2] == "keys";
  if (call.method == "PUT" && path[0] == "services" && path.size() == 3 && path[2] == "document") {
    return PutDocument(call, path[1]);
  }
  if (call.method == "POST" && path[0] == "control" && path.size() == 2 && path[1] == "replace") {
    return ReplaceReplica(call);
  }
  if (!call.body.empty()) {
    return BadRequest("this operation takes no body");
  }
  if (call.method == "POST" && isKeys && path.size() == 3) {
    return IssueKey(call, path[1]);
  }
  if (call.method == "DELETE" && isKeys && path.size() == 4) {
    return RevokeKey(call, path[1], path[3]);
  }
  return MakeError(404, 0, "not_found", "no such operation", "see acpctl --help");
}

OperatorAnswer OperatorApi::View(const OperatorCall& call)
{
  const auto& path = call.segments;
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
  if (path.size() == 1 && path[0] == "audit") {
    return ShowAudit(call.query);
  }
  if (path.size() == 1 && path[0] == "report") {
    return ShowReport(call.query);
  }
  return MakeError(404, 0, "not_found", "no such operation", "see acpctl --help");
}

} // namespace acp::detail
