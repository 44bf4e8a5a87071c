#pragma once

/// @file
/// Selection of a member by expected time, for Balancer.

#include <cstddef>    // size_t
#include <functional> // function
#include <map>        // map
#include <optional>   // optional
#include <string>     // string
#include <utility>    // move
#include <vector>     // vector

#include "acaciapulley/core/clock.hpp"            // TimePoint
#include "acaciapulley/routing/balancer.hpp"      // LearnedPlacementOptions
#include "acaciapulley/routing/expected_time.hpp" // ReportAge
#include "acaciapulley/routing/member_table.hpp"  // MemberState, ServiceMembers

namespace acp::detail {

/// A member and its expected time for one request.
struct ExpectedMember
{
  MemberState* member = nullptr;
  ReportAge reportAge = ReportAge::Missing;
  double runSeconds = 0;      ///< without waiting
  double expectedSeconds = 0; ///< with waiting, without the way to the member
  double capacity = 0;        ///< requests that the member can run concurrently
  double inFlight = 0;        ///< estimated requests there, including this one
  double weight = 0;          ///< sampling weight: capacity in requests per second
};

/// Inputs of one pick. What is pointed to must outlive the LearnedPlacement.
struct LearnedPlacementInput
{
  const ServiceMembers* members = nullptr;
  const std::vector<MemberState*>* usable = nullptr; ///< not empty
  std::string requestClass;
  std::string localNodeId;
  std::string localDataCentre;
  LearnedPlacementOptions costs;
  std::function<double()> random; ///< uniform in [0, 1)
};

/// One pick by expected time.
class LearnedPlacement
{
public:
  /// @brief Computes the expected times.
  /// @return nothing when no usable member has a report of the class
  /// @par Complexity
  /// Linear in the number of members and of running calls of this node.
  [[nodiscard]] static std::optional<LearnedPlacement> Create(const LearnedPlacementInput& input,
                                                              TimePoint now);

  /// @brief Returns the member to send the request to; valid as long as this object.
  [[nodiscard]] const ExpectedMember& Pick() const;

private:
  explicit LearnedPlacement(LearnedPlacementInput input)
    : input_(std::move(input))
  {
  }

  /// Mean requests in flight at the members of a data centre.
  struct InFlightSum
  {
    double own = 0;
    double total = 0;
  };

  void ComputeNodeShares(TimePoint now);
  [[nodiscard]] double NodeShareAt(const std::string& dataCentre) const;
  [[nodiscard]] bool AreNearLimit() const;
  [[nodiscard]] Duration RoundTripTo(const MemberState& member) const;
  void AddMember(MemberState& member, double medianSeconds, TimePoint now);
  [[nodiscard]] const ExpectedMember* BestSample(
    const std::vector<const ExpectedMember*>& from) const;

  LearnedPlacementInput input_;
  std::map<std::string, InFlightSum> inFlight_; ///< by data centre
  std::vector<ExpectedMember> members_;
};

} // namespace acp::detail
