#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <string>

#include <unistd.h>

#include "acaciapulley/core/clock.hpp"
#include "acaciapulley/core/json_reader.hpp"
#include "acaciapulley/core/log.hpp"
#include "acaciapulley/core/outcome.hpp"
#include "acaciapulley/core/random.hpp"

BOOST_AUTO_TEST_SUITE(core)

// Guards against a Reason without a row in its name table, which callers would see as "unknown".
BOOST_AUTO_TEST_CASE(every_reason_has_a_name_that_parses_back)
{
  for (int i = 0; i <= static_cast<int>(acp::Reason::InternalError); ++i) {
    const auto reason = static_cast<acp::Reason>(i);
    BOOST_TEST((acp::FromName<acp::Reason>(acp::NameOf(reason)) == reason));
  }
}

// Guards against log values that break the key=value format of a line.
BOOST_AUTO_TEST_CASE(log_values_with_blanks_and_line_ends_are_quoted)
{
  const auto line =
    acp::FormatLogLine(acp::LogLevel::Info, "stopped", { { "error", "a \"b\"\nc" }, { "n", "1" } });
  BOOST_TEST(line == "level=info event=stopped error=\"a \\\"b\\\"\\x0ac\" n=1");
}

// Guards against a manual clock that loses fractions of a millisecond of wall time.
BOOST_AUTO_TEST_CASE(manual_clock_advances_monotonic_and_wall_time)
{
  acp::ManualClock clock;
  const auto start = clock.Now();
  const auto wallStart = acp::CountMillis(clock.WallNow());
  for (int i = 0; i < 4; ++i) {
    clock.Advance(std::chrono::microseconds(250));
  }
  BOOST_TEST((clock.Now() - start == std::chrono::milliseconds(1)));
  BOOST_TEST(acp::CountMillis(clock.WallNow()) - wallStart == 1);
}

// Guards against a document that is read with another meaning than its author intended.
BOOST_AUTO_TEST_CASE(json_values_of_another_type_are_rejected)
{
  const auto readInteger = [](const std::string& value) {
    auto reader = acp::JsonReader::FromText(R"({"a": )" + value + "}");
    return reader.Integer("a", -10, 10);
  };
  BOOST_TEST(readInteger("-3") == -3);
  for (const char* value :
       { "true", "null", "\"3\"", "3.0", "3e0", "11", "18446744073709551615" }) {
    BOOST_CHECK_THROW(readInteger(value), acp::JsonFieldError);
  }
  for (const char* text :
       { "{\"a\": 1} x", "{\"a\": 1,}", "{'a': 1}", "{\"a\": 01}", "{\"a\": 1" }) {
    BOOST_CHECK_THROW(acp::JsonReader::FromText(text), acp::JsonFieldError);
  }
  // The last of several fields with one name counts.
  auto reader = acp::JsonReader::FromText(R"({"a": 1, "a": 2})");
  BOOST_TEST(reader.Integer("a", 0, 9) == 2);
}

// Guards against misspelt fields that are silently ignored.
BOOST_AUTO_TEST_CASE(reader_reports_the_path_of_an_unknown_field)
{
  auto reader = acp::JsonReader::FromText(R"({"a": [{"known": 1, "extra": 2}]})");
  auto items = reader.Objects("a");
  BOOST_TEST(items.at(0).Integer("known", 0, 9) == 1);
  BOOST_CHECK_EXCEPTION(
    items.at(0).RejectUnknownFields(), acp::JsonFieldError, [](const acp::JsonFieldError& e) {
      return std::string(e.what()) == "a[0].extra: is not a known field";
    });
}

// Guards against jitter outside of its stated range.
BOOST_AUTO_TEST_CASE(jitter_stays_within_its_fraction)
{
  for (int i = 0; i < 100; ++i) {
    const auto span = acp::Jittered(std::chrono::milliseconds(1000), 0.2);
    BOOST_TEST((span >= std::chrono::milliseconds(800)));
    BOOST_TEST((span <= std::chrono::milliseconds(1200)));
  }
}

// Guards against a process that blocks because nobody reads its log, and against dropped lines that
// are not counted.
BOOST_AUTO_TEST_CASE(log_on_standard_output_never_blocks)
{
  std::array<int, 2> ends{};
  BOOST_REQUIRE(::pipe(ends.data()) == 0);
  const int saved = ::dup(STDOUT_FILENO);
  ::dup2(ends[1], STDOUT_FILENO);
  acp::SetLogOutput(acp::LogOutput::StandardOutput);
  constexpr int kLines = 3000;
  for (int i = 0; i < kLines; ++i) {
    acp::Log(acp::LogLevel::Info, "filled", { { "text", std::string(100, 'x') } });
  }
  std::string text(1U << 20U, '\0');
  text.resize(static_cast<std::size_t>(::read(ends[0], text.data(), text.size())));
  acp::Log(acp::LogLevel::Info, "drained", {});
  std::string last(4096, '\0');
  last.resize(static_cast<std::size_t>(::read(ends[0], last.data(), last.size())));
  acp::SetLogOutput(acp::LogOutput::StandardError);
  ::dup2(saved, STDOUT_FILENO);
  for (const int fd : { saved, ends[0], ends[1] }) {
    ::close(fd);
  }
  const auto written = std::count(text.begin(), text.end(), '\n');
  BOOST_TEST(written > 100);
  BOOST_TEST(written < kLines);
  const std::string count = " lines_left_out=" + std::to_string(kLines - written) + "\n";
  BOOST_TEST(last.ends_with(count));
}

BOOST_AUTO_TEST_CASE(uniform_random_numbers_stay_in_their_range_and_differ)
{
  double least = 1.0;
  double most = 0.0;
  for (int i = 0; i < 1'000; ++i) {
    const double sample = acp::UniformRandom();
    least = std::min(least, sample);
    most = std::max(most, sample);
  }
  BOOST_TEST(least >= 0.0);
  BOOST_TEST(most < 1.0);
  BOOST_TEST(least < most);
}

BOOST_AUTO_TEST_SUITE_END()
