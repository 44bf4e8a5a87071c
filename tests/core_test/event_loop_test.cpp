#include <boost/test/unit_test.hpp>

#include <array>
#include <atomic>
#include <future>
#include <stdexcept>
#include <stop_token>
#include <thread>
#include <vector>

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "acaciapulley/core/change_signal.hpp"
#include "acaciapulley/core/event_loop.hpp"
#include "acaciapulley/core/wait_point.hpp"

namespace {

using namespace std::chrono_literals;

constexpr acp::Duration kLong = 10s;

acp::TimePoint After(acp::Duration span)
{
  return std::chrono::steady_clock::now() + span;
}

/// Two connected sockets.
struct Pair
{
  Pair() { BOOST_REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM, 0, ends.data()) == 0); }
  Pair(const Pair&) = delete;
  Pair& operator=(const Pair&) = delete;
  ~Pair()
  {
    Close(0);
    Close(1);
  }

  void Close(std::size_t end)
  {
    if (ends[end] >= 0) {
      ::close(std::exchange(ends[end], -1));
    }
  }

  std::array<int, 2> ends{ -1, -1 };
};

/// Runs @p task on @p loop and waits for its result.
template<typename Task>
auto RunOn(acp::EventLoop& loop, Task task)
{
  std::promise<decltype(task())> result;
  loop.Spawn([&] { result.set_value(task()); });
  return result.get_future().get();
}

} // namespace

BOOST_AUTO_TEST_SUITE(event_loop)

BOOST_AUTO_TEST_CASE(task_that_holds_the_loop_up_shows_as_delay_of_what_waits_behind_it)
{
  static constexpr acp::Duration kHeldUp = 30ms;
  acp::EventLoop loop;
  std::promise<acp::Duration> delay;
  loop.Spawn([&] {
    loop.Spawn([&] { delay.set_value(loop.Delay()); });
    std::this_thread::sleep_for(kHeldUp);
  });
  BOOST_TEST((delay.get_future().get() >= kHeldUp));
}

BOOST_AUTO_TEST_CASE(tasks_that_wait_do_not_hold_up_others)
{
  constexpr int kTasks = 2000;
  acp::EventLoop loop;
  std::vector<acp::WaitPoint> points(kTasks);
  std::atomic<int> ended{ 0 };
  std::promise<void> all;
  for (auto& point : points) {
    loop.Spawn([&] {
      const bool isWoken = point.WaitFor(kLong);
      if (isWoken && ++ended == kTasks) {
        all.set_value();
      }
    });
  }
  BOOST_TEST(RunOn(loop, [] { return acp::EventLoop::Current() != nullptr; }));
  for (auto& point : points) {
    point.Wake();
  }
  all.get_future().get();
  BOOST_TEST(ended == kTasks);
  BOOST_TEST(acp::EventLoop::Current() == nullptr);
}

BOOST_AUTO_TEST_CASE(descriptor_wakes_its_task_and_a_deadline_ends_the_wait)
{
  acp::EventLoop loop;
  Pair pair;
  const int fd = pair.ends[0];
  const auto wait = [fd](acp::Duration span) {
    return acp::WaitUntilReady(fd, POLLIN, After(span));
  };
  BOOST_TEST((RunOn(loop, [&] { return wait(1ms); }) == acp::WaitEnd::TimedOut));
  BOOST_TEST((RunOn(loop, [&] { return wait(0ms); }) == acp::WaitEnd::TimedOut));
  BOOST_TEST((wait(1ms) == acp::WaitEnd::TimedOut));
  auto waiting =
    std::async(std::launch::async, [&] { return RunOn(loop, [&] { return wait(kLong); }); });
  BOOST_REQUIRE(::write(pair.ends[1], "x", 1) == 1);
  BOOST_TEST((waiting.get() == acp::WaitEnd::Ready));
  // Input that is there already, also after the deadline.
  BOOST_TEST((RunOn(loop, [&] { return wait(kLong); }) == acp::WaitEnd::Ready));
  BOOST_TEST((RunOn(loop, [&] { return wait(-1ms); }) == acp::WaitEnd::Ready));
}

// Guards against an event of a wait that has ended, which wakes whoever waits next on the loop.
BOOST_AUTO_TEST_CASE(late_event_of_an_ended_wait_wakes_nobody)
{
  acp::EventLoop loop;
  Pair pair;
  const int fd = pair.ends[0];
  const auto timedOut = RunOn(loop, [fd] { return acp::WaitUntilReady(fd, POLLIN, After(1ms)); });
  BOOST_TEST((timedOut == acp::WaitEnd::TimedOut));
  BOOST_REQUIRE(::write(pair.ends[1], "x", 1) == 1);
  BOOST_TEST(!RunOn(loop, [] { return acp::WaitPoint().WaitFor(20ms); }));
  // The same number for another socket must be watched anew.
  pair.Close(0);
  Pair other;
  BOOST_TEST((RunOn(loop, [&other] {
                return acp::WaitUntilReady(other.ends[0], POLLOUT, After(kLong));
              }) == acp::WaitEnd::Ready));
}

