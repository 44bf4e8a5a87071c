#pragma once

/// @file
/// Polls control for changes of the state and reports the node's upstream and counters.

#include <condition_variable> // condition_variable
#include <cstddef>            // size_t
#include <cstdint>            // int64_t
#include <functional>         // function
#include <mutex>              // mutex
#include <set>                // set
#include <string>             // string
#include <thread>             // thread
#include <vector>             // vector

#include "acaciapulley/core/clock.hpp"                // Clock
#include "acaciapulley/node/local_upstream.hpp"       // LocalUpstream
#include "acaciapulley/node/state_cache.hpp"          // StateCache
#include "acaciapulley/record/record_counters.hpp"    // RecordCounters
#include "acaciapulley/routing/member_table.hpp"      // MemberTable
#include "acaciapulley/transport/control_channel.hpp" // ControlChannel

namespace acp::wire {
class SyncReply;
} // namespace acp::wire

namespace acp {

/// Construction options of a SyncLoop.
struct SyncLoopOptions
{
  std::string nodeId;
  std::int64_t epoch = 0;
  std::string dataCentre;
  Address peerAddress; ///< address at which peers reach this node
  /// For the polls, which control may hold. In a large fleet they go to a follower, which the hash
  /// of the node id selects.
  ControlChannel* syncChannel = nullptr;
  const Clock* clock = nullptr;
  StateCache* stateCache = nullptr;
  LocalUpstream* upstream = nullptr;
  MemberTable* members = nullptr;
  RecordCounters* record = nullptr; ///< its reports are resent until control has accepted them
  /// Also gets the addresses of control's replicas; may be null.
  ControlChannel* claimChannel = nullptr;
  /// Its calls go through a follower, which the hash of the node id selects; may be null.
  ControlChannel* tokenChannel = nullptr;
  /// Called with the evacuated data centres on each reply that changes them, before the reply is
  /// applied to `stateCache`; may be empty.
  std::function<void(const std::set<std::string>&)> onEvacuationChanged;
  /// Longest time that control may hold a poll while nothing changes; 0: it replies at once.
  Duration maxHold{};
};

/// A thread that polls control about once a second; with long polls, soon after each reply. After
/// a failure it polls again with a pause that doubles up to the poll interval. All pauses are
/// jittered.
class SyncLoop
{
public:
  explicit SyncLoop(SyncLoopOptions options);
  SyncLoop(const SyncLoop&) = delete;
  SyncLoop& operator=(const SyncLoop&) = delete;
  ~SyncLoop();

  /// @brief Starts the next poll at once, for instance after an announcement; does not shorten the
  /// pause after a failure.
  void Wake();

private:
  void Run();
  bool PollOnce();
  void RecordPollResult(bool succeeded, Duration ageBefore);
  void AddControlReplicas(const wire::SyncReply& reply);
  void SelectTokenRelay(const std::vector<Address>& replicas, const Address& leader);
  void SelectPollRelay(std::vector<Address> replicas, const Address& leader);
  void ReportEvacuation(const ReceivedChanges& changes);
  [[nodiscard]] std::size_t NodeHash() const;
  void UpdateWarmupRates();

  SyncLoopOptions options_;
  std::int64_t membersVersion_ = 0;
  std::size_t failedPolls_ = 0; ///< since the last one that succeeded
  std::set<std::string> reportedEvacuation_;
  std::vector<RoutedMember> members_;    ///< the list of membersVersion_
  std::vector<Address> relayCandidates_; ///< replicas from which the token relay was selected
  std::size_t pollRelaySelections_ = 0;
  TimePoint pollRelaySelectedAt_;
  std::mutex mutex_;
  std::condition_variable wakeUp_;
  bool woken_ = false;
  bool stopping_ = false;
  std::thread thread_;
};

} // namespace acp
