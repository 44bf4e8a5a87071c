#pragma once

/// @file
/// Nodes that poll the leader: what each has confirmed, and the upstreams they announce.

#include <cstdint>  // int64_t, uint64_t
#include <map>      // map
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

#include "acaciapulley/core/clock.hpp" // Duration, TimePoint

namespace acp {

/// How long a member stays without a poll of its node.
inline constexpr Duration kMemberLease = std::chrono::seconds(5);

/// A node that has not polled for this long serves nothing, not even open routes.
inline constexpr Duration kNodeSilenceTimeout = std::chrono::seconds(15);

/// A new leader hears every live node within this time: a poll with jitter and a retry.
inline constexpr Duration kMemberListRebuildTime = std::chrono::seconds(2);

/// What a node reports about its upstream.
struct MemberInfo
{
  std::string nodeId;
  std::int64_t epoch = 0; ///< changes on each start of the node
  std::string service;
  std::string dataCentre;
  std::string peerAddress; ///< ip:port of the node's peer listener
  int slots = 0;
  int maxConnections = 0;
  std::int64_t coldStartMs = 0;
  bool draining = false;

  bool operator==(const MemberInfo&) const = default;
};

/// One poll.
struct NodePoll
{
  std::string nodeId;
  std::int64_t epoch = 0;
  std::int64_t stateVersion = 0; ///< what the node decides by; 0 when it has no state
  std::optional<MemberInfo> member;
};

/// What the leader knows of a node.
struct NodeStatus
{
  std::string nodeId;
  std::int64_t confirmedVersion = 0;
  Duration sinceLastPoll{}; ///< time since its last poll
  std::optional<MemberInfo> member;
};

/// Which nodes decide by a state version.
struct ConfirmationStatus
{
  /// Whether every node that may serve has confirmed; never true while nodes may be unheard.
  bool isConfirmedByAll = false;
  std::int64_t smallestConfirmed = 0;    ///< 0 when no node with state was heard
  std::vector<std::string> notConfirmed; ///< heard in the last kNodeSilenceTimeout, not confirmed
  std::vector<std::string> notHeard;     ///< known from the log, not heard by this leader yet
  bool mayMissNodes = false;             ///< the leader took over less than kNodeSilenceTimeout ago
};

/// The nodes by id, in the leader's memory. Not thread-safe.
///
/// @par Example
/// @code
/// nodes.BeginTerm(term);
/// nodes.RecordPoll({ .nodeId = "orders-1", .epoch = 7, .stateVersion = 12 }, clock.Now());
/// const bool everywhere = nodes.ConfirmationOf(12, joinedNodeIds, leadingFor).isConfirmedByAll;
/// @endcode
class LiveNodes
{
public:
  /// @brief Forgets everything when @p term differs from the term before.
  void BeginTerm(std::uint64_t term);

  /// @brief Takes a poll; a report of an older epoch of the same node is ignored.
  void RecordPoll(const NodePoll& poll, TimePoint now);

  /// @brief Removes members whose lease has ended, and nodes that are silent.
  void Expire(TimePoint now);

  /// @brief Returns the members ordered by node.
  [[nodiscard]] std::vector<MemberInfo> Members() const;

  /// @brief Returns the version of the member list; differs between terms, never 0.
  [[nodiscard]] std::int64_t MembersVersion() const;

  /// @brief Returns whether @p membersVersion was given out in this term.
  [[nodiscard]] bool IsFromCurrentTerm(std::int64_t membersVersion) const;

  /// @brief Returns all nodes heard in the last kNodeSilenceTimeout, ordered by id.
  [[nodiscard]] std::vector<NodeStatus> Nodes(TimePoint now) const;

  /// @brief Returns who has confirmed @p version.
  /// @param joinedNodeIds ids of the nodes that the log knows
  /// @param leadingFor how long this replica has led
  /// @note A node without state serves nothing and is never behind.
  [[nodiscard]] ConfirmationStatus ConfirmationOf(std::int64_t version,
                                                  const std::vector<std::string>& joinedNodeIds,
                                                  Duration leadingFor) const;

private:
  struct Entry
  {
    std::int64_t epoch = 0;
    std::int64_t confirmedVersion = 0;
    TimePoint lastPollAt;
    std::optional<MemberInfo> member;
  };

  std::map<std::string, Entry> byNode_;
  std::uint64_t term_ = 0;
  std::int64_t memberChanges_ = 1;
};

} // namespace acp
