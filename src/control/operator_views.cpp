#include <algorithm> // max, min
#include <charconv>  // from_chars
#include <sstream>   // ostringstream
#include <utility>   // move

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include "acaciapulley/control/detail/operator_api.hpp" // OperatorApi

namespace acp::detail {

namespace {

constexpr std::int64_t kDefaultAuditPage = 100;
constexpr std::int64_t kMaxAuditPage = 1000;

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

std::int64_t Millis(Duration span)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

OperatorResponse NoDocument(const std::string& service)
{
  return MakeError(404,
                   0,
                   "not_found",
                   "service '" + service + "' has no document",
                   "acpctl config status lists the services; use --if-version 0 to put a "
                   "new document");
}

/// Parses a non-negative number of a query; @p fallback is used if @p text is empty.
bool ReadNumber(const std::string& text, std::int64_t fallback, std::int64_t* number)
{
  *number = fallback;
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, *number);
  return text.empty() || (error == std::errc() && rest == end && *number >= 0);
}

void SetConfirmation(Poco::JSON::Object& object, const ConfirmationStatus& confirmation)
{
  const bool isUnknown = confirmation.mayMissNodes && confirmation.notConfirmed.empty();
  const char* inForce = confirmation.isConfirmedByAll ? "yes" : "no";
  object.set("in_force", std::string(isUnknown ? "unknown" : inForce));
  object.set("not_confirmed", ToArray(confirmation.notConfirmed));
  object.set("not_heard", ToArray(confirmation.notHeard));
}

} // namespace

OperatorResponse OperatorApi::ShowDocument(const std::string& service)
{
  const auto document = context_.state.DocumentOf(service);
  if (!document) {
    return NoDocument(service);
  }
  Poco::JSON::Object object;
  object.set("service", service);
  object.set("version", document->version);
  object.set("document", document->body);
  return { .json = ToJsonText(object) };
}

OperatorResponse OperatorApi::ShowHistory(const std::string& service)
{
  const auto versions = context_.state.History(service);
  if (versions.empty()) {
    return NoDocument(service);
  }
  Poco::JSON::Array array;
  for (const auto& version : versions) {
    Poco::JSON::Object object;
    object.set("version", version.version);
    object.set("time_ms", CountMillis(version.changedAt));
    object.set("operator", version.operatorName);
    object.set("document", version.body);
    array.add(object);
  }
  Poco::JSON::Object object;
  object.set("service", service);
  object.set("versions", array);
  return { .json = ToJsonText(object) };
}

OperatorResponse OperatorApi::ShowStatus()
{
  Poco::JSON::Array services;
  for (const auto& document : context_.state.Documents()) {
    Poco::JSON::Object object;
    object.set("service", document.service);
    object.set("version", document.version);
    object.set("state_version", document.stateVersion);
    object.set("time_ms", CountMillis(document.changedAt));
    object.set("operator", document.operatorName);
    SetConfirmation(object, context_.ConfirmationOf(document.stateVersion));
    services.add(object);
  }
  const std::int64_t version = context_.state.Version();
  const ConfirmationStatus confirmation = context_.ConfirmationOf(version);
  Poco::JSON::Object object;
  object.set("state_version", version);
  object.set("smallest_confirmed", confirmation.smallestConfirmed);
  object.set("leading_for_ms", Millis(context_.CurrentLeadership().leadingFor));
  SetConfirmation(object, confirmation);
  object.set("services", services);
  return { .json = ToJsonText(object) };
}

OperatorResponse OperatorApi::ShowKeys(const std::string& account)
{
  Poco::JSON::Array keys;
  for (const auto& record : context_.state.Keys(account)) {
    Poco::JSON::Object object;
    object.set("id", record.id);
    object.set("account", record.account);
    object.set("issued_at_ms", CountMillis(record.issuedAt));
    keys.add(object);
  }
  Poco::JSON::Object object;
  object.set("keys", keys);
  return { .json = ToJsonText(object) };
}

OperatorResponse OperatorApi::ShowMembers()
{
  const auto leadership = context_.CurrentLeadership();
  std::vector<NodeStatus> nodes;
  {
    const std::lock_guard lock(context_.nodesMutex);
    const TimePoint now = context_.clock.Now();
    context_.nodes.BeginTerm(leadership.term);
    context_.nodes.Expire(now);
    nodes = context_.nodes.Nodes(now);
  }
  Poco::JSON::Array members;
  for (const auto& node : nodes) {
    const MemberInfo member = node.member.value_or(MemberInfo{});
    Poco::JSON::Object object;
    object.set("node", node.nodeId);
    object.set("service", member.service);
    object.set("data_centre", member.dataCentre);
    object.set("peer_address", member.peerAddress);
    object.set("slots", member.slots);
    object.set("draining", member.draining);
    object.set("has_upstream", node.member.has_value());
    object.set("confirmed_version", node.confirmedVersion);
    object.set("silence_ms", Millis(node.sinceLastPoll));
    members.add(object);
  }
  const ConfirmationStatus confirmation = context_.ConfirmationOf(context_.state.Version());
  Poco::JSON::Object object;
  object.set("members", members);
  object.set("not_heard", ToArray(confirmation.notHeard));
  return { .json = ToJsonText(object) };
}

