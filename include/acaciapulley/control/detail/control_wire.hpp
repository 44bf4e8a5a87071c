#pragma once

/// @file
/// Conversions between the types of this module and the Thrift structs of idl/control.thrift and
/// idl/command.thrift.

#include "acaciapulley/claims/claim_registry.hpp"          // ClaimAttempt, ClaimRecord
#include "acaciapulley/control/audit_trail.hpp"            // AuditEntry
#include "acaciapulley/control/change_feed.hpp"            // StateChanges
#include "acaciapulley/control/live_nodes.hpp"             // MemberInfo
#include "acaciapulley/control/operator_request_store.hpp" // RequestOrigin
#include "gen/command_types.h"

namespace acp::detail {

[[nodiscard]] ClaimKey FromWire(const wire::ClaimKey& key);
[[nodiscard]] ClaimAttempt FromWire(const wire::BeginClaimRequest& request);
[[nodiscard]] ClaimOutcome FromWire(const wire::ClaimOutcome& outcome);
[[nodiscard]] ClaimRecord FromWire(const wire::ClaimRow& row);
[[nodiscard]] KeyRecord FromWire(const wire::IssuedKey& key);
[[nodiscard]] MemberInfo FromWire(const wire::Member& member);
[[nodiscard]] RequestOrigin FromWire(const wire::OperatorRequest& origin);
[[nodiscard]] AuditEntry FromWire(const wire::AuditRow& row);

[[nodiscard]] wire::ClaimOutcome ToWire(const ClaimOutcome& outcome);
[[nodiscard]] wire::BeginClaimReply ToWire(const ClaimDecision& decision);
[[nodiscard]] wire::ClaimRow ToWire(const ClaimRecord& record);
[[nodiscard]] wire::IssuedKey ToWire(const KeyRecord& key);
[[nodiscard]] wire::Member ToWire(const MemberInfo& info);
[[nodiscard]] wire::OperatorRequest ToWire(const RequestOrigin& origin);
[[nodiscard]] wire::AuditRow ToWire(const AuditEntry& entry);
[[nodiscard]] wire::StateDelta ToWire(const StateChanges& changes);

} // namespace acp::detail
