#pragma once

/// @file
/// Implementation of ControlState.

#include <functional>   // function
#include <map>          // map
#include <set>          // set
#include <shared_mutex> // shared_mutex

#include "acaciapulley/control/control_state.hpp"          // ControlState
#include "acaciapulley/control/evacuation_store.hpp"       // EvacuationStore
#include "acaciapulley/control/fleet_store.hpp"            // FleetStore
#include "acaciapulley/control/operator_request_store.hpp" // OperatorRequestStore
#include "gen/command_types.h"

namespace acp {

class ControlState::Impl
{
public:
  explicit Impl(ClaimLimits claimLimits)
    : claims(claimLimits)
  {
  }

  /// @brief Applies a decoded command.
  wire::CommandReply Apply(const wire::ControlCommand& command, UnixMillis time);

  [[nodiscard]] wire::ControlSnapshot MakeLogSnapshot() const;
  void Restore(const wire::ControlSnapshot& snapshot);
  [[nodiscard]] StateChanges MakeNodeSnapshot() const;

  /// Guards the members below; written by the thread of the log, read by the servers.
  mutable std::shared_mutex mutex;
  std::function<void()> appliedCallback;
  ChangeFeed feed;
  DocumentStore documents;
  KeyStore keys;
  OperatorRequestStore operatorRequests;
  AuditTrail audit;
  ClaimRegistry claims;
  FleetStore fleet;
  EvacuationStore evacuations;
  std::map<std::string, JoinedNode> joinedNodes;
  std::set<std::string> retiredReplicas;
  std::map<std::pair<std::int64_t, std::string>, std::string> record;

private:
  /// A change requested by an operator.
  struct OperatorChange
  {
    RequestOrigin origin;
    std::string action;
    std::string subject;
    std::string content; ///< requests with equal action and content are the same change
  };

  /// Result of an applied change.
  struct ChangeResult
  {
    std::int64_t fromVersion = 0;
    std::int64_t toVersion = 0;
    std::string subject;
  };

  wire::CommandReply ApplyOnce(const OperatorChange& change,
                               UnixMillis time,
                               const std::function<ControlResult<ChangeResult>()>& apply);
  wire::CommandReply ApplyPutDocument(const wire::PutDocumentCommand& command, UnixMillis time);
  wire::CommandReply ApplyIssueKey(const wire::IssueKeyCommand& command, UnixMillis time);
  wire::CommandReply ApplyRevokeKey(const wire::RevokeKeyCommand& command, UnixMillis time);
  wire::CommandReply ApplyReplaceReplica(const wire::ReplaceReplicaCommand& command,
                                         UnixMillis time);
  wire::CommandReply ApplyNoteNodes(const wire::NoteNodesCommand& command, UnixMillis time);
  wire::CommandReply ApplyStoreRecord(const wire::StoreRecordCommand& command, UnixMillis time);
  wire::CommandReply ApplyPutFleet(const wire::PutFleetCommand& command, UnixMillis time);
  wire::CommandReply ApplyFoundFleet(const wire::FoundFleetCommand& command);
  wire::CommandReply ApplySetEvacuation(const wire::SetEvacuationCommand& command, UnixMillis time);
  wire::CommandReply ApplyBeginClaim(const wire::BeginClaimRequest& request, UnixMillis time);
  wire::CommandReply ApplyFinishClaim(const wire::FinishClaimRequest& request, UnixMillis time);
  wire::CommandReply ApplyReleaseClaim(const wire::ReleaseClaimRequest& request, UnixMillis time);
  bool ApplyNodeNote(const wire::NodeNote& note);
};

} // namespace acp
