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
// Stacks of finished tasks that are kept for reuse.
constexpr std::size_t kMaxIdleStacks = 64;
constexpr EventLoop::WaitId kWakeEventId = 0;
constexpr int kMaxEventsPerPoll = 128;
// Consecutive full batches count as one round up to this number: after a full batch, more ready
// descriptors may still be waiting.
constexpr int kMaxFullBatches = 8;
// After a poll that slept at least this long, the loop counts as idle: ready events did not wait
// for it.
constexpr Duration kMinIdleTime = std::chrono::milliseconds(1);
constexpr std::int64_t kMaxPollMs = 3'600'000;
constexpr unsigned int kMaxLoops = 4;
// Threads for blocking calls, such as those to control; further calls are queued.
constexpr std::size_t kBlockingCallThreads = 8;

// Timers of waits that have ended are removed above this number, and when there are this many
// timers for each wait.
constexpr std::size_t kMinTimersToPrune = 1'024;
constexpr std::size_t kMaxTimersPerWait = 4;

thread_local EventLoop* loopOfThread = nullptr;

TimePoint SteadyNow()
{
  return std::chrono::steady_clock::now();
}

int MillisUntil(TimePoint deadline)
{
  const auto left = std::chrono::ceil<std::chrono::milliseconds>(deadline - SteadyNow()).count();
  return static_cast<int>(std::clamp<std::int64_t>(left, 0, kMaxPollMs));
}

WaitResult Poll(int descriptor, short events, TimePoint deadline)
{
  while (true) {
    pollfd entry{ .fd = descriptor, .events = events, .revents = 0 };
    const int ready = ::poll(&entry, 1, MillisUntil(deadline));
    if (ready > 0 || (ready < 0 && errno != EINTR)) {
      return WaitResult::Ready;
    }
    if (SteadyNow() >= deadline) {
      return WaitResult::TimedOut;
    }
  }
}

} // namespace

/// Pool of stacks with a guard page.
class EventLoop::StackPool
{
public:
  /// Stack allocator that boost::context copies into each fiber.
  struct Allocator
  {
    StackPool* pool;

    boost::context::stack_context allocate() const { return pool->Acquire(); }
    void deallocate(boost::context::stack_context& stack) const noexcept { pool->Release(stack); }
  };

  StackPool() = default;
  StackPool(const StackPool&) = delete;
  StackPool& operator=(const StackPool&) = delete;

  ~StackPool()
  {
    for (auto& stack : idle_) {
      allocator_.deallocate(stack);
    }
  }

private:
  boost::context::stack_context Acquire()
  {
    if (idle_.empty()) {
      return allocator_.allocate();
    }
    const auto stack = idle_.back();
    idle_.pop_back();
    return stack;
  }

  void Release(boost::context::stack_context& stack) noexcept
  {
    if (idle_.size() < kMaxIdleStacks) {
      idle_.push_back(stack);
    } else {
      allocator_.deallocate(stack);
    }
  }

  boost::context::protected_fixedsize_stack allocator_{ kStackBytes };
  std::vector<boost::context::stack_context> idle_;
};

struct EventLoop::Task
{
  std::function<void()> body;
  boost::context::fiber taskFiber; ///< the suspended task
  boost::context::fiber loopFiber; ///< the loop, while the task runs
  WaitResult result = WaitResult::Woken;
};

