#include <boost/test/unit_test.hpp>

#include <algorithm> // max
#include <map>       // map
#include <random>    // mt19937
#include <set>       // set
#include <string>    // string

#include "acaciapulley/claims/claim_registry.hpp"

namespace {

constexpr std::int64_t kStart = 1'700'000'000'000;
constexpr std::int64_t kDay = 86'400'000;

acp::ClaimAttempt Attempt(const std::string& id, std::int64_t now, std::int64_t keyTime = kStart)
{
  return { .key = { "workshop", "orders", std::to_string(keyTime / 1000) + "-order-0001" },
           .attemptId = id,
           .fingerprint = "f",
           .deadline = acp::ToUnixMillis(now + 1000) };
}

acp::ClaimState StateOf(acp::ClaimRegistry& registry,
                        const acp::ClaimAttempt& attempt,
                        std::int64_t now)
{
  return registry.Begin(attempt, acp::ToUnixMillis(now)).value().state;
}

/// Expected state of one key, tracked independently of the registry's rules.
struct KeyModel
{
  std::set<std::string> mayHaveRun; ///< attempts that were granted and not released
  std::set<std::string> released;   ///< attempts that were released, whether granted or not
  bool hasOutcome = false;
};

} // namespace

BOOST_AUTO_TEST_SUITE(claim_registry)

// P9. Guards against a second run of a request: in random sequences of calls, with resends, late
// calls and restarts from a snapshot, no attempt is granted a key that another attempt may have
// used.
BOOST_AUTO_TEST_CASE(a_key_is_granted_to_one_attempt_until_it_is_released)
{
  for (unsigned int seed = 1; seed <= 30; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      std::mt19937 random(seed);
      auto registry = std::make_unique<acp::ClaimRegistry>();
      std::map<std::string, KeyModel> model;
      std::int64_t now = kStart;
      for (int step = 0; step < 1500; ++step) {
        now += random() % 4 == 0 ? static_cast<std::int64_t>(random() % 900) : 0;
        // After a restart or with a new leader, the clock of the proposer may be behind.
        const auto time = acp::ToUnixMillis(now - static_cast<std::int64_t>(random() % 200));
        auto attempt = Attempt("a" + std::to_string(random() % 5), now);
        attempt.key.idempotencyKey += std::to_string(random() % 20);
        KeyModel& known = model[attempt.key.idempotencyKey];
        // New attempts follow released ones, whose delayed calls may still arrive.
        attempt.attemptId = std::to_string(known.released.size() + random() % 5) + " of " +
                            attempt.key.idempotencyKey;
        switch (random() % 6) {
          case 0:
            if (registry->Finish(attempt.key, attempt.attemptId, { .status = 200 }, time)) {
              BOOST_TEST(known.mayHaveRun.contains(attempt.attemptId));
              known.hasOutcome = true;
            }
            break;
          case 1:
            // A node releases an attempt that holds the claim, or one whose Begin got no reply.
            if (registry->Release(attempt.key, attempt.attemptId, time)) {
              BOOST_TEST(!known.hasOutcome);
              known.mayHaveRun.erase(attempt.attemptId);
              known.released.insert(attempt.attemptId);
            }
            break;
          case 2: {
            auto restored = std::make_unique<acp::ClaimRegistry>();
            restored->Restore(
              registry->Records(), registry->LatestTime(), registry->ReleasedAttempts());
            registry = std::move(restored);
            break;
          }
          default: {
            const auto begun = registry->Begin(attempt, time);
            if (!begun) {
              BOOST_TEST((begun.error().code == acp::ClaimsErrorCode::AttemptReleased));
              break;
            }
            BOOST_TEST(!known.released.contains(attempt.attemptId));
            const auto state = begun.value().state;
            BOOST_TEST((state == acp::ClaimState::Finished) == known.hasOutcome);
            if (state == acp::ClaimState::Granted) {
              known.mayHaveRun.insert(attempt.attemptId);
            }
          }
        }
        BOOST_REQUIRE(known.mayHaveRun.size() <= 1U);
      }
    }
  }
}

// P9. Guards against a resend that runs again or does not receive the recorded response.
BOOST_AUTO_TEST_CASE(a_resend_gets_the_claim_state_or_the_recorded_outcome)
{
  acp::ClaimRegistry registry;
  const auto first = Attempt("a1", kStart);
  const auto second = Attempt("a2", kStart);
  BOOST_TEST((StateOf(registry, first, kStart) == acp::ClaimState::Granted));
  BOOST_TEST((StateOf(registry, first, kStart) == acp::ClaimState::Granted));
  BOOST_TEST((StateOf(registry, second, kStart) == acp::ClaimState::InProgress));
  auto other = second;
  other.fingerprint = "another body";
  BOOST_TEST((StateOf(registry, other, kStart) == acp::ClaimState::Mismatch));
  // Until the deadline plus the clock skew the holder may still dispatch; afterwards nobody may.
  BOOST_TEST((StateOf(registry, second, kStart + 1250) == acp::ClaimState::InProgress));
  BOOST_TEST((StateOf(registry, second, kStart + 1251) == acp::ClaimState::Unknown));
  BOOST_TEST((StateOf(registry, first, kStart) == acp::ClaimState::Unknown));
  const auto late = acp::ToUnixMillis(kStart + 5000);
  const acp::ClaimOutcome outcome{ .status = 201, .body = "done", .bodyKept = true };
  BOOST_TEST(!registry.Finish(first.key, "a2", outcome, late).has_value());
  BOOST_TEST(registry.Finish(first.key, "a1", outcome, late).has_value());
  BOOST_TEST(registry.Finish(first.key, "a1", { .status = 500 }, late).has_value());
  BOOST_TEST(!registry.Release(first.key, "a1", late).has_value());
  const auto answer = registry.Begin(second, late).value();
  BOOST_TEST((answer.state == acp::ClaimState::Finished));
  BOOST_TEST(answer.outcome->body == "done");
  BOOST_TEST(answer.outcome->status == 201);
}

