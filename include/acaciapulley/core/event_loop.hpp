#pragma once

/// @file
/// Tasks that wait without blocking a thread, and the event loops that run them.

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

/// How a wait ended.
enum class WaitResult
{
  Ready,    ///< the descriptor can be read or written, or has failed
  TimedOut, ///< the deadline passed
  Woken,    ///< EventLoop::Wake() was called
};

/// A thread that runs many tasks, each a fiber with its own stack.
///
/// A task is written like a blocking function. While it waits in WaitUntilReady(), WaitPoint or
/// RunBlocking(), its thread runs other tasks. A task must not block in any other way, and must not
/// wait while it holds a mutex or handles an exception. It always runs on the thread of its loop.
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

  /// @throw std::runtime_error when its descriptors cannot be created
  EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;
  ~EventLoop();

  /// @brief Returns the loop that runs the calling task, or nullptr outside of tasks.
  [[nodiscard]] static EventLoop* Current();

  /// @brief Queues @p function, which must not wait, to run on the loop's thread. May be called
  /// from any thread.
  void Post(std::function<void()> function);

  /// @brief Queues @p task, which may wait, to run on the loop's thread. May be called from any
  /// thread.
  void Spawn(std::function<void()> task);

  /// @brief Ends the wait @p id with WaitResult::Woken. Does nothing when the wait has already
  /// ended. May be called from any thread.
  void Wake(WaitId id);

  /// @brief Starts @p task immediately. Must be called from a posted function or a callback.
  void StartNow(std::function<void()> task);

  /// @brief Calls @p callback on the loop's thread, outside of tasks, when @p descriptor (-1: none)
  /// is readable or @p deadline has passed. Must be called on the loop's thread.
  WaitId Watch(int descriptor, TimePoint deadline, Callback callback);

  /// @brief Cancels the wait @p id; its callback is not called. Must be called on the loop's
  /// thread.
  /// @return whether the wait had not ended yet
  bool CancelWait(WaitId id);

  /// @brief Returns the id for a wait that the calling task is about to begin.
  [[nodiscard]] WaitId NewWaitId();

  /// @brief Suspends the calling task until Wake() is called with @p id or @p deadline passes.
  WaitResult Wait(WaitId id, TimePoint deadline);

  /// @brief Suspends the calling task until @p descriptor is ready for @p events, as in poll().
  WaitResult WaitForDescriptor(int descriptor, short events, TimePoint deadline);

  /// @brief Returns how long ready work waits for the loop: the duration of the last round over the
  /// ready descriptors, timers and posted functions, or of the current round if that is already
  /// longer. Must be called on the loop's thread.
  [[nodiscard]] Duration SchedulingDelay() const;

private:
  struct Task;
  class StackPool;
  using Timer = std::pair<TimePoint, WaitId>;

  void Run();
  void RunPosted();
  void ExpireTimers();
  void PollDescriptors();
  /// Starts a new round unless ready descriptors of the current one remain.
  void UpdateRound(TimePoint pollStart, TimePoint now, bool isBatchFull, bool wasIdle);
  [[nodiscard]] int MillisToNextTimer();
  void FinishWait(WaitId id, WaitResult result);
  void AddTimer(TimePoint deadline, WaitId id);
  /// Removes the timers of waits that have ended.
  void PruneTimers();
  void Resume(Task& task);
  /// @return false when the descriptor cannot be watched
  bool ArmDescriptor(int descriptor, short events, WaitId id);
  void Notify();

  int epoll_;
  int wakeEvent_;
  std::unique_ptr<StackPool> stackPool_;
  // Accessed on the loop's thread only.
  Task* current_ = nullptr;
  std::unordered_map<Task*, std::unique_ptr<Task>> tasks_;
  std::unordered_map<WaitId, Callback> waits_;
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_;
  WaitId nextWait_ = 1;
  TimePoint roundStart_;         ///< when the descriptors of the current round became ready
  Duration lastRoundDuration_{}; ///< of the round before the current one
  int fullBatches_ = 0;          ///< in the current round so far

  std::mutex mutex_;
  std::vector<std::function<void()>> posted_;
  std::vector<WaitId> woken_;
  bool isNotified_ = false;
  bool isStopping_ = false;
  std::thread thread_;
};

/// The event loops of the process.
class EventLoops
{
public:
  /// @brief Returns the event loops of the process; their threads start with the first call.
  static EventLoops& Instance();

  EventLoops(const EventLoops&) = delete;
  EventLoops& operator=(const EventLoops&) = delete;

  /// @brief Returns the next loop, round-robin.
  EventLoop& Next();

private:
  EventLoops();
  ~EventLoops() = default;

  std::mutex mutex_;
  std::size_t next_ = 0;
  std::vector<std::unique_ptr<EventLoop>> loops_;
};

/// @brief Waits until @p descriptor is ready for @p events, as in poll(). In a task, other tasks
/// run meanwhile.
[[nodiscard]] WaitResult WaitUntilReady(int descriptor, short events, TimePoint deadline);

/// @brief Runs a blocking call. In a task, the call runs on a thread pool while the task waits.
/// @throw whatever @p call throws
void RunBlocking(const std::function<void()>& call);

} // namespace acp
