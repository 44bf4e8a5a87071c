#pragma once

/// @file
/// What a node knows of the members of each service: control's list, and what requests show.

#include <atomic>     // atomic
#include <cstddef>    // size_t
#include <cstdint>    // int64_t
#include <functional> // function
#include <map>        // map
#include <memory>     // shared_ptr
#include <mutex>      // mutex
#include <string>     // string
#include <vector>     // vector

#include "acaciapulley/core/change_signal.hpp"       // ChangeSignal
#include "acaciapulley/core/clock.hpp"               // Duration, TimePoint
#include "acaciapulley/routing/outlier_detector.hpp" // OutlierDetector
#include "acaciapulley/routing/slow_start.hpp"       // SlowStart

namespace acp {

/// A member as control lists it.
struct RoutedMember
{
  std::string nodeId;
  std::int64_t epoch = 0; ///< changes on each start of the member's node
  std::string service;
  std::string dataCentre;
  std::string peerAddress; ///< ip:port of the node's peer listener
  int slots = 1;
  Duration coldStart{};
  bool isDraining = false;
};

/// What `Acp-Load` says of the executing node.
struct LoadSample
{
  double inFlight = 0; ///< requests at the upstream and in the gate's queue
  double limit = 0;    ///< the gate's concurrency limit; 0: not stated
  Duration queueAge{};
};

/// A member's refusal as draining counts this long; by then control's list says so as well, or the
/// drain was cancelled.
inline constexpr Duration kDrainRefusalLifetime = std::chrono::seconds(5);

/// How a call to a member ended, as far as routing is concerned.
enum class CallResult
{
  Answered,    ///< the upstream answered
  ServerError, ///< the upstream answered that it failed
  Refused,     ///< not-run: overloaded, queue timeout and the like
  Draining,    ///< not-run because the member is draining
  Failed,      ///< no connection, connection lost, or no response in time
  Cancelled,   ///< ended by the caller; says only how long the member took at least
};

/// What a call that has ended says about its member.
struct FinishedCall
{
  CallResult result = CallResult::Answered;
  TimePoint startedAt;      ///< of the choice; see PickedMember
  std::string requestClass; ///< latencies are compared within a class
};

/// Latency of one class of requests at one member.
struct ClassLatency
{
  double seconds = 0; ///< moving average
  int count = 0;      ///< answers in it
};

/// The lowest average latency of a class at any member; rises slowly, so that an old one is
/// forgotten.
struct BaselineLatency
{
  double seconds = 0;
  TimePoint at;
};

/// A call of this node that has not ended.
struct RunningCall
{
  TimePoint startedAt;
  std::string requestClass;
};

/// A member and its statistics at this node.
struct MemberState
{
  RoutedMember info;
  SlowStart slowStart;
  OutlierDetector outlier;
  bool isDraining = false; ///< by control's list or by the member's own refusal
  TimePoint drainingUntil; ///< until then its refusal counts, even if the list does not say so yet
  std::vector<RunningCall> running; ///< calls of this node
  /// Moving averages of answered calls by class.
  std::map<std::string, ClassLatency> latencies;
  double slownessPenalty =
    1;                 ///< its slowness by the service's typical one when far above it, else 1
  double slowness = 1; ///< moving average of latencies by the base of their class, at lastLatencyAt
  TimePoint lastLatencyAt;
  double errorRate = 0; ///< moving average of server errors at lastAnswerAt
  TimePoint lastAnswerAt;
  double refusalRate = 0; ///< moving average of refusals at lastRefusalAt
  TimePoint lastRefusalAt;
  LoadSample load;
  double othersInFlight = 0; ///< part of load.inFlight that other nodes caused
  TimePoint loadAt;
  bool hasLoad = false;

  /// @brief Returns the requests the member can run at once now; above 0.
  [[nodiscard]] double CapacityAt(TimePoint now) const;

  /// @brief Returns the requests in flight at the member by its capacity.
  /// @param more requests added to those in flight
  [[nodiscard]] double UtilisationAt(TimePoint now, int more = 0) const;

  /// @brief Returns the member's latency by the lowest of its service; nears 1 while no call ends.
  [[nodiscard]] double SlownessAt(TimePoint now) const;