OperatorResponse OperatorApi::ShowEvacuations()
{
  const std::int64_t version = context_.state.Version();
  Poco::JSON::Object object;
  object.set("data_centres", ToArray(context_.state.EvacuatedDataCentres()));
  object.set("state_version", version);
  SetConfirmation(object, context_.ConfirmationOf(version));
  return { .json = ToJsonText(object) };
}

OperatorResponse OperatorApi::ShowAudit(const std::string& query)
{
  const std::int64_t next = context_.state.NextAuditNumber();
  std::int64_t from = 0;
  std::int64_t limit = 0;
  const std::int64_t latest = std::max<std::int64_t>(next - kDefaultAuditPage, 1);
  const bool isRead = ReadNumber(QueryValue(query, "from"), latest, &from) &&
                      ReadNumber(QueryValue(query, "limit"), kDefaultAuditPage, &limit);
  if (!isRead) {
    return MakeError(
      { ControlErrorCode::InvalidRequest, "from and limit must be non-negative integers" });
  }
  Poco::JSON::Array entries;
  const auto count = static_cast<std::size_t>(std::min(limit, kMaxAuditPage));
  for (const auto& entry : context_.state.AuditEntriesFrom(from, count)) {
    Poco::JSON::Object object;
    object.set("number", entry.number);
    object.set("time_ms", CountMillis(entry.time));
    object.set("operator", entry.operatorName);
    object.set("action", entry.action);
    object.set("subject", entry.subject);
    object.set("from_version", entry.fromVersion);
    object.set("to_version", entry.toVersion);
    object.set("request_id", entry.requestId);
    entries.add(object);
  }
  Poco::JSON::Object object;
  object.set("entries", entries);
  object.set("next", next);
  return { .json = ToJsonText(object) };
}

OperatorResponse OperatorApi::ShowControl()
{
  const ReplicaStatus status = context_.log.Status();
  Poco::JSON::Array replicas;
  for (const auto& replica : status.replicas) {
    Poco::JSON::Object object;
    object.set("id", replica.id);
    object.set("rpc_address", replica.rpcAddress);
    object.set("operator_address", replica.operatorAddress);
    object.set("voter", replica.isVoter);
    object.set("self", replica.isSelf);
    object.set("leader", replica.id == status.leaderId);
    object.set("match_index", static_cast<std::int64_t>(replica.matchIndex));
    replicas.add(object);
  }
  const auto age = context_.ConfirmedLeadershipAge();
  Poco::JSON::Object object;
  object.set("leads", status.isLeader);
  object.set("confirmed", age.has_value());
  object.set("leader_id", status.leaderId);
  object.set("leader_operator_address", status.leaderOperatorAddress);
  object.set("term", static_cast<std::int64_t>(status.term));
  object.set("commit_index", static_cast<std::int64_t>(status.commitIndex));
  object.set("applied_index", static_cast<std::int64_t>(status.appliedIndex));
  object.set("last_index", static_cast<std::int64_t>(status.lastIndex));
  object.set("replicas", replicas);
  object.set("retired", ToArray(context_.state.RetiredReplicas()));
  return { .json = ToJsonText(object) };
}

OperatorResponse OperatorApi::ShowReport(const std::string& query)
{
  if (!context_.hooks.renderReport) {
    return MakeError(
      { ControlErrorCode::UnsupportedCall, "this control process collects no record" });
  }
  const auto report = context_.hooks.renderReport(context_.state, query);
  return report ? OperatorResponse{ .json = report.value() } : MakeError(report.error());
}

ControlGauges OperatorApi::ReadGauges()
{
  const ReplicaStatus status = context_.log.Status();
  ControlGauges gauges{ .isLeader = status.isLeader,
                        .term = static_cast<double>(status.term),
                        .commitIndex = static_cast<double>(status.commitIndex),
                        .logBytes = static_cast<double>(status.logBytes),
                        .appliedIndex = static_cast<double>(status.appliedIndex),
                        .stateVersion = static_cast<double>(context_.state.Version()),
                        .claims = static_cast<double>(context_.state.ClaimCount()),
                        .evacuatedDataCentres =
                          static_cast<double>(context_.state.EvacuatedDataCentres().size()),
                        .auditEntries = static_cast<double>(context_.state.NextAuditNumber() - 1) };
  const auto confirmation = context_.ConfirmationOf(context_.state.Version());
  gauges.smallestConfirmed = static_cast<double>(confirmation.smallestConfirmed);
  const std::lock_guard lock(context_.nodesMutex);
  gauges.nodes = static_cast<double>(context_.nodes.Nodes(context_.clock.Now()).size());
  gauges.members = static_cast<double>(context_.nodes.Members().size());
  return gauges;
}

} // namespace acp::detail
