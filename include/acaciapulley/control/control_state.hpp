#pragma once

/// @file
/// The persistent state of control: a deterministic state machine on top of the replicated log.

#include <cstdint>    // int64_t
#include <functional> // function
#include <memory>     // unique_ptr
#include <optional>   // optional
#include <string>     // string
#include <vector>     // vector

#include "acaciapulley/claims/claim_registry.hpp"      // ClaimLimits
#include "acaciapulley/control/audit_trail.hpp"        // AuditEntry
#include "acaciapulley/control/change_feed.hpp"        // StateChanges
#include "acaciapulley/control/document_store.hpp"     // StoredDocument
#include "acaciapulley/control/fleet_store.hpp"        // FleetChange
#include "acaciapulley/control/key_store.hpp"          // KeyRecord
#include "acaciapulley/replication/replicated_log.hpp" // StateMachine

namespace acp {

/// Highest format version of commands and snapshots that this program reads.
inline constexpr int kControlFormat = 2;

/// Format version of commands and snapshots without an evacuation. They are written in the oldest
/// format that can express them, so that replicas of the previous version can still apply them.
inline constexpr int kBaseControlFormat = 1;

/// How long the record is retained: two months.
inline constexpr std::chrono::milliseconds kRecordRetention = std::chrono::hours(24 * 62);

/// Maximum size of the rows of one hour from one source, in bytes.
inline constexpr std::size_t kMaxRecordRows = 524'288;

/// A node that, according to the log, has joined and is not lost.
struct JoinedNode
{
  std::string nodeId;
  std::string service;
  bool isDraining = false;

  bool operator==(const JoinedNode&) const = default;
};

/// Rows of the monthly record for one hour, encoded by the record module.
struct RecordRows
{
  UnixMillis hour{};
  std::string source; ///< collector of the rows; each leader is a different source
  std::string rows;
};

/// Documents, keys, claims, operator requests, audit trail, joined nodes and record.
///
/// Commands are the Thrift structs of idl/command.thrift. Replicas that applied the same entries
/// have byte-identical snapshots. Const member functions are thread-safe.
///
/// @par Example
/// @code
/// acp::ControlState state;
/// const std::string reply = state.Apply(entry);
/// const acp::StateChanges changes = state.ChangesSince(nodeVersion);
/// @endcode
class ControlState final : public StateMachine
{
public:
  explicit ControlState(ClaimLimits claimLimits = {});
  ~ControlState() override;

  /// @brief Applies an encoded wire::ControlCommand.
  /// @return an encoded wire::CommandReply; an entry that cannot be decoded is rejected
  /// @throw std::runtime_error if a newer program wrote the entry, because skipping it would make
  /// this replica diverge from the others
  std::string Apply(const CommittedEntry& entry) override;

  [[nodiscard]] std::string TakeSnapshot() const override;
  bool Restore(const std::string& snapshot) override;

  /// @brief Sets a callback that is invoked after each applied entry, without holding the lock.
  /// @note Must be set before the log starts.
  void SetAppliedCallback(std::function<void()> callback);

  /// @brief Returns the changes since @p version, or a snapshot if they are no longer retained.
  [[nodiscard]] StateChanges ChangesSince(std::int64_t version) const;

  /// @brief Returns the state version, which each change of documents, keys, fleet document,
  /// fleet secret or evacuations increments by one.
  [[nodiscard]] std::int64_t Version() const;

  /// @brief Returns the current fleet document; its version is 0 if none was put yet.
  [[nodiscard]] FleetChange Fleet() const;

  /// @brief Returns the result of putting @p change if it no longer depends on later changes; see
  /// FleetStore::Settle.
  [[nodiscard]] std::optional<ControlResult<PutFleetResult>> SettleFleetChange(
    const FleetChange& change) const;

  /// @brief Returns the version of the fleet document, 0 if none was put yet; cheaper than Fleet().
  [[nodiscard]] std::int64_t FleetVersion() const;

  /// @brief Returns the secret that signs request contexts, empty until it is initialised.
  [[nodiscard]] std::string FleetSecret() const;

  /// @brief Returns the evacuated data centres, ordered by name.
  [[nodiscard]] std::vector<std::string> EvacuatedDataCentres() const;

  /// @brief Returns the current document of @p service, or std::nullopt.
  [[nodiscard]] std::optional<StoredDocument> DocumentOf(const std::string& service) const;

  /// @brief Returns the current documents of all services.
  [[nodiscard]] std::vector<StoredDocument> Documents() const;

  /// @brief Returns the retained versions of the document of @p service, oldest first.
  [[nodiscard]] std::vector<StoredDocument> History(const std::string& service) const;

  /// @brief Returns the keys of @p account, or all keys if it is empty.
  [[nodiscard]] std::vector<KeyRecord> Keys(const std::string& account) const;

  /// @brief Returns up to @p limit audit entries, starting with number @p number.
  [[nodiscard]] std::vector<AuditEntry> AuditEntriesFrom(std::int64_t number,
                                                         std::size_t limit) const;

  /// @brief Returns the number of the next audit entry.
  [[nodiscard]] std::int64_t NextAuditNumber() const;

  /// @brief Returns the joined nodes ordered by id.
  [[nodiscard]] std::vector<JoinedNode> JoinedNodes() const;

  /// @brief Returns the number of joined nodes.
  [[nodiscard]] std::size_t JoinedNodeCount() const;

  /// @brief Returns the record rows of the hours in [@p from, @p to), ordered by hour.
  [[nodiscard]] std::vector<RecordRows> Record(UnixMillis from, UnixMillis to) const;

  /// @brief Returns the ids of replaced replicas.
  [[nodiscard]] std::vector<std::string> RetiredReplicas() const;

  /// @brief Returns the number of claims.
  [[nodiscard]] std::size_t ClaimCount() const;

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace acp
