#pragma once

/// @file
/// Polls of nodes at replicas that are not the leader, forwarded to the leader in batches.

#include <condition_variable> // condition_variable
#include <cstdint>            // int64_t, uint64_t
#include <deque>              // deque
#include <functional>         // function
#include <map>                // map
#include <mutex>              // mutex
#include <optional>           // optional
#include <string>             // string
#include <thread>             // thread
#include <vector>             // vector

#include "acaciapulley/control/live_nodes.hpp"        // MemberInfo, NodePoll
#include "acaciapulley/core/clock.hpp"                // Clock, Duration, TimePoint
#include "acaciapulley/transport/transport_error.hpp" // TransportResult

namespace acp::wire {
class ControlServiceIf;
class PollRelayReply;
class PollRelayRequest;
} // namespace acp::wire

namespace acp {

/// A relay answers polls only if the leader confirmed its state within this time. It is longer than
/// an election, so that the nodes of a relay do not all turn to the new leader, and well below the
/// 4 s after which nodes refuse requests with a key.
inline constexpr Duration kMaxRelayedAge = std::chrono::seconds(2);

/// The newest poll of each node since the leader last received them. Not thread-safe.
///
/// @par Example
/// @code
/// polls.Record(poll, clock.Now());
/// const auto unsent = polls.Unsent(clock.Now());
/// if (Send(unsent)) { polls.MarkSent(unsent); }
/// @endcode
class RelayedPolls
{
public:
  struct Entry
  {
    NodePoll poll;
    TimePoint polledAt;
    std::uint64_t number = 0; ///< increases with each poll at this replica
  };

  /// @brief Records a poll; late polls of an earlier process of the same node are ignored.
  /// @return whether the node's member is new or has changed
  bool Record(const NodePoll& poll, TimePoint now);

  /// @brief Removes nodes that exceeded kNodeSilenceTimeout and returns the polls to send.
  [[nodiscard]] std::vector<Entry> Unsent(TimePoint now);

  /// @brief Records that the leader received @p sent.
  void MarkSent(const std::vector<Entry>& sent);

  /// @brief Marks all polls as not sent, for a new leader.
  void ResendAll() { sentNumber_ = 0; }

private:
  std::map<std::string, Entry> byNode_;
  std::uint64_t lastNumber_ = 0;
  std::uint64_t sentNumber_ = 0;
};

/// What a relay knows from the leader's replies: how current its own state is, and the member list.
/// Not thread-safe.
class RelayedState
{
public:
  /// @brief Applies a reply of the leader.
  /// @param sentAt when the request was sent
  /// @return whether the reply came from another leader than the one before
  bool Apply(const wire::PollRelayReply& reply, TimePoint sentAt);

  /// @brief Publishes the newest member list if MemberPublishInterval() has passed.
  /// @return whether a new list was published
  bool Publish(TimePoint now);

  /// @brief Returns a time at which the state up to @p appliedIndex was the newest one.
  /// @return nothing if the leader has confirmed no index that was applied here
  [[nodiscard]] std::optional<TimePoint> ConfirmedAt(std::uint64_t appliedIndex);

  /// @brief Returns whether nodes should poll this replica.
  [[nodiscard]] bool RelaysPolls() const { return relaysPolls_; }

  /// @brief Returns the version of the newest list received from the leader; 0: none.
  [[nodiscard]] std::int64_t ReceivedVersion() const { return received_.version; }

  /// @brief Returns the list to send to a node that has the list @p nodeVersion.
  /// @return nothing if the node's list is as new, or was more complete under an earlier leader
  [[nodiscard]] const std::vector<MemberInfo>* MembersFor(std::int64_t nodeVersion) const;

  /// @brief Returns the version of the published list; 0: none.
  [[nodiscard]] std::int64_t MembersVersion() const { return published_.version; }

private:
  struct Confirmation
  {
    TimePoint confirmedAt;
    std::uint64_t appliedIndex = 0;
  };

  struct MemberList
  {
    std::int64_t version = 0;
    std::vector<MemberInfo> members;
  };

  std::int64_t term_ = 0;
  bool relaysPolls_ = false;
  bool isIncomplete_ = false; ///< the leader may not have heard all nodes yet
  std::optional<TimePoint> confirmedAt_;
  std::deque<Confirmation> pending_; ///< of indices that are not applied here yet
  MemberList received_;
  MemberList published_;
  TimePoint publishedAt_;
};

/// Construction options of a PollRelay.
struct PollRelayOptions
{
  const Clock* clock = nullptr;
  std::string rpcAddress; ///< at which nodes reach this replica
  /// Returns whether this replica follows a known leader.
  std::function<bool()> isFollower;
  /// Returns the index of the log up to which the local state is applied.
  std::function<std::uint64_t()> appliedIndex;
  /// Performs one call to the leader.
  std::function<TransportResult<void>(const std::function<void(wire::ControlServiceIf&)>& call)>
    callLeader;
  /// Publishes due changes of members; called regularly while this replica is the leader.
  std::function<void()> publishAsLeader;
  std::function<void()> onChanged; ///< a new member list was published
  /// Returns whether the log lists a large fleet; may be null.
  std::function<bool()> isLargeFleet;
  /// Pause between two calls while nodes poll this replica.
  Duration interval = std::chrono::milliseconds(200);
  /// Pause in a small fleet, in which the calls only tell whether it has become a large one.
  Duration smallFleetInterval = std::chrono::seconds(1);
};

/// Lets a follower answer the polls of nodes. It sends the leader the polls that it received, and
/// gets in return how current its own replicated state is and the member list. The number of calls
/// to the leader is independent of the number of nodes. Thread-safe.
///
/// @par Example
/// @code
/// acp::PollRelay relay({ .clock = &clock, .callLeader = ... });
/// relay.Record(poll);
/// const auto confirmedAt = relay.ConfirmedAt();
/// @endcode
class PollRelay
{
public:
  explicit PollRelay(PollRelayOptions options);
  PollRelay(const PollRelay&) = delete;
  PollRelay& operator=(const PollRelay&) = delete;
  ~PollRelay();

  /// @brief Records a poll of a node, for the next call to the leader.
  void Record(const NodePoll& poll);

  /// @brief Returns a time at which the local state was the newest one, at most kMaxRelayedAge ago.
  /// @return nothing if this replica should not answer polls
  [[nodiscard]] std::optional<TimePoint> ConfirmedAt();

  /// @brief Calls @p use with the relayed state while it is locked.
  void WithState(const std::function<void(const RelayedState& state)>& use);

  /// @brief Returns whether the fleet is large enough for relayed polls.
  [[nodiscard]] bool RelaysPolls();

private:
  void Run();
  void Relay();

  PollRelayOptions options_;
  std::mutex mutex_;
  std::condition_variable wakeUp_;
  RelayedPolls polls_;
  RelayedState state_;
  bool stopping_ = false;
  std::thread thread_;
};

} // namespace acp
