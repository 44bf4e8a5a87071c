#pragma once

/// @file
/// Nodes that poll the leader, with their confirmed state versions and announced upstreams.

#include <cstddef>  // size_t
#include <cstdint>  // int64_t, uint64_t
#include <map>      // map
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

#include "acaciapulley/core/clock.hpp" // Duration, TimePoint

namespace acp {

/// How long a member remains listed without a poll of its node.
inline constexpr Duration kMemberLease = std::chrono::seconds(5);

/// A node that has not polled for this long serves no requests, not even on open routes.
inline constexpr Duration kNodeSilenceTimeout = std::chrono::seconds(15);

/// Time in which every live node polls a new leader: one poll interval with jitter and one retry.
inline constexpr Duration kMemberListRebuildTime = std::chrono::seconds(2);

/// From this number of nodes on, nodes poll replicas that are not the leader (PollRelay).
inline constexpr std::size_t kMinRelayedNodes = 100;

/// Minimum time between two published member lists. Each list is sent to every node, so that
/// without a pause a start of n nodes would send n lists to n nodes.
/// @param nodes number of nodes that receive the list; 0 for fleets whose lists cost little
[[nodiscard]] Duration MemberPublishInterval(std::size_t nodes);

/// @brief Returns the term of the leader that published the member list @p membersVersion.
[[nodiscard]] std::int64_t TermOfMembersVersion(std::int64_t membersVersion);

/// An upstream as announced by its node.
struct MemberInfo
{
  std::string nodeId;
  std::int64_t epoch = 0; ///< changes on each start of the node; see IsFromEarlierProcess()
  std::string service;
  std::string dataCentre;
  std::string peerAddress; ///< `ip:port` of the peer listener of the node
  int slots = 0;
  int maxConnections = 0;
  std::int64_t coldStartMs = 0;
  bool draining = false;

  bool operator==(const MemberInfo&) const = default;
};

/// One poll of a node.
struct NodePoll
{
  std::string nodeId;
  std::int64_t epoch = 0;
  std::int64_t stateVersion = 0; ///< version that the node applies; 0 if it has no state
  std::optional<MemberInfo> member;
};

/// Status of a node as known to the leader.
struct NodeStatus
{
  std::string nodeId;
  std::int64_t confirmedVersion = 0;
  Duration sinceLastPoll{}; ///< time since its last poll
  std::optional<MemberInfo> member;
};

/// Which nodes have confirmed a state version.
struct ConfirmationStatus
{
  /// Whether all nodes that may serve requests have confirmed the version; never true while the
  /// leader may not have heard all nodes.
  bool isConfirmedByAll = false;
  std::int64_t smallestConfirmed = 0;    ///< 0 if no node with state has polled
  std::vector<std::string> notConfirmed; ///< polled within kNodeSilenceTimeout, not confirmed
  std::vector<std::string> notHeard;     ///< joined, but not heard by this leader yet
  bool mayMissNodes = false;             ///< leader for at most kNodeSilenceTimeout
};

/// The polling nodes by id, held in memory on the leader. Not thread-safe.
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
  /// @brief Clears all nodes if @p term differs from the previous term.
  void BeginTerm(std::uint64_t term);

  /// @brief Records a poll. Polls of an older epoch of the same node, and polls that arrived
  /// earlier than the newest one, are ignored.
  /// @param polledAt when the poll arrived at this or another replica
  void RecordPoll(const NodePoll& poll, TimePoint polledAt);

  /// @brief Removes members whose lease has ended and nodes that exceeded kNodeSilenceTimeout.
  void Expire(TimePoint now);

  /// @brief Publishes the changes of members if MemberPublishInterval() has passed since the last
  /// publication.
  /// @return whether a new list was published
  bool Publish(TimePoint now);

  /// @brief Returns the published members ordered by node id.
  [[nodiscard]] const std::vector<MemberInfo>& Members() const { return published_; }

  /// @brief Returns whether there are enough nodes for replicas to relay their polls.
  [[nodiscard]] bool RelaysPolls() const { return byNode_.size() >= kMinRelayedNodes; }

  /// @brief Returns the version of the published list, which is unique across terms and never 0.
  [[nodiscard]] std::int64_t MembersVersion() const;

  /// @brief Returns whether @p membersVersion belongs to the current term.
  [[nodiscard]] bool IsFromCurrentTerm(std::int64_t membersVersion) const;

  /// @brief Returns all nodes that polled within kNodeSilenceTimeout, ordered by id.
  [[nodiscard]] std::vector<NodeStatus> Nodes(TimePoint now) const;

  /// @brief Returns which nodes have confirmed @p version.
  /// @param joinedNodeIds ids of the joined nodes according to the log
  /// @param leadingFor how long this replica has been the leader
  /// @note A node without state serves no requests and is never listed as not confirmed.
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
  std::int64_t publishedChanges_ = 1; ///< memberChanges_ at the last publication
  TimePoint publishedAt_;
  std::vector<MemberInfo> published_;
};

} // namespace acp
