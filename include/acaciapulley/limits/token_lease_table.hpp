#pragma once

/// @file
/// Rate tokens leased by a node.

#include <array>    // array
#include <cstddef>  // size_t
#include <cstdint>  // int64_t
#include <map>      // map
#include <mutex>    // mutex
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

#include "acaciapulley/core/clock.hpp"            // Duration, TimePoint
#include "acaciapulley/limits/token_messages.hpp" // LimitKey, TokenAnswer, TokenAsk

namespace acp {

/// Construction options of a TokenLeaseTable.
struct TokenLeaseTableOptions
{
  std::string nodeId;
  std::int64_t epoch = 0;
  /// Maximum time that a request may wait for a token before it is refused.
  Duration maxWait = std::chrono::milliseconds(50);
  /// An ask without an answer times out after this long; then a new one may be sent.
  Duration answerTimeout = std::chrono::milliseconds(150);
  /// Prefetched tokens cover this many settle intervals at the recent rate of use, but at most
  /// maxPrefetchTime.
  double prefetchIntervals = 2;
  Duration maxPrefetchTime = std::chrono::milliseconds(500);
  /// False only in tests that show why a lease starts with the ask and not with the answer.
  bool leaseFromAsk = true;
};

/// Result status of an attempt to reserve a token.
enum class ReserveStatus
{
  Reserved, ///< a token is reserved; call Commit or Release
  Wait,     ///< none available; send the due ask and try again after its answer
  Refused,  ///< the authority has no tokens; refuse the request
};

/// A reserved token.
struct TokenReservation
{
  std::int64_t pool = 0;
};

/// Result of TokenLeaseTable::TryReserve.
struct ReserveResult
{
  ReserveStatus status = ReserveStatus::Wait;
  TokenReservation reservation; ///< valid when Reserved
  Duration retryAfter{};        ///< for `Retry-After` if Refused, until the next attempt if Wait
  /// If Refused: whether the refusal counts as one within the rate in the record. A request whose
  /// wait ended without an answer also counts as such.
  bool mayBeWithinRate = false;
};

/// Holds leased tokens for each service and account, and determines when to send which asks to the
/// authority.
///
/// A request reserves a token, then either commits it at dispatch or releases it. A committed token
/// is spent. A token with an expired lease can be neither committed nor released. Thread-safe: the
/// state is divided into shards, each with its own lock. Memory: one entry for each limit used
/// within the last kIdleEntryRetention.
///
/// @par Example
/// @code
/// const auto take = table.TryReserve(key, clock.Now());
/// if (take.status == acp::ReserveStatus::Reserved &&
///     table.Commit(key, take.reservation, clock.Now())) {
///   Dispatch();
/// }
/// @endcode
class TokenLeaseTable
{
public:
  /// Unused entries are removed after this long.
  static constexpr Duration kIdleEntryRetention = std::chrono::seconds(10);

  explicit TokenLeaseTable(const TokenLeaseTableOptions& options);

  /// @brief Reserves a token of @p key if one is available.
  [[nodiscard]] ReserveResult TryReserve(const LimitKey& key, TimePoint now);

  /// @brief Marks a reserved token as spent.
  /// @return false if its lease has expired, for example because the process was frozen; the
  /// request
  ///         must not run in that case
  [[nodiscard]] bool Commit(const LimitKey& key,
                            const TokenReservation& reservation,
                            TimePoint now);

  /// @brief Releases the reserved token of a request that was refused as `not-run`.
  void Release(const LimitKey& key, const TokenReservation& reservation, TimePoint now);

  /// @brief Adds a request that waits for a token; the next ask includes a token for it.
  void AddWaiter(const LimitKey& key);

  /// @brief Removes a waiting request, whether it got a token or not.
  void RemoveWaiter(const LimitKey& key);

  /// @brief Returns the ask that is due for @p key, if any. At most one ask per key is in flight.
  ///
  /// The caller must send it and then call OnAnswer() or OnAskFailed(). Call this after
  /// AddWaiter().
  [[nodiscard]] std::optional<TokenAsk> DueAsk(const LimitKey& key, TimePoint now);

  /// @brief Returns all asks that are due: reports, renewals and prefetches.
  ///
  /// Call this about every 10 ms. Also removes idle entries.
  [[nodiscard]] std::vector<TokenAsk> DueAsks(TimePoint now);

  /// @brief Applies an answer. The answer to an overtaken ask is ignored.
  void OnAnswer(const LimitKey& key, const TokenAnswer& answer, TimePoint now);

  /// @brief Marks an ask as failed or timed out; a new one may be sent immediately.
  ///
  /// An answer is ignored once the next ask has been created. That ask tells the authority that the
  /// tokens of the lost answer did not arrive, so that they become available again.
  void OnAskFailed(const LimitKey& key, std::int64_t number, TimePoint now);

  /// @brief Returns the number of available tokens of @p key, without reserved ones.
  [[nodiscard]] double AvailableTokens(const LimitKey& key, TimePoint now) const;

private:
  /// Tokens of one term with a common lease end.
  struct Pool
  {
    std::int64_t id = 0; ///< unique within the table; 0: empty
    double available = 0;
    double reserved = 0;
    TimePoint leaseEnd;
  };

  struct PendingAsk
  {
    TokenAsk ask;
    TimePoint sentAt;
    TimePoint expiresAt;
  };

  /// State of one limit.
  struct Entry
  {
    Pool current;  ///< tokens of the latest known term
    Pool previous; ///< tokens of the previous term, until their lease expires
    std::int64_t term = 0;
    double received = 0;
    double spent = 0;
    double returned = 0;
    double reportedSpent = 0;
    TimePoint lastSpend;
    std::optional<PendingAsk> pending;
    int waiting = 0;
    TimePoint refusedUntil;
    bool mayBeWithinRate = false; ///< from the answer to the last ask
    TimePoint settleAt;           ///< next report of spent or idle tokens
    TimePoint nextPrefetch;       ///< no ask that only prefetches before this
    Duration settleWithin = std::chrono::milliseconds(100);
    double usePerSecond = 0;
    TimePoint lastUse;
  };

  struct Shard
  {
    mutable std::mutex mutex;
    std::map<LimitKey, Entry> entries;
    std::int64_t nextPool = 1;
    std::int64_t nextNumber = 1; ///< of asks; outlives entries, as the authority keeps it
  };

  [[nodiscard]] Shard& ShardOf(const LimitKey& key);
  [[nodiscard]] const Shard& ShardOf(const LimitKey& key) const;
  static void ExpirePools(Entry& entry, TimePoint now);
  static Pool* FindPool(Entry& entry, const TokenReservation& reservation);
  static void RecordUse(Entry& entry, TimePoint now);
  [[nodiscard]] double PrefetchTarget(const Entry& entry, TimePoint now) const;
  [[nodiscard]] bool IsDue(const Entry& entry, TimePoint now) const;
  std::optional<TokenAsk> MakeAsk(const LimitKey& key, Shard& shard, Entry& entry, TimePoint now);

  static constexpr std::size_t kShardCount = 16;

  TokenLeaseTableOptions options_;
  std::array<Shard, kShardCount> shards_;
};

} // namespace acp
