#include "acaciapulley/control/detail/operator_api.hpp"

#include <charconv> // from_chars
#include <sstream>  // ostringstream
#include <utility>  // move

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include "acaciapulley/config/detail/path_pattern.hpp" // SplitPath
#include "acaciapulley/core/random.hpp"                // Sha256, ToHex

namespace acp::detail {

namespace {

constexpr std::size_t kMaxDocumentBytes = 1'048'576;
constexpr std::string_view kBearer = "Bearer ";

void RespondJson(ServerExchange& exchange, int status, const Poco::JSON::Object& object)
{
  std::ostringstream text;
  object.stringify(text);
  HttpResponseHead head{ .status = status };
  head.headers.Set("Content-Type", "application/json");
  exchange.Respond(head, text.str() + "\n");
}

void RespondError(ServerExchange& exchange, int status, const std::string& message)
{
  Poco::JSON::Object object;
  object.set("error", message);
  RespondJson(exchange, status, object);
}

template<typename Code>
void RespondError(ServerExchange& exchange, int status, const BasicError<Code>& error)
{
  RespondError(exchange, status, error.Describe());
}

} // namespace

OperatorApi::OperatorApi(SharedState& state, const Clock& clock, std::string operatorKeyHash)
  : state_(state)
  , clock_(clock)
  , operatorKeyHash_(std::move(operatorKeyHash))
{
}

bool OperatorApi::IsOperator(const ServerExchange& exchange) const
{
  const auto value = exchange.Request().headers.Find("Authorization");
  if (!value || !value->starts_with(kBearer)) {
    return false;
  }
  return ToHex(Sha256(value->substr(kBearer.size()))) == operatorKeyHash_;
}

void OperatorApi::Handle(ServerExchange& exchange)
{
  const auto& request = exchange.Request();
  const std::string path = request.target.substr(0, request.target.find('?'));
  if (path == "/healthz") {
    exchange.Respond({ .status = 200 }, "ok\n");
    return;
  }
  if (!IsOperator(exchange)) {
    RespondError(exchange, 401, "the operator key is missing or wrong; set ACP_OPERATOR_KEY_FILE");
    return;
  }
  const auto segments = SplitPath(path);
  const bool isV1 = segments.size() >= 2 && segments[0] == "v1";
  const std::string kind = isV1 ? std::string(segments[1]) : "";
  const std::string name = segments.size() >= 3 ? std::string(segments[2]) : "";
  if (kind == "services" && request.method == "PUT") {
    PutDocument(exchange);
  } else if (kind == "services" && request.method == "GET") {
    GetDocument(exchange, name);
  } else if (kind == "accounts" && request.method == "POST") {
    IssueKey(exchange, name);
  } else if (kind == "accounts" && request.method == "GET") {
    ListKeys(exchange, name);
  } else if (kind == "accounts" && request.method == "DELETE" && segments.size() == 5) {
    RevokeKey(exchange, std::string(segments[4]));
  } else if (kind == "members" && request.method == "GET") {
    ListMembers(exchange);
  } else {
    RespondError(exchange, 404, "no such operation: " + request.method + " " + path);
  }
}

void OperatorApi::PutDocument(ServerExchange& exchange)
{
  const auto body = ReadAll(exchange.RequestBody(), kMaxDocumentBytes);
  if (!body) {
    RespondError(exchange, 413, "the document is larger than 1 MiB");
    return;
  }
  const std::string ifVersion = exchange.Request().headers.Find("If-Version").value_or("");
  std::int64_t version = 0;
  const char* end = ifVersion.data() + ifVersion.size();
  const auto [rest, error] = std::from_chars(ifVersion.data(), end, version);
  if (error != std::errc() || rest != end) {
    RespondError(exchange, 400, "If-Version must be the version that was edited, 0 for a new one");
    return;
  }
  const std::lock_guard lock(state_.mutex);
  const auto stored = state_.control.PutDocument(*body, version);
  if (!stored) {
    const bool isConflict = stored.error().code == ControlErrorCode::VersionConflict;
    RespondError(exchange, isConflict ? 409 : 400, stored.error());
    return;
  }
  Poco::JSON::Object object;
  object.set("version", stored.value());
  object.set("state_version", state_.control.Version());
  RespondJson(exchange, 200, object);
}

void OperatorApi::GetDocument(ServerExchange& exchange, const std::string& service)
{
  const std::lock_guard lock(state_.mutex);
  const auto* document = state_.control.DocumentOf(service);
  if (document == nullptr) {
    RespondError(exchange, 404, "no document for service '" + service + "'");
    return;
  }
  Poco::JSON::Object object;
  object.set("version", document->version);
  object.set("document", document->body);
  RespondJson(exchange, 200, object);
}

void OperatorApi::IssueKey(ServerExchange& exchange, const std::string& account)
{
  const NewKey key = MakeKey(account, clock_.WallNow());
  const std::lock_guard lock(state_.mutex);
  const auto issued = state_.control.IssueKey(key.record);
  if (!issued) {
    RespondError(exchange, 409, issued.error());
    return;
  }
  Poco::JSON::Object object;
  object.set("id", key.record.id);
  object.set("account", account);
  object.set("key", key.text);
  RespondJson(exchange, 201, object);
}

void OperatorApi::ListKeys(ServerExchange& exchange, const std::string& account)
{
  Poco::JSON::Array keys;
  const std::lock_guard lock(state_.mutex);
  for (const auto& record : state_.control.Keys(account)) {
    Poco::JSON::Object object;
    object.set("id", record.id);
    object.set("account", record.account);
    object.set("issued_at_ms", CountMillis(record.issuedAt));
    keys.add(object);
  }
  Poco::JSON::Object object;
  object.set("keys", keys);
  RespondJson(exchange, 200, object);
}

void OperatorApi::RevokeKey(ServerExchange& exchange, const std::string& keyId)
{
  const std::lock_guard lock(state_.mutex);
  const auto revoked = state_.control.RevokeKey(keyId);
  if (!revoked) {
    RespondError(exchange, 404, revoked.error());
    return;
  }
  Poco::JSON::Object object;
  object.set("id", keyId);
  object.set("state_version", state_.control.Version());
  RespondJson(exchange, 200, object);
}

void OperatorApi::ListMembers(ServerExchange& exchange)
{
  Poco::JSON::Array members;
  const std::lock_guard lock(state_.mutex);
  for (const auto& member : state_.members.Members()) {
    Poco::JSON::Object object;
    object.set("node", member.nodeId);
    object.set("service", member.service);
    object.set("data_centre", member.dataCentre);
    object.set("peer_address", member.peerAddress);
    object.set("slots", member.slots);
    object.set("draining", member.draining);
    members.add(object);
  }
  Poco::JSON::Object object;
  object.set("members", members);
  RespondJson(exchange, 200, object);
}

} // namespace acp::detail
