#include <boost/test/unit_test.hpp>

#include <stdexcept> // invalid_argument

#include "acaciapulley/retries/request_context.hpp"

namespace {

acp::RequestContext MakeContext()
{
  return { .rootId = "00112233445566778899aabbccddeeff",
           .hopId = "0011223344556677",
           .account = "workshop",
           .priority = 1,
           .idempotent = false,
           .deadline = acp::ToUnixMillis(5000),
           .retriesLeft = 2,
           .issuer = "node-1",
           .issuerEpoch = 7 };
}

const std::string kSecret(32, 's');

} // namespace

BOOST_AUTO_TEST_SUITE(request_context)

// Guards against fields that are lost or changed between two hops.
BOOST_AUTO_TEST_CASE(verified_context_equals_the_signed_one)
{
  const acp::ContextSigner signer(kSecret);
  const auto read = signer.Verify(signer.Sign(MakeContext()), acp::ToUnixMillis(4000));
  BOOST_REQUIRE(read);
  BOOST_TEST(read.value().rootId == MakeContext().rootId);
  BOOST_TEST(read.value().account == "workshop");
  BOOST_TEST(read.value().priority == 1);
  BOOST_TEST(!read.value().idempotent);
  BOOST_TEST((read.value().deadline == MakeContext().deadline));
  BOOST_TEST(read.value().retriesLeft == 2);
  BOOST_TEST(read.value().issuerEpoch == 7);
}

// Guards against an upstream that alters its context or uses it after its deadline.
BOOST_AUTO_TEST_CASE(forged_and_expired_contexts_are_rejected)
{
  const acp::ContextSigner signer(kSecret);
  const std::string text = signer.Sign(MakeContext());
  for (std::size_t i = 3; i < text.size(); ++i) {
    std::string forged = text;
    forged[i] = forged[i] == 'A' ? 'B' : 'A';
    BOOST_TEST(!signer.Verify(forged, acp::ToUnixMillis(0)).has_value());
  }
  const acp::ContextSigner other(std::string(32, 't'));
  BOOST_TEST((other.Verify(text, acp::ToUnixMillis(0)).error().code ==
              acp::RetriesErrorCode::InvalidSignature));
  BOOST_TEST(signer.Verify(text, acp::ToUnixMillis(5250)).has_value());
  BOOST_TEST((signer.Verify(text, acp::ToUnixMillis(5251)).error().code ==
              acp::RetriesErrorCode::ExpiredContext));
  BOOST_TEST((signer.Verify("", acp::ToUnixMillis(0)).error().code ==
              acp::RetriesErrorCode::MalformedContext));
}

// Guards against a name that shifts the fields after it.
BOOST_AUTO_TEST_CASE(names_with_separators_are_read_back)
{
  const acp::ContextSigner signer(kSecret);
  for (const std::string name : { "a|0", "|", "%7C", "100%", "%257C|%25", "a|b|c|d" }) {
    auto context = MakeContext();
    context.account = name;
    context.issuer = "n" + name;
    const auto read = signer.Verify(signer.Sign(context), acp::ToUnixMillis(0));
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(read.value().account == name);
    BOOST_TEST(read.value().issuer == "n" + name);
    BOOST_TEST(read.value().issuerEpoch == context.issuerEpoch);
  }
}

// Guards against names that break the header, and against retry counts that no node grants.
BOOST_AUTO_TEST_CASE(contexts_with_fields_out_of_range_are_rejected)
{
  const acp::ContextSigner signer(kSecret);
  auto context = MakeContext();
  context.account = "a\r\n0";
  BOOST_CHECK_THROW((void)signer.Sign(context), std::invalid_argument);
  context = MakeContext();
  context.retriesLeft = -1;
  BOOST_CHECK_THROW((void)signer.Sign(context), std::invalid_argument);
  context.retriesLeft = acp::kMaxRetryBudget + 1;
  BOOST_CHECK_THROW((void)signer.Sign(context), std::invalid_argument);
  context = MakeContext();
  context.account = std::string(acp::kMaxContextNameBytes + 1, 'a');
  BOOST_CHECK_THROW((void)signer.Sign(context), std::invalid_argument);
  const std::string overlong(acp::kMaxContextBytes + 1, 'v');
  BOOST_TEST((signer.Verify(overlong, acp::ToUnixMillis(0)).error().code ==
              acp::RetriesErrorCode::MalformedContext));
}

BOOST_AUTO_TEST_SUITE_END()
