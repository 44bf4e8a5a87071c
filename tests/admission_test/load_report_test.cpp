#include <boost/test/unit_test.hpp>

#include "acaciapulley/admission/load_report.hpp"

BOOST_AUTO_TEST_SUITE(load_report)

// Guards against headers that another node reads differently or that hide trailing text.
BOOST_AUTO_TEST_CASE(headers_survive_the_wire_and_malformed_ones_are_refused)
{
  const auto load =
    acp::ParseLoad(acp::FormatLoad({ .inFlight = 12, .limit = 50, .queueAgeMs = 7 }));
  BOOST_REQUIRE(load);
  BOOST_TEST(load.value().inFlight == 12);
  BOOST_TEST(load.value().limit == 50);
  BOOST_TEST(load.value().queueAgeMs == 7);
  const auto threshold =
    acp::ParseThreshold(acp::FormatThreshold({ .priority = 6, .share = 0.125 }));
  BOOST_REQUIRE(threshold);
  BOOST_TEST(threshold.value().priority == 6);
  BOOST_TEST(threshold.value().share == 0.125);
  for (const char* text : { "",
                            "priority=6",
                            "priority=6;share=1;",
                            "priority=6;share=1;x=1",
                            "share=1;priority=6",
                            "priority=10;share=1",
                            "priority=-1;share=1",
                            "priority=6;share=10001",
                            "priority=6;share=01",
                            "priority=6;share= 1",
                            "priority=6;share=9999999999" }) {
    BOOST_TEST(!acp::ParseThreshold(text).has_value(), text);
  }
  BOOST_TEST(!acp::ParseLoad("in-flight=1;limit=2").has_value());
  BOOST_TEST(!acp::ParseLoad("in-flight=1;limit=2;queue-ms=1.5").has_value());
}

// Guards against a share that admits another part of the requests than it says.
BOOST_AUTO_TEST_CASE(coins_are_uniform_and_levels_are_ordered)
{
  const acp::AdmissionThreshold threshold{ .priority = 6, .share = 0.25 };
  int admitted = 0;
  for (int i = 0; i < 10'000; ++i) {
    admitted += threshold.Admits(6, acp::AdmissionCoin("root-" + std::to_string(i))) ? 1 : 0;
  }
  BOOST_TEST(admitted > 2300);
  BOOST_TEST(admitted < 2700);
  BOOST_TEST(threshold.Admits(5, 0.99));
  BOOST_TEST(!threshold.Admits(7, 0.0));
  BOOST_TEST(acp::Stricter(threshold, {}).priority == 6);
  BOOST_TEST(acp::AdmissionThreshold::FromLevel(10.0).Admits(9, 0.999));
}

BOOST_AUTO_TEST_SUITE_END()
