#pragma once

/// @file
/// Polls control for the fleet's state and reports this node's upstream.

#include <condition_variable> // condition_variable
#include <cstdint>            // int64_t
#include <mutex>              // mutex
#include <string>             // string
#include <thread>             // thread
#include <vector>             // vector

#include "acaciapulley/core/clock.hpp"                // Clock
#include "acaciapulley/node/local_upstream.hpp"       // LocalUpstream
#include "acaciapulley/node/state_cache.hpp"          // StateCache
#include "acaciapulley/record/record_counters.hpp"    // RecordCounters
#include "acaciapulley/routing/member_table.hpp"      // MemberTable
#include "acaciapulley/transport/control_channel.hpp" // ControlChannel

namespace acp {

/// Construction options of a SyncLoop.
struct SyncLoopOptions
{
  std::string nodeId;
  std::int64_t epoch = 0;
  std::string dataCentre;
  Address peerAddress;                   ///< where peers reach this node
  ControlChannel* syncChannel = nullptr; ///< of the polls, which control may hold
  const Clock* clock = nullptr;
  StateCache* stateCache = nullptr;
  LocalUpstream* upstream = nullptr;
  MemberTable* members = nullptr;
  RecordCounters* record = nullptr; ///< reported until control has accepted it
  ControlChannel* claimChannel =
    nullptr; ///< also told where the replicas of control are; may be null
  /// Its calls go through a replica that does not lead, another one for each node; may be null.
  ControlChannel* tokenChannel = nullptr;
  /// Control may hold an answer for so long while nothing changes; 0: it answers at once.
  Duration maxHold{};
};

/// A thread that polls about once a second, sooner after Wake(). After a failure it polls again
/// with a pause that doubles up to the poll interval; all pauses are jittered.
class SyncLoop
{
public:
  explicit SyncLoop(SyncLoopOptions options);
  SyncLoop(const SyncLoop&) = delete;
  SyncLoop& operator=(const SyncLoop&) = delete;
  ~SyncLoop();

  /// @brief Polls at once, for instance after an announcement.
  void Wake();

private:
  void Run();
  bool PollOnce();
  void AddControlReplicas(const std::vector<std::string>& addressTexts);
  void SelectTokenRelay(const std::vector<Address>& replicas);

  SyncLoopOptions options_;
  std::int64_t membersVersion_ = 0;
  std::vector<Address> relayCandidates_; ///< replicas among which the one for tokens was chosen
  std::mutex mutex_;
  std::condition_variable wakeUp_;
  bool woken_ = false;
  bool stopping_ = false;
  std::thread thread_;
};

} // namespace acp