  /// @brief Returns the number of calls of this node.
  [[nodiscard]] int InFlight() const { return static_cast<int>(running.size()); }

  /// @brief Returns the part of calls that end in server errors; nears 0 while no call ends.
  [[nodiscard]] double ErrorRateAt(TimePoint now) const;
};

/// The members of one service. Not thread-safe; MemberTable guards it.
class ServiceMembers
{
public:
  /// @brief Takes over the list; keeps statistics of members whose epoch is unchanged.
  ///
  /// Members that are new or have a new epoch start slowly, but not those of the first list: their
  /// age is unknown, and most are warm.
  void Apply(const std::vector<RoutedMember>& members, TimePoint now);

  /// @brief Notes the start of a call to @p member.
  static void BeginCall(MemberState& member, const std::string& requestClass, TimePoint now);

  /// @brief Notes the end of a call; ignored when the member has a new epoch since.
  void FinishCall(const std::string& nodeId,
                  std::int64_t epoch,
                  const FinishedCall& finished,
                  TimePoint now);

  /// @brief Returns the member's slowness, in which each call that has run for long counts as if it
  /// had just ended.
  [[nodiscard]] double SlownessAt(const MemberState& member, TimePoint now) const;

  /// @brief Takes over what a response or the local gate says of a member's load.
  void UpdateLoad(const std::string& nodeId, const LoadSample& load, TimePoint now);

  /// @brief Returns the members ordered by node; for Balancer.
  [[nodiscard]] std::vector<MemberState>& Members() { return members_; }

  /// @brief Returns the member @p nodeId, or nullptr.
  [[nodiscard]] MemberState* Find(const std::string& nodeId);

private:
  void LimitEjections();
  void TryEject(MemberState& member, TimePoint now);
  void RecordLatency(MemberState& member, const FinishedCall& finished, TimePoint now);
  void UpdateBaseline(MemberState& member, const FinishedCall& finished, TimePoint now);

  std::vector<MemberState> members_;
  std::map<std::string, BaselineLatency> baselines_; ///< by class
  bool hasList_ = false;
};

/// The members of all services, each service under its own lock. Calls may come from any thread.
///
/// @par Example
/// @code
/// table.Apply(version, members, clock.Now());
/// table.FinishCall("orders", nodeId, epoch, { .startedAt = start, .requestClass = "write" },
///              clock.Now());
/// @endcode
class MemberTable
{
public:
  /// @brief Takes over control's list; an older version than the last one is ignored.
  /// @param leaderTerm term of the leader that counts the version, 0 when there is only one
  void Apply(std::int64_t leaderTerm,
             std::int64_t version,
             const std::vector<RoutedMember>& members,
             TimePoint now);

  /// @brief Notes the end of a call that Balancer::Pick chose. Must be called once for each choice.
  void FinishCall(const std::string& service,
                  const std::string& nodeId,
                  std::int64_t epoch,
                  const FinishedCall& finished,
                  TimePoint now);

  /// @brief Takes over `Acp-Load` of a response, or the state of this node's own gate.
  void UpdateLoad(const std::string& service,
                  const std::string& nodeId,
                  const LoadSample& load,
                  TimePoint now);

  /// @brief Returns the number of members of all services in control's list.
  [[nodiscard]] std::size_t Size() const { return size_.load(); }

  /// @brief Returns the signal that counts control's lists.
  [[nodiscard]] ChangeSignal& Changes() { return changes_; }

  /// @brief Runs @p action on the members of @p service under their lock; not when it is unknown.
  void With(const std::string& service, const std::function<void(ServiceMembers&)>& action);

private:
  struct ServiceEntry
  {
    std::mutex mutex;
    ServiceMembers members;
  };

  [[nodiscard]] std::shared_ptr<ServiceEntry> Find(const std::string& service);

  std::mutex mutex_; ///< guards the fields below, never held together with a shard's
  std::map<std::string, std::shared_ptr<ServiceEntry>> services_;
  std::mutex applyMutex_; ///< one list at a time
  std::int64_t term_ = 0;
  std::int64_t version_ = 0;
  std::atomic<std::size_t> size_{ 0 };
  ChangeSignal changes_;
};

} // namespace acp
