#include <boost/test/unit_test.hpp>

#include <optional>
#include <string>

#include "acaciapulley/transport/detail/http_framing.hpp"

namespace {

std::optional<std::string> ProblemOf(const std::string& status)
{
  acp::HttpResponseHead head;
  acp::detail::MessageFraming framing;
  return acp::detail::ParseResponseHead(
    "HTTP/1.1 " + status + " X\r\nContent-Length: 0\r\n\r\n", "GET", &head, &framing);
}

} // namespace

BOOST_AUTO_TEST_SUITE(response_status)

// Guards against a response with a status outside 100 to 599, or one that is not written with three
// digits, that counts as an answer or as an interim response.
BOOST_AUTO_TEST_CASE(only_three_digits_from_100_to_599_are_a_status)
{
  for (const char* invalid : { "000",  "00",  "0",   "099",  "99",   "001",  "-1",        "-200",
                               "+200", "600", "799", "999",  "1000", "0200", "2e2",       "0x1",
                               "20",   "",    " ",   " 200", "200.", "2 00", "4294967496" }) {
    BOOST_TEST(ProblemOf(invalid).has_value(), "'" << invalid << "' is accepted");
  }
  for (const char* valid : { "100", "101", "199", "200", "418", "599" }) {
    BOOST_TEST(!ProblemOf(valid).has_value(), "'" << valid << "' is not accepted");
  }
}

BOOST_AUTO_TEST_SUITE_END()
