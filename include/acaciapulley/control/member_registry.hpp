#pragma once

/// @file
/// Upstreams that have announced themselves, each with a lease renewed by its node's polls.

#include <cstdint> // int64_t
#include <map>     // map
#include <string>  // string
#include <vector>  // vector

#include "acaciapulley/core/clock.hpp" // TimePoint

namespace acp {

/// How long a member stays without a poll of its node.
inline constexpr Duration kMemberLease = std::chrono::seconds(5);

/// What a node reports about its upstream.
struct MemberInfo
{
  std::string nodeId;
  std::int64_t epoch = 0; ///< changes on each start of the node
  std::string service;
  std::string dataCentre;
  std::string peerAddress; ///< ip:port of the node's peer listener
  int slots = 0;
  int maxConnections = 0;
  std::int64_t coldStartMs = 0;
  bool draining = false;

  bool operator==(const MemberInfo&) const = default;
};

/// The members by node. Every change of what nodes see raises the version.
class MemberRegistry
{
public:
  /// @brief Renews a member's lease; a report of an older epoch of the same node is ignored.
  void Report(const MemberInfo& member, TimePoint now);

  /// @brief Removes members whose lease has ended.
  void Expire(TimePoint now);

  /// @brief Returns all members ordered by node.
  [[nodiscard]] std::vector<MemberInfo> Members() const;

  /// @brief Returns the version of the member list; 0 before the first member.
  [[nodiscard]] std::int64_t Version() const { return version_; }

private:
  struct Entry
  {
    MemberInfo info;
    TimePoint leaseEnd;
  };

  std::map<std::string, Entry> byNode_;
  std::int64_t version_ = 0;
};

} // namespace acp
