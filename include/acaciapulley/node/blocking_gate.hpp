#pragma once

/// @file
/// The admission gate of the local upstream for threads that wait until they may start.

#include <cstddef>    // size_t
#include <cstdint>    // uint64_t
#include <map>        // map
#include <mutex>      // mutex
#include <stop_token> // stop_token
#include <string>     // string

#include "acaciapulley/admission/gate.hpp"  // Gate, GateRequest, GateResult
#include "acaciapulley/core/clock.hpp"      // Clock
#include "acaciapulley/core/wait_point.hpp" // WaitPoint
#include "acaciapulley/node/refusal.hpp"    // OrRefusal

namespace acp {

/// Events of one kind, and the time that they took.
struct TimedCount
{
  std::uint64_t count = 0;
  Duration totalTime{};
};

/// What a gate has decided since its start, and how the requests that it let through ended.
struct GateCounts
{
  TimedCount started; ///< with the time that they had waited
  std::map<Reason, std::uint64_t> refused;
  std::map<GateResult, TimedCount> finished; ///< with the time that they held their slot
};

/// A gate at one moment.
struct GateStats
{
  LoadReport load;
  std::size_t queueLength = 0;
  AdmissionThreshold threshold; ///< of requests without an account
  GateCounts counts;
};

/// Guards a Gate by one lock and lets request threads wait in its queue.
class BlockingGate
{
public:
  /// The right to use one slot of the upstream; given back when it is destroyed.
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

    /// @brief Frees the slot and tells the gate how the request ended.
    void Finish(GateResult result);

  private:
    BlockingGate* gate_;
    std::uint64_t id_;
    TimePoint startedAt_;
  };

  BlockingGate(const GateOptions& options, const Clock& clock);

  /// @brief Waits until the request may start.
  /// @param request the gate sets the id
  /// @param callerGone ends the wait when it is stopped
  /// @return the permit, or a refusal with 503 that is truly "not run"
  /// @par Example
  /// @code
  /// auto permit = gate.Acquire({ .account = account, .priority = 6 }, exchange.CallerGone());
  /// if (permit) { Send(); permit.value().Finish(acp::GateResult::Succeeded); }
  /// @endcode
  OrRefusal<Permit> Acquire(GateRequest request, const std::stop_token& callerGone);

  /// @brief Follows a new announcement of the upstream.
  void SetCapacity(int slots, Duration coldStart, bool isDraining);

  /// @brief Returns what callers should send for @p account.
  [[nodiscard]] AdmissionThreshold Threshold(const std::string& account) const;

  /// @brief Returns the figures for `Acp-Load`.
  [[nodiscard]] LoadReport Load() const;

  /// @brief Records how long a message that was ready waited until this node handled it.
  void RecordSchedulingDelay(Duration delay);

  /// @brief Returns the figures for logs and metrics.
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
  /// Returns why the request may not start, or Reason::None once it may.
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
