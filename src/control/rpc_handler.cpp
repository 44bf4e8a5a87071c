#include "acaciapulley/control/detail/rpc_handler.hpp"

namespace acp::detail {

namespace {

MemberInfo FromWire(const wire::Member& member)
{
  return { .nodeId = member.nodeId,
           .epoch = member.epoch,
           .service = member.serviceName,
           .dataCentre = member.dataCentre,
           .peerAddress = member.peerAddress,
           .slots = member.slots,
           .maxConnections = member.maxConnections,
           .coldStartMs = member.coldStartMs,
           .draining = member.draining };
}

wire::Member ToWire(const MemberInfo& info)
{
  wire::Member member;
  member.nodeId = info.nodeId;
  member.epoch = info.epoch;
  member.serviceName = info.service;
  member.dataCentre = info.dataCentre;
  member.peerAddress = info.peerAddress;
  member.slots = info.slots;
  member.maxConnections = info.maxConnections;
  member.coldStartMs = info.coldStartMs;
  member.draining = info.draining;
  return member;
}

wire::StateDelta ToWire(const StateChanges& changes)
{
  wire::StateDelta delta;
  delta.snapshot = changes.isSnapshot;
  delta.fromVersion = changes.fromVersion;
  delta.toVersion = changes.toVersion;
  for (const auto& document : changes.documents) {
    wire::DocumentRecord record;
    record.serviceName = document.service;
    record.version = document.version;
    record.body = document.body;
    delta.documents.push_back(record);
  }
  for (const auto& key : changes.issuedKeys) {
    wire::IssuedKey issued;
    issued.id = key.id;
    issued.hash = key.hash;
    issued.account = key.account;
    issued.issuedAtMs = CountMillis(key.issuedAt);
    delta.issuedKeys.push_back(issued);
  }
  delta.revokedKeyIds = changes.revokedKeyIds;
  return delta;
}

} // namespace

RpcHandler::RpcHandler(SharedState& state, const Clock& clock)
  : state_(state)
  , clock_(clock)
{
}

void RpcHandler::Sync(wire::SyncReply& reply, const wire::SyncRequest& request)
{
  const std::lock_guard lock(state_.mutex);
  const TimePoint now = clock_.Now();
  if (request.__isset.member) {
    state_.members.Report(FromWire(request.member), now);
  }
  state_.members.Expire(now);
  reply.ageMs = 0;
  reply.delta = ToWire(state_.control.ChangesSince(request.stateVersion));
  reply.acceptedReportNumber = request.reportNumber;
  reply.membersVersion = state_.members.Version();
  reply.membersIncluded = request.membersVersion != reply.membersVersion;
  if (reply.membersIncluded) {
    for (const auto& member : state_.members.Members()) {
      reply.members.push_back(ToWire(member));
    }
  }
}

namespace {

[[noreturn]] void RefuseUnsupported()
{
  wire::ControlFailure failure;
  failure.code = 0;
  failure.message = "not supported by this version of control";
  throw failure;
}

} // namespace

void RpcHandler::AcquireTokens(wire::TokenReply& /*reply*/, const wire::TokenRequest& /*request*/)
{
  RefuseUnsupported();
}

void RpcHandler::BeginClaim(wire::BeginClaimReply& /*reply*/,
                            const wire::BeginClaimRequest& /*request*/)
{
  RefuseUnsupported();
}

void RpcHandler::FinishClaim(const wire::FinishClaimRequest& /*request*/)
{
  RefuseUnsupported();
}

void RpcHandler::ReleaseClaim(const wire::ReleaseClaimRequest& /*request*/)
{
  RefuseUnsupported();
}

} // namespace acp::detail
