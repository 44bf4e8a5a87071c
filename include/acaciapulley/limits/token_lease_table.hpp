#pragma once

/// @file
/// The tokens that a node holds.

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
  /// A request may wait this long for a token before it is refused.
  Duration maxWait = std::chrono::milliseconds(50);
  /// An ask without an answer is given up after this long, and a new one may be sent.
  Duration answerTimeout = std::chrono::milliseconds(150);
  /// Tokens held in advance cover this many settle intervals of recent use, but at most
  /// maxPrefetchTime.
  double prefetchIntervals = 2;
  Duration maxPrefetchTime = std::chrono::milliseconds(500);
  /// False only in tests that show why a lease counts from the ask and not from the answer.
  bool leaseFromAsk = true;
};

/// What became of an attempt to take a token.
enum class ReserveStatus
{
  Reserved, ///< a token is reserved; call Commit or Release
  Wait,     ///< none at hand; send the due ask and try again after its answer
  Refused,  ///< the authority has none; refuse the request
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
  Duration retryAfter{};        ///< for `Retry-After` when Refused, for the next attempt when Wait
  /// When Refused: for the record's count of refusals within the rate. A request that waited in
  /// vain because no answer came counts there as well.
  bool mayBeWithinRate = false;
};

/// Holds leased tokens for each service and account, and says when to ask the authority and what.
///
/// A request takes a token, then either commits it at dispatch or puts it back. A committed token
/// is spent. A token whose lease has ended can be neither committed nor put back. All calls may
/// come from any thread: state is in shards, each under its own lock. Memory: one entry for each
/// limit used within the last kIdleEntryRetention.
///
/// @par Example
/// @code
/// const auto take = table.TryReserve(key, clock.Now());
/// if (take.status == acp::ReserveStatus::Reserved && table.Commit(key, take.reservation,
/// clock.Now())) {
///   Dispatch();
/// }
/// @endcode
class TokenLeaseTable
{
public:
  /// Entries without use are dropped after this long.
  static constexpr Duration kIdleEntryRetention = std::chrono::seconds(10);

  explicit TokenLeaseTable(const TokenLeaseTableOptions& options);

  /// @brief Reserves a token of @p key if one is at hand.
  [[nodiscard]] ReserveResult TryReserve(const LimitKey& key, TimePoint now);

  /// @brief Marks a reserved token as spent.
  /// @return false when its lease has ended since, for instance because the process was frozen; the
  ///         request must then not run
  [[nodiscard]] bool Commit(const LimitKey& key,
                            const TokenReservation& reservation,
                            TimePoint now);

  /// @brief Gives back a reserved token of a request that was refused as not-run.
  void Release(const LimitKey& key, const TokenReservation& reservation, TimePoint now);

  /// @brief Counts a request as waiting for a token, so that the next ask requests one for it.
  void AddWaiter(const LimitKey& key);

  /// @brief Ends the wait of one request, whether it got a token or not.
  void RemoveWaiter(const LimitKey& key);

  /// @brief Returns the ask that is due for @p key now, if any. At most one is in flight for a key.
  ///
  /// The caller must send it and report OnAnswer or OnAskFailed. Call it after AddWaiter.
  [[nodiscard]] std::optional<TokenAsk> DueAsk(const LimitKey& key, TimePoint now);

  /// @brief Returns all asks that are due: reports, renewals and prefetches.
  ///
  /// Call it about every 10 ms. Drops idle entries.
  [[nodiscard]] std::vector<TokenAsk> DueAsks(TimePoint now);

  /// @brief Takes over an answer. An answer to an ask that was overtaken is ignored.
  void OnAnswer(const LimitKey& key, const TokenAnswer& answer, TimePoint now);

  /// @brief Notes that an ask failed or timed out: a new one may be sent at once.
  ///
  /// An answer that arrives after this is ignored. The next ask tells the authority that the tokens
  /// of the lost answer did not arrive, so that they are free again.
  void OnAskFailed(const LimitKey& key, std::int64_t number, TimePoint now);

  /// @brief Returns the free tokens of @p key.
  [[nodiscard]] double AvailableTokens(const LimitKey& key, TimePoint now) const;

private:
  /// Tokens of one term with one end of lease.
  struct Pool
  {
    std::int64_t id = 0; ///< unique in the table's life; 0: empty
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

  /// Everything known of one limit.
  struct Entry
  {
    Pool current;  ///< tokens of the latest term seen
    Pool previous; ///< tokens of the term before, until their lease ends
    std::int64_t term = 0;
    double received = 0;
    double spent = 0;
    double returned = 0;
    double reportedSpent = 0;
    TimePoint lastSpend;
    std::optional<PendingAsk> pending;
    int waiting = 0;
    TimePoint refusedUntil;
    bool mayBeWithinRate = false; ///< as the answer to the last ask said
    TimePoint settleAt;           ///< next report of spent or idle tokens
    TimePoint nextPrefetch;       ///< no ask only for later requests before this
    Duration settleWithin = std::chrono::milliseconds(100);
    double usePerSecond = 0;
    TimePoint lastUse;
  };

  struct Shard
  {
    mutable std::mutex mutex;
    std::map<LimitKey, Entry> entries;
    std::int64_t nextPool = 1;
    std::int64_t nextNumber = 1; ///< of asks; outlives entries, since the authority remembers it
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
