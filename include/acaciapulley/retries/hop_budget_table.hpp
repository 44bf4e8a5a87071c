#pragma once

/// @file
/// The retry budgets of the hops that a node is executing.

#include <cstddef>       // size_t
#include <cstdint>       // int64_t, uint64_t
#include <map>           // map, multimap
#include <string>        // string
#include <unordered_map> // unordered_map

#include "acaciapulley/core/clock.hpp"              // TimePoint, UnixMillis
#include "acaciapulley/retries/request_context.hpp" // RequestContext
#include "acaciapulley/retries/retries_error.hpp"   // RetriesResult

namespace acp {

/// Settings of HopBudgetTable.
struct HopBudgetTableOptions
{
  std::string nodeId;               ///< this node, the issuer of its contexts
  std::int64_t epoch = 0;           ///< changes on each start of this node
  std::size_t maxHops = 65'536;     ///< open hops; about 200 bytes each
  std::size_t maxReservations = 64; ///< open draws per hop
  bool enforceBudget = true;        ///< false: each draw gets the full budget (for comparison)
};

/// A part of a hop's budget that one child call holds.
struct RetryReservation
{
  std::uint64_t id = 0; ///< names the draw in Release(); 0 when nothing was granted
  int granted = 0;      ///< retries that the call and its children may make together
};

/// How a call divides what it has drawn.
struct CallBudget
{
  int caller = 0; ///< kept by the calling node for retries of this call
  int callee = 0; ///< sent to the callee in its context
};

/// @brief Divides @p granted: of two or more, one retry stays with the caller and survives when the
/// answer, and with it the callee's part, is lost. A single one goes to the callee, because calls
/// are refused most often at the deepest service, whose caller would otherwise have none; a refusal
/// returns it.
[[nodiscard]] constexpr CallBudget SplitReservation(int granted)
{
  const int caller = granted >= 2 ? 1 : 0;
  return { .caller = caller, .callee = granted - caller };
}

/// Retry budgets of open hops.
///
/// Its rules: for each hop, remaining + drawn and not returned <= budget at opening; an unused part
/// is returned at most once for each draw; a hop is opened at most once until its context is
/// invalid. Contexts given to an upstream name the hop only: the budget stays here, so a replayed
/// context draws from the same rest. A response that is lost returns nothing.
///
/// Not thread-safe.
class HopBudgetTable
{
public:
  explicit HopBudgetTable(HopBudgetTableOptions options);

  /// @brief Opens the hop of a request that is about to be sent to the local upstream.
  /// @param context verified context of the hop; retriesLeft is its budget
  /// @param now wall-clock time of this host
  /// @return the context to give to the upstream: issued by this node, without retries of its own;
  /// or DuplicateHop, TooManyHops or ExpiredContext. Without an open hop there are no retries.
  [[nodiscard]] RetriesResult<RequestContext> Open(const RequestContext& context, UnixMillis now);

  /// @brief Moves up to @p wanted retries of the hop into a child call.
  /// @param context verified context that came with the call; without an open hop of this node and
  /// epoch the draw is empty
  [[nodiscard]] RetryReservation Reserve(const RequestContext& context, int wanted, UnixMillis now);

  /// @brief Takes back what a child call did not use.
  /// @param unused is clamped to what was granted; a second return of one draw is ignored
  /// @return the retries that went back to the hop
  int Release(std::uint64_t reservationId, int unused);

  /// @brief Closes a hop whose upstream has answered.
  /// @return its unused retries, for `Acp-Retries-Left`. Later draws get nothing, but the hop id
  /// stays known until its context is invalid, so that it cannot be opened again.
  int Close(const std::string& hopId);

  /// @brief Forgets hops whose deadline plus clock skew bound has passed.
  /// @par Complexity
  /// Logarithmic for each forgotten hop.
  void Expire(UnixMillis now);

  /// @brief Returns the unused retries of an open hop, 0 when it is not open.
  [[nodiscard]] int Remaining(const std::string& hopId) const;

  /// @brief Returns the number of remembered hops.
  [[nodiscard]] std::size_t Size() const { return hops_.size(); }

private:
  struct Hop
  {
    int remaining = 0;
    bool isOpen = true;
    std::map<std::uint64_t, int> reservations; // ticket to granted retries
    std::multimap<std::int64_t, std::string>::iterator expiry;
  };

  void Erase(const std::string& hopId);

  HopBudgetTableOptions options_;
  std::unordered_map<std::string, Hop> hops_;
  std::unordered_map<std::uint64_t, std::string> hopByReservation_;
  std::multimap<std::int64_t, std::string> expiries_; // Unix milliseconds to hop id
  std::uint64_t nextReservationId_ = 1;
};

} // namespace acp
