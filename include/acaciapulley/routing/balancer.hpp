#pragma once

/// @file
/// The choice of the member that executes a request.

#include <cstdint>    // int64_t
#include <functional> // function
#include <mutex>      // mutex
#include <optional>   // optional
#include <string>     // string
#include <vector>     // vector

#include "acaciapulley/core/clock.hpp"           // TimePoint
#include "acaciapulley/routing/member_table.hpp" // MemberTable

namespace acp {

/// Construction options of a Balancer.
struct BalancerOptions
{
  std::string localNodeId;
  std::string localDataCentre;
  MemberTable* members = nullptr;
  /// Uniform in [0, 1); by default a seeded generator. Called under a lock.
  std::function<double()> random;
};

/// A request that needs a member.
struct PickRequest
{
  std::string service;
  std::vector<std::string> tried; ///< nodes that an earlier attempt of this request used
  std::string requestClass;       ///< latencies are compared within it
  bool isIdempotent = true;       ///< trials of ejected members use idempotent requests only
};

/// The chosen member. MemberTable::FinishCall must follow, with this node and epoch.
struct PickedMember
{
  std::string nodeId;
  std::int64_t epoch = 0;
  std::string peerAddress;
  bool isLocal = false; ///< the upstream beside this node
  bool isTrial = false; ///< trial of an ejected member
  TimePoint startedAt;
};

/// Chooses members. Draining and ejected members and those tried before are never chosen. Rules, in
/// this order:
///
/// 1. an ejected member whose ejection has ended gets one trial request;
/// 2. members that are much slower than the service's typical one, or fail much more often, are
///    left out until the others are near their limit;
/// 3. this node's own upstream, unless it is near its limit and a peer is better off;
/// 4. two members drawn by capacity, of which the less utilised one is taken; from this data centre
///    as long as its members are not near their limit, else from all.
///
/// Calls may come from any thread.
class Balancer
{
public:
  /// A member is near its limit when one more request uses this part of its capacity.
  static constexpr double kNearLimit = 0.9;

  explicit Balancer(BalancerOptions options);

  /// @brief Chooses a member and counts the call as in flight there.
  /// @return the choice, or nothing when no member may be used
  /// @par Complexity
  /// Linear in the number of members of the service.
  [[nodiscard]] std::optional<PickedMember> Pick(const PickRequest& request, TimePoint now);

  /// @brief Returns whether the service has a member that is neither draining nor tried before.
  [[nodiscard]] bool HasUntriedMember(const PickRequest& request) const;

private:
  [[nodiscard]] double Random();
  [[nodiscard]] MemberState* PickMember(ServiceMembers& members,
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
};

} // namespace acp
