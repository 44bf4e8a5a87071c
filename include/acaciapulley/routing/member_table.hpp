#pragma once

/// @file
/// Members of each service: the list from control and the statistics measured by this node.

#include <atomic>     // atomic
#include <cstddef>    // size_t
#include <cstdint>    // int64_t
#include <functional> // function
#include <map>        // map
#include <memory>     // shared_ptr
#include <mutex>      // mutex
#include <optional>   // optional
#include <set>        // set
#include <string>     // string
#include <vector>     // vector

#include "acaciapulley/core/change_signal.hpp"       // ChangeSignal
#include "acaciapulley/core/clock.hpp"               // Duration, TimePoint
#include "acaciapulley/routing/expected_time.hpp"    // ReportedRunTimes
#include "acaciapulley/routing/outlier_detector.hpp" // OutlierDetector
#include "acaciapulley/routing/slow_start.hpp"       // SlowStart
#include "acaciapulley/routing/warmup_share.hpp"     // WarmupShare

namespace acp {

/// A member in the list from control.
struct RoutedMember
{
  std::string nodeId;
  /// Changes on each start of the member's node; the leader decides which one is later.
  std::int64_t epoch = 0;
  std::string service;
  std::string dataCentre;
  std::string peerAddress; ///< ip:port of the node's peer listener
  int slots = 1;
  Duration coldStart{};
  bool isDraining = false;
  double warmupRate = 0; ///< requests per second that it tolerates while cold; 0: no limit

  bool operator==(const RoutedMember&) const = default;
};

/// Load of the executing node as reported in `Acp-Load`.
struct LoadSample
{
  double inFlight = 0; ///< requests running at the upstream or queued at the gate
  double limit = 0;    ///< the gate's concurrency limit; 0: not reported
  Duration queueAge{};
  Duration age{};                       ///< of the numbers when the report arrived
  std::optional<RunTimeReport> runTime; ///< only from nodes that use learned placement
};

/// Time for which a member that refused a call as draining is treated as draining. After it, the
/// list from control shows the drain as well, or the drain was cancelled.
inline constexpr Duration kDrainRefusalLifetime = std::chrono::seconds(5);

/// Result of a call to a member, as distinguished by routing.
enum class CallResult
{
  Answered,    ///< the upstream responded
  ServerError, ///< the upstream responded with a server error
  Refused,     ///< not run: overloaded, queue timeout or similar
  Draining,    ///< not run because the member is draining
  Failed,      ///< no connection, connection lost, or no response in time
  Cancelled,   ///< ended by the caller; gives only a lower bound of the latency
};

/// A finished call, from which the statistics of its member are updated.
struct FinishedCall
{
  CallResult result = CallResult::Answered;
  TimePoint startedAt;      ///< PickedMember::startedAt
  std::string requestClass; ///< latencies are compared within a class
};

/// Latency of one request class at one member.
struct ClassLatency
{
  double seconds = 0; ///< moving average
  int count = 0;      ///< responses included, up to the minimum needed for the baseline
};

/// The lowest average latency of a class at any member. It drifts upwards over time, so that an
/// outdated minimum does not persist.
struct BaselineLatency
{
  double seconds = 0;
  TimePoint at;
};

/// A call of this node that has not finished.
struct RunningCall
{
  TimePoint startedAt;
  std::string requestClass;
};

/// A member and its statistics measured by this node.
struct MemberState
{
  RoutedMember info;
  SlowStart slowStart;
  WarmupShare warmupShare; ///< for members with a RoutedMember::warmupRate
  OutlierDetector outlier;
  bool isDraining = false;  ///< according to control's list or to a refusal by the member
  TimePoint drainingUntil;  ///< until then the refusal applies, even if the list does not show it
  bool isEvacuated = false; ///< its data centre is evacuated
  std::vector<RunningCall> running; ///< calls of this node
  /// Moving averages of latencies by class.
  std::map<std::string, ClassLatency> latencies;
  double slownessPenalty = 1; ///< slowness relative to the median when far above it, otherwise 1
  double slowness = 1; ///< moving average at lastLatencyAt; latencies relative to the baseline
  TimePoint lastLatencyAt;
  double errorRate = 0; ///< moving average at lastAnswerAt; fraction of responses
  TimePoint lastAnswerAt;
  double refusalRate = 0; ///< moving average at lastRefusalAt; fraction of responses
  TimePoint lastRefusalAt;
  LoadSample load;
  double othersInFlight = 0; ///< the requests in load.inFlight that other nodes sent
  TimePoint loadAt;
  bool hasLoad = false;
  ReportedRunTimes runTimes;         ///< empty for members without learned placement
  ReportedInFlight reportedInFlight; ///< updated with each reported run time

  /// @brief Returns the number of requests that the member can run concurrently; above 0.
  [[nodiscard]] double CapacityAt(TimePoint now) const;

  /// @brief Returns the ratio of requests in flight at the member to its capacity.
  /// @param more number of requests to add to those in flight
  [[nodiscard]] double UtilisationAt(TimePoint now, int more = 0) const;

  /// @brief Returns the member's latency relative to the baseline; decays to 1 while no call
  /// finishes.
  [[nodiscard]] double SlownessAt(TimePoint now) const;

