#include <boost/test/unit_test.hpp>

#include <map>
#include <string>

#include "acaciapulley/node/detail/headers.hpp"
#include "request_translation.hpp"
#include "upstream_load.hpp"

namespace {

using acp::platform::ParseUpstreamLoad;

} // namespace

BOOST_AUTO_TEST_SUITE(upstream_load)

// Guards against the duration of work that is taken for the slots.
BOOST_AUTO_TEST_CASE(three_and_four_figures_are_parsed)
{
  const auto three = ParseUpstreamLoad("3,0,88").value();
  BOOST_TEST(three.running == 3);
  BOOST_TEST(three.waiting == 0);
  BOOST_TEST(three.slots == 88);
  BOOST_TEST(!three.workFactor.has_value());
  const auto four = ParseUpstreamLoad("3,1,88,250").value();
  BOOST_TEST(four.slots == 88);
  BOOST_TEST(four.workFactor.value() == 250);
}

// Guards against a field that is used although a part of it is invalid.
BOOST_AUTO_TEST_CASE(invalid_fields_are_rejected_with_their_reason)
{
  using acp::platform::UpstreamLoadError;
  const std::map<std::string, UpstreamLoadError> invalid = {
    { "", UpstreamLoadError::FigureCount },
    { "8", UpstreamLoadError::FigureCount },
    { "3,0", UpstreamLoadError::FigureCount },
    { "3,0,8,100,1", UpstreamLoadError::FigureCount },
    { "3,0,8,", UpstreamLoadError::NotANumber },
    { ",0,8", UpstreamLoadError::NotANumber },
    { "3,0,8x", UpstreamLoadError::NotANumber },
    { "3,0,8.5", UpstreamLoadError::NotANumber },
    { "-3,0,8", UpstreamLoadError::OutOfRange },
    { "+3,0,8", UpstreamLoadError::NotANumber },
    { "3,0,8,1e2", UpstreamLoadError::NotANumber },
    { "3,0,0", UpstreamLoadError::OutOfRange },
    { "3,0,100001", UpstreamLoadError::OutOfRange },
    { "3,0,8,0", UpstreamLoadError::OutOfRange },
    { "3,0,8,100001", UpstreamLoadError::OutOfRange },
    { "3,0,8,-5", UpstreamLoadError::OutOfRange },
    { "99999999999,0,8", UpstreamLoadError::OutOfRange },
  };
  for (const auto& [text, problem] : invalid) {
    const auto parsed = ParseUpstreamLoad(text);
    BOOST_TEST(!parsed.has_value(), text);
    BOOST_TEST((!parsed.has_value() && parsed.error() == problem), text);
  }
}

// Guards against a work factor that does not reach the node, that an upstream sets itself, or that
// reaches callers.
BOOST_AUTO_TEST_CASE(work_factor_is_passed_to_the_node_only)
{
  const auto translation = acp::platform::MakeTranslation({ .instanceId = "i" });
  acp::HttpRequestHead request;
  request.headers.Set("Acaciapulley-Request-Id", "1");
  const auto translate = [&](const std::string& load) {
    acp::HttpResponseHead response;
    response.headers.Set("Acaciapulley-Request-Id", "1");
    response.headers.Set("Acp-Work-Factor", "77");
    response.headers.Set("Acaciapulley-Server-Load", load);
    BOOST_TEST(translation.response(request, response));
    return response.headers;
  };
  BOOST_TEST(translate("3,0,8,250").Find("Acp-Work-Factor").value_or("") == "250");
  BOOST_TEST(translate("3,0,8").Find("Acp-Work-Factor").value_or("") == "");
  BOOST_TEST(translate("3,0,8,1,1").Find("Acp-Work-Factor").value_or("") == "figures");
  const auto forwarded = acp::detail::ForwardedResponseHeaders(translate("3,0,8,250"));
  BOOST_TEST(!forwarded.Find("Acp-Work-Factor").has_value());
  acp::HttpHeaders fromPeer;
  fromPeer.Set("Acp-Run-Time", "run-ms=1.000;age-ms=0;instance=1");
  BOOST_TEST(acp::detail::ForwardedResponseHeaders(fromPeer).Fields().empty());
  BOOST_TEST(forwarded.Find("Acaciapulley-Server-Load").value_or("") == "3,0,8,250");
}

BOOST_AUTO_TEST_SUITE_END()
