#pragma once

/// @file
/// Retry budgets of the hops that a node is executing.

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
  std::string nodeId;               ///< this node; issuer of the contexts that Open() returns
  std::int64_t epoch = 0;           ///< changes on each start of this node
  std::size_t maxHops = 65'536;     ///< open or closed but not expired; about 200 bytes each
  std::size_t maxReservations = 64; ///< unreleased reservations per hop
  bool enforceBudget = true; ///< false: reservations do not reduce the budget (for comparison)
};

/// Retries of a hop's budget that are reserved for one child call.
struct RetryReservation
{
  std::uint64_t id = 0; ///< passed to Release(); 0 when nothing was granted
  int granted = 0;      ///< retries that the call and its descendants may make in total
};

/// How the reserved retries of a call are divided.
struct CallBudget
{
  int caller = 0; ///< kept by the calling node to retry this call
  int callee = 0; ///< passed to the callee in its request context
};

/// @brief Divides @p granted retries between caller and callee.
///
/// Of two or more, the caller keeps one, which is not lost when the response is lost together with
/// the callee's unused retries. A single retry goes to the callee: calls are refused most often at
/// the deepest service, whose caller would otherwise have no retry. A refusal returns it.
[[nodiscard]] constexpr CallBudget SplitReservation(int granted)
{
  const int caller = granted >= 2 ? 1 : 0;
  return { .caller = caller, .callee = granted - caller };
}

/// Retry budgets of open hops.
///
/// Invariants:
/// - for each hop, remaining retries + unreleased reservations <= budget at opening;
/// - a reservation is released at most once;
/// - a hop is opened at most once until its context has expired.
///
/// The context passed to an upstream identifies the hop but carries no budget. The budget stays in
/// this table, so a replayed context reserves from the same remaining retries. When a response is
/// lost, the retries of the callee are not returned.
///
/// Not thread-safe.
class HopBudgetTable
{
public:
  explicit HopBudgetTable(HopBudgetTableOptions options);

  /// @brief Opens the hop of a request before it is sent to the local upstream.
  /// @param context verified context of the hop; retriesLeft is its budget
  /// @param now wall-clock time of this host
  /// @return the context to pass to the upstream, issued by this node with retriesLeft set to 0; or
  /// DuplicateHop, TooManyHops or ExpiredContext. A hop that is not open has no retries.
  [[nodiscard]] RetriesResult<RequestContext> Open(const RequestContext& context, UnixMillis now);

  /// @brief Reserves up to @p wanted retries of the hop for a child call.
  /// @param context verified context that the call carried; nothing is granted unless it was issued
  /// by this node in this epoch and its hop is open
  [[nodiscard]] RetryReservation Reserve(const RequestContext& context, int wanted, UnixMillis now);

  /// @brief Returns the unused retries of a child call to its hop.
  /// @param unused clamped to the granted retries; a second release of a reservation is ignored
  /// @return the retries returned to the hop
  int Release(std::uint64_t reservationId, int unused);

  /// @brief Closes a hop whose upstream has responded.
  /// @return its unused retries, for `Acp-Retries-Left`. Later reservations are empty. The hop id
  /// is kept until its context has expired, so that the hop cannot be opened again.
  int Close(const std::string& hopId);

  /// @brief Removes hops whose deadline plus kMaxClockSkew has passed.
  /// @par Complexity
  /// Logarithmic for each removed hop.
  void Expire(UnixMillis now);

  /// @brief Returns the unused retries of an open hop, 0 when it is not open.
  [[nodiscard]] int Remaining(const std::string& hopId) const;

  /// @brief Returns the number of hops, open or closed, that have not expired.
  [[nodiscard]] std::size_t Size() const { return hops_.size(); }

private:
  struct Hop
  {
    int remaining = 0;
    bool isOpen = true;
    std::map<std::uint64_t, int> reservations; // reservation id to granted retries
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
