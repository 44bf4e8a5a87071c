#pragma once

/// @file
/// Tasks that wait without holding a thread, and the loops that run them.

#include <cstdint>       // uint64_t
#include <functional>    // function, greater
#include <memory>        // unique_ptr
#include <mutex>         // mutex
#include <queue>         // priority_queue
#include <thread>        // thread
#include <unordered_map> // unordered_map
#include <utility>       // pair
#include <vector>        // vector

#include "acaciapulley/core/clock.hpp" // TimePoint

namespace acp {

/// How a wait has ended.
enum class WaitResult
{
  Ready,    ///< the descriptor can be read or written, or has failed
  TimedOut, ///< the deadline passed
  Woken,    ///< EventLoop::Wake() was called
};

/// One thread that runs many tasks, each on a stack of its own.
///
/// A task looks like a function that blocks. Where it waits by WaitUntilReady(), WaitPoint or
/// RunBlocking(), its thread goes on with other tasks. It must not block in another way, nor wait
/// while it holds a mutex or handles an exception. A task stays on its loop's thread.
///
/// @par Example
/// @code
/// acp::EventLoops::Instance().Next().Spawn([fd] {
///   if (acp::WaitUntilReady(fd, POLLIN, deadline) == acp::WaitResult::Ready) { Read(fd); }
/// });
/// @endcode
class EventLoop
{
public:
  using WaitId = std::uint64_t;
  using Callback = std::function<void(WaitResult)>;

  /// @throw std::runtime_error when the system has no descriptor for it
  EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;
  ~EventLoop();

  /// @brief Returns the loop that runs the calling task, nullptr outside of tasks.
  [[nodiscard]] static EventLoop* Current();

  /// @brief Runs @p function on the loop's thread; it must not wait. May be called from any thread.
  void Post(std::function<void()> function);

  /// @brief Runs @p task, which may wait. May be called from any thread.
  void Spawn(std::function<void()> task);

  /// @brief Ends the wait @p id; one that has ended is left alone. May be called from any thread.
  void Wake(WaitId id);

  /// @brief Starts @p task at once. To be called from a step or callback.
  void StartNow(std::function<void()> task);

  /// @brief Calls @p callback on the loop's thread, outside of tasks, when @p descriptor (-1: none)
  /// is readable or @p deadline has passed. To be called on the loop's thread.
  WaitId Watch(int descriptor, TimePoint deadline, Callback callback);

  /// @brief Forgets the wait @p id without a call. To be called on the loop's thread.
  /// @return whether it had not ended yet
  bool CancelWait(WaitId id);

  /// @brief Returns the id of a wait that the calling task is about to begin.
  [[nodiscard]] WaitId NewWaitId();

  /// @brief Suspends the calling task.
  WaitResult Wait(WaitId id, TimePoint deadline);

  /// @brief Suspends the calling task until @p descriptor is ready for @p events (as of poll()).
  WaitResult WaitForDescriptor(int descriptor, short events, TimePoint deadline);

  /// @brief Returns how long what is ready waits for its turn: the length of the latest round over
  /// the ready descriptors, timers and steps, or of the present one if that is longer. To be called
  /// on the loop's thread.
  [[nodiscard]] Duration SchedulingDelay() const;

private:
  struct Task;
  class StackPool;
  using Timer = std::pair<TimePoint, WaitId>;

  void Run();
  void RunPosted();
  void ExpireTimers();
  void PollDescriptors();
  /// Begins a round when the one before has had all its descriptors.
  void UpdateRound(TimePoint pollStart, TimePoint now, bool isBatchFull, bool wasIdle);
  [[nodiscard]] int MillisToNextTimer();
  void FinishWait(WaitId id, WaitResult result);
  void Resume(Task& task);
  /// @return false when the system cannot watch the descriptor
  bool ArmDescriptor(int descriptor, short events, WaitId id);
  void Notify();

  int epoll_;
  int wakeEvent_;
  std::unique_ptr<StackPool> stackPool_;
  // Used on the loop's thread only.
  Task* current_ = nullptr;
  std::unordered_map<Task*, std::unique_ptr<Task>> tasks_;
  std::unordered_map<WaitId, Callback> waits_;
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_;
  WaitId nextWait_ = 1;
  TimePoint roundStart_;         ///< when the present round's descriptors became ready
  Duration lastRoundDuration_{}; ///< length of the round before
  int fullBatches_ = 0;          ///< of the present round, so far

  std::mutex mutex_;
  std::vector<std::function<void()>> posted_;
  std::vector<WaitId> woken_;
  bool isNotified_ = false;
  bool isStopping_ = false;
  std::thread thread_;
};

/// The loops of the process.
class EventLoops
{
public:
  /// @brief Returns the process's loops; their threads start with the first call.
  static EventLoops& Instance();

  EventLoops(const EventLoops&) = delete;
  EventLoops& operator=(const EventLoops&) = delete;

  /// @brief Returns the loops in turn.
  EventLoop& Next();

private:
  EventLoops();
  ~EventLoops() = default;

  std::mutex mutex_;
  std::size_t next_ = 0;
  std::vector<std::unique_ptr<EventLoop>> loops_;
};

/// @brief Waits until @p descriptor is ready for @p events (as of poll()); in a task, without
/// holding the thread.
[[nodiscard]] WaitResult WaitUntilReady(int descriptor, short events, TimePoint deadline);

/// @brief Runs a call that blocks its thread. In a task, another thread runs it and the task waits.
/// @throw whatever @p call throws
void RunBlocking(const std::function<void()>& call);

} // namespace acp
