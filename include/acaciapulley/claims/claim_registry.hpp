#pragma once

/// @file
/// Claims of idempotency keys: each key is held by at most one attempt, and its outcome is kept, so
/// that a non-idempotent request runs at most once (design, section 4.7).

#include <compare>     // strong_ordering
#include <cstdint>     // int64_t
#include <deque>       // deque
#include <map>         // map
#include <optional>    // optional
#include <set>         // set
#include <string>      // string
#include <string_view> // string_view
#include <utility>     // pair
#include <vector>      // vector

#include "acaciapulley/claims/claims_error.hpp" // ClaimsResult
#include "acaciapulley/core/clock.hpp"          // UnixMillis

namespace acp {

/// How long a claim is kept, counted from the time in its idempotency key.
inline constexpr std::chrono::milliseconds kClaimRetention = std::chrono::hours(24);

/// How far the time in an idempotency key may be ahead of the log's time.
inline constexpr std::chrono::milliseconds kMaxKeyTimeAhead = std::chrono::minutes(5);

/// Bound of the difference between two hosts' wall clocks.
inline constexpr std::chrono::milliseconds kMaxClaimClockSkew{ 250 };

/// A deadline further ahead than this counts as this; the longest deadline of a request class is
/// 600 s.
inline constexpr std::chrono::milliseconds kMaxClaimDeadline = std::chrono::seconds(600);

/// Longest response body that is kept with an outcome.
inline constexpr std::size_t kMaxStoredBodyBytes = 16'384;

/// What a claim is for.
struct ClaimKey
{
  std::string account;
  std::string service;
  std::string idempotencyKey; ///< `<unix seconds>-<8 to 64 of A-Z a-z 0-9 _ ->`

  auto operator<=>(const ClaimKey&) const = default;
};

/// The response that a resend receives.
struct ClaimOutcome
{
  int status = 0;
  std::string contentType;
  std::string body;       ///< empty when it is not kept
  bool bodyKept = false;  ///< false: only the digest is known
  std::string bodyDigest; ///< SHA-256 of the whole body

  bool operator==(const ClaimOutcome&) const = default;
};

/// One try to run a request.
struct ClaimAttempt
{
  ClaimKey key;
  std::string attemptId;   ///< unique for each try; a resent Begin of the same try repeats it
  std::string fingerprint; ///< digest of method, path and body; the same key must repeat it
  UnixMillis deadline{};   ///< after it, plus kMaxClaimClockSkew, the attempt dispatches nothing
};

/// Answer to Begin. The numbers are those of the wire.
enum class ClaimState
{
  Granted = 1,    ///< the attempt holds the claim and may run the request
  InProgress = 2, ///< another attempt holds it
  Finished = 3,   ///< the outcome is known
  Unknown = 4,    ///< the request may have run, and no outcome is known
  Expired = 5,    ///< the idempotency key is too old
  Mismatch = 6,   ///< the key was used for another request
};

/// Answer to Begin.
struct ClaimDecision
{
  ClaimState state = ClaimState::Unknown;
  std::optional<ClaimOutcome> outcome; ///< set when Finished
};

/// A claim as it is stored.
struct ClaimRecord
{
  ClaimAttempt holder;
  bool isMarkedUnknown = false;
  std::optional<ClaimOutcome> outcome;
};

/// How long a released attempt is remembered. A later Begin of it has passed its deadline.
inline constexpr std::chrono::milliseconds kReleasedAttemptRetention =
  kMaxClaimDeadline + kMaxClaimClockSkew;

/// An attempt that gave its claim up; a delayed Begin of it is refused.
struct ReleasedAttempt
{
  std::string attemptId;
  UnixMillis until{}; ///< forgotten at this time

  bool operator==(const ReleasedAttempt&) const = default;
};

/// Bounds of memory for one client account.
struct ClaimLimits
{
  /// At the association's sizes a claim without body takes about 0.5 KB.
  std::size_t maxClaimsPerAccount = 200'000;
  /// Bodies beyond this are kept as digests only.
  std::size_t maxBodyBytesPerAccount = 64 * 1024 * 1024;
  /// Released attempts of all accounts; beyond this the oldest is forgotten. A delayed Begin of a
  /// forgotten one makes a claim that becomes unknown; it never makes a request run twice.
  std::size_t maxReleasedAttempts = 50'000;
};

/// @brief Returns the time in an idempotency key, or nothing when its form is wrong.
/// @par Example
/// @code
/// const auto time = acp::TimeOfIdempotencyKey("1700000000-order-17");
/// @endcode
[[nodiscard]] std::optional<UnixMillis> TimeOfIdempotencyKey(std::string_view key);

/// @brief Returns @p outcome with its digest set, and without its body when that is too large.
[[nodiscard]] ClaimOutcome TrimOutcome(ClaimOutcome outcome);

/// The claims of all client accounts.
///
/// Its rules: a claim has at most one holder; a claim with a holder that may have dispatched is
/// never granted again before its idempotency key is too old to be accepted; a claim is never
/// dropped to make room. Time is the log's time; it never goes back inside the registry.
class ClaimRegistry
{
public:
  explicit ClaimRegistry(ClaimLimits limits = {});
  ClaimRegistry(const ClaimRegistry&) = delete;
  ClaimRegistry& operator=(const ClaimRegistry&) = delete;
  ~ClaimRegistry() = default;

