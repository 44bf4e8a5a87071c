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

constexpr acp::Duration kLongWait = 10s;

acp::TimePoint After(acp::Duration span)
{
  return std::chrono::steady_clock::now() + span;
}

/// A connected pair of Unix domain sockets.
struct SocketPair
{
  SocketPair() { BOOST_REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM, 0, ends.data()) == 0); }
  SocketPair(const SocketPair&) = delete;
  SocketPair& operator=(const SocketPair&) = delete;
  ~SocketPair()
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

/// Runs @p task on @p loop and returns its result.
template<typename Task>
auto RunInLoop(acp::EventLoop& loop, Task task)
{
  std::promise<decltype(task())> result;
  loop.Spawn([&] { result.set_value(task()); });
  return result.get_future().get();
}

} // namespace

BOOST_AUTO_TEST_SUITE(event_loop)

BOOST_AUTO_TEST_CASE(blocking_task_raises_the_scheduling_delay)
{
  static constexpr acp::Duration kBlockedTime = 30ms;
  acp::EventLoop loop;
  std::promise<acp::Duration> delay;
  loop.Spawn([&] {
    loop.Spawn([&] { delay.set_value(loop.SchedulingDelay()); });
    std::this_thread::sleep_for(kBlockedTime);
  });
  BOOST_TEST((delay.get_future().get() >= kBlockedTime));
}

BOOST_AUTO_TEST_CASE(waiting_tasks_do_not_block_others)
{
  constexpr int kTasks = 2000;
  acp::EventLoop loop;
  std::vector<acp::WaitPoint> points(kTasks);
  std::atomic<int> ended{ 0 };
  std::promise<void> all;
  for (auto& point : points) {
    loop.Spawn([&] {
      const bool isWoken = point.WaitFor(kLongWait);
      if (isWoken && ++ended == kTasks) {
        all.set_value();
      }
    });
  }
  BOOST_TEST(RunInLoop(loop, [] { return acp::EventLoop::Current() != nullptr; }));
  for (auto& point : points) {
    point.Wake();
  }
  all.get_future().get();
  BOOST_TEST(ended == kTasks);
  BOOST_TEST(acp::EventLoop::Current() == nullptr);
}

BOOST_AUTO_TEST_CASE(ready_descriptor_or_deadline_ends_the_wait)
{
  acp::EventLoop loop;
  SocketPair pair;
  const int fd = pair.ends[0];
  const auto wait = [fd](acp::Duration span) {
    return acp::WaitUntilReady(fd, POLLIN, After(span));
  };
  BOOST_TEST((RunInLoop(loop, [&] { return wait(1ms); }) == acp::WaitResult::TimedOut));
  BOOST_TEST((RunInLoop(loop, [&] { return wait(0ms); }) == acp::WaitResult::TimedOut));
  BOOST_TEST((wait(1ms) == acp::WaitResult::TimedOut));
  auto waiting = std::async(std::launch::async,
                            [&] { return RunInLoop(loop, [&] { return wait(kLongWait); }); });
  BOOST_REQUIRE(::write(pair.ends[1], "x", 1) == 1);
  BOOST_TEST((waiting.get() == acp::WaitResult::Ready));
  // Data that is already available is reported, also after the deadline.
  BOOST_TEST((RunInLoop(loop, [&] { return wait(kLongWait); }) == acp::WaitResult::Ready));
  BOOST_TEST((RunInLoop(loop, [&] { return wait(-1ms); }) == acp::WaitResult::Ready));
}

// Guards against a late event of a finished wait that wakes the next waiter on the loop.
BOOST_AUTO_TEST_CASE(late_event_of_a_finished_wait_wakes_no_other_task)
{
  acp::EventLoop loop;
  SocketPair pair;
  const int fd = pair.ends[0];
  const auto timedOut =
    RunInLoop(loop, [fd] { return acp::WaitUntilReady(fd, POLLIN, After(1ms)); });
  BOOST_TEST((timedOut == acp::WaitResult::TimedOut));
  BOOST_REQUIRE(::write(pair.ends[1], "x", 1) == 1);
  BOOST_TEST(!RunInLoop(loop, [] { return acp::WaitPoint().WaitFor(20ms); }));
  // A new socket with the same descriptor number must be registered again.
  pair.Close(0);
  SocketPair other;
  BOOST_TEST((RunInLoop(loop, [&other] {
                return acp::WaitUntilReady(other.ends[0], POLLOUT, After(kLongWait));
              }) == acp::WaitResult::Ready));
}

