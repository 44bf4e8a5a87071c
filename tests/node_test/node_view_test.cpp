#include <boost/test/unit_test.hpp>

#include "acaciapulley/node/local_upstream.hpp"
#include "acaciapulley/node/node_view.hpp"

BOOST_AUTO_TEST_SUITE(node)

// Guards against a node that serves keyed requests after it lost control (P5).
BOOST_AUTO_TEST_CASE(state_is_fresh_only_within_the_bound_after_asking)
{
  acp::ManualClock clock;
  acp::NodeView view;
  BOOST_TEST(!view.IsFresh(clock.Now(), acp::kKeyedFreshness));
  view.Apply({ .isSnapshot = true, .toVersion = 1 }, clock.Now());
  BOOST_TEST(view.IsFresh(clock.Now(), acp::kKeyedFreshness));
  clock.Advance(acp::kKeyedFreshness);
  BOOST_TEST(view.IsFresh(clock.Now(), acp::kKeyedFreshness));
  clock.Advance(std::chrono::milliseconds(1));
  BOOST_TEST(!view.IsFresh(clock.Now(), acp::kKeyedFreshness));
}

// Guards against an overtaken answer that brings a revoked key back (P12).
BOOST_AUTO_TEST_CASE(older_changes_never_replace_newer_ones)
{
  acp::ManualClock clock;
  acp::NodeView view;
  const auto key = acp::GenerateKey("a", clock.WallNow());
  view.Apply({ .isSnapshot = true, .toVersion = 5 }, clock.Now());
  view.Apply({ .isSnapshot = true, .toVersion = 4, .issuedKeys = { key.record } }, clock.Now());
  BOOST_TEST(view.Version() == 5);
  BOOST_TEST(!view.CheckKey(key.text).has_value());
}

// Guards against an announcement that is half understood.
BOOST_AUTO_TEST_CASE(announcements_are_checked)
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