  /// @brief Claims a key for an attempt. A repeated call of the holder is granted again.
  /// @param now the log's time
  /// @return the decision, or InvalidKey, KeyInFuture, TooManyClaims, DeadlinePassed or
  /// InvalidAttempt, or AttemptReleased for an attempt that was released before; after an error the
  /// attempt must not run the request
  /// @par Complexity
  /// Logarithmic in the number of claims, plus the claims that expire.
  /// @par Example
  /// @code
  /// const auto decision = registry.Begin(attempt, entry.time);
  /// const bool mayRun = decision && decision.value().state == acp::ClaimState::Granted;
  /// @endcode
  ClaimsResult<ClaimDecision> Begin(const ClaimAttempt& attempt, UnixMillis now);

  /// @brief Records the outcome; also after the deadline, and again with the first outcome kept.
  /// @return nothing, or NotHolder
  ClaimsResult<void> Finish(const ClaimKey& key,
                            const std::string& attemptId,
                            const ClaimOutcome& outcome,
                            UnixMillis now);

  /// @brief Frees a claim of which the holder is certain that nothing was sent. The attempt is
  /// remembered also when nobody holds the claim, since its Begin may still be on its way; not when
  /// another attempt holds it.
  /// @return nothing, or NotHolder; a claim with an outcome or marked unknown is not freed
  ClaimsResult<void> Release(const ClaimKey& key, const std::string& attemptId, UnixMillis now);

  /// @brief Records that the request may have run and that its holder knows no outcome.
  /// @return nothing, or NotHolder; an outcome that is known stays
  ClaimsResult<void> MarkUnknown(const ClaimKey& key, const std::string& attemptId, UnixMillis now);

  /// @brief Drops the claims whose idempotency keys have become too old.
  void Expire(UnixMillis now);

  /// @brief Returns the number of claims.
  [[nodiscard]] std::size_t Size() const { return claims_.size(); }

  /// @brief Returns the latest time seen.
  [[nodiscard]] UnixMillis LatestTime() const { return latestTime_; }

  /// @brief Returns all claims ordered by key, for a snapshot.
  [[nodiscard]] std::vector<ClaimRecord> Records() const;

  /// @brief Returns the released attempts that are remembered, oldest first, for a snapshot.
  [[nodiscard]] std::vector<ReleasedAttempt> ReleasedAttempts() const;

  /// @brief Replaces everything by what Records(), LatestTime() and ReleasedAttempts() returned.
  void Restore(const std::vector<ClaimRecord>& records,
               UnixMillis latest,
               const std::vector<ReleasedAttempt>& released = {});

private:
  struct AccountUsage
  {
    std::size_t claims = 0;
    std::size_t bodyBytes = 0;
  };
  using Claims = std::map<ClaimKey, ClaimRecord>;

  UnixMillis AdvanceTime(UnixMillis now);
  [[nodiscard]] ClaimDecision DecideExisting(const ClaimRecord& claim,
                                             const ClaimAttempt& attempt,
                                             UnixMillis now) const;
  ClaimRecord* FindHeldBy(const ClaimKey& key, const std::string& attemptId);
  void AddReleased(const ReleasedAttempt& released);
  void RemoveOldestReleased();
  void Insert(const ClaimRecord& record);
  void Erase(Claims::iterator claim);

  ClaimLimits limits_;
  UnixMillis latestTime_{};
  Claims claims_;
  std::map<std::string, AccountUsage> usageByAccount_;
  /// Time at which a claim is dropped, and its key inside claims_.
  std::set<std::pair<std::int64_t, const ClaimKey*>> byExpiry_;
  std::deque<ReleasedAttempt> released_; ///< oldest first
  std::set<std::string> releasedIds_;
};

} // namespace acp
