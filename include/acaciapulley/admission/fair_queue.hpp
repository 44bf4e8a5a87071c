#pragma once

/// @file
/// The queue in front of one upstream: strict priority, then nested calls before fresh work, then
/// max-min fair among client accounts.

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

/// One request at the gate.
struct GateRequest
{
  std::uint64_t id = 0;              ///< unique among the requests that the gate holds
  std::string account;               ///< client account, empty on routes open to all
  double weight = 1.0;               ///< purchased rate of the account, or 1 when unknown
  int priority = kPriorityCount - 1; ///< of the root request's class, 0 to 9
  std::string requestClass;          ///< class at this service; latencies are compared within it
  TimePoint deadline{};              ///< the whole answer is due by then
  /// True when the request came from a caller straight to this node's ingress, so that no other
  /// node has applied the share that this gate announces.
  bool isFromIngress = false;
  Duration queueTimeout{}; ///< longest wait, instead of the queue's age bounds; 0: those apply
  /// True for a nested call: refusing it wastes the work that its root request has had so far.
  bool isNested = false;
};

/// A request that ends unserved, with the reason for its caller.
struct GateRefusal
{
  std::uint64_t id = 0;
  Reason reason = Reason::None;
};

/// Settings of FairQueue.
struct FairQueueOptions
{
  std::size_t maxCount = 256; ///< waiting requests
  /// Oldest age while requests have been waiting all the time for longer than burstAge.
  Duration targetAge = std::chrono::milliseconds(20);
  /// Oldest age after the queue was empty; lets a burst pass that the upstream can still serve.
  Duration burstAge = std::chrono::milliseconds(100);
  bool byPriority = true; ///< false: one priority for all (for comparison)
  bool byAccount = true;  ///< false: first come, first served among accounts (for comparison)
};

/// Waiting requests of one gate.
///
/// Its rules: a request is popped only when none of a more important priority waits; within one
/// priority nested calls go before fresh work; accounts of either are served by deficit round robin
/// in proportion to their weights; no request waits longer than its age bound or its deadline.
///
/// Not thread-safe.
class FairQueue
{
public:
  explicit FairQueue(FairQueueOptions options = {});

  /// @brief Adds @p request. When the queue is full, the newest request of the most over-served
  /// account of the least important priority gives way, fresh work before nested calls; this may be
  /// @p request itself.
  /// @return the refused request, if any
  [[nodiscard]] std::optional<GateRefusal> Push(const GateRequest& request, TimePoint now);

  /// @brief Removes the next request to serve; entries past their deadline or age are not returned
  /// but left to Expire().
  /// @par Complexity
  /// Constant on average.
  [[nodiscard]] std::optional<GateRequest> Pop(TimePoint now);

  /// @brief Removes requests past their age bound or deadline.
  [[nodiscard]] std::vector<GateRefusal> Expire(TimePoint now);

  /// @brief Removes @p id.
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

  /// @brief Returns when Expire() must be called next, or nothing when the queue is empty.
  [[nodiscard]] std::optional<TimePoint> NextExpiry(TimePoint now) const;

private:
  static constexpr std::size_t kLevelsPerPriority = 2; // nested calls, then fresh work

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
    std::list<std::string>::iterator activePosition; // place in the round
  };

  struct Level
  {
    std::map<std::string, AccountQueue> accounts; // only accounts with waiting requests
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