  /// @brief Returns whether the member takes requests at all, apart from ejections.
  [[nodiscard]] bool IsServing() const { return !isDraining && !isEvacuated; }

  /// @brief Returns the number of running calls of this node.
  [[nodiscard]] int InFlight() const { return static_cast<int>(running.size()); }

  /// @brief Returns the fraction of server errors; decays to 0 while no call finishes.
  [[nodiscard]] double ErrorRateAt(TimePoint now) const;
};

/// The members of one service. Not thread-safe; MemberTable guards it.
class ServiceMembers
{
public:
  /// @brief Applies the list; keeps the statistics of members whose epoch is unchanged.
  ///
  /// Members that are new or have a new epoch begin with slow start. Those of the first list do
  /// not, because their age is unknown and most of them are warm. The list states the cold start of
  /// members with a rate limit only while they are cold, so that it is applied in the first list
  /// too, and whenever it changes.
  void Apply(const std::vector<RoutedMember>& members, TimePoint now);

  /// @brief Sets the evacuated data centres, also for members of later lists.
  void SetEvacuated(const std::set<std::string>& dataCentres);

  /// @brief Ends drains that only a refusal has reported and that the list does not show after
  /// kDrainRefusalLifetime. A member that refused because of an evacuation which ended since has no
  /// new entry in the list.
  void ExpireDrains(TimePoint now);

  /// @brief Records the start of a call to @p member.
  static void BeginCall(MemberState& member, const std::string& requestClass, TimePoint now);

  /// @brief Records a finished call; ignored when the epoch of the member has changed.
  void FinishCall(const std::string& nodeId,
                  std::int64_t epoch,
                  const FinishedCall& finished,
                  TimePoint now);

  /// @brief Returns the member's slowness. A running call that is overdue counts as if it had just
  /// finished.
  [[nodiscard]] double SlownessAt(const MemberState& member, TimePoint now) const;

  /// @brief Returns the member's run time of a class as measured by this node, including waiting
  /// times; 0 when unknown. Like SlownessAt(), it decays while no call finishes.
  [[nodiscard]] double MeasuredSeconds(const MemberState& member,
                                       const std::string& requestClass,
                                       TimePoint now) const;

  /// @brief Updates the load of a member, as reported by a response or by the local gate.
  void UpdateLoad(const std::string& nodeId, const LoadSample& load, TimePoint now);

  /// @brief Returns the members ordered by node id, for Balancer.
  [[nodiscard]] std::vector<MemberState>& Members() { return members_; }

  /// @brief Returns the member @p nodeId, or nullptr.
  [[nodiscard]] MemberState* Find(const std::string& nodeId);

private:
  void LimitEjections();
  void TryEject(MemberState& member, TimePoint now);
  void RecordLatency(MemberState& member, const FinishedCall& finished, TimePoint now);
  void UpdateBaseline(MemberState& member, const FinishedCall& finished, TimePoint now);

  std::vector<MemberState> members_;
  std::set<std::string> evacuated_;
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
  /// @brief Applies the list from control; ignored when older than the last applied one.
  /// @param leaderTerm term of the leader that issued the version; 0 for a single leader
  void Apply(std::int64_t leaderTerm,
             std::int64_t version,
             const std::vector<RoutedMember>& members,
             TimePoint now);

  /// @brief Replaces the set of evacuated data centres, whose members are not picked. Calls that
  /// run there are not affected.
  void SetEvacuated(const std::set<std::string>& dataCentres);

  /// @brief Records a finished call. Must be called once for each member that Balancer::Pick
  /// returned.
  void FinishCall(const std::string& service,
                  const std::string& nodeId,
                  std::int64_t epoch,
                  const FinishedCall& finished,
                  TimePoint now);

  /// @brief Updates the load of a member from `Acp-Load` of a response or from the local gate.
  void UpdateLoad(const std::string& service,
                  const std::string& nodeId,
                  const LoadSample& load,
                  TimePoint now);

  /// @brief Returns the number of members of all services in the list from control.
  [[nodiscard]] std::size_t Size() const { return size_.load(); }

  /// @brief Returns the signal that counts the applied lists.
  [[nodiscard]] ChangeSignal& Changes() { return changes_; }

  /// @brief Runs @p action on the members of @p service under their lock, unless the service is
  /// unknown.
  void With(const std::string& service, const std::function<void(ServiceMembers&)>& action);

private:
  struct ServiceEntry
  {
    std::mutex mutex;
    ServiceMembers members;
  };

  [[nodiscard]] std::shared_ptr<ServiceEntry> Find(const std::string& service);

  std::mutex mutex_; ///< guards the fields below; never held together with a ServiceEntry::mutex
  std::map<std::string, std::shared_ptr<ServiceEntry>> services_;
  std::mutex applyMutex_; ///< serialises Apply() and SetEvacuated(); guards evacuated_
  std::set<std::string> evacuated_;
  std::int64_t term_ = 0;
  std::int64_t version_ = 0;
  std::atomic<std::size_t> size_{ 0 };
  ChangeSignal changes_;
};

} // namespace acp
