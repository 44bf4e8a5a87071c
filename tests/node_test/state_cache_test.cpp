#include <boost/test/unit_test.hpp>

#include "acaciapulley/node/local_upstream.hpp"
#include "acaciapulley/node/state_cache.hpp"

BOOST_AUTO_TEST_SUITE(state_cache)

// Guards against a node that serves requests with a key after it has lost control (P5).
BOOST_AUTO_TEST_CASE(state_is_fresh_until_its_max_age)
{
  acp::ManualClock clock;
  acp::StateCache stateCache;
  BOOST_TEST(!stateCache.IsFresh(clock.Now(), acp::kKeyedMaxStateAge));
  stateCache.Apply({ .isSnapshot = true, .toVersion = 1 }, clock.Now());
  BOOST_TEST(stateCache.IsFresh(clock.Now(), acp::kKeyedMaxStateAge));
  clock.Advance(acp::kKeyedMaxStateAge);
  BOOST_TEST(stateCache.IsFresh(clock.Now(), acp::kKeyedMaxStateAge));
  clock.Advance(std::chrono::milliseconds(1));
  BOOST_TEST(!stateCache.IsFresh(clock.Now(), acp::kKeyedMaxStateAge));
}

// Guards against an overtaken reply that restores a revoked key (P12).
BOOST_AUTO_TEST_CASE(older_state_never_replaces_newer_state)
{
  acp::ManualClock clock;
  acp::StateCache stateCache;
  const auto key = acp::GenerateKey("a", clock.WallNow());
  stateCache.Apply({ .isSnapshot = true, .toVersion = 5 }, clock.Now());
  stateCache.Apply({ .isSnapshot = true, .toVersion = 4, .issuedKeys = { key.record } },
                   clock.Now());
  BOOST_TEST(stateCache.Version() == 5);
  BOOST_TEST(!stateCache.FindAccountByKey(key.text).has_value());
}

// Guards against announcements with missing or invalid fields that are applied in part.
BOOST_AUTO_TEST_CASE(malformed_announcements_are_rejected)
{
  const auto good = acp::Announcement::Parse(
    R"({"service":"s","address":"127.0.0.1:1","slots":5,"max_connections":9})");
  BOOST_REQUIRE(good);
  BOOST_TEST(good.value().slots == 5);
  BOOST_TEST(!acp::Announcement::Parse(R"({"service":"s"})").has_value());
  BOOST_TEST(
    !acp::Announcement::Parse(R"({"service":"s","address":"host:1","slots":5,"max_connections":9})")
       .has_value());
}

BOOST_AUTO_TEST_SUITE_END()
