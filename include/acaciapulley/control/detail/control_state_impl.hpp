#pragma once

/// @file
/// The aggregates of the control state and the commands on them.

#include <functional>   // function
#include <map>          // map
#include <set>          // set
#include <shared_mutex> // shared_mutex

#include "acaciapulley/control/control_state.hpp"  // ControlState
#include "acaciapulley/control/fleet_store.hpp"    // FleetStore
#include "acaciapulley/control/request_ledger.hpp" // RequestLedger
#include "gen/command_types.h"

namespace acp {

class ControlState::Impl
{
public:
  explicit Impl(ClaimLimits claimLimits)
    : claims(claimLimits)
  {
  }

  /// @brief Applies a command that was read.
  wire::CommandReply Apply(const wire::ControlCommand& command, UnixMillis time);

  [[nodiscard]] wire::ControlSnapshot Take() const;
  void Restore(const wire::ControlSnapshot& snapshot);
  [[nodiscard]] StateChanges Snapshot() const;

  /// Guards all that follows: the log's thread writes, servers read.
  mutable std::shared_mutex mutex;
  std::function<void()> onApplied;
  ChangeFeed feed;
  DocumentStore documents;
  KeyStore keys;
  RequestLedger ledger;
  AuditTrail audit;
  ClaimRegistry claims;
  FleetStore fleet;
  std::map<std::string, KnownNode> roster;
  std::set<std::string> retiredReplicas;
  std::map<std::pair<std::int64_t, std::string>, std::string> record;

private:
  /// A change that an operator asked for.
  struct Change
  {
    RequestOrigin origin;
    std::string action;
    std::string subject;
    std::string content; ///< all that makes two requests the same
  };

  /// Outcome of a change that was carried out.
  struct Applied
  {
    std::int64_t fromVersion = 0;
    std::int64_t toVersion = 0;
    std::string subject;
  };

  wire::CommandReply ApplyOnce(const Change& change,
                               UnixMillis time,
                               const std::function<ControlResult<Applied>()>& apply);
  wire::CommandReply ApplyPut(const wire::PutDocumentCommand& command, UnixMillis time);
  wire::CommandReply ApplyIssue(const wire::IssueKeyCommand& command, UnixMillis time);
  wire::CommandReply ApplyRevoke(const wire::RevokeKeyCommand& command, UnixMillis time);
  wire::CommandReply ApplyReplace(const wire::ReplaceReplicaCommand& command, UnixMillis time);
  wire::CommandReply ApplyNotes(const wire::NoteNodesCommand& command, UnixMillis time);
  wire::CommandReply ApplyRecord(const wire::StoreRecordCommand& command, UnixMillis time);
  wire::CommandReply ApplyFleet(const wire::PutFleetCommand& command, UnixMillis time);
  wire::CommandReply ApplyFounding(const wire::FoundFleetCommand& command);
  wire::CommandReply ApplyBegin(const wire::BeginClaimRequest& request, UnixMillis time);
  wire::CommandReply ApplyFinish(const wire::FinishClaimRequest& request, UnixMillis time);
  wire::CommandReply ApplyRelease(const wire::ReleaseClaimRequest& request, UnixMillis time);
  bool ApplyNote(const wire::NodeNote& note);
};

} // namespace acp
