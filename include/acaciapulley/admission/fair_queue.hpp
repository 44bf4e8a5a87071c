#pragma once

/// @file
/// Queue in front of one upstream: strict priority, then nested calls before new requests, then
/// max-min fairness among client accounts.

#include <array>         // array
#include <cstddef>       // size_t
#include <cstdint>       // uint64_t
#include <deque>         // deque
#include <list>          // list
#include <map>           // map
#include <optional>      // optional
#include <string>        // string
#include <unordered_map> // unordered_map
#include <vector>        // vector

#include "acaciapulley/admission/load_report.hpp" // kPriorityCount
#include "acaciapulley/core/clock.hpp"            // Duration, TimePoint
#include "acaciapulley/core/outcome.hpp"          // Reason

namespace acp {

/// A request offered to a gate.
struct GateRequest
{
  std::uint64_t id = 0;              ///< unique among the waiting and running requests of the gate
  std::string account;               ///< client account; empty on routes open to all callers
  double weight = 1.0;               ///< purchased rate of the account, 1 if unknown
  int priority = kPriorityCount - 1; ///< priority of the root request's class, 0 to 9
  std::string requestClass;          ///< class at this service, groups latencies for comparison
  TimePoint deadline{};              ///< the complete response is due by this time
  /// True if a caller sent the request directly to this node's ingress, so that no other node has
  /// applied the share announced by this gate.
  bool isFromIngress = false;
  Duration queueTimeout{}; ///< maximum wait instead of the age bounds; 0: age bounds apply
  /// True for a nested call. Refusing it wastes the work already done for its root request.
  bool isNested = false;
};

/// A request that was refused without being started, with the reason for its caller.
struct GateRefusal
{
  std::uint64_t id = 0;
  Reason reason = Reason::None;
};

/// Settings of FairQueue.
struct FairQueueOptions
{
  std::size_t maxCount = 256; ///< maximum number of waiting requests
  /// Age bound of a standing queue, which has not been empty for longer than burstAge.
  Duration targetAge = std::chrono::milliseconds(20);
  /// Age bound otherwise; absorbs bursts that the upstream can still serve.
  Duration burstAge = std::chrono::milliseconds(100);
  bool byPriority = true; ///< false: all requests share one priority (for comparison)
  bool byAccount = true;  ///< false: FIFO across all accounts (for comparison)
};

/// Waiting requests of one gate.
///
/// A request is popped only if no request of a more important priority waits. Within a priority,
/// nested calls precede new requests; the accounts of each kind are served by deficit round robin
/// in proportion to their weights. No request waits longer than its age bound or past its deadline.
///
/// Not thread-safe.
class FairQueue
{
public:
  explicit FairQueue(FairQueueOptions options = {});

  /// @brief Adds @p request. If the queue is full, evicts the newest request of the account with
  /// the most requests per weight in the least important priority, new requests before nested
  /// calls; this may be @p request itself.
  /// @return the evicted request, if any
  [[nodiscard]] std::optional<GateRefusal> Push(const GateRequest& request, TimePoint now);

  /// @brief Removes and returns the next request to serve. Requests past their deadline or age
  /// bound are skipped and left for Expire().
  /// @par Complexity
  /// Constant on average.
  [[nodiscard]] std::optional<GateRequest> Pop(TimePoint now);

  /// @brief Removes and returns all requests past their age bound or deadline.
  [[nodiscard]] std::vector<GateRefusal> Expire(TimePoint now);

  /// @brief Removes the request @p id.
  /// @return whether it was waiting
  bool Remove(std::uint64_t id);

  /// @brief Removes all requests and returns their ids.
  [[nodiscard]] std::vector<std::uint64_t> Clear();

  /// @brief Returns whether @p id is waiting.
  [[nodiscard]] bool Contains(std::uint64_t id) const { return locations_.contains(id); }

  /// @brief Returns the number of waiting requests.
  [[nodiscard]] std::size_t Size() const { return locations_.size(); }

  /// @brief Returns the age of the oldest waiting request.
  [[nodiscard]] Duration OldestAge(TimePoint now) const;

  /// @brief Returns when Expire() must be called next, or nothing if the queue is empty.
  [[nodiscard]] std::optional<TimePoint> NextExpiry(TimePoint now) const;

private:
  static constexpr std::size_t kLevelsPerPriority = 2; // nested calls, then new requests

  struct Entry
  {
    GateRequest request;
    TimePoint queuedAt;
  };

  struct AccountQueue
  {
    std::deque<Entry> entries;
    double weight = 1.0;
    double deficit = 0.0;
    std::list<std::string>::iterator activePosition; // position in the active list of the level
  };

  struct Level
  {
    std::map<std::string, AccountQueue> accounts; // accounts with waiting requests only
    std::list<std::string> activeList;
    double weightSum = 0.0;
  };

  struct Location
  {
    std::size_t level;
    std::string account;
  };

  [[nodiscard]] Location LocationOf(const GateRequest& request) const;
  [[nodiscard]] std::optional<GateRefusal> EvictFor(const GateRequest& request,
                                                    const Location& location);
  [[nodiscard]] std::string MostOverServed(const Level& level, const std::string* arriving) const;
  [[nodiscard]] Duration AgeBound(TimePoint now) const;
  [[nodiscard]] Reason ExpiryOf(const Entry& entry, TimePoint now) const;
  void Insert(const GateRequest& request, const Location& location, TimePoint now);
  void DropIfEmpty(Level& level, const std::string& account);
  void UpdateLastEmpty(TimePoint now);

  FairQueueOptions options_;
  std::array<Level, kPriorityCount * kLevelsPerPriority> levels_;
  std::unordered_map<std::uint64_t, Location> locations_;
  TimePoint lastEmpty_{};
};

} // namespace acp
