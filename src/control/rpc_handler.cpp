#include "acaciapulley/control/detail/rpc_handler.hpp"

#include <algorithm> // min
#include <chrono>    // ceil

#include "acaciapulley/control/detail/control_wire.hpp" // FromWire, ToWire
#include "acaciapulley/core/random.hpp"                 // RandomHex

namespace acp::detail {

namespace {

// Below the call timeout of 500 ms of nodes, so that the node receives the result.
constexpr Duration kClaimTimeout = std::chrono::milliseconds(400);
constexpr std::size_t kMaxIdentifierBytes = 128;
constexpr std::size_t kMaxContentTypeBytes = 256;
constexpr std::size_t kFleetSecretBytes = 32;
// Half of the 4 s maximum state age for requests with a key at a node.
constexpr Duration kMaxHold = std::chrono::seconds(2);

bool HasChanges(const wire::SyncReply& reply, const wire::SyncRequest& request)
{
  return reply.membersIncluded || reply.__isset.fleet ||
         reply.delta.toVersion != request.stateVersion;
}

bool IsIdentifier(const std::string& text)
{
  return !text.empty() && text.size() <= kMaxIdentifierBytes;
}

bool IsValid(const wire::ClaimKey& key)
{
  return IsIdentifier(key.account) && IsIdentifier(key.serviceName) &&
         IsIdentifier(key.idempotencyKey);
}

bool IsValid(const wire::SyncRequest& request)
{
  const bool hasMember = request.__isset.member;
  return IsIdentifier(request.nodeId) &&
         (!hasMember ||
          (IsIdentifier(request.member.serviceName) && IsIdentifier(request.member.peerAddress) &&
           request.member.dataCentre.size() <= kMaxIdentifierBytes));
}

NodePoll ToPoll(const wire::SyncRequest& request)
{
  NodePoll poll{ .nodeId = request.nodeId,
                 .epoch = request.epoch,
                 .stateVersion = request.stateVersion };
  if (request.__isset.member) {
    poll.member = FromWire(request.member);
    poll.member->nodeId = request.nodeId;
    poll.member->epoch = request.epoch;
  }
  return poll;
}

RelayedPolls::Entry ToEntry(const wire::RelayedPoll& relayed, TimePoint now)
{
  RelayedPolls::Entry entry{ .poll = { .nodeId = relayed.nodeId,
                                       .epoch = relayed.epoch,
                                       .stateVersion = relayed.stateVersion },
                             .polledAt = now - std::chrono::milliseconds(relayed.ageMs) };
  if (relayed.__isset.member) {
    entry.poll.member = FromWire(relayed.member);
  }
  return entry;
}

void SetMembers(const std::vector<MemberInfo>& members, std::vector<wire::Member>* message)
{
  message->reserve(members.size());
  for (const auto& member : members) {
    message->push_back(ToWire(member));
  }
}

/// Trims the outcome to what is stored before it is written to the log and replicated.
wire::FinishClaimRequest TrimForLog(const wire::FinishClaimRequest& request)
{
  wire::FinishClaimRequest trimmed = request;
  trimmed.outcome = ToWire(TrimOutcome(FromWire(request.outcome)));
  trimmed.outcome.contentType.resize(
    std::min(trimmed.outcome.contentType.size(), kMaxContentTypeBytes));
  return trimmed;
}

} // namespace

RpcHandler::RpcHandler(ControlContext& context)
  : context_(context)
{
}

void RpcHandler::ThrowNotLeader(std::string_view call)
{
  context_.metrics.CountCall(call, "not_leader");
  wire::NotLeader notLeader;
  const ReplicaStatus status = context_.log.Status();
  // A leader without confirmed leadership names no leader, so that nodes try other replicas.
  notLeader.leaderRpcAddress = status.isLeader ? "" : status.leaderRpcAddress;
  throw notLeader;
}

void RpcHandler::ThrowFailure(std::string_view call, int code, const std::string& message)
{
  context_.metrics.CountCall(call, "refused");
  wire::ControlFailure failure;
  failure.code = code;
  failure.message = message;
  throw failure;
}

Duration RpcHandler::RequireLeadership(std::string_view call)
{
  const auto age = context_.ConfirmedLeadershipAge();
  if (!age) {
    ThrowNotLeader(call);
  }
  return age.value();
}

void RpcHandler::Sync(wire::SyncReply& reply, const wire::SyncRequest& request)
{
  if (!IsValid(request)) {
    ThrowFailure(
      "sync", static_cast<int>(ControlErrorCode::InvalidRequest), "invalid node or member");
  }
  const ReplicaStatus status = context_.log.Status();
  if (status.isLeader) {
    SendToRelay(request.nodeId);
  } else if (context_.MayRelayPolls()) {
    context_.pollRelay->Record(ToPoll(request));
  }
  const TimePoint start = context_.clock.Now();
  const Duration hold = std::min<Duration>(std::chrono::milliseconds(request.holdMs), kMaxHold);
  while (true) {
    const std::uint64_t seen =
      context_.changeSignal == nullptr ? 0 : context_.changeSignal->Count();
    const Duration held = context_.clock.Now() - start;
    FillState(reply, request, held);
    const Duration left = hold - held;
    if (context_.changeSignal == nullptr || left <= Duration::zero() ||
        HasChanges(reply, request)) {
      break;
    }
    context_.changeSignal->WaitForChange(seen, left);
  }
  reply.acceptedReportNumber =
    context_.hooks.acceptReport ? context_.hooks.acceptReport(request) : request.reportNumber;
  context_.metrics.CountCall("sync", "ok");
}

/// Refuses a poll that a relay can answer before any work is done for it. Otherwise the polls of a
/// large fleet that restarts delay the calls by which the relays become able to answer.
void RpcHandler::SendToRelay(const std::string& nodeId)
{
  if (!context_.IsLargeFleet()) {
    return;
  }
  const std::string relay = relays_.Select(nodeId, context_.clock.Now());
  if (relay.empty()) {
    return;
  }
  context_.metrics.CountCall("sync", "sent_to_relay");
  wire::NotLeader toRelay;
  toRelay.leaderRpcAddress = relay;
  throw toRelay;
}

void RpcHandler::FillState(wire::SyncReply& reply, const wire::SyncRequest& request, Duration held)
{
  const bool isRelay = context_.MayRelayPolls() && !context_.log.Status().isLeader &&
                       (context_.pollRelay->RelaysPolls() || context_.IsLargeFleet());
  // The age is read before the state, so that the state is never older than the reported age.
  const Duration age = isRelay ? RequireRelayedState() : RequireLeadership("sync");
  reply = {};
  reply.ageMs = std::chrono::ceil<std::chrono::milliseconds>(age).count();
  reply.heldMs = std::chrono::floor<std::chrono::milliseconds>(held).count();
  const StateChanges changes = context_.state.ChangesSince(request.stateVersion);
  reply.delta = ToWire(changes);
  reply.evacuatedDataCentres = changes.evacuatedDataCentres;
  // Sent only on change: the document may be large, and nearly all polling nodes already have it.
  if (context_.state.FleetVersion() != request.fleetVersion) {
    const FleetChange fleet = context_.state.Fleet();
    wire::FleetRecord record;
    record.version = fleet.version;
    record.document = fleet.document;
    reply.__set_fleet(record);
  }
  reply.fleetSecret = isRelay ? context_.state.FleetSecret() : EnsureFleetSecret();
  const ReplicaStatus status = context_.log.Status();
  reply.leaderRpcAddress = status.leaderRpcAddress;
  for (const auto& replica : status.replicas) {
    reply.controlAddresses.push_back(replica.rpcAddress);
  }
  if (isRelay) {
    FillRelayedMembers(reply, request);
  } else {
    FillMembers(reply, request);
  }
}

Duration RpcHandler::RequireRelayedState()
{
  const auto confirmedAt = context_.pollRelay->ConfirmedAt();
  if (!confirmedAt) {
    // Names no leader, so that the nodes of this relay try other relays first.
    context_.metrics.CountCall("sync", "not_relayed");
    throw wire::NotLeader();
  }
  return context_.clock.Now() - *confirmedAt;
}

void RpcHandler::FillRelayedMembers(wire::SyncReply& reply, const wire::SyncRequest& request)
{
  reply.relaysPolls = true;
  reply.membersVersion = request.membersVersion;
  context_.pollRelay->WithState([&](const RelayedState& state) {
    const auto* members = state.MembersFor(request.membersVersion);
    reply.membersIncluded = members != nullptr;
    if (reply.membersIncluded) {
      reply.membersVersion = state.MembersVersion();
      SetMembers(*members, &reply.members);
    }
  });
}

std::string RpcHandler::EnsureFleetSecret()
{
  std::string secret = context_.state.FleetSecret();
  if (secret.empty()) {
    wire::ControlCommand command;
    wire::FoundFleetCommand foundFleet;
    foundFleet.secret = RandomHex(kFleetSecretBytes);
    command.__set_foundFleet(foundFleet);
    Propose("sync", command);
    secret = context_.state.FleetSecret();
  }
  return secret;
}

void RpcHandler::RecordPolls(const std::vector<RelayedPolls::Entry>& polls,
                             const Leadership& leadership)
{
  const TimePoint now = context_.clock.Now();
  context_.nodes.BeginTerm(leadership.term);
  for (const auto& entry : polls) {
    context_.nodes.RecordPoll(entry.poll, entry.polledAt);
  }
  context_.nodes.Expire(now);
  if (context_.nodes.Publish(now) && context_.changeSignal != nullptr) {
    context_.changeSignal->Notify();
  }
}

void RpcHandler::FillMembers(wire::SyncReply& reply, const wire::SyncRequest& request)
{
  const Leadership leadership = context_.CurrentLeadership();
  const std::lock_guard lock(context_.nodesMutex);
  RecordPolls({ { .poll = ToPoll(request), .polledAt = context_.clock.Now() } }, leadership);
  reply.relaysPolls =
    context_.MayRelayPolls() && (context_.nodes.RelaysPolls() || context_.IsLargeFleet());
  // Nodes keep the member list of the previous leader until this one had time to hear all nodes.
  const bool hasOlderList =
    request.membersVersion != 0 && !context_.nodes.IsFromCurrentTerm(request.membersVersion);
  if (hasOlderList && leadership.leadingFor < kMemberListRebuildTime) {
    reply.membersVersion = request.membersVersion;
    reply.membersIncluded = false;
    return;
  }
  reply.membersVersion = context_.nodes.MembersVersion();
  reply.membersIncluded = request.membersVersion != reply.membersVersion;
  if (reply.membersIncluded) {
    SetMembers(context_.nodes.Members(), &reply.members);
  }
}

void RpcHandler::RelayPolls(wire::PollRelayReply& reply, const wire::PollRelayRequest& request)
{
  // The age is read before the index, so that it holds for all entries up to the index.
  const Duration age = RequireLeadership("relay_polls");
  EnsureFleetSecret();
  reply.ageMs = std::chrono::ceil<std::chrono::milliseconds>(age).count();
  reply.appliedIndex = static_cast<std::int64_t>(context_.log.Status().appliedIndex);
  const Leadership leadership = context_.CurrentLeadership();
  const TimePoint now = context_.clock.Now();
  std::vector<RelayedPolls::Entry> polls;
  polls.reserve(request.polls.size());
  for (const auto& relayed : request.polls) {
    polls.push_back(ToEntry(relayed, now));
  }
  // A relay learns from the reply that it may answer polls, so that calls before do not count.
  if (context_.IsLargeFleet()) {
    relays_.RecordCall(request.relayRpcAddress, now);
  } else {
    relays_.Clear();
  }
  const std::lock_guard lock(context_.nodesMutex);
  RecordPolls(polls, leadership);
  reply.term = static_cast<std::int64_t>(leadership.term);
  reply.relaysPolls =
    !context_.hooks.acceptReport && (context_.nodes.RelaysPolls() || context_.IsLargeFleet());
  reply.membersIncomplete = leadership.leadingFor < kMemberListRebuildTime;
  reply.membersVersion = context_.nodes.MembersVersion();
  reply.membersIncluded = request.membersVersion != reply.membersVersion;
  if (reply.membersIncluded) {
    SetMembers(context_.nodes.Members(), &reply.members);
  }
  context_.metrics.CountCall("relay_polls", "ok");
}

void RpcHandler::AcquireTokens(wire::TokenReply& reply, const wire::TokenRequest& request)
{
  constexpr std::string_view kCall = "acquire_tokens";
  const ReplicaStatus status = context_.log.Status();
  if (context_.relay == nullptr || status.isLeader || status.leaderId.empty()) {
    GrantTokens(kCall, reply, request);
  } else if (!context_.relay->Acquire(reply, request)) {
    context_.metrics.CountCall(kCall, "not_relayed");
    // Names no leader, so that the node tries other replicas, which may still reach the leader.
    throw wire::NotLeader();
  }
  context_.metrics.CountCall(kCall, "ok");
}

void RpcHandler::RelayTokens(wire::RelayedTokenReply& reply,
                             const wire::RelayedTokenRequest& request)
{
  constexpr std::string_view kCall = "relay_tokens";
  for (const auto& relayed : request.requests) {
    GrantTokens(kCall, reply.replies.emplace_back(), relayed);
  }
  context_.metrics.CountCall(kCall, "ok");
}

void RpcHandler::GrantTokens(std::string_view call,
                             wire::TokenReply& reply,
                             const wire::TokenRequest& request)
{
  RequireLeadership(call);
  if (!context_.hooks.acquireTokens) {
    ThrowFailure(call,
                 static_cast<int>(ControlErrorCode::UnsupportedCall),
                 "this control process grants no rate tokens");
  }
  const auto granted = context_.hooks.acquireTokens(reply, request, context_.CurrentLeadership());
  if (!granted) {
    if (granted.error().code == ControlErrorCode::NotLeader) {
      ThrowNotLeader(call);
    }
    ThrowFailure(call, static_cast<int>(granted.error().code), granted.error().Describe());
  }
}

wire::CommandReply RpcHandler::Propose(std::string_view call, const wire::ControlCommand& command)
{
  const auto proposed = context_.Propose(command, kClaimTimeout);
  if (!proposed) {
    if (proposed.error().code == ControlErrorCode::NotLeader) {
      ThrowNotLeader(call);
    }
    ThrowFailure(call,
                 static_cast<int>(proposed.error().code),
                 proposed.error().Describe() + "; not granted, resend the same attempt");
  }
  if (proposed.value().errorCode != 0) {
    ThrowFailure(call,
                 proposed.value().errorCode,
                 proposed.value().errorName + ": " + proposed.value().message);
  }
  context_.metrics.CountCall(call, "ok");
  return proposed.value();
}

void RpcHandler::BeginClaim(wire::BeginClaimReply& reply, const wire::BeginClaimRequest& request)
{
  const bool isValid = IsValid(request.key) && IsIdentifier(request.attemptId) &&
                       IsIdentifier(request.fingerprint) &&
                       request.nodeId.size() <= kMaxIdentifierBytes;
  if (!isValid) {
    ThrowFailure("begin_claim",
                 static_cast<int>(ClaimsErrorCode::InvalidAttempt),
                 "an identifier is empty or longer than 128 bytes");
  }
  wire::ControlCommand command;
  command.__set_beginClaim(request);
  reply = Propose("begin_claim", command).claim;
}

void RpcHandler::FinishClaim(const wire::FinishClaimRequest& request)
{
  if (!IsValid(request.key) || !IsIdentifier(request.attemptId)) {
    ThrowFailure(
      "finish_claim", static_cast<int>(ClaimsErrorCode::InvalidAttempt), "invalid identifier");
  }
  wire::ControlCommand command;
  command.__set_finishClaim(TrimForLog(request));
  Propose("finish_claim", command);
}

void RpcHandler::ReleaseClaim(const wire::ReleaseClaimRequest& request)
{
  if (!IsValid(request.key) || !IsIdentifier(request.attemptId)) {
    ThrowFailure(
      "release_claim", static_cast<int>(ClaimsErrorCode::InvalidAttempt), "invalid identifier");
  }
  wire::ControlCommand command;
  command.__set_releaseClaim(request);
  Propose("release_claim", command);
}

} // namespace acp::detail
