#include <boost/test/unit_test.hpp>

#include "acaciapulley/admission/load_report.hpp"

BOOST_AUTO_TEST_SUITE(load_report)

// Guards against headers that another node parses differently and against accepted trailing text.
BOOST_AUTO_TEST_CASE(headers_round_trip_and_malformed_ones_are_rejected)
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

// Guards against run times that lose their fraction on the way, and against malformed ones.
BOOST_AUTO_TEST_CASE(run_times_round_trip_and_malformed_ones_are_rejected)
{
  using std::chrono::microseconds;
  using std::chrono::milliseconds;
  for (const int micros : { 1, 40, 999, 1'000, 12'345, 1'200'050 }) {
    const auto parsed = acp::ParseRunTime(acp::FormatRunTime(
      { .runTime = microseconds(micros), .age = milliseconds(7), .instance = 3 }));
    BOOST_REQUIRE(parsed);
    BOOST_TEST((parsed.value().runTime == microseconds(micros)), micros);
    BOOST_TEST((parsed.value().age == milliseconds(7)));
    BOOST_TEST(parsed.value().instance == 3);
  }
  BOOST_TEST(acp::FormatRunTime({ .runTime = microseconds(12'045) }) ==
             "run-ms=12.045;age-ms=0;instance=0");
  for (const char* text : { "",
                            "run-ms=1;age-ms=1;instance=1",
                            "run-ms=0.000;age-ms=1;instance=1",
                            "run-ms=1.00;age-ms=1;instance=1",
                            "run-ms=1.0000;age-ms=1;instance=1",
                            "run-ms=-1.000;age-ms=1;instance=1",
                            "run-ms=1.000;age-ms=;instance=1",
                            "run-ms=1.000;age-ms=1",
                            "run-ms=1.000;age-ms=1;instance=1;x=1",
                            "run-ms=.100;age-ms=1;instance=1",
                            "age-ms=1;run-ms=1.000;instance=1" }) {
    BOOST_TEST(!acp::ParseRunTime(text).has_value(), text);
  }
}

// Guards against threshold levels that are not ordered by the requests that they admit.
BOOST_AUTO_TEST_CASE(levels_are_ordered_by_what_they_admit)
{
  const acp::AdmissionThreshold threshold{ .priority = 6, .share = 0.25 };
  BOOST_TEST(threshold.ShareOf(5) == 1.0);
  BOOST_TEST(threshold.ShareOf(6) == 0.25);
  BOOST_TEST(threshold.ShareOf(7) == 0.0);
  BOOST_TEST(acp::Stricter(threshold, {}).priority == 6);
  BOOST_TEST(acp::AdmissionThreshold::FromLevel(10.0).ShareOf(9) == 1.0);
  BOOST_TEST(acp::AdmissionThreshold::FromLevel(-1.0).ShareOf(0) == 0.0);
}

BOOST_AUTO_TEST_SUITE_END()