BOOST_AUTO_TEST_CASE(shutdown_of_a_socket_ends_the_wait_on_it)
{
  acp::EventLoop loop;
  Pair pair;
  std::promise<void> started;
  auto waiting = std::async(std::launch::async, [&] {
    return RunOn(loop, [&] {
      started.set_value();
      return acp::WaitUntilReady(pair.ends[0], POLLIN, After(kLong));
    });
  });
  started.get_future().get();
  ::shutdown(pair.ends[0], SHUT_RDWR);
  BOOST_TEST((waiting.get() == acp::WaitEnd::Ready));
}

BOOST_AUTO_TEST_CASE(wake_up_before_the_wait_is_kept)
{
  acp::EventLoop loop;
  const auto wakeFirst = [] {
    acp::WaitPoint point;
    point.Wake();
    const bool first = point.WaitFor(kLong);
    return first && !point.WaitFor(1ms);
  };
  BOOST_TEST(wakeFirst());
  BOOST_TEST(RunOn(loop, wakeFirst));
}

BOOST_AUTO_TEST_CASE(watch_calls_back_once_unless_it_is_forgotten)
{
  acp::EventLoop loop;
  std::promise<acp::WaitEnd> ended;
  std::atomic<int> calls{ 0 };
  std::promise<bool> forgotten;
  loop.Post([&] {
    loop.Watch(-1, After(1ms), [&](acp::WaitEnd end) { ended.set_value(end); });
    const auto id = loop.Watch(-1, After(1ms), [&](acp::WaitEnd) { ++calls; });
    forgotten.set_value(loop.Forget(id) && !loop.Forget(id));
  });
  BOOST_TEST((ended.get_future().get() == acp::WaitEnd::TimedOut));
  BOOST_TEST(forgotten.get_future().get());
  BOOST_TEST(!RunOn(loop, [] { return acp::WaitPoint().WaitFor(5ms); }));
  BOOST_TEST(calls == 0);
}

BOOST_AUTO_TEST_CASE(blocking_call_holds_up_no_other_task_and_passes_its_failure_on)
{
  acp::EventLoop loop;
  std::promise<void> release;
  std::promise<void> returned;
  loop.Spawn([&] {
    acp::RunOnThread([&] { release.get_future().get(); });
    returned.set_value();
  });
  BOOST_TEST(RunOn(loop, [] { return true; }));
  release.set_value();
  returned.get_future().get();
  const bool hasThrown = RunOn(loop, [] {
    try {
      acp::RunOnThread([] { throw std::runtime_error("failed"); });
      return false;
    } catch (const std::runtime_error&) {
      return true;
    }
  });
  BOOST_TEST(hasThrown);
}

BOOST_AUTO_TEST_CASE(loop_ends_although_tasks_wait)
{
  std::atomic<bool> isUnwound{ false };
  struct AtEnd
  {
    std::atomic<bool>& isReached;
    ~AtEnd() { isReached = true; }
  };
  std::promise<void> started;
  acp::WaitPoint point;
  {
    acp::EventLoop loop;
    loop.Spawn([&] {
      const AtEnd atEnd{ isUnwound };
      started.set_value();
      point.WaitFor(kLong);
    });
    started.get_future().get();
  }
  BOOST_TEST(isUnwound);
}

BOOST_AUTO_TEST_CASE(change_wakes_threads_and_tasks)
{
  acp::EventLoop loop;
  acp::ChangeSignal signal;
  auto task = std::async(std::launch::async,
                         [&] { return RunOn(loop, [&] { return signal.WaitBeyond(0, kLong); }); });
  auto thread = std::async(std::launch::async, [&] { return signal.WaitBeyond(0, kLong); });
  signal.Notify();
  BOOST_TEST(task.get());
  BOOST_TEST(thread.get());
  BOOST_TEST(!signal.WaitBeyond(1, 1ms));
  std::stop_source ended;
  auto ending = std::async(std::launch::async, [&] {
    return RunOn(loop, [&] { return signal.WaitBeyond(1, kLong, ended.get_token()); });
  });
  ended.request_stop();
  BOOST_TEST(!ending.get());
}

BOOST_AUTO_TEST_SUITE_END()
