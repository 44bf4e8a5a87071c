#pragma once

/// @file
/// The hops that the local upstream is executing: their retry budgets and request classes.

#include <cstdint>       // int64_t
#include <mutex>         // mutex
#include <string>        // string
#include <unordered_map> // unordered_map

#include "acaciapulley/core/clock.hpp"         // Clock
#include "acaciapulley/retries/hop_ledger.hpp" // HopLedger, RetryDraw

namespace acp::detail {

/// What is left of a closed hop.
struct ClosedHop
{
  int unusedRetries = 0;
  /// A nested call was refused, so that a refusal by the upstream may only pass that one on.
  bool hadRefusedCall = false;
};

/// A HopLedger under one lock, with the class that each hop runs. Calls may come from any thread.
class HopBook
{
public:
  HopBook(HopLedgerOptions options, const Clock& clock);

  /// @brief Opens a hop.
  /// @param requestClass class of the request that the upstream executes, as `service/class`
  /// @return the context for the upstream; without retries when the hop cannot be opened
  [[nodiscard]] RequestContext Open(const RequestContext& context, const std::string& requestClass);

  /// @brief Draws all retries that are left for a child call.
  [[nodiscard]] RetryDraw Draw(const RequestContext& context);

  /// @brief Takes back what a child call did not use.
  void Return(const RetryDraw& draw, int unused);

  /// @brief Notes that a nested call under @p hopId was refused as not-run.
  void NoteRefusedCall(const std::string& hopId);

  /// @brief Closes a hop whose upstream has answered.
  ClosedHop Close(const std::string& hopId);

  /// @brief Returns the class that makes calls under @p hopId, empty when the hop is not open.
  [[nodiscard]] std::string ClassOf(const std::string& hopId) const;

private:
  struct OpenHop
  {
    std::string requestClass;
    bool hadRefusedCall = false;
  };

  const Clock& clock_;
  mutable std::mutex mutex_;
  HopLedger ledger_;
  std::unordered_map<std::string, OpenHop> open_;
};

} // namespace acp::detail
