#include "acaciapulley/claims/claim_registry.hpp"

#include <algorithm> // max, min
#include <charconv>  // from_chars
#include <utility>   // move

#include <fmt/format.h> // format

#include "acaciapulley/core/random.hpp" // Sha256

namespace acp {

namespace {

constexpr std::size_t kMinKeySuffixBytes = 8;
constexpr std::size_t kMaxKeySuffixBytes = 64;
constexpr std::size_t kMaxIdentifierBytes = 128;
// In the year 2286; keeps arithmetic in milliseconds far from overflow.
constexpr std::int64_t kMaxKeySeconds = 9'999'999'999;
constexpr std::int64_t kMillisPerSecond = 1000;

UnixMillis Plus(UnixMillis time, std::chrono::milliseconds span)
{
  return ToUnixMillis(CountMillis(time) + span.count());
}

bool IsKeyCharacter(char c)
{
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '_' ||
         c == '-';
}

bool IsIdentifier(const std::string& text)
{
  return !text.empty() && text.size() <= kMaxIdentifierBytes;
}

bool IsWellFormed(const ClaimAttempt& attempt)
{
  return IsIdentifier(attempt.key.account) && IsIdentifier(attempt.key.service) &&
         IsIdentifier(attempt.attemptId) && IsIdentifier(attempt.fingerprint);
}

std::int64_t ExpiryOf(const ClaimKey& key)
{
  const UnixMillis time = TimeOfIdempotencyKey(key.idempotencyKey).value_or(UnixMillis{});
  return CountMillis(Plus(time, kClaimRetention));
}

bool MayStillDispatch(const ClaimAttempt& attempt, UnixMillis now)
{
  return now <= Plus(attempt.deadline, kMaxClaimClockSkew);
}

auto NotHolder(const ClaimKey& key, const std::string& attemptId)
{
  return Fail(
    ClaimsErrorCode::NotHolder,
    fmt::format("attempt '{}' does not hold the claim of key '{}'", attemptId, key.idempotencyKey));
}

} // namespace

std::optional<UnixMillis> TimeOfIdempotencyKey(std::string_view key)
{
  std::int64_t seconds = 0;
  const char* end = key.data() + key.size();
  const auto [rest, error] = std::from_chars(key.data(), end, seconds);
  const bool hasTime = error == std::errc() && rest != end && *rest == '-';
  if (!hasTime || seconds < 0 || seconds > kMaxKeySeconds) {
    return std::nullopt;
  }
  const std::string_view suffix(rest + 1, static_cast<std::size_t>(end - rest - 1));
  if (suffix.size() < kMinKeySuffixBytes || suffix.size() > kMaxKeySuffixBytes) {
    return std::nullopt;
  }
  if (!std::all_of(suffix.begin(), suffix.end(), IsKeyCharacter)) {
    return std::nullopt;
  }
  return ToUnixMillis(seconds * kMillisPerSecond);
}

ClaimOutcome TrimOutcome(ClaimOutcome outcome)
{
  if (outcome.bodyKept) {
    outcome.bodyDigest = Sha256(outcome.body);
  }
  if (!outcome.bodyKept || outcome.body.size() > kMaxStoredBodyBytes) {
    outcome.bodyKept = false;
    outcome.body.clear();
  }
  return outcome;
}

ClaimRegistry::ClaimRegistry(ClaimLimits limits)
  : limits_(limits)
{
}

UnixMillis ClaimRegistry::AdvanceTime(UnixMillis now)
{
  latestTime_ = std::max(latestTime_, now);
  return latestTime_;
}

ClaimsResult<ClaimDecision> ClaimRegistry::Begin(const ClaimAttempt& attempt, UnixMillis now)
{
  Expire(now);
  now = latestTime_;
  const auto keyTime = TimeOfIdempotencyKey(attempt.key.idempotencyKey);
  if (!keyTime) {
    return Fail(ClaimsErrorCode::InvalidKey,
                "the idempotency key is not <unix seconds>-<8 to 64 of A-Z a-z 0-9 _ ->");
  }
  if (!IsWellFormed(attempt)) {
    return Fail(ClaimsErrorCode::InvalidAttempt,
                fmt::format("account, service, attempt id and fingerprint must have 1 to {} bytes",
                            kMaxIdentifierBytes));
  }
  if (releasedIds_.contains(attempt.attemptId)) {
    return Fail(ClaimsErrorCode::AttemptReleased, "the attempt has been released");
  }
  if (Plus(*keyTime, kClaimRetention) <= now) {
    return ClaimDecision{ .state = ClaimState::Expired };
  }
  if (*keyTime > Plus(now, kMaxKeyTimeAhead)) {
    return Fail(ClaimsErrorCode::KeyInFuture,
                "the time in the idempotency key is more than 5 minutes ahead; check the clock");
  }
  const auto found = claims_.find(attempt.key);
  if (found != claims_.end()) {
    return DecideExisting(found->second, attempt, now);
  }
  if (!MayStillDispatch(attempt, now)) {
    return Fail(ClaimsErrorCode::DeadlinePassed, "the deadline passed before the claim was made");
  }
  const auto usage = usageByAccount_.find(attempt.key.account);
  if (usage != usageByAccount_.end() && usage->second.claims >= limits_.maxClaimsPerAccount) {
    return Fail(ClaimsErrorCode::TooManyClaims,
                fmt::format("account '{}' has {} claims of the last 24 h, which is the maximum",
                            attempt.key.account,
                            usage->second.claims));
  }
  ClaimRecord record{ .holder = attempt };
  record.holder.deadline = std::min(attempt.deadline, Plus(now, kMaxClaimDeadline));
  Insert(record);
  return ClaimDecision{ .state = ClaimState::Granted };
}

ClaimDecision ClaimRegistry::DecideExisting(const ClaimRecord& claim,
                                            const ClaimAttempt& attempt,
                                            UnixMillis now) const
{
  if (claim.holder.fingerprint != attempt.fingerprint) {
    return { .state = ClaimState::Mismatch };
  }
  if (claim.outcome) {
    return { .state = ClaimState::Finished, .outcome = claim.outcome };
  }
  if (claim.isMarkedUnknown || !MayStillDispatch(claim.holder, now)) {
    return { .state = ClaimState::Unknown };
  }
  const bool isHolder = claim.holder.attemptId == attempt.attemptId;
  return { .state = isHolder ? ClaimState::Granted : ClaimState::InProgress };
}

ClaimRecord* ClaimRegistry::FindHeldBy(const ClaimKey& key, const std::string& attemptId)
{
  const auto found = claims_.find(key);
  if (found == claims_.end() || found->second.holder.attemptId != attemptId) {
    return nullptr;
  }
  return &found->second;
}

ClaimsResult<void> ClaimRegistry::Finish(const ClaimKey& key,
                                         const std::string& attemptId,
                                         const ClaimOutcome& outcome,
                                         UnixMillis now)
{
  Expire(now);
  ClaimRecord* claim = FindHeldBy(key, attemptId);
  if (claim == nullptr) {
    return NotHolder(key, attemptId);
  }
  if (claim->outcome) {
    // A resend may have received the first outcome already.
    return boost::outcome_v2::success();
  }
  ClaimOutcome kept = TrimOutcome(outcome);
  AccountUsage& usage = usageByAccount_[key.account];
  if (usage.bodyBytes + kept.body.size() > limits_.maxBodyBytesPerAccount) {
    kept.body.clear();
    kept.bodyKept = false;
  }
  usage.bodyBytes += kept.body.size();
  claim->outcome = std::move(kept);
  return boost::outcome_v2::success();
}

ClaimsResult<void> ClaimRegistry::Release(const ClaimKey& key,
                                          const std::string& attemptId,
                                          UnixMillis now)
{
  Expire(now);
  const ClaimRecord* claim = FindHeldBy(key, attemptId);
  const bool isHeld = claim != nullptr && !claim->outcome && !claim->isMarkedUnknown;
  if (isHeld || !claims_.contains(key)) {
    AddReleased({ attemptId, Plus(latestTime_, kReleasedAttemptRetention) });
  }
  if (claim == nullptr || claim->outcome || claim->isMarkedUnknown) {
    return NotHolder(key, attemptId);
  }
  Erase(claims_.find(key));
  return boost::outcome_v2::success();
}

ClaimsResult<void> ClaimRegistry::MarkUnknown(const ClaimKey& key,
                                              const std::string& attemptId,
                                              UnixMillis now)
{
  Expire(now);
  ClaimRecord* claim = FindHeldBy(key, attemptId);
  if (claim == nullptr) {
    return NotHolder(key, attemptId);
  }
  claim->isMarkedUnknown = true;
  return boost::outcome_v2::success();
}

void ClaimRegistry::Expire(UnixMillis now)
{
  const std::int64_t bound = CountMillis(AdvanceTime(now));
  while (!byExpiry_.empty() && byExpiry_.begin()->first <= bound) {
    Erase(claims_.find(*byExpiry_.begin()->second));
  }
  while (!released_.empty() && CountMillis(released_.front().until) < bound) {
    RemoveOldestReleased();
  }
}

void ClaimRegistry::AddReleased(const ReleasedAttempt& released)
{
  if (!releasedIds_.insert(released.attemptId).second) {
    return;
  }
  released_.push_back(released);
  if (released_.size() > limits_.maxReleasedAttempts) {
    RemoveOldestReleased();
  }
}

void ClaimRegistry::RemoveOldestReleased()
{
  releasedIds_.erase(released_.front().attemptId);
  released_.pop_front();
}

void ClaimRegistry::Insert(const ClaimRecord& record)
{
  const auto [place, isNew] = claims_.emplace(record.holder.key, record);
  if (!isNew) {
    return;
  }
  byExpiry_.emplace(ExpiryOf(place->first), &place->first);
  AccountUsage& usage = usageByAccount_[place->first.account];
  ++usage.claims;
  usage.bodyBytes += record.outcome ? record.outcome->body.size() : 0;
}

void ClaimRegistry::Erase(Claims::iterator claim)
{
  const auto usage = usageByAccount_.find(claim->first.account);
  --usage->second.claims;
  usage->second.bodyBytes -= claim->second.outcome ? claim->second.outcome->body.size() : 0;
  if (usage->second.claims == 0) {
    usageByAccount_.erase(usage);
  }
  byExpiry_.erase({ ExpiryOf(claim->first), &claim->first });
  claims_.erase(claim);
}

std::vector<ClaimRecord> ClaimRegistry::Records() const
{
  std::vector<ClaimRecord> records;
  records.reserve(claims_.size());
  for (const auto& [key, record] : claims_) {
    records.push_back(record);
  }
  return records;
}

std::vector<ReleasedAttempt> ClaimRegistry::ReleasedAttempts() const
{
  return { released_.begin(), released_.end() };
}

void ClaimRegistry::Restore(const std::vector<ClaimRecord>& records,
                            UnixMillis latest,
                            const std::vector<ReleasedAttempt>& released)
{
  released_.clear();
  releasedIds_.clear();
  for (const auto& attempt : released) {
    AddReleased(attempt);
  }
  byExpiry_.clear();
  usageByAccount_.clear();
  claims_.clear();
  latestTime_ = latest;
  for (const auto& record : records) {
    Insert(record);
  }
}

} // namespace acp
