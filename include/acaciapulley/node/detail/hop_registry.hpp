#pragma once

/// @file
/// The hops that the local upstream is executing: their retry budgets and request classes.

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

/// What is left of a closed hop.
struct ClosedHop
{
  int unusedRetries = 0;
  /// A nested call was refused, so that a refusal by the upstream may only pass that one on.
  bool hadRefusedCall = false;
};

/// The request at the local upstream to which a nested call belongs.
struct ParentHop
{
  std::string requestClass; ///< `service/class` of the request
  RequestContext context;   ///< as it came to this node
};

/// A HopBudgetTable under one lock, with the class that each hop runs. Calls may come from any
/// thread.
class HopRegistry
{
public:
  /// @param random returns a number in [0, 1); by default from the system's randomness
  HopRegistry(HopBudgetTableOptions options,
              const Clock& clock,
              std::function<double()> random = {});

  /// @brief Opens a hop.
  /// @param requestClass class of the request that the upstream executes, as `service/class`
  /// @return the context for the upstream; without retries when the hop cannot be opened
  [[nodiscard]] RequestContext Open(const RequestContext& context, const std::string& requestClass);

  /// @brief Draws all retries that are left for a child call.
  [[nodiscard]] RetryReservation ReserveRetries(const RequestContext& context);

  /// @brief Takes back what a child call did not use.
  void ReleaseRetries(const RetryReservation& reservation, int unused);

  /// @brief Notes that a nested call under @p hopId was refused as not-run.
  void RecordRefusedCall(const std::string& hopId);

  /// @brief Closes a hop whose upstream has answered.
  ClosedHop Close(const std::string& hopId);

  /// @brief Returns the class that makes calls under @p hopId, empty when the hop is not open.
  [[nodiscard]] std::string RequestClassOf(const std::string& hopId) const;

  /// @brief Finds the parent of a nested call that carries no context.
  ///
  /// A call expires with its parent at the latest, so that equal deadlines tell the parent. A call
  /// that expires earlier may belong to any request that runs longer: one of these is drawn, so
  /// that the calls of each class are counted in their true proportions.
  /// @param deadline of the nested call
  /// @return the parent, or nothing when no open hop lasts as long as the call
  /// @par Complexity
  /// Logarithmic in the open hops.
  /// @note An estimate: of hops with nearly equal deadlines, a neighbour may be taken.
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
  std::vector<std::string> openIds_; ///< of the open hops, in any order
  std::function<double()> random_;
};

} // namespace acp::detail