BOOST_AUTO_TEST_CASE(shutdown_of_a_socket_ends_the_wait_on_it)
{
  acp::EventLoop loop;
  SocketPair pair;
  std::promise<void> started;
  auto waiting = std::async(std::launch::async, [&] {
    return RunInLoop(loop, [&] {
      started.set_value();
      return acp::WaitUntilReady(pair.ends[0], POLLIN, After(kLongWait));
    });
  });
  started.get_future().get();
  ::shutdown(pair.ends[0], SHUT_RDWR);
  BOOST_TEST((waiting.get() == acp::WaitResult::Ready));
}

BOOST_AUTO_TEST_CASE(wake_up_before_the_wait_is_not_lost)
{
  acp::EventLoop loop;
  const auto wakeFirst = [] {
    acp::WaitPoint point;
    point.Wake();
    const bool first = point.WaitFor(kLongWait);
    return first && !point.WaitFor(1ms);
  };
  BOOST_TEST(wakeFirst());
  BOOST_TEST(RunInLoop(loop, wakeFirst));
}

BOOST_AUTO_TEST_CASE(watch_calls_back_once_unless_cancelled)
{
  acp::EventLoop loop;
  std::promise<acp::WaitResult> ended;
  std::atomic<int> calls{ 0 };
  std::promise<bool> forgotten;
  loop.Post([&] {
    loop.Watch(-1, After(1ms), [&](acp::WaitResult result) { ended.set_value(result); });
    const auto id = loop.Watch(-1, After(1ms), [&](acp::WaitResult) { ++calls; });
    forgotten.set_value(loop.CancelWait(id) && !loop.CancelWait(id));
  });
  BOOST_TEST((ended.get_future().get() == acp::WaitResult::TimedOut));
  BOOST_TEST(forgotten.get_future().get());
  BOOST_TEST(!RunInLoop(loop, [] { return acp::WaitPoint().WaitFor(5ms); }));
  BOOST_TEST(calls == 0);
}

BOOST_AUTO_TEST_CASE(blocking_call_blocks_no_other_task_and_rethrows_exceptions)
{
  acp::EventLoop loop;
  std::promise<void> release;
  std::promise<void> returned;
  loop.Spawn([&] {
    acp::RunBlocking([&] { release.get_future().get(); });
    returned.set_value();
  });
  BOOST_TEST(RunInLoop(loop, [] { return true; }));
  release.set_value();
  returned.get_future().get();
  const bool hasThrown = RunInLoop(loop, [] {
    try {
      acp::RunBlocking([] { throw std::runtime_error("failed"); });
      return false;
    } catch (const std::runtime_error&) {
      return true;
    }
  });
  BOOST_TEST(hasThrown);
}

BOOST_AUTO_TEST_CASE(loop_destructor_unwinds_waiting_tasks)
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
      point.WaitFor(kLongWait);
    });
    started.get_future().get();
  }
  BOOST_TEST(isUnwound);
}

BOOST_AUTO_TEST_CASE(change_signal_wakes_threads_and_tasks)
{
  acp::EventLoop loop;
  acp::ChangeSignal signal;
  auto task = std::async(std::launch::async, [&] {
    return RunInLoop(loop, [&] { return signal.WaitForChange(0, kLongWait); });
  });
  auto thread = std::async(std::launch::async, [&] { return signal.WaitForChange(0, kLongWait); });
  signal.Notify();
  BOOST_TEST(task.get());
  BOOST_TEST(thread.get());
  BOOST_TEST(!signal.WaitForChange(1, 1ms));
  std::stop_source ended;
  auto ending = std::async(std::launch::async, [&] {
    return RunInLoop(loop, [&] { return signal.WaitForChange(1, kLongWait, ended.get_token()); });
  });
  ended.request_stop();
  BOOST_TEST(!ending.get());
}

BOOST_AUTO_TEST_SUITE_END()