EventLoop::EventLoop()
  : epoll_(::epoll_create1(EPOLL_CLOEXEC))
  , wakeEvent_(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
  , stackPool_(std::make_unique<StackPool>())
{
  epoll_event wake{};
  wake.events = EPOLLIN;
  wake.data.u64 = kWakeEventId;
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
  // Unwinds the stacks of tasks that are still waiting.
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
  // The loop's own thread needs no wake-up: it checks for posted functions before it sleeps.
  if (isNotified_ || loopOfThread == this) {
    return;
  }
  isNotified_ = true;
  const std::uint64_t one = 1;
  // Fails only when the counter is at its maximum, and then the descriptor is readable anyway.
  [[maybe_unused]] const auto written = ::write(wakeEvent_, &one, sizeof one);
}

void EventLoop::Post(std::function<void()> function)
{
  const std::lock_guard lock(mutex_);
  posted_.push_back(std::move(function));
  Notify();
}

void EventLoop::Spawn(std::function<void()> task)
{
  Post([this, task = std::move(task)] { StartNow(task); });
}

void EventLoop::Wake(WaitId id)
{
  const std::lock_guard lock(mutex_);
  woken_.push_back(id);
  Notify();
}

void EventLoop::StartNow(std::function<void()> task)
{
  auto started = std::make_unique<Task>();
  Task* running = started.get();
  running->body = std::move(task);
  running->taskFiber =
    boost::context::fiber(std::allocator_arg,
                          StackPool::Allocator{ stackPool_.get() },
                          [running](boost::context::fiber&& loop) {
                            running->loopFiber = std::move(loop);
                            try {
                              running->body();
                            } catch (const std::exception& e) {
                              Log(LogLevel::Error, "task_failed", { { "error", e.what() } });
                            }
                            return std::move(running->loopFiber);
                          });
  tasks_.emplace(running, std::move(started));
  Resume(*running);
}

void EventLoop::Resume(Task& task)
{
  current_ = &task;
  task.taskFiber = std::move(task.taskFiber).resume();
  current_ = nullptr;
  if (!task.taskFiber) {
    tasks_.erase(&task);
  }
}

EventLoop::WaitId EventLoop::NewWaitId()
{
  return nextWait_++;
}

WaitResult EventLoop::Wait(WaitId id, TimePoint deadline)
{
  Task& task = *current_;
  waits_.emplace(id, [this, &task](WaitResult result) {
    task.result = result;
    Resume(task);
  });
  AddTimer(deadline, id);
  task.loopFiber = std::move(task.loopFiber).resume();
  return task.result;
}

WaitResult EventLoop::WaitForDescriptor(int descriptor, short events, TimePoint deadline)
{
  const WaitId id = NewWaitId();
  if (!ArmDescriptor(descriptor, events, id)) {
    return WaitResult::Ready;
  }
  return Wait(id, deadline);
}

EventLoop::WaitId EventLoop::Watch(int descriptor, TimePoint deadline, Callback callback)
{
  const WaitId id = NewWaitId();
  waits_.emplace(id, std::move(callback));
  if (descriptor >= 0 && !ArmDescriptor(descriptor, POLLIN, id)) {
    Post([this, id] { FinishWait(id, WaitResult::Ready); });
  }
  AddTimer(deadline, id);
  return id;
}

void EventLoop::AddTimer(TimePoint deadline, WaitId id)
{
  timers_.emplace(deadline, id);
  // Reads end long before their deadlines, so their timers are removed in bulk.
  if (timers_.size() > kMinTimersToPrune && timers_.size() > kMaxTimersPerWait * waits_.size()) {
    PruneTimers();
  }
}

void EventLoop::PruneTimers()
{
  std::vector<Timer> pending;
  pending.reserve(waits_.size());
  while (!timers_.empty()) {
    if (waits_.contains(timers_.top().second)) {
      pending.push_back(timers_.top());
    }
    timers_.pop();
  }
  timers_ = decltype(timers_)(std::greater<>(), std::move(pending));
}

bool EventLoop::CancelWait(WaitId id)
{
  return waits_.erase(id) > 0;
}

bool EventLoop::ArmDescriptor(int descriptor, short events, WaitId id)
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

void EventLoop::FinishWait(WaitId id, WaitResult result)
{
  const auto found = waits_.find(id);
  if (found == waits_.end()) {
    return;
  }
  const Callback callback = std::move(found->second);
  waits_.erase(found);
  callback(result);
}

void EventLoop::RunPosted()
{
  std::vector<std::function<void()>> functions;
  std::vector<WaitId> woken;
  {
    const std::lock_guard lock(mutex_);
    functions.swap(posted_);
    woken.swap(woken_);
    isNotified_ = false;
  }
  for (const WaitId id : woken) {
    FinishWait(id, WaitResult::Woken);
  }
  for (const auto& function : functions) {
    function();
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
    FinishWait(id, WaitResult::TimedOut);
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
  std::array<epoll_event, kMaxEventsPerPoll>
    events; // NOLINT(cppcoreguidelines-pro-type-member-init)
  const bool hasMore = fullBatches_ > 0;
  const int sleep = hasMore ? 0 : MillisToNextTimer();
  const TimePoint pollStart = SteadyNow();
  const int count = ::epoll_wait(epoll_, events.data(), kMaxEventsPerPoll, sleep);
  const TimePoint now = SteadyNow();
  UpdateRound(
    pollStart, now, count == kMaxEventsPerPoll, sleep != 0 && now - pollStart >= kMinIdleTime);
  for (int i = 0; i < count; ++i) {
    const WaitId id = events[static_cast<std::size_t>(i)].data.u64;
    if (id == kWakeEventId) {
      std::uint64_t counter = 0;
      // Reading resets the counter to zero; its value is not needed.
      [[maybe_unused]] const auto bytesRead = ::read(wakeEvent_, &counter, sizeof counter);
    } else {
      FinishWait(id, WaitResult::Ready);
    }
  }
}

void EventLoop::UpdateRound(TimePoint pollStart, TimePoint now, bool isBatchFull, bool wasIdle)
{
  const bool isSameRound = fullBatches_ > 0 && isBatchFull && fullBatches_ < kMaxFullBatches;
  if (!isSameRound) {
    lastRoundDuration_ = wasIdle ? Duration::zero() : pollStart - roundStart_;
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

Duration EventLoop::SchedulingDelay() const
{
  return std::max(lastRoundDuration_, SteadyNow() - roundStart_);
}

EventLoops& EventLoops::Instance()
{
  static EventLoops loops;
  return loops;
}

EventLoops::EventLoops()
{
  const unsigned int count = std::clamp(std::thread::hardware_concurrency(), 1U, kMaxLoops);
  for (unsigned int i = 0; i < count; ++i) {
    loops_.push_back(std::make_unique<EventLoop>());
  }
}

EventLoop& EventLoops::Next()
{
  const std::lock_guard lock(mutex_);
  return *loops_[next_++ % loops_.size()];
}

WaitResult WaitUntilReady(int descriptor, short events, TimePoint deadline)
{
  EventLoop* loop = EventLoop::Current();
  // After the deadline, Poll() still reports a descriptor that is ready.
  if (loop == nullptr || deadline <= SteadyNow()) {
    return Poll(descriptor, events, deadline);
  }
  return loop->WaitForDescriptor(descriptor, events, deadline);
}

void RunBlocking(const std::function<void()>& call)
{
  if (EventLoop::Current() == nullptr) {
    call();
    return;
  }
  static boost::asio::thread_pool threads(kBlockingCallThreads);
  WaitPoint done;
  std::exception_ptr failure;
  boost::asio::post(threads, [&] {
    try {
      call();
    } catch (...) {
      failure = std::current_exception();
    }
    done.Wake();
  });
  while (!done.WaitFor(std::chrono::hours(1))) {
  }
  if (failure) {
    std::rethrow_exception(failure);
  }
}

} // namespace acp
