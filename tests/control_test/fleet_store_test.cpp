#include <boost/test/unit_test.hpp>

#include "acaciapulley/control/control_state.hpp"
#include "acaciapulley/control/detail/wire_codec.hpp"
#include "acaciapulley/control/fleet_store.hpp"
#include "control_fixture.hpp"

namespace {

acp::FleetChange Change(std::int64_t version, std::int64_t base, const std::string& text)
{
  return { .version = version, .baseVersion = base, .document = text, .source = text };
}

} // namespace

BOOST_AUTO_TEST_SUITE(fleet_store)

// Guards against accepting the changes of two operators that are based on the same version.
BOOST_AUTO_TEST_CASE(a_second_fleet_change_from_the_same_version_is_a_conflict)
{
  acp::FleetStore store;
  BOOST_TEST(store.Put(Change(3, 0, "first")).value().version == 3);
  BOOST_TEST(store.Put(Change(7, 3, "a")).has_value());
  BOOST_TEST((store.Put(Change(7, 3, "b")).error().code == acp::ControlErrorCode::VersionConflict));
  BOOST_TEST((store.Put(Change(7, 7, "c")).error().code == acp::ControlErrorCode::InvalidDocument));
  BOOST_TEST(store.Current().source == "a");
}

// Guards against changes that take room in the log although another one has won already, and
// against an early refusal of one that may still be accepted.
BOOST_AUTO_TEST_CASE(only_a_change_that_may_still_win_is_not_settled)
{
  acp::FleetStore store;
  BOOST_TEST(!store.Settle(Change(3, 0, "first")).has_value());
  BOOST_TEST(store.Put(Change(3, 0, "first")).has_value());
  BOOST_TEST(!store.Settle(Change(7, 3, "a")).has_value());
  BOOST_TEST(!store.Settle(Change(9, 7, "b")).has_value());
  BOOST_TEST(store.Settle(Change(3, 0, "first"))->value().isResend);
  BOOST_TEST(
    (store.Settle(Change(5, 0, "late"))->error().code == acp::ControlErrorCode::VersionConflict));
  BOOST_TEST(
    (store.Settle(Change(3, 3, "low"))->error().code == acp::ControlErrorCode::InvalidDocument));
}

// Guards against refusing a resend by an operator whose first response was lost.
BOOST_AUTO_TEST_CASE(a_resent_fleet_change_is_acknowledged_after_later_changes)
{
  acp::FleetStore store;
  const auto first = Change(1, 0, "1");
  BOOST_TEST(store.Put(first).has_value());
  for (int version = 2; version <= 500; ++version) {
    BOOST_TEST(store.Put(Change(version, version - 1, std::to_string(version))).has_value());
  }
  const auto again = store.Put(first);
  BOOST_TEST(again.value().isResend);
  BOOST_TEST(again.value().version == 1);
  BOOST_TEST(store.Current().version == 500);
}

// Guards against losing accepted changes or the secret when a snapshot is restored.
BOOST_AUTO_TEST_CASE(a_snapshot_keeps_fleet_document_accepted_changes_and_secret)
{
  acp::test::ControlFixture fixture;
  acp::wire::ControlCommand put;
  put.formatVersion = acp::kControlFormat;
  acp::wire::PutFleetCommand fleet;
  fleet.version = 5;
  fleet.document = "d";
  fleet.source = "s";
  put.__set_putFleet(fleet);
  acp::wire::ControlCommand found;
  found.formatVersion = acp::kControlFormat;
  acp::wire::FoundFleetCommand secret;
  secret.secret = "secret";
  found.__set_foundFleet(secret);
  fixture.state.Apply({ .command = acp::detail::EncodeWire(put) });
  fixture.state.Apply({ .command = acp::detail::EncodeWire(found) });
  secret.secret = "another";
  found.__set_foundFleet(secret);
  fixture.state.Apply({ .command = acp::detail::EncodeWire(found) });

  acp::ControlState restored;
  BOOST_TEST(restored.Restore(fixture.state.TakeSnapshot()));
  BOOST_TEST(restored.Fleet().version == 5);
  BOOST_TEST(restored.Fleet().source == "s");
  BOOST_TEST(restored.FleetSecret() == "secret");
  acp::wire::CommandReply reply;
  const std::string answer = restored.Apply({ .command = acp::detail::EncodeWire(put) });
  BOOST_TEST(acp::detail::DecodeWire(answer, &reply));
  BOOST_TEST(reply.isResend);
}

BOOST_AUTO_TEST_SUITE_END()
