#include <algorithm> // any_of, none_of
#include <charconv>  // from_chars
#include <sstream>   // ostringstream

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include "acaciapulley/config/service_document.hpp"     // ServiceDocument
#include "acaciapulley/control/detail/control_wire.hpp" // ToWire
#include "acaciapulley/control/detail/operator_api.hpp" // OperatorApi
#include "acaciapulley/core/json_reader.hpp"            // JsonReader

namespace acp::detail {

namespace {

constexpr Duration kChangeTimeout = std::chrono::seconds(3);
// P5: a node that has not confirmed a revocation by then refuses requests with a key.
constexpr Duration kRevokeConfirmationTimeout = std::chrono::seconds(5);
constexpr Duration kConfirmationPollInterval = std::chrono::milliseconds(50);
constexpr std::size_t kMaxAccountNameLength = 64;

std::string ToJsonText(const Poco::JSON::Object& object)
{
  std::ostringstream text;
  object.stringify(text);
  return text.str();
}

Poco::JSON::Array ToArray(const std::vector<std::string>& texts)
{
  Poco::JSON::Array array;
  for (const auto& text : texts) {
    array.add(text);
  }
  return array;
}

bool IsAccountName(const std::string& name)
{
  for (const char c : name) {
    const bool isAllowed = (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '_';
    if (!isAllowed) {
      return false;
    }
  }
  return !name.empty() && name.size() <= kMaxAccountNameLength;
}

bool ReadVersion(const std::string& text, std::int64_t* version)
{
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, *version);
  return error == std::errc() && rest == end && *version >= 0;
}

wire::OperatorRequest OriginOf(const OperatorApiRequest& request)
{
  return ToWire(RequestOrigin{ request.operatorName, request.requestId });
}

} // namespace

OperatorResponse OperatorApi::MakeRefusal(const wire::CommandReply& reply) const
{
  return MakeError({ static_cast<ControlErrorCode>(reply.errorCode), reply.message });
}

OperatorResponse OperatorApi::PutDocument(const OperatorApiRequest& request,
                                          const std::string& service)
{
  std::int64_t ifVersion = 0;
  if (!ReadVersion(request.ifVersion, &ifVersion)) {
    return MakeError(
      { ControlErrorCode::InvalidRequest,
        "If-Version must be the version of the edited document, 0 for a new document" });
  }
  const auto parsed = ServiceDocument::Parse(request.body);
  if (!parsed) {
    return MakeError({ ControlErrorCode::InvalidDocument, parsed.error().Describe() });
  }
  if (parsed.value().Service() != service) {
    return MakeError({ ControlErrorCode::InvalidDocument,
                       "the document belongs to service '" + parsed.value().Service() + "'" });
  }
  wire::ControlCommand command;
  command.__isset.putDocument = true;
  command.putDocument.origin = OriginOf(request);
  command.putDocument.serviceName = service;
  command.putDocument.body = request.body;
  command.putDocument.ifVersion = ifVersion;
  const auto reply = context_.Propose(command, kChangeTimeout);
  if (!reply) {
    return MakeError(reply.error());
  }
  if (reply.value().errorCode != 0) {
    return MakeRefusal(reply.value());
  }
  Poco::JSON::Object object;
  object.set("service", service);
  object.set("version", reply.value().version);
  object.set("state_version", reply.value().stateVersion);
  object.set("resend", reply.value().isResend);
  return { .json = ToJsonText(object) };
}

OperatorResponse OperatorApi::IssueKey(const OperatorApiRequest& request,
                                       const std::string& account)
{
  if (!IsAccountName(account)) {
    return MakeError({ ControlErrorCode::InvalidRequest,
                       "an account name must consist of 1 to 64 characters a-z, 0-9, - and _" });
  }
  const NewKey key = GenerateKey(account, context_.clock.WallNow());
  wire::ControlCommand command;
  command.__isset.issueKey = true;
  command.issueKey.origin = OriginOf(request);
  command.issueKey.record = ToWire(key.record);
  const auto reply = context_.Propose(command, kChangeTimeout);
  if (!reply) {
    return MakeError(reply.error());
  }
  if (reply.value().errorCode != 0) {
    return MakeRefusal(reply.value());
  }
  const std::string& id = reply.value().subject;
  if (id != key.record.id) {
    return MakeError(409,
                     static_cast<int>(ControlErrorCode::KeyRefused),
                     "key_shown_once",
                     "the first request with this id issued key " + id +
                       "; its text was only part of the first response and is not stored",
                     "if that response was lost: acpctl key withdraw " + account + " " + id +
                       ", then acpctl key give " + account);
  }
  Poco::JSON::Object object;
  object.set("id", id);
  object.set("account", account);
  object.set("key", key.text);
  object.set("state_version", reply.value().stateVersion);
  return { .status = 201, .json = ToJsonText(object) };
}

ConfirmationStatus OperatorApi::AwaitConfirmation(std::int64_t stateVersion)
{
  const TimePoint end = context_.clock.Now() + kRevokeConfirmationTimeout;
  ConfirmationStatus status = context_.ConfirmationOf(stateVersion);
  while (!status.isConfirmedByAll && context_.clock.Now() < end) {
    pause_(kConfirmationPollInterval);
    status = context_.ConfirmationOf(stateVersion);
  }
  return status;
}

OperatorResponse OperatorApi::RevokeKey(const OperatorApiRequest& request,
                                        const std::string& account,
                                        const std::string& keyId)
{
  wire::ControlCommand command;
  command.__isset.revokeKey = true;
  command.revokeKey.origin = OriginOf(request);
  command.revokeKey.account = account;
  command.revokeKey.keyId = keyId;
  const auto reply = context_.Propose(command, kChangeTimeout);
  if (!reply) {
    return MakeError(reply.error());
  }
  if (reply.value().errorCode != 0) {
    return MakeRefusal(reply.value());
  }
  const ConfirmationStatus confirmation = AwaitConfirmation(reply.value().stateVersion);
  Poco::JSON::Object object;
  object.set("id", keyId);
  object.set("account", account);
  object.set("state_version", reply.value().stateVersion);
  object.set("resend", reply.value().isResend);
  object.set("confirmed_by_all", confirmation.isConfirmedByAll);
  object.set("not_confirmed", ToArray(confirmation.notConfirmed));
  object.set("not_heard", ToArray(confirmation.notHeard));
  object.set("may_miss_nodes", confirmation.mayMissNodes);
  return { .json = ToJsonText(object) };
}

std::optional<OperatorResponse> OperatorApi::ChangeReplicas(const std::string& lostId,
                                                            const std::string& newId)
{
  const std::lock_guard lock(replacementsMutex_);
  const auto replicas = context_.log.Status().replicas;
  const bool isLostGone = std::none_of(
    replicas.begin(), replicas.end(), [&](const auto& replica) { return replica.id == lostId; });
  const bool isNewVoter = std::any_of(replicas.begin(), replicas.end(), [&](const auto& replica) {
    return replica.id == newId && replica.isVoter;
  });
  const bool isResend = replacements_.contains({ lostId, newId });
  if (isResend && isLostGone && isNewVoter) {
    return std::nullopt;
  }
  const auto replaced = context_.log.ReplaceReplica(lostId, newId, kChangeTimeout);
  if (replaced) {
    replacements_.emplace(lostId, newId);
    return std::nullopt;
  }
  switch (replaced.error().code) {
    case ReplicationErrorCode::ChangeRefused:
      return MakeError({ ControlErrorCode::ReplaceRefused, replaced.error().Describe() });
    case ReplicationErrorCode::NotLeader:
      return MakeError({ ControlErrorCode::NotLeader, replaced.error().Describe() });
    default:
      replacements_.emplace(lostId, newId);
      return MakeError({ ControlErrorCode::Unconfirmed, replaced.error().Describe() });
  }
}

OperatorResponse OperatorApi::ReplaceReplica(const OperatorApiRequest& request)
{
  std::string lostId;
  std::string newId;
  try {
    auto reader = JsonReader::FromText(request.body);
    lostId = reader.String("lost");
    newId = reader.String("new");
    reader.RejectUnknownFields();
  } catch (const JsonFieldError& e) {
    return MakeError({ ControlErrorCode::InvalidRequest, e.what() });
  }
  if (const auto problem = ChangeReplicas(lostId, newId)) {
    return *problem;
  }
  wire::ControlCommand command;
  command.__isset.replaceReplica = true;
  command.replaceReplica.origin = OriginOf(request);
  command.replaceReplica.lostId = lostId;
  command.replaceReplica.newId = newId;
  const auto reply = context_.Propose(command, kChangeTimeout);
  if (!reply) {
    // The replica set was changed; only the audit entry may be missing.
    return MakeError({ ControlErrorCode::Unconfirmed, reply.error().Describe() });
  }
  if (reply.value().errorCode != 0) {
    return MakeRefusal(reply.value());
  }
  Poco::JSON::Object object;
  object.set("lost", lostId);
  object.set("new", newId);
  object.set("resend", reply.value().isResend);
  return { .json = ToJsonText(object) };
}

OperatorResponse OperatorApi::SetEvacuation(const OperatorApiRequest& request,
                                            const std::string& dataCentre,
                                            bool evacuated)
{
  const auto result = context_.SetEvacuation(request.operatorName, dataCentre, evacuated);
  if (!result) {
    return MakeError(result.error());
  }
  Poco::JSON::Object object;
  object.set("data_centre", dataCentre);
  object.set("evacuated", evacuated);
  object.set("state_version", result.value().stateVersion);
  object.set("resend", result.value().isResend);
  return { .json = ToJsonText(object) };
}

} // namespace acp::detail
