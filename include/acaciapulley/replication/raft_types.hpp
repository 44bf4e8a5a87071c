#pragma once

/// @file
/// Entries, membership, snapshots and messages of the replicated log.

#include <array>   // array
#include <cstddef> // size_t
#include <cstdint> // uint64_t
#include <memory>  // shared_ptr
#include <set>     // set
#include <string>  // string
#include <vector>  // vector

#include "acaciapulley/core/clock.hpp"                    // Duration, UnixMillis
#include "acaciapulley/core/names.hpp"                    // EnumName, NameTable
#include "acaciapulley/replication/replicated_log.hpp"    // LogPosition
#include "acaciapulley/replication/replication_error.hpp" // ReplicationResult

namespace acp {

/// Identity and addresses of a replica.
struct ReplicaRecord
{
  std::string id;
  std::string rpcAddress;
  std::string operatorAddress;

  bool operator==(const ReplicaRecord&) const = default;
};

/// @brief Returns a new identity, 16 random bytes in hexadecimal.
[[nodiscard]] std::string NewIdentity();

/// The voter set. During a change `oldVoters` contains the previous voters, and every quorum needs
/// a majority of both sets (joint consensus).
struct Membership
{
  std::string clusterId;
  std::vector<ReplicaRecord> voters;
  std::vector<ReplicaRecord> oldVoters;
  /// Replaced identities. Their messages are ignored, so that they never act again whoever leads.
  std::vector<std::string> retiredIds;
  /// Old voters that the current change removes although their disks may be intact; they may rejoin
  /// as learners.
  std::vector<std::string> demotedIds;

  /// @brief Returns whether @p id is a voter or an old voter.
  [[nodiscard]] bool IsVoter(const std::string& id) const;

  /// @brief Returns whether @p ids contains a majority of the voters and, in a joint membership,
  /// also of the old voters.
  [[nodiscard]] bool HasQuorum(const std::set<std::string>& ids) const;

  /// @brief Returns whether @p id was replaced.
  [[nodiscard]] bool IsRetired(const std::string& id) const;

  /// @brief Returns the membership that follows this joint membership once it is committed.
  [[nodiscard]] Membership AfterJointConsensus() const;

  bool operator==(const Membership&) const = default;
};

/// Kind of an entry. The values are part of the stored format.
enum class EntryKind : std::uint8_t
{
  Command = 0,
  Noop = 1, ///< first entry of a term
  Membership = 2,
};

/// An entry of the log.
struct LogEntry
{
  LogPosition position;
  UnixMillis time{};
  EntryKind kind = EntryKind::Command;
  std::string data;

  bool operator==(const LogEntry&) const = default;
};

/// The state after the entry at `position`.
struct Snapshot
{
  LogPosition position;
  UnixMillis time{}; ///< time of the last entry it covers
  Membership membership;
  std::string state;

  bool operator==(const Snapshot&) const = default;
};

/// Reason for an automatic change of the voter set by the leader.
enum class VoterChangeReason
{
  HostReturnedEmpty, ///< a later identity runs at the address of a voter, whose disk is lost
  VoterSilent,       ///< a voter has been silent for RaftOptions::voterSilenceTimeout
  SetTooSmall,       ///< there are fewer voters than RaftOptions::targetVoterCount
  LearnerReplaced,   ///< a later identity runs at the address of a learner; no voter changes
};

template<>
struct NameTable<VoterChangeReason>
{
  static constexpr std::array<EnumName<VoterChangeReason>, 4> kRows = { {
    { VoterChangeReason::HostReturnedEmpty, "host_returned_empty" },
    { VoterChangeReason::VoterSilent, "voter_silent" },
    { VoterChangeReason::SetTooSmall, "set_too_small" },
    { VoterChangeReason::LearnerReplaced, "learner_replaced" },
  } };
};

/// An automatic change of the membership that the leader has appended to its log.
struct VoterChange
{
  VoterChangeReason reason = VoterChangeReason::SetTooSmall;
  LogPosition position;   ///< of the first membership entry
  std::string leavingId;  ///< empty when a voter is added
  std::string learnerId;  ///< becomes a voter, or replaces the leaving learner
  Duration silence{};     ///< time since the leaving voter was last heard from
  std::size_t voters = 0; ///< number of voters before the change
};

using SnapshotPtr = std::shared_ptr<const Snapshot>;

/// Durable state that a replica must not lose, apart from the log.
struct HardState
{
  std::string identity;
  std::string clusterId; ///< empty until the replica belongs to a cluster
  std::uint64_t term = 0;
  std::string vote; ///< identity voted for in `term`, or empty

  bool operator==(const HardState&) const = default;
};

/// Kinds of messages between replicas; the values are part of the protocol.
enum class MessageKind : std::uint8_t
{
  PreVote = 1,
  PreVoteReply = 2,
  Vote = 3,
  VoteReply = 4,
  Append = 5, ///< entries, or a heartbeat when it has none
  AppendReply = 6,
  Snapshot = 7, ///< one chunk of a snapshot
  SnapshotReply = 8,
  Join = 9,     ///< a replica that may not be a voter asks the leader to replicate the log to it
  Retired = 10, ///< the committed membership lists the recipient as replaced
};

/// A message between replicas. Which fields are used depends on the kind.
struct RaftMessage
{
  MessageKind kind = MessageKind::Append;
  std::string clusterId;
  std::string from;
  std::string to;
  std::uint64_t term = 0;
  bool accepted = false; ///< replies
  LogPosition position;  ///< Vote: last entry; Append: previous entry; Snapshot: last entry covered
  std::uint64_t commitIndex = 0; ///< Append
  std::uint64_t matchIndex = 0;  ///< AppendReply: last matching index, or the next index to try
  std::uint64_t round = 0;       ///< Append, Snapshot and their replies: heartbeat round
  std::vector<LogEntry> entries;
  std::uint64_t offset = 0; ///< Snapshot: offset of this chunk; SnapshotReply: of the next chunk
  bool isLast = false;      ///< Snapshot: last chunk
  std::string data;         ///< Snapshot: chunk of the encoded snapshot
  ReplicaRecord sender;     ///< Join
};

} // namespace acp
