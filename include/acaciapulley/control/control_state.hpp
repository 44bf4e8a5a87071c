#pragma once

/// @file
/// The durable state of control: a deterministic state machine driven by the replicated log.

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

/// Version of the format of commands and snapshots that this program writes.
inline constexpr int kControlFormat = 1;

/// Months of the record that are kept, and the most of it that is kept.
inline constexpr std::chrono::milliseconds kRecordRetention = std::chrono::hours(24 * 62);
inline constexpr std::size_t kMaxRecordRows = 524'288;

/// A node that the log knows: it joined and is not lost.
struct JoinedNode
{
  std::string nodeId;
  std::string service;
  bool isDraining = false;

  bool operator==(const JoinedNode&) const = default;
};

/// Rows of the monthly record of one hour, encoded by the module record.
struct RecordRows
{
  UnixMillis hour{};
  std::string source; ///< who collected them; a new leader is a new source
  std::string rows;
};

/// Documents, keys, claims, operators' requests, audit trail, known nodes and record.
///
/// Commands are the Thrift structs of idl/command.thrift. Replicas that apply the same entries have
/// byte-equal snapshots. Reading calls may come from any thread.
///
/// @par Example
/// @code
/// acp::ControlState state;
/// const std::string reply = state.Apply(entry);
/// const acp::StateChanges news = state.ChangesSince(nodeVersion);
/// @endcode
class ControlState final : public StateMachine
{
public:
  explicit ControlState(ClaimLimits claimLimits = {});
  ~ControlState() override;

  /// @brief Applies an encoded wire::ControlCommand.
  /// @return an encoded wire::CommandReply; an entry that cannot be read is refused
  /// @throw std::runtime_error when a newer program wrote the entry: going on would make this
  /// replica's state differ from the others'
  std::string Apply(const CommittedEntry& entry) override;

  [[nodiscard]] std::string TakeSnapshot() const override;
  bool Restore(const std::string& snapshot) override;

  /// @brief Sets what is called after each applied entry, without a lock; set before the log runs.
  void SetAppliedCallback(std::function<void()> callback);

  /// @brief Returns what a node that has @p version lacks; a snapshot when it is too far behind.
  [[nodiscard]] StateChanges ChangesSince(std::int64_t version) const;

  /// @brief Returns the state version; each change of documents or keys raises it by one.
  [[nodiscard]] std::int64_t Version() const;

  /// @brief Returns the fleet document in force; its version is 0 before the first.
  [[nodiscard]] FleetChange Fleet() const;

  /// @brief Returns the version of the fleet document, 0 before the first; cheaper than Fleet().
  [[nodiscard]] std::int64_t FleetVersion() const;

  /// @brief Returns the secret that signs request contexts, empty until the fleet is founded.
  [[nodiscard]] std::string FleetSecret() const;

  /// @brief Returns the current document of @p service, or nothing.
  [[nodiscard]] std::optional<StoredDocument> DocumentOf(const std::string& service) const;

  /// @brief Returns the current documents of all services.
  [[nodiscard]] std::vector<StoredDocument> Documents() const;

  /// @brief Returns the kept versions of @p service's document, oldest first.
  [[nodiscard]] std::vector<StoredDocument> History(const std::string& service) const;

  /// @brief Returns the keys of @p account, or all when it is empty.
  [[nodiscard]] std::vector<KeyRecord> Keys(const std::string& account) const;

  /// @brief Returns up to @p limit entries of the audit trail with numbers from @p number on.
  [[nodiscard]] std::vector<AuditEntry> AuditEntriesFrom(std::int64_t number,
                                                         std::size_t limit) const;

  /// @brief Returns the number that the next entry of the audit trail gets.
  [[nodiscard]] std::int64_t NextAuditNumber() const;

  /// @brief Returns the nodes that joined and are not lost, ordered by id.
  [[nodiscard]] std::vector<JoinedNode> JoinedNodes() const;

  /// @brief Returns the stored record of the hours in [@p from, @p to), ordered by hour.
  [[nodiscard]] std::vector<RecordRows> Record(UnixMillis from, UnixMillis to) const;

  /// @brief Returns the identities of replicas that were replaced.
  [[nodiscard]] std::vector<std::string> RetiredReplicas() const;

  /// @brief Returns the number of claims.
  [[nodiscard]] std::size_t ClaimCount() const;

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace acp
