#pragma once

/// @file
/// Selection of the member that executes a request.

#include <array>      // array
#include <atomic>     // atomic
#include <cstdint>    // int64_t, uint64_t
#include <functional> // function
#include <map>        // map
#include <mutex>      // mutex
#include <optional>   // optional
#include <string>     // string
#include <vector>     // vector

#include "acaciapulley/core/clock.hpp"            // TimePoint
#include "acaciapulley/routing/expected_time.hpp" // ReportAge
#include "acaciapulley/routing/member_table.hpp"  // MemberTable

namespace acp {

/// Settings of learned placement, see docs/design/learned-placement.md. The round trips are
/// assumed, not measured: a connection within a data centre, and one between data centres of a
/// region. One that is too long keeps more requests in the local data centre.
struct LearnedPlacementOptions
{
  /// Time for a request to another node of the data centre and its response.
  Duration hopRoundTrip = std::chrono::microseconds(400);
  /// Time for a request to another data centre and its response.
  Duration dataCentreRoundTrip = std::chrono::microseconds(8'800);
};

/// Construction options of a Balancer.
struct BalancerOptions
{
  std::string localNodeId;
  std::string localDataCentre;
  MemberTable* members = nullptr;
  LearnedPlacementOptions learned;
  /// Returns a uniform random number in [0, 1); a seeded generator by default. Called under a lock.
  std::function<double()> random;
};

/// A request for which a member is to be picked.
struct PickRequest
{
  std::string service;
  std::vector<std::string> tried; ///< nodes that earlier attempts of this request were sent to
  std::string requestClass;       ///< latencies are compared within a class
  bool isIdempotent = true;       ///< only idempotent requests serve as trials of ejected members
  /// Returns whether members in a data centre may run the request; empty: all. Called under the
  /// lock of the service's members.
  std::function<bool(const std::string& dataCentre)> allowedDataCentres;
};

/// The picked member. The caller must call MemberTable::FinishCall with this node and epoch.
struct PickedMember
{
  std::string nodeId;
  std::int64_t epoch = 0;
  std::string peerAddress;
  bool isLocal = false; ///< the member is the local upstream
  bool isTrial = false; ///< the call is the trial of an ejected member
  TimePoint startedAt;
};

/// Picks members. Draining members, members in evacuated data centres, members tried before and
/// members in data centres that the request does not allow are never picked. Ejected members are
/// picked only by rule 1, or when an idempotent request allows only some data centres and all
/// eligible members there are ejected. A cold member with a rate limit is picked above this node's
/// share of its rate only if there is no other (see WarmupShare).
/// Rules, in this order:
///
/// 1. an ejected member whose ejection has ended gets one trial request;
/// 2. members that are much slower than the median of the service, or fail much more often, are
///    excluded until the others are near their limit;
/// 3. the local upstream is preferred, unless it is near its limit and a peer is less utilised;
/// 4. the less utilised of two members sampled by capacity is picked (power of two choices), from
///    the local data centre unless its members are near their limit, otherwise from all.
///
/// Learned placement replaces rules 2 to 4 for a request class whose run time at least one member
/// reports: the member with the least expected time is picked from two or three members sampled by
/// capacity. The local upstream is preferred only when it costs at most a hop more, and other data
/// centres are used when they save more than the round trip.
///
/// Calls may come from any thread.
class Balancer
{
public:
  /// A member is near its limit when one more request would use this fraction of its capacity.
  static constexpr double kNearLimit = 0.9;

  explicit Balancer(BalancerOptions options);

  /// @brief Picks a member and counts the call as in flight there.
  /// @return the picked member, or nothing when no member is eligible
  /// @par Complexity
  /// Linear in the number of members of the service.
  [[nodiscard]] std::optional<PickedMember> Pick(const PickRequest& request, TimePoint now);

  /// @brief Returns whether the service has a member that is neither draining, nor in an evacuated
  /// data centre, nor in PickRequest::tried, in a data centre that the request allows.
  [[nodiscard]] bool HasUntriedMember(const PickRequest& request) const;

  /// @brief Returns the number of picks since the start by the age of the report that they used.
  [[nodiscard]] std::map<ReportAge, std::uint64_t> PickCounts() const;

private:
  [[nodiscard]] double Random();
  void CountPick(ReportAge age) { ++pickCounts_.at(static_cast<std::size_t>(age)); }
  [[nodiscard]] MemberState* PickMember(ServiceMembers& members,
                                        const PickRequest& request,
                                        TimePoint now);
  [[nodiscard]] bool IsAboveWarmupShare(MemberState& member, TimePoint now);
  /// Returns nullptr when no member reports run times of the class.
  [[nodiscard]] MemberState* PickByExpectedTime(const ServiceMembers& members,
                                                const std::vector<MemberState*>& usable,
                                                const PickRequest& request,
                                                TimePoint now);
  [[nodiscard]] MemberState* PickByUtilisation(const std::vector<MemberState*>& members,
                                               TimePoint now);
  [[nodiscard]] MemberState* BetterOfTwo(const std::vector<MemberState*>& members, TimePoint now);
  [[nodiscard]] MemberState* SampleByCapacity(const std::vector<MemberState*>& members,
                                              const MemberState* except,
                                              TimePoint now);

  BalancerOptions options_;
  std::mutex randomMutex_;
  std::array<std::atomic<std::uint64_t>, NameTable<ReportAge>::kRows.size()> pickCounts_{};
};

} // namespace acp
