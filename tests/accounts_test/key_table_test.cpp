#include <boost/test/unit_test.hpp>

#include "acaciapulley/accounts/key_table.hpp"

BOOST_AUTO_TEST_SUITE(key_table)

// Guards against a key that is accepted before it is issued or after it is revoked.
BOOST_AUTO_TEST_CASE(key_is_in_force_from_issue_to_revocation)
{
  acp::KeyTable table;
  const auto key = acp::GenerateKey("workshop", acp::ToUnixMillis(1));
  BOOST_TEST(!table.FindAccount(key.text).has_value());
  BOOST_TEST(table.Issue(key.record).has_value());
  BOOST_TEST(table.FindAccount(key.text).value() == "workshop");
  BOOST_TEST(table.Revoke(key.record.id).has_value());
  BOOST_TEST(!table.FindAccount(key.text).has_value());
  BOOST_TEST((table.Revoke(key.record.id).error().code == acp::AccountsErrorCode::UnknownKey));
}

// Guards against a stored record that reveals the key.
BOOST_AUTO_TEST_CASE(key_record_holds_only_a_hash)
{
  const auto key = acp::GenerateKey("workshop", acp::ToUnixMillis(1));
  BOOST_TEST(key.record.hash.size() == 32U);
  BOOST_TEST(key.record.hash == acp::HashKey(key.text));
  BOOST_TEST(key.record.id.find(key.text) == std::string::npos);
  BOOST_TEST(acp::GenerateKey("workshop", acp::ToUnixMillis(1)).text != key.text);
}

// Guards against two keys with one id, of which only one could be revoked.
BOOST_AUTO_TEST_CASE(duplicate_key_ids_are_refused)
{
  acp::KeyTable table;
  const auto first = acp::GenerateKey("a", acp::ToUnixMillis(1));
  auto second = acp::GenerateKey("b", acp::ToUnixMillis(1)).record;
  second.id = first.record.id;
  BOOST_TEST(table.Issue(first.record).has_value());
  BOOST_TEST((table.Issue(second).error().code == acp::AccountsErrorCode::DuplicateKey));
  BOOST_TEST(table.List("a").size() == 1U);
  BOOST_TEST(table.List("b").empty());
}

BOOST_AUTO_TEST_SUITE_END()
