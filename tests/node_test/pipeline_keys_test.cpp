#include <boost/test/unit_test.hpp>

#include <algorithm>

#include "acaciapulley/core/random.hpp"
#include "acaciapulley/retries/request_context.hpp"
#include "pipeline_fixture.hpp"

namespace {

using namespace acp::test;

std::string PercentEncoded(const std::string& text)
{
  std::string encoded;
  for (const char c : text) {
    encoded += "%" + acp::ToHex(std::string(1, c));
  }
  return encoded;
}

/// Returns @p text in lower case after three rounds of percent-decoding.
std::string PercentDecodedLower(std::string text)
{
  for (int round = 0; round < 3; ++round) {
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
      const bool isCode = text[i] == '%' && i + 2 < text.size() &&
                          std::isxdigit(static_cast<unsigned char>(text[i + 1])) != 0 &&
                          std::isxdigit(static_cast<unsigned char>(text[i + 2])) != 0;
      decoded +=
        isCode ? static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16)) : text[i];
      i += isCode ? 2 : 0;
    }
    text = decoded;
  }
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return text;
}

int CountHeadsWithKey(const FakeUpstream& upstream)
{
  int count = 0;
  for (const auto& recorded : upstream.Recorded()) {
    std::string all = recorded.head.target;
    for (const auto& [name, value] : recorded.head.headers.Fields()) {
      all += '\n';
      all += name;
      all += ':';
      all += value;
    }
    all = PercentDecodedLower(all);
    for (const auto& key : { Keys().a.text, Keys().b.text, Keys().unknown.text }) {
      count += all.find(key) != std::string::npos ? 1 : 0;
    }
  }
  return count;
}

/// Returns requests with keys in every part that an upstream might read.
std::vector<acp::HttpRequestHead> HeadsWithKeysInAllPlaces()
{
  const std::string a = Keys().a.text;
  std::vector<acp::HttpRequestHead> heads;
  const auto add =
    [&](const std::string& target, const std::string& name, const std::string& value) {
      for (const bool hasKey : { true, false }) {
        auto head = ReadRequest(target, hasKey ? a : "");
        if (!name.empty()) {
          head.headers.Add(name, value);
        }
        heads.push_back(head);
      }
    };
  for (const std::string base : { "/front/items/1", "/front/open" }) {
    for (const std::string name : { "acp-key", "ACP-KEY", "Acp-Key", "aCp-kEy" }) {
      add(base, name, a);
      add(base, name, Keys().b.text);
    }
    for (const auto& key : { a, Keys().b.text, Keys().unknown.text }) {
      for (const auto& form : { key,
                                PercentEncoded(key),
                                PercentEncoded(PercentEncoded(key)),
                                "%zz" + PercentEncoded(key) }) {
        add(std::string(base).append("?k=").append(form), "", "");
        for (const std::string name : { "X-Key", "Cookie", "Referer", "Authorization" }) {
          add(base, name, "https://x/?k=" + form);
        }
      }
      add(base, key, "1");
    }
  }
  add("/front/items/" + a, "", "");
  add("/front/items/" + PercentEncoded(a), "", "");
  return heads;
}

} // namespace

BOOST_AUTO_TEST_SUITE(pipeline_keys)

// P4. Guards against a key that reaches an upstream, directly or through a peer: in an `Acp-Key`
// field of other spelling, a second `Acp-Key` field, the URL or another field, plain or
// percent-encoded.
BOOST_AUTO_TEST_CASE(no_key_reaches_an_upstream)
{
  FakeControl control;
  FakeUpstream upstream;
  TestNode own({ .control = &control, .upstream = &upstream });
  TestNode far({ .id = "n2", .service = "back", .control = &control });
  TestNode::ConnectAll({ &own, &far });
  int ran = 0;
  for (const auto& head : HeadsWithKeysInAllPlaces()) {
    for (const auto port : { own.IngressPort(), far.IngressPort() }) {
      const auto answer = Fetch(port, head);
      BOOST_TEST(answer.status != 0, head.target << " got no answer");
      ran += answer.outcome == "ran" ? 1 : 0;
    }
  }
  BOOST_TEST(ran > 0);
  BOOST_TEST(CountHeadsWithKey(upstream) == 0);
}

// Verifies that the test above detects a key.
BOOST_AUTO_TEST_CASE(key_reaches_upstream_when_strip_key_is_off)
{
  FakeControl control;
  FakeUpstream upstream;
  TestNode node({ .control = &control, .upstream = &upstream, .guards = { .stripKey = false } });
  TestNode::ConnectAll({ &node });
  BOOST_TEST(Fetch(node.IngressPort(), ReadRequest("/front/items/1")).outcome == "ran");
  BOOST_TEST(CountHeadsWithKey(upstream) == 1);
}

// P3. Guards against a request that runs without a valid key, or for another account.
BOOST_AUTO_TEST_CASE(a_request_runs_only_for_the_account_of_its_key)
{
  FakeControl control;
  FakeUpstream upstream;
  TestNode node({ .control = &control, .upstream = &upstream });
  TestNode::ConnectAll({ &node });
  const auto reasonOf = [&](const std::string& key) {
    return Fetch(node.IngressPort(), ReadRequest("/front/items/1", key)).reason;
  };
  BOOST_TEST(reasonOf("") == "missing_key");
  BOOST_TEST(reasonOf(Keys().unknown.text) == "invalid_key");
  BOOST_TEST(reasonOf(Keys().a.text + "0") == "invalid_key");
  BOOST_TEST(reasonOf(Keys().c.text) == "account_not_listed");
  const acp::ContextSigner forger(std::string(32, 'f'));
  auto forged = ReadRequest("/front/items/1");
  forged.headers.Add("Acp-Context",
                     forger.Sign({ .rootId = std::string(32, '0'),
                                   .hopId = std::string(16, '0'),
                                   .account = "a",
                                   .deadline = acp::ToUnixMillis(9'000'000'000'000),
                                   .issuer = "n1",
                                   .issuerEpoch = 1 }));
  for (const auto port : { node.PeerPort(), node.EgressPort() }) {
    BOOST_TEST(Fetch(port, forged).reason == "invalid_context");
    BOOST_TEST(Fetch(port, ReadRequest("/front/items/1")).reason == "invalid_context");
  }
  BOOST_TEST(upstream.Recorded().size() == 0U);
  // Accounts do not share idempotency keys, and a resend gets the outcome of its own request.
  for (const auto& key : { Keys().a.text, Keys().b.text, Keys().a.text }) {
    BOOST_TEST(
      Fetch(node.IngressPort(), OrderRequest("same", key), key == Keys().a.text ? "A" : "B").body ==
      (key == Keys().a.text ? "answer to /orders A" : "answer to /orders B"));
  }
  BOOST_TEST(Fetch(node.IngressPort(), ReadRequest("/front/open", "")).outcome == "ran");
  const acp::ContextSigner signer(std::string(32, 's'));
  std::vector<std::string> accounts;
  for (const auto& recorded : upstream.Recorded()) {
    const auto context = signer.Verify(recorded.head.headers.Find("Acp-Context").value_or(""),
                                       acp::SystemClock().WallNow());
    accounts.push_back(context ? context.value().account : "invalid");
  }
  BOOST_TEST((accounts == std::vector<std::string>{ "a", "b", "" }));
}

BOOST_AUTO_TEST_SUITE_END()
