#include "acaciapulley/core/event_loop.hpp"

#include <algorithm> // clamp, max, min
#include <array>     // array
#include <cerrno>    // errno
#include <exception> // current_exception, exception_ptr
#include <stdexcept> // runtime_error
#include <string>    // to_string

#include <boost/asio/post.hpp>
#include <boost/asio/thread_pool.hpp>
#include <boost/context/fiber.hpp>
#include <boost/context/protected_fixedsize_stack.hpp>
#include <poll.h>        // poll
#include <sys/epoll.h>   // epoll_ctl, epoll_wait
#include <sys/eventfd.h> // eventfd
#include <unistd.h>      // close, read, write

#include "acaciapulley/core/log.hpp"        // Log
#include "acaciapulley/core/wait_point.hpp" // WaitPoint

namespace acp {

namespace {

constexpr std::size_t kStackBytes = 262'144;
// Stacks of ended tasks that are kept for the next ones.
constexpr std::size_t kMostIdleStacks = 64;
constexpr EventLoop::WaitId kWakeEvent = 0;
constexpr int kEventsAtOnce = 128;
// Batches that count as one round while they are full: what is left of them is still waiting.
constexpr int kMostFullBatches = 8;
// What became ready during a longer wait than this has not waited for the loop.
constexpr Duration kIdleTime = std::chrono::milliseconds(1);
constexpr std::int64_t kLongestPollMs = 3'600'000;
constexpr unsigned int kMostLoops = 4;
// Calls that block, such as those to control; more of them wait for their turn.
constexpr std::size_t kCallThreads = 8;

thread_local EventLoop* loopOfThread = nullptr;

TimePoint SteadyNow()
{
  return std::chrono::steady_clock::now();
}

int MillisUntil(TimePoint deadline)
{
  const auto left = std::chrono::ceil<std::chrono::milliseconds>(deadline - SteadyNow()).count();
  return static_cast<int>(std::clamp<std::int64_t>(left, 0, kLongestPollMs));
}

WaitEnd Poll(int descriptor, short events, TimePoint deadline)
{
  while (true) {
    pollfd entry{ .fd = descriptor, .events = events, .revents = 0 };
    const int ready = ::poll(&entry, 1, MillisUntil(deadline));
    if (ready > 0 || (ready < 0 && errno != EINTR)) {
      return WaitEnd::Ready;
    }
    if (SteadyNow() >= deadline) {
      return WaitEnd::TimedOut;
    }
  }
}

} // namespace

/// Stacks with a guard page, kept for reuse.
class EventLoop::Stacks
{
public:
  /// What boost::context copies into each fiber.
  struct Allocator
  {
    Stacks* stacks;

    boost::context::stack_context allocate() const { return stacks->Take(); }
    void deallocate(boost::context::stack_context& stack) const noexcept { stacks->Return(stack); }
  };

  Stacks() = default;
  Stacks(const Stacks&) = delete;
  Stacks& operator=(const Stacks&) = delete;

  ~Stacks()
  {
    for (auto& stack : idle_) {
      system_.deallocate(stack);
    }
  }

private:
  boost::context::stack_context Take()
  {
    if (idle_.empty()) {
      return system_.allocate();
    }
    const auto stack = idle_.back();
    idle_.pop_back();
    return stack;
  }

  void Return(boost::context::stack_context& stack) noexcept
  {
    if (idle_.size() < kMostIdleStacks) {
      idle_.push_back(stack);
    } else {
      system_.deallocate(stack);
    }
  }

