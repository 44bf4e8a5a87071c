#include <boost/test/unit_test.hpp>

#include "acaciapulley/control/control_state.hpp"

namespace {

std::string DocumentText(int rate)
{
  return R"({"service":"orders","accounts":[{"name":"a","rate":)" + std::to_string(rate) +
         R"(,"burst":1}],"classes":[{"name":"read","methods":["GET"],"path":"/x","priority":5,)"
         R"("idempotent":true,"deadline_ms":100}]})";
}

} // namespace

BOOST_AUTO_TEST_SUITE(control)

// Guards against two operators who both believe that their change from one version was accepted.
BOOST_AUTO_TEST_CASE(only_one_of_two_changes_from_the_same_version_is_accepted)
{
  acp::ControlState state;
  BOOST_TEST(state.PutDocument(DocumentText(1), 0).value() == 1);
  BOOST_TEST(state.PutDocument(DocumentText(2), 1).value() == 2);
  BOOST_TEST(
    (state.PutDocument(DocumentText(3), 1).error().code == acp::ControlErrorCode::VersionConflict));
  BOOST_TEST(state.DocumentOf("orders")->body == DocumentText(2));
}

// Guards against a node that misses a change between two polls.
BOOST_AUTO_TEST_CASE(changes_since_a_version_are_complete)
{
  acp::ControlState state;
  const auto key = acp::MakeKey("a", acp::ToUnixMillis(1));
  BOOST_TEST(state.PutDocument(DocumentText(1), 0).has_value());
  BOOST_TEST(state.IssueKey(key.record).has_value());
  const auto version = state.Version();
  BOOST_TEST(state.RevokeKey(key.record.id).has_value());
  const auto changes = state.ChangesSince(version);
  BOOST_TEST(!changes.isSnapshot);
  BOOST_TEST(changes.toVersion == state.Version());
  BOOST_TEST(changes.revokedKeyIds.size() == 1U);
  BOOST_TEST(state.ChangesSince(0).isSnapshot);
  BOOST_TEST(state.ChangesSince(state.Version() + 1).isSnapshot);
}

BOOST_AUTO_TEST_SUITE_END()
