#include <boost/test/unit_test.hpp>

#include <string>

#include "acaciapulley/admission/run_time_table.hpp"

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct Fixture
{
  acp::RunTimeTable table;
  acp::TimePoint now{ seconds(100) };

  void Run(const std::string& requestClass, milliseconds duration)
  {
    const acp::RunStart start = table.BeginRun(now);
    now += duration;
    table.FinishRun(requestClass, start, now);
  }

  /// Returns the present run time in milliseconds, or 0 when it is unknown.
  [[nodiscard]] double Millis(const std::string& requestClass = "read") const
  {
    const auto estimate = table.PresentRunTime(requestClass, now);
    return estimate ? std::chrono::duration<double, std::milli>(estimate->runTime).count() : 0;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(run_time_table)

// Guards against a run time that is learned from a single sample, and against classes that are
// mixed up.
BOOST_FIXTURE_TEST_CASE(classes_are_known_after_three_runs, Fixture)
{
  for (int i = 0; i < 2; ++i) {
    Run("read", milliseconds(10));
    BOOST_TEST(Millis() == 0);
  }
  Run("read", milliseconds(10));
  BOOST_TEST(Millis() == 10, boost::test_tools::tolerance(0.001));
  BOOST_TEST(Millis("write") == 0);
  for (int i = 0; i < 3; ++i) {
    Run("write", milliseconds(40));
  }
  BOOST_TEST(Millis("write") == 40, boost::test_tools::tolerance(0.001));
  BOOST_TEST(Millis() == 10, boost::test_tools::tolerance(0.001));
  BOOST_TEST(table.PresentRunTimes(now).size() == 2U);
}

// Guards against one slow run that replaces the mean of a class with few requests.
BOOST_FIXTURE_TEST_CASE(single_run_does_not_replace_the_mean, Fixture)
{
  for (int i = 0; i < 5; ++i) {
    Run("read", milliseconds(10));
  }
  now += seconds(4);
  Run("read", milliseconds(1'000));
  BOOST_TEST(Millis() < 400);
}

// Guards against a change of speed that is not learned within two seconds.
BOOST_FIXTURE_TEST_CASE(lasting_change_is_learned_within_two_seconds, Fixture)
{
  for (int i = 0; i < 200; ++i) {
    Run("read", milliseconds(20));
  }
  for (int i = 0; i < 50; ++i) {
    Run("read", milliseconds(40));
  }
  BOOST_TEST(Millis() > 36);
  BOOST_TEST(Millis() < 40.1);
}

// Guards against figures that are used without regard to their age.
BOOST_FIXTURE_TEST_CASE(class_without_recent_runs_becomes_unknown, Fixture)
{
  for (int i = 0; i < 3; ++i) {
    Run("read", milliseconds(10));
  }
  now += seconds(4);
  BOOST_TEST((table.PresentRunTime("read", now)->age == seconds(4)));
  now += seconds(2);
  BOOST_TEST(Millis() == 0);
  // It must be learned anew, not continued from old samples.
  Run("read", milliseconds(50));
  BOOST_TEST(Millis() == 0);
  Run("read", milliseconds(50));
  Run("read", milliseconds(50));
  BOOST_TEST(Millis() == 50, boost::test_tools::tolerance(0.001));
}

// Guards against slow spells that change the mean, and against a present run time without them.
BOOST_FIXTURE_TEST_CASE(runs_are_divided_by_the_work_factor, Fixture)
{
  table.RecordFactor(1, now);
  for (int i = 0; i < 10; ++i) {
    Run("read", milliseconds(10));
  }
  for (int i = 0; i < 10; ++i) {
    table.RecordFactor(2.5, now);
    Run("read", milliseconds(25));
  }
  BOOST_TEST(Millis() == 25, boost::test_tools::tolerance(0.02));
  table.RecordFactor(1, now);
  now += milliseconds(100);
  table.RecordFactor(1, now);
  BOOST_TEST(Millis() == 10, boost::test_tools::tolerance(0.05));
}

// Guards against a run whose factor changes in its middle and that is divided by only one of them.
BOOST_FIXTURE_TEST_CASE(mean_factor_during_the_run_counts, Fixture)
{
  table.RecordFactor(1, now);
  const acp::RunStart start = table.BeginRun(now);
  now += milliseconds(100);
  table.RecordFactor(3, now);
  now += milliseconds(100);
  const acp::Duration usual = table.FinishRun("read", start, now);
  BOOST_TEST(std::chrono::duration<double>(usual).count() == 0.1,
             boost::test_tools::tolerance(0.001));
}

// Guards against a work factor that stays in force after the upstream has stopped to report it.
BOOST_FIXTURE_TEST_CASE(old_work_factor_counts_as_usual_speed, Fixture)
{
  table.RecordFactor(4, now);
  BOOST_TEST(table.FactorAt(now) == 4);
  BOOST_TEST(table.FactorAt(now + milliseconds(900)) == 4);
  BOOST_TEST(table.FactorAt(now + milliseconds(1'100)) == 1);
}

// Guards against run times of an earlier instance, and against unlimited memory.
BOOST_FIXTURE_TEST_CASE(reset_and_number_of_classes, Fixture)
{
  table.RecordFactor(4, now);
  for (int i = 0; i < 3; ++i) {
    Run("read", milliseconds(10));
  }
  table.Reset();
  BOOST_TEST(Millis() == 0);
  BOOST_TEST(table.FactorAt(now) == 1);
  for (int i = 0; i < 300; ++i) {
    for (int run = 0; run < 3; ++run) {
      Run("c" + std::to_string(i), milliseconds(1));
    }
  }
  BOOST_TEST(table.PresentRunTimes(now).size() == 256U);
  now += seconds(6);
  for (int run = 0; run < 3; ++run) {
    Run("c299", milliseconds(1));
  }
  BOOST_TEST(Millis("c299") > 0);
}

BOOST_AUTO_TEST_SUITE_END()
