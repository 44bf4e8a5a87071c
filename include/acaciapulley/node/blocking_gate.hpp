#pragma once

/// @file
/// Admission gate of the local upstream that blocks request threads until they may start.

#include <cstddef>    // size_t
#include <cstdint>    // uint64_t
#include <map>        // map
#include <mutex>      // mutex
#include <optional>   // optional
#include <stop_token> // stop_token
#include <string>     // string

#include "acaciapulley/admission/gate.hpp"  // Gate, GateRequest, GateResult
#include "acaciapulley/core/clock.hpp"      // Clock
#include "acaciapulley/core/wait_point.hpp" // WaitPoint
#include "acaciapulley/node/refusal.hpp"    // OrRefusal

namespace acp {

/// Number of events of one kind and their total duration.
struct TimedCount
{
  std::uint64_t count = 0;
  Duration totalTime{};
};

/// Decisions of a gate since its start, and the results of the requests that it admitted.
struct GateCounts
{
  TimedCount started; ///< with the time spent in the queue
  std::map<Reason, std::uint64_t> refused;
  std::map<GateResult, TimedCount> finished; ///< with the time for which they occupied a slot
};

/// Snapshot of a gate.
struct GateStats
{
  LoadReport load;
  std::size_t queueLength = 0;
  AdmissionThreshold threshold; ///< for requests without an account
  GateCounts counts;
};

/// A Gate that is guarded by one mutex and blocks request threads while they are queued.
/// Thread-safe.
class BlockingGate
{
public:
  /// Permission to occupy one slot of the upstream. Releases the slot when it is destroyed.
  class Permit
  {
  public:
    Permit(BlockingGate& gate, std::uint64_t id, TimePoint startedAt)
      : gate_(&gate)
      , id_(id)
      , startedAt_(startedAt)
    {
    }
    Permit(Permit&& other) noexcept;
    Permit& operator=(Permit&&) = delete;
    Permit(const Permit&) = delete;
    Permit& operator=(const Permit&) = delete;
    ~Permit();

    /// @brief Releases the slot and reports the result of the request to the gate.
    void Finish(GateResult result);

  private:
    BlockingGate* gate_;
    std::uint64_t id_;
    TimePoint startedAt_;
  };

  BlockingGate(const GateOptions& options, const Clock& clock);

  /// @brief Blocks until the request may start.
  /// @param request its id is assigned by the gate
  /// @param callerGone ends the wait when a stop is requested
  /// @return the permit, or a refusal with 503 of a request that no upstream has received
  /// @par Example
  /// @code
  /// auto permit = gate.Acquire({ .account = account, .priority = 6 }, exchange.CallerGone());
  /// if (permit) { Send(); permit.value().Finish(acp::GateResult::Succeeded); }
  /// @endcode
  OrRefusal<Permit> Acquire(GateRequest request, const std::stop_token& callerGone);

  /// @brief Applies a new announcement of the upstream.
  void SetCapacity(int slots, Duration coldStart, bool isDraining);

  /// @brief Closes the gate with Reason::Draining, which also refuses the queued requests, or opens
  /// it again. Running requests complete.
  void SetDraining(bool isDraining);

  /// @brief Sets a limit below the announced slots, or removes it (std::nullopt).
  void SetUsableLimit(std::optional<int> limit);

  /// @brief Returns the threshold that callers should apply to requests of @p account.
  [[nodiscard]] AdmissionThreshold Threshold(const std::string& account) const;

  /// @brief Returns the load report for `Acp-Load`.
  [[nodiscard]] LoadReport Load() const;

  /// @brief Records the time from a message being ready to this node handling it.
  void RecordSchedulingDelay(Duration delay);

  /// @brief Returns the statistics for logs and metrics.
  [[nodiscard]] GateStats Stats() const;

private:
  enum class WaitState
  {
    Waiting,
    Started,
    Refused,
  };

  struct Waiter
  {
    WaitState state = WaitState::Waiting;
    Reason reason = Reason::None;
    WaitPoint stateChanged;
  };

  void Finish(std::uint64_t id, TimePoint startedAt, GateResult result);
  void PollLocked();
  void SetDrainingLocked(bool isDraining);
  /// Returns the reason for a refusal, or Reason::None once the request may start.
  Reason OfferAndWait(std::unique_lock<std::mutex>& lock,
                      const GateRequest& request,
                      const std::stop_token& callerGone);
  Reason WaitInQueue(std::unique_lock<std::mutex>& lock,
                     const GateRequest& request,
                     const std::stop_token& callerGone);

  const Clock& clock_;
  mutable std::mutex mutex_;
  Gate gate_;
  GateCounts counts_;
  std::uint64_t nextId_ = 1;
  std::map<std::uint64_t, Waiter*> waiters_; ///< owned by the waiting threads
};

} // namespace acp
