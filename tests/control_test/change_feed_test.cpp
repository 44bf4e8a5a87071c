#include <boost/test/unit_test.hpp>

#include <string>

#include "acaciapulley/control/change_feed.hpp"

namespace {

acp::StateChanges ChangeOf(const std::string& service, std::size_t bytes)
{
  acp::StateChanges change;
  change.documents.push_back({ .service = service, .body = std::string(bytes, 'x') });
  return change;
}

} // namespace

BOOST_AUTO_TEST_SUITE(change_feed)

// Guards against memory that grows with the size of the documents, since changes were counted only.
BOOST_AUTO_TEST_CASE(retained_changes_are_bounded_in_bytes)
{
  acp::ChangeFeed feed;
  for (std::size_t i = 0; i < acp::kMaxRecentChanges; ++i) {
    feed.Append(ChangeOf("orders", acp::kMaxDocumentBytes));
  }
  BOOST_TEST(feed.RetainedBytes() <= acp::kMaxRecentBytes);
  acp::StateChanges changes;
  BOOST_TEST(!feed.Collect(1, &changes));
  BOOST_TEST(feed.Collect(feed.Version() - 10, &changes));
  BOOST_TEST(changes.documents.size() == 1U);
  feed.Restore(feed.Version());
  BOOST_TEST(feed.RetainedBytes() == 0U);
}

// Guards against nodes that get a snapshot for each change.
BOOST_AUTO_TEST_CASE(latest_change_is_retained_whatever_its_size)
{
  acp::ChangeFeed feed;
  for (int i = 0; i < 3; ++i) {
    feed.Append(ChangeOf("orders", 2 * acp::kMaxRecentBytes));
  }
  acp::StateChanges changes;
  BOOST_TEST(feed.Collect(feed.Version() - 1, &changes));
  BOOST_TEST(!feed.Collect(feed.Version() - 2, &changes));
}

BOOST_AUTO_TEST_SUITE_END()
