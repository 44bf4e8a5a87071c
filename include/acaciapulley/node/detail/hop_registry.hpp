#pragma once

/// @file
/// The hops that the local upstream is executing, with their retry budgets and request classes.

#include <cstddef>       // size_t
#include <cstdint>       // int64_t
#include <functional>    // function
#include <map>           // multimap
#include <mutex>         // mutex
#include <optional>      // optional
#include <string>        // string
#include <unordered_map> // unordered_map
#include <vector>        // vector

#include "acaciapulley/core/clock.hpp"               // Clock
#include "acaciapulley/retries/hop_budget_table.hpp" // HopBudgetTable, RetryReservation

namespace acp::detail {

/// Final state of a closed hop.
struct ClosedHop
{
  int unusedRetries = 0;
  /// A nested call was refused, so a refusal by the upstream may only relay that one.
  bool hadRefusedCall = false;
};

/// The request for which the local upstream makes a nested call.
struct ParentHop
{
  std::string requestClass; ///< `service/class` of the request
  RequestContext context;   ///< as received by this node
};

/// A HopBudgetTable that is guarded by one mutex, with the request class of each hop. Thread-safe.
class HopRegistry
{
public:
  /// @param random returns a number in [0, 1); UniformRandom() by default
  HopRegistry(HopBudgetTableOptions options,
              const Clock& clock,
              std::function<double()> random = {});

  /// @brief Opens a hop.
  /// @param requestClass class of the request that the upstream executes, as `service/class`
  /// @return the context for the upstream; without retries when the hop cannot be opened
  [[nodiscard]] RequestContext Open(const RequestContext& context, const std::string& requestClass);

  /// @brief Reserves all remaining retries of a hop for a child call.
  [[nodiscard]] RetryReservation ReserveRetries(const RequestContext& context);

  /// @brief Releases the retries that a child call did not use.
  void ReleaseRetries(const RetryReservation& reservation, int unused);

  /// @brief Records that a nested call of hop @p hopId was refused as not-run.
  void RecordRefusedCall(const std::string& hopId);

  /// @brief Closes a hop whose upstream has responded or failed.
  ClosedHop Close(const std::string& hopId);

  /// @brief Returns the request class of hop @p hopId, empty when the hop is not open.
  [[nodiscard]] std::string RequestClassOf(const std::string& hopId) const;

  /// @brief Estimates the parent of a nested call that carries no context.
  ///
  /// A call expires with its parent at the latest, so equal deadlines identify the parent. A call
  /// that expires earlier may belong to any hop with a later deadline: one of these is sampled at
  /// random, so that the calls of each class are counted in their true proportions.
  /// @param deadline of the nested call
  /// @return the parent, or nothing when every open hop expires before the call
  /// @par Complexity
  /// Logarithmic in the number of open hops.
  /// @note Of hops with nearly equal deadlines, the wrong one may be returned.
  [[nodiscard]] std::optional<ParentHop> EstimateParent(UnixMillis deadline) const;

private:
  using Deadlines = std::multimap<std::int64_t, std::string>; // Unix milliseconds to hop id

  struct OpenHop
  {
    std::string requestClass;
    RequestContext context;
    Deadlines::iterator deadline;
    std::size_t index = 0; ///< in openIds_
    bool hadRefusedCall = false;
  };

  void Remove(const std::string& hopId);
  /// @return the hop id, or nothing
  [[nodiscard]] std::optional<std::string> EstimateParentId(std::int64_t deadline) const;

  const Clock& clock_;
  mutable std::mutex mutex_;
  HopBudgetTable hopBudgets_;
  std::unordered_map<std::string, OpenHop> openHops_;
  Deadlines deadlines_;              ///< of the open hops
  std::vector<std::string> openIds_; ///< of the open hops, unordered
  std::function<double()> random_;
};

} // namespace acp::detail
