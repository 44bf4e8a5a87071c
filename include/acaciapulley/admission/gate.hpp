#pragma once

/// @file
/// Admission gate in front of one upstream.

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

/// Decision about an offered request.
enum class OfferDecision
{
  Start,   ///< send the request to the upstream now, then call Finish()
  Queued,  ///< a later Poll() returns the request to be started or refused
  Refused, ///< respond `not-run` with the reason
};

/// Result of Gate::Offer().
struct OfferOutcome
{
  OfferDecision decision = OfferDecision::Refused;
  Reason reason = Reason::None; ///< set if refused
};

/// Result of Gate::Cancel().
enum class CancelOutcome
{
  Removed, ///< the request was waiting and has been removed; it was not sent
  Running, ///< the request was started; call Finish() when the upstream has completed it
  Unknown, ///< no such request is waiting or running
};

/// Requests that no longer wait.
struct PollOutcome
{
  std::vector<std::uint64_t> start; ///< send these to the upstream now, then call Finish() for each
  std::vector<GateRefusal> refuse;  ///< respond `not-run` with the reason
};

/// Decides which requests are sent to one upstream, and when.
///
/// Each offered request ends exactly once: refused by Offer(), refused by Poll(), removed by
/// Cancel(), or started by Offer() or Poll() and then ended by Finish(). Call Poll() after each
/// call of another member function and at the time returned by NextPoll().
///
/// Not thread-safe: the owner must hold one lock across each call and the Poll() that follows it.
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

  /// @brief Starts, queues or refuses a request.
  /// @note An id that is already in use at the gate is refused with Reason::BadRequest.
  [[nodiscard]] OfferOutcome Offer(const GateRequest& request, TimePoint now);

  /// @brief Ends a started request, records its result and frees its slot.
  /// @return whether the request had been started
  bool Finish(std::uint64_t id, TimePoint now, GateResult result);

  /// @brief Cancels a request, for example because its caller disconnected.
  CancelOutcome Cancel(std::uint64_t id, TimePoint now);

  /// @brief Returns the requests to start and to refuse now; each is returned only once.
  [[nodiscard]] PollOutcome Poll(TimePoint now);

  /// @brief Returns the latest time of the next Poll(), or nothing if no request waits.
  [[nodiscard]] std::optional<TimePoint> NextPoll(TimePoint now) const;

  /// @brief Sets the slots and the cold start duration from a new announcement of the upstream.
  void SetCapacity(int slots, Duration coldStart, TimePoint now);

  /// @brief Sets a limit below the announced slots, as found by ConcurrencyKnee, or removes it
  /// (std::nullopt).
  void SetUsableLimit(std::optional<int> limit) { usableLimit_ = limit; }

  /// @brief Records the scheduling delay of a message: the time from ready to handled by the node.
  void RecordSchedulingDelay(Duration delay, TimePoint now);

  /// @brief Refuses all waiting and later requests, for draining or stopping; started requests
  /// continue.
  void Close(Reason reason);

  /// @brief Accepts requests again after Close().
  void Reopen() { closedBecause_ = Reason::None; }

  /// @brief Returns which requests of @p account callers should send, for `Acp-Threshold`.
  [[nodiscard]] AdmissionThreshold Threshold(const std::string& account) const;

  /// @brief Returns the number of waiting requests.
  [[nodiscard]] std::size_t Waiting() const { return queue_.Size(); }

  /// @brief Returns the load for `Acp-Load`.
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
  std::optional<int> usableLimit_;
  FairQueue queue_;
  ThresholdController controller_;
  std::unordered_map<std::uint64_t, Running> running_;
  std::unordered_map<std::uint64_t, Reason> refused_; // returned by the next Poll()
  Reason closedBecause_ = Reason::None;
};

} // namespace acp
