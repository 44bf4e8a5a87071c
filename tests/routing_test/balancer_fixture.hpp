#pragma once

#include <string> // string
#include <vector> // vector

#include "acaciapulley/routing/balancer.hpp"

namespace acp::test {

/// A member table of one service, a clock, and a balancer of node n0 in data centre a with a fixed
/// random sequence.
struct BalancerFixture
{
  ManualClock clock;
  MemberTable table;
  std::int64_t version = 0;
  unsigned state = 7;
  Balancer balancer{ { .localNodeId = "n0",
                       .localDataCentre = "a",
                       .members = &table,
                       .random = [this] {
                         state = state * 1664525U + 1013904223U;
                         return static_cast<double>(state >> 8U) / (1U << 24U);
                       } } };

  static RoutedMember Member(const std::string& node, const std::string& dataCentre = "a")
  {
    return { .nodeId = node, .epoch = 1, .service = "s", .dataCentre = dataCentre, .slots = 10 };
  }

  void Apply(const std::vector<RoutedMember>& members)
  {
    table.Apply(1, ++version, members, clock.Now());
  }
};

} // namespace acp::test
