#pragma once

/// @file
/// The admission gate in front of one upstream.

#include <cstddef>       // size_t
#include <cstdint>       // uint64_t
#include <optional>      // optional
#include <string>        // string
#include <unordered_map> // unordered_map
#include <vector>        // vector

#include "acaciapulley/admission/concurrency_limit.hpp"    // ConcurrencyLimit, GateResult
#include "acaciapulley/admission/delay_limit.hpp"          // DelayLimit
#include "acaciapulley/admission/fair_queue.hpp"           // FairQueue, GateRequest, GateRefusal
#include "acaciapulley/admission/load_report.hpp"          // LoadReport
#include "acaciapulley/admission/threshold_controller.hpp" // ThresholdController
#include "acaciapulley/core/clock.hpp"                     // Duration, TimePoint
#include "acaciapulley/core/outcome.hpp"                   // Reason

namespace acp {

/// Settings of Gate.
struct GateOptions
{
  ConcurrencyLimitOptions limit;
  DelayLimitOptions delay;
  FairQueueOptions queue;
  ThresholdControllerOptions threshold;
};

/// What the gate decided about an offered request.
enum class OfferDecision
{
  Start,   ///< send it to the upstream now, then call Finish()
  Queued,  ///< a later Poll() returns it, to be started or refused
  Refused, ///< answer `not-run` with the reason
};

/// Answer to Gate::Offer().
struct OfferOutcome
{
  OfferDecision decision = OfferDecision::Refused;
  Reason reason = Reason::None; ///< set when refused
};

/// Answer to Gate::Cancel().
enum class CancelOutcome
{
  Removed, ///< it was waiting and is gone; nothing was sent
  Running, ///< it was started; Finish() is still due when the upstream's work has ended
  Unknown, ///< the gate does not hold it
};

/// Requests whose waiting has ended.
struct PollOutcome
{
  std::vector<std::uint64_t> start; ///< send to the upstream now, then call Finish()
  std::vector<GateRefusal> refuse;  ///< answer `not-run` with the reason
};

/// Decides which requests one upstream works on, and when.
///
/// Each offered request ends exactly once: refused by Offer(), refused by Poll(), removed by
/// Cancel(), or started (by Offer() or Poll()) and then ended by Finish(). Call Poll() after each
/// call of another member and when NextPoll() is reached.
///
/// Not thread-safe: the owner guards it, with Poll(), by one lock.
///
/// @par Example
/// @code
/// acp::Gate gate({ .limit = { .slots = 50 } }, clock.Now());
/// const auto offered = gate.Offer({ .id = 1, .account = "toko-solo", .priority = 6,
///                                   .requestClass = "history", .deadline = deadline },
///                                 clock.Now());
/// if (offered.decision == acp::OfferDecision::Start) {
///   Send();
///   gate.Finish(1, clock.Now(), acp::GateResult::Succeeded);
/// }
/// @endcode
class Gate
{
public:
  Gate(GateOptions options, TimePoint now);

  /// @brief Takes a request.
  /// @note BadRequest is the reason for an id that the gate already holds.
  [[nodiscard]] OfferOutcome Offer(const GateRequest& request, TimePoint now);

  /// @brief Ends a started request and frees its slot.
  /// @return whether the request had been started
  bool Finish(std::uint64_t id, TimePoint now, GateResult result);

  /// @brief Gives up on a request, for example because its caller has gone.
  CancelOutcome Cancel(std::uint64_t id, TimePoint now);

  /// @brief Returns the requests to start and to refuse now; each is returned once.
  [[nodiscard]] PollOutcome Poll(TimePoint now);

  /// @brief Returns when Poll() must be called next at the latest, or nothing when none waits.
  [[nodiscard]] std::optional<TimePoint> NextPoll(TimePoint now) const;

  /// @brief Follows a new announcement of the upstream.
  void SetCapacity(int slots, Duration coldStart, TimePoint now);

  /// @brief Records how long a message that was ready waited until the node handled it.
  void RecordSchedulingDelay(Duration delay, TimePoint now);

  /// @brief Refuses all waiting and later requests, for draining or stopping; started ones go on.
  void Close(Reason reason);

  /// @brief Accepts requests again after Close().
  void Reopen() { closedBecause_ = Reason::None; }

  /// @brief Returns what callers should send for @p account, for `Acp-Threshold`.
  [[nodiscard]] AdmissionThreshold Threshold(const std::string& account) const;

  /// @brief Returns the number of requests that wait.
  [[nodiscard]] std::size_t Waiting() const { return queue_.Size(); }

  /// @brief Returns the figures for `Acp-Load`.
  [[nodiscard]] LoadReport Load(TimePoint now) const;

private:
  struct Running
  {
    std::string requestClass;
    TimePoint startedAt;
    bool wasFull;
  };

  void UpdateLimits(TimePoint now);
  [[nodiscard]] int Limit(TimePoint now) const;
  void Start(const GateRequest& request, TimePoint now);
  void Refuse(const GateRefusal& refusal);

  ConcurrencyLimit limit_;
  DelayLimit delayLimit_;
  FairQueue queue_;
  ThresholdController controller_;
  std::unordered_map<std::uint64_t, Running> running_;
  std::unordered_map<std::uint64_t, Reason> refused_; // to be returned by Poll()
  Reason closedBecause_ = Reason::None;
};

} // namespace acp