// P9. Guards against a key that is accepted again after its claim has expired, and against keys
// with a time so far ahead that their claims would be retained for too long.
BOOST_AUTO_TEST_CASE(keys_with_old_or_future_timestamps_are_refused)
{
  acp::ClaimRegistry registry;
  const auto end = kStart + kDay;
  BOOST_TEST((StateOf(registry, Attempt("a", end - 1), end - 1) == acp::ClaimState::Granted));
  BOOST_TEST((StateOf(registry, Attempt("b", end), end) == acp::ClaimState::Expired));
  BOOST_TEST(registry.Size() == 0U);
  // The clock of a new leader may be behind; the time of the registry does not go back.
  BOOST_TEST((StateOf(registry, Attempt("c", end), end - 1) == acp::ClaimState::Expired));
  const auto ahead = Attempt("d", end, end + 301'000);
  BOOST_TEST((registry.Begin(ahead, acp::ToUnixMillis(end)).error().code ==
              acp::ClaimsErrorCode::KeyInFuture));
  BOOST_TEST(registry.Begin(ahead, acp::ToUnixMillis(end + 1000)).has_value());
  for (const char* text : { "", "-12345678", "17-short", "x7-12345678", "17-1234 5678", "17" }) {
    BOOST_TEST(!acp::TimeOfIdempotencyKey(text).has_value());
  }
}

// P9. Guards against a delayed Begin that claims a key for an attempt already released, before and
// after a restart from a snapshot, and against unbounded storage of released attempts.
BOOST_AUTO_TEST_CASE(a_released_attempt_is_never_granted)
{
  acp::ClaimRegistry registry({ .maxReleasedAttempts = 2 });
  const auto now = acp::ToUnixMillis(kStart);
  const auto first = Attempt("a1", kStart);
  BOOST_TEST(!registry.Release(first.key, "a1", now).has_value());
  BOOST_TEST((StateOf(registry, Attempt("a2", kStart), kStart) == acp::ClaimState::Granted));
  BOOST_TEST(registry.Release(first.key, "a2", now).has_value());
  acp::ClaimRegistry restored;
  restored.Restore(registry.Records(), registry.LatestTime(), registry.ReleasedAttempts());
  for (auto* each : { &registry, &restored }) {
    for (const char* id : { "a1", "a2" }) {
      const auto late = each->Begin(Attempt(id, kStart), now);
      BOOST_REQUIRE(!late.has_value());
      BOOST_TEST((late.error().code == acp::ClaimsErrorCode::AttemptReleased));
    }
    BOOST_TEST((StateOf(*each, Attempt("a3", kStart), kStart) == acp::ClaimState::Granted));
  }
  BOOST_TEST(!registry.Release(first.key, "a4", now).has_value());
  BOOST_TEST(registry.ReleasedAttempts().size() == 2U);
  registry.Expire(acp::ToUnixMillis(kStart + acp::kReleasedAttemptRetention.count() + 1));
  BOOST_TEST(registry.ReleasedAttempts().empty());
}

// P9. Guards against unbounded memory, and against a claim that is evicted to make room.
BOOST_AUTO_TEST_CASE(memory_is_bounded_without_dropping_claims)
{
  acp::ClaimRegistry registry({ .maxClaimsPerAccount = 2, .maxBodyBytesPerAccount = 20'000 });
  const auto now = acp::ToUnixMillis(kStart);
  auto attempt = Attempt("a", kStart);
  const std::string base = attempt.key.idempotencyKey;
  for (const std::string end : { "x", "y" }) {
    attempt.key.idempotencyKey = base + end;
    BOOST_TEST(registry.Begin(attempt, now).has_value());
    const acp::ClaimOutcome outcome{ .body = std::string(16'384, 'b'), .bodyKept = true };
    BOOST_TEST(registry.Finish(attempt.key, "a", outcome, now).has_value());
  }
  const auto kept = registry.Records();
  BOOST_TEST(kept[0].outcome->bodyKept);
  BOOST_TEST(!kept[1].outcome->bodyKept);
  BOOST_TEST(kept[1].outcome->bodyDigest == kept[0].outcome->bodyDigest);
  attempt.key.idempotencyKey = base + "z";
  BOOST_TEST((registry.Begin(attempt, now).error().code == acp::ClaimsErrorCode::TooManyClaims));
  attempt.key.account = "another";
  BOOST_TEST(registry.Begin(attempt, now).has_value());
  BOOST_TEST(registry.Size() == 3U);
  BOOST_TEST(!acp::TrimOutcome({ .body = std::string(16'385, 'b'), .bodyKept = true }).bodyKept);
}

BOOST_AUTO_TEST_SUITE_END()