  boost::context::protected_fixedsize_stack system_{ kStackBytes };
  std::vector<boost::context::stack_context> idle_;
};

struct EventLoop::Task
{
  std::function<void()> body;
  boost::context::fiber own;  ///< the suspended task
  boost::context::fiber back; ///< the loop, while the task runs
  WaitEnd end = WaitEnd::Woken;
};

EventLoop::EventLoop()
  : epoll_(::epoll_create1(EPOLL_CLOEXEC))
  , wakeEvent_(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
  , stacks_(std::make_unique<Stacks>())
{
  epoll_event wake{};
  wake.events = EPOLLIN;
  wake.data.u64 = kWakeEvent;
  if (epoll_ < 0 || wakeEvent_ < 0 || ::epoll_ctl(epoll_, EPOLL_CTL_ADD, wakeEvent_, &wake) != 0) {
    throw std::runtime_error("no descriptor for an event loop");
  }
  thread_ = std::thread([this] { Run(); });
}

EventLoop::~EventLoop()
{
  {
    const std::lock_guard lock(mutex_);
    isStopping_ = true;
    Notify();
  }
  thread_.join();
  // Tasks that still wait are unwound.
  tasks_.clear();
  ::close(wakeEvent_);
  ::close(epoll_);
}

EventLoop* EventLoop::Current()
{
  return loopOfThread != nullptr && loopOfThread->current_ != nullptr ? loopOfThread : nullptr;
}

void EventLoop::Notify()
{
  // On the loop's own thread, what is posted is looked at before the next sleep.
  if (isNotified_ || loopOfThread == this) {
    return;
  }
  isNotified_ = true;
  const std::uint64_t one = 1;
  // Fails only when the counter is full, and then the descriptor is readable anyway.
  [[maybe_unused]] const auto written = ::write(wakeEvent_, &one, sizeof one);
}

void EventLoop::Post(std::function<void()> step)
{
  const std::lock_guard lock(mutex_);
  posted_.push_back(std::move(step));
  Notify();
}

void EventLoop::Spawn(std::function<void()> task)
{
  Post([this, task = std::move(task)] { Start(task); });
}

void EventLoop::Wake(WaitId id)
{
  const std::lock_guard lock(mutex_);
  woken_.push_back(id);
  Notify();
}

void EventLoop::Start(std::function<void()> task)
{
  auto started = std::make_unique<Task>();
  Task* running = started.get();
  running->body = std::move(task);
  running->own =
    boost::context::fiber(std::allocator_arg,
                          Stacks::Allocator{ stacks_.get() },
                          [running](boost::context::fiber&& loop) {
                            running->back = std::move(loop);
                            try {
                              running->body();
                            } catch (const std::exception& e) {
                              Log(LogLevel::Error, "task_failed", { { "error", e.what() } });
                            }
                            return std::move(running->back);
                          });
  tasks_.emplace(running, std::move(started));
  Resume(*running);
}

void EventLoop::Resume(Task& task)
{
  current_ = &task;
  task.own = std::move(task.own).resume();
  current_ = nullptr;
  if (!task.own) {
    tasks_.erase(&task);
  }
}

EventLoop::WaitId EventLoop::NewWait()
{
  return nextWait_++;
}

WaitEnd EventLoop::Wait(WaitId id, TimePoint deadline)
{
  Task& task = *current_;
  waits_.emplace(id, [this, &task](WaitEnd end) {
    task.end = end;
    Resume(task);
  });
  timers_.emplace(deadline, id);
  task.back = std::move(task.back).resume();
  return task.end;
}

WaitEnd EventLoop::WaitFor(int descriptor, short events, TimePoint deadline)
{
  const WaitId id = NewWait();
  if (!Arm(descriptor, events, id)) {
    return WaitEnd::Ready;
  }
  return Wait(id, deadline);
}

EventLoop::WaitId EventLoop::Watch(int descriptor, TimePoint deadline, Callback callback)
{
  const WaitId id = NewWait();
  waits_.emplace(id, std::move(callback));
  if (descriptor >= 0 && !Arm(descriptor, POLLIN, id)) {
    Post([this, id] { End(id, WaitEnd::Ready); });
  }
  timers_.emplace(deadline, id);
  return id;
}

bool EventLoop::Forget(WaitId id)
{
  return waits_.erase(id) > 0;
}

bool EventLoop::Arm(int descriptor, short events, WaitId id)
{
  epoll_event event{};
  event.events = static_cast<std::uint32_t>(events) | EPOLLONESHOT;
  event.data.u64 = id;
  if (::epoll_ctl(epoll_, EPOLL_CTL_MOD, descriptor, &event) == 0) {
    return true;
  }
  const bool isAdded =
    errno == ENOENT && ::epoll_ctl(epoll_, EPOLL_CTL_ADD, descriptor, &event) == 0;
  if (!isAdded) {
    Log(LogLevel::Warning, "descriptor_not_watched", { { "error", std::to_string(errno) } });
  }
  return isAdded;
}

void EventLoop::End(WaitId id, WaitEnd end)
{
  const auto found = waits_.find(id);
  if (found == waits_.end()) {
    return;
  }
  const Callback callback = std::move(found->second);
  waits_.erase(found);
  callback(end);
}

void EventLoop::RunPosted()
{
  std::vector<std::function<void()>> steps;
  std::vector<WaitId> woken;
  {
    const std::lock_guard lock(mutex_);
    steps.swap(posted_);
    woken.swap(woken_);
    isNotified_ = false;
  }
  for (const WaitId id : woken) {
    End(id, WaitEnd::Woken);
  }
  for (const auto& step : steps) {
    step();
  }
}

void EventLoop::ExpireTimers()
{
  if (timers_.empty()) {
    return;
  }
  const TimePoint now = SteadyNow();
  while (!timers_.empty() && timers_.top().first <= now) {
    const WaitId id = timers_.top().second;
    timers_.pop();
    End(id, WaitEnd::TimedOut);
  }
}

int EventLoop::MillisToNextTimer()
{
  {
    const std::lock_guard lock(mutex_);
    if (!posted_.empty() || !woken_.empty()) {
      return 0;
    }
  }
  while (!timers_.empty() && !waits_.contains(timers_.top().second)) {
    timers_.pop();
  }
  return timers_.empty() ? -1 : MillisUntil(timers_.top().first);
}

void EventLoop::PollDescriptors()
{
  std::array<epoll_event, kEventsAtOnce> events; // NOLINT(cppcoreguidelines-pro-type-member-init)
  const bool hasMore = fullBatches_ > 0;
  const int sleep = hasMore ? 0 : MillisToNextTimer();
  const TimePoint asked = SteadyNow();
  const int count = ::epoll_wait(epoll_, events.data(), kEventsAtOnce, sleep);
  const TimePoint now = SteadyNow();
  NoteRound(asked, now, count == kEventsAtOnce, sleep != 0 && now - asked >= kIdleTime);
  for (int i = 0; i < count; ++i) {
    const WaitId id = events[static_cast<std::size_t>(i)].data.u64;
    if (id == kWakeEvent) {
      std::uint64_t dropped = 0;
      // The counter only has to fall to zero.
      [[maybe_unused]] const auto taken = ::read(wakeEvent_, &dropped, sizeof dropped);
    } else {
      End(id, WaitEnd::Ready);
    }
  }
}

void EventLoop::NoteRound(TimePoint asked, TimePoint now, bool isBatchFull, bool wasIdle)
{
  const bool goesOn = fullBatches_ > 0 && isBatchFull && fullBatches_ < kMostFullBatches;
  if (!goesOn) {
    latestRound_ = wasIdle ? Duration::zero() : asked - roundStart_;
    roundStart_ = now;
    fullBatches_ = 0;
  }
  fullBatches_ += isBatchFull ? 1 : 0;
}

void EventLoop::Run()
{
  loopOfThread = this;
  roundStart_ = SteadyNow();
  while (true) {
    {
      const std::lock_guard lock(mutex_);
      if (isStopping_) {
        return;
      }
    }
    RunPosted();
    ExpireTimers();
    PollDescriptors();
  }
}

Duration EventLoop::Delay() const
{
  return std::max(latestRound_, SteadyNow() - roundStart_);
}

EventLoops& EventLoops::Instance()
{
  static EventLoops loops;
  return loops;
}

EventLoops::EventLoops()
{
  const unsigned int count = std::clamp(std::thread::hardware_concurrency(), 1U, kMostLoops);
  for (unsigned int i = 0; i < count; ++i) {
    loops_.push_back(std::make_unique<EventLoop>());
  }
}

EventLoop& EventLoops::Next()
{
  const std::lock_guard lock(mutex_);
  return *loops_[next_++ % loops_.size()];
}

WaitEnd WaitUntilReady(int descriptor, short events, TimePoint deadline)
{
  EventLoop* loop = EventLoop::Current();
  // A deadline that has passed still gives what is ready.
  if (loop == nullptr || deadline <= SteadyNow()) {
    return Poll(descriptor, events, deadline);
  }
  return loop->WaitFor(descriptor, events, deadline);
}

void RunOnThread(const std::function<void()>& call)
{
  if (EventLoop::Current() == nullptr) {
    call();
    return;
  }
  static boost::asio::thread_pool threads(kCallThreads);
  WaitPoint ended;
  std::exception_ptr failure;
  boost::asio::post(threads, [&] {
    try {
      call();
    } catch (...) {
      failure = std::current_exception();
    }
    ended.Wake();
  });
  while (!ended.WaitFor(std::chrono::hours(1))) {
  }
  if (failure) {
    std::rethrow_exception(failure);
  }
}

} // namespace acp
