#pragma once

/// @file
/// Claims on idempotency keys. At most one attempt holds the claim on a key, and the outcome is
/// stored, so that a non-idempotent request runs at most once (design, section 4.7).

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

/// Retention of a claim, counted from the time in its idempotency key.
inline constexpr std::chrono::milliseconds kClaimRetention = std::chrono::hours(24);

/// Maximum by which the time in an idempotency key may be ahead of the log's time.
inline constexpr std::chrono::milliseconds kMaxKeyTimeAhead = std::chrono::minutes(5);

/// Upper bound on the difference between the wall clocks of two hosts.
inline constexpr std::chrono::milliseconds kMaxClaimClockSkew{ 250 };

/// Deadlines further ahead are reduced to this; the maximum deadline of a request class is 600 s.
inline constexpr std::chrono::milliseconds kMaxClaimDeadline = std::chrono::seconds(600);

/// Maximum size of a response body that is stored with an outcome.
inline constexpr std::size_t kMaxStoredBodyBytes = 16'384;

/// Identifies a claim.
struct ClaimKey
{
  std::string account;
  std::string service;
  std::string idempotencyKey; ///< `<unix seconds>-<8 to 64 of A-Z a-z 0-9 _ ->`

  auto operator<=>(const ClaimKey&) const = default;
};

/// The response that resends of the request receive.
struct ClaimOutcome
{
  int status = 0;
  std::string contentType;
  std::string body;       ///< empty when not stored
  bool bodyKept = false;  ///< false: only the digest is stored
  std::string bodyDigest; ///< SHA-256 of the complete body

  bool operator==(const ClaimOutcome&) const = default;
};

/// An attempt to run a request.
struct ClaimAttempt
{
  ClaimKey key;
  std::string attemptId;   ///< unique to the attempt; repeated when its Begin is resent
  std::string fingerprint; ///< digest of method, path and body; must match in all uses of the key
  UnixMillis deadline{};   ///< nothing is dispatched after it plus kMaxClaimClockSkew
};

/// State of a claim as seen by Begin. The values equal those of the wire format.
enum class ClaimState
{
  Granted = 1,    ///< the attempt holds the claim and may run the request
  InProgress = 2, ///< another attempt holds the claim
  Finished = 3,   ///< the outcome is stored
  Unknown = 4,    ///< the request may have run, and its outcome is not known
  Expired = 5,    ///< the idempotency key is too old
  Mismatch = 6,   ///< the key was used for another request
};

/// Result of Begin.
struct ClaimDecision
{
  ClaimState state = ClaimState::Unknown;
  std::optional<ClaimOutcome> outcome; ///< set when Finished
};

/// A stored claim.
struct ClaimRecord
{
  ClaimAttempt holder;
  bool isMarkedUnknown = false;
  std::optional<ClaimOutcome> outcome;
};

/// Retention of a released attempt. The deadline of a Begin that arrives later has passed.
inline constexpr std::chrono::milliseconds kReleasedAttemptRetention =
  kMaxClaimDeadline + kMaxClaimClockSkew;

/// An attempt that released its claim; a delayed Begin of it is refused.
struct ReleasedAttempt
{
  std::string attemptId;
  UnixMillis until{}; ///< removed after this time

  bool operator==(const ReleasedAttempt&) const = default;
};

/// Bounds on memory use.
struct ClaimLimits
{
  /// With the sizes of examples/association a claim without body takes about 0.5 KB.
  std::size_t maxClaimsPerAccount = 200'000;
  /// Of further bodies only the digests are stored.
  std::size_t maxBodyBytesPerAccount = 64 * 1024 * 1024;
  /// Released attempts of all accounts; beyond this the oldest is removed. A delayed Begin of a
  /// removed one takes a claim that becomes unknown, but never makes a request run twice.
  std::size_t maxReleasedAttempts = 50'000;
};

/// @brief Returns the time in an idempotency key, or nothing when the key is malformed.
/// @par Example
/// @code
/// const auto time = acp::TimeOfIdempotencyKey("1700000000-order-17");
/// @endcode
[[nodiscard]] std::optional<UnixMillis> TimeOfIdempotencyKey(std::string_view key);

/// @brief Returns @p outcome with its digest set, and without its body when the body is too large.
[[nodiscard]] ClaimOutcome TrimOutcome(ClaimOutcome outcome);

/// The claims of all client accounts.
///
/// Invariants:
/// - a claim has at most one holder;
/// - a claim whose holder may have dispatched the request is not granted again until its
///   idempotency key has expired;
/// - a claim is never evicted to make room for another.
///
/// Times are those of the log. The registry ignores times earlier than the latest one.
class ClaimRegistry
{
public:
  explicit ClaimRegistry(ClaimLimits limits = {});
  ClaimRegistry(const ClaimRegistry&) = delete;
  ClaimRegistry& operator=(const ClaimRegistry&) = delete;
  ~ClaimRegistry() = default;

  /// @brief Requests the claim on a key for an attempt. A repeated call by the holder is granted.
  /// @param now the log's time
  /// @return the decision, or InvalidKey, KeyInFuture, TooManyClaims, DeadlinePassed or
  /// InvalidAttempt, or AttemptReleased when the attempt has been released; after an error the
  /// attempt must not run the request
  /// @par Complexity
  /// Logarithmic in the number of claims, plus the removal of expired claims.
  /// @par Example
  /// @code
  /// const auto decision = registry.Begin(attempt, entry.time);
  /// const bool mayRun = decision && decision.value().state == acp::ClaimState::Granted;
  /// @endcode
  ClaimsResult<ClaimDecision> Begin(const ClaimAttempt& attempt, UnixMillis now);

  /// @brief Records the outcome, also after the deadline. A repeated call keeps the first outcome.
  /// @return nothing, or NotHolder
  ClaimsResult<void> Finish(const ClaimKey& key,
                            const std::string& attemptId,
                            const ClaimOutcome& outcome,
                            UnixMillis now);

  /// @brief Releases a claim whose holder is certain that nothing was sent. The attempt is recorded
  /// as released also when nobody holds the claim, since its Begin may still be in transit, but not
  /// when another attempt holds the claim.
  /// @return nothing, or NotHolder; a claim with an outcome or marked unknown is not released
  ClaimsResult<void> Release(const ClaimKey& key, const std::string& attemptId, UnixMillis now);

  /// @brief Records that the request may have run and that its holder does not know the outcome.
  /// @return nothing, or NotHolder; a recorded outcome is kept
  ClaimsResult<void> MarkUnknown(const ClaimKey& key, const std::string& attemptId, UnixMillis now);

  /// @brief Removes the claims whose idempotency keys have expired, and released attempts after
  /// their retention.
  void Expire(UnixMillis now);

  /// @brief Returns the number of claims.
  [[nodiscard]] std::size_t Size() const { return claims_.size(); }

  /// @brief Returns the latest time passed to any call.
  [[nodiscard]] UnixMillis LatestTime() const { return latestTime_; }

  /// @brief Returns all claims in key order, for a snapshot.
  [[nodiscard]] std::vector<ClaimRecord> Records() const;

  /// @brief Returns the recorded released attempts, oldest first, for a snapshot.
  [[nodiscard]] std::vector<ReleasedAttempt> ReleasedAttempts() const;

  /// @brief Replaces the contents with what Records(), LatestTime() and ReleasedAttempts()
  /// returned.
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
  /// Expiry of a claim, and its key inside claims_.
  std::set<std::pair<std::int64_t, const ClaimKey*>> byExpiry_;
  std::deque<ReleasedAttempt> released_; ///< oldest first
  std::set<std::string> releasedIds_;
};

} // namespace acp
