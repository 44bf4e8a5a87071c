#pragma once

/// @file
/// Admission and deadlines of requests during a graceful stop.

#include <mutex>    // mutex
#include <optional> // optional
#include <vector>   // vector

#include "acaciapulley/config/service_document.hpp" // RequestClass
#include "acaciapulley/core/change_signal.hpp"      // ChangeSignal
#include "acaciapulley/core/clock.hpp"              // Clock, Duration, TimePoint, UnixMillis
#include "acaciapulley/node/refusal.hpp"            // OrRefusal
#include "acaciapulley/transport/http_server.hpp"   // HttpServer

namespace acp::detail {

/// Where a request comes from.
enum class RequestSource
{
  Caller,        ///< a client account
  LocalUpstream, ///< a nested call, or a request without a key, which is indistinguishable from one
  Peer,
};

/// Properties that decide whether a request can complete before the process ends.
struct RequestProfile
{
  RequestSource source = RequestSource::Caller;
  const RequestClass& requestClass;
  UnixMillis deadline{};
};

/// Admits only requests that can complete before the process ends, and bounds their deadlines.
/// Before a stop begins, it refuses and bounds nothing. Calls may come from any thread.
class GracefulStop
{
public:
  /// Counts a request as in progress until it is destroyed.
  class InFlightRequest
  {
  public:
    InFlightRequest() = default;
    explicit InFlightRequest(GracefulStop* stop)
      : stop_(stop)
    {
    }
    InFlightRequest(const InFlightRequest&) = delete;
    InFlightRequest& operator=(const InFlightRequest&) = delete;
    InFlightRequest(InFlightRequest&& other) noexcept;
    InFlightRequest& operator=(InFlightRequest&&) = delete;
    ~InFlightRequest();

  private:
    GracefulStop* stop_ = nullptr; ///< null: not counted
  };

  explicit GracefulStop(const Clock& clock);

  /// @brief From now on, admits only requests that can complete by @p endsAt. Later calls have no
  /// effect.
  void Begin(TimePoint endsAt);

  /// @brief From now on, admits only nested calls of the local upstream.
  void Close();

  /// @brief Admits a request, before any work is done for it.
  /// @return the request in progress; or a refusal with 503: `Draining` for peers, which then pick
  /// another node, otherwise `Stopping`
  [[nodiscard]] OrRefusal<InFlightRequest> Admit(const RequestProfile& profile);

  /// @brief Checks an admitted request again right before it is sent, since it may have waited.
  /// @return nothing, or a refusal as from Admit()
  [[nodiscard]] OrRefusal<void> CheckSend(const RequestProfile& profile) const;

  /// @brief Returns the time by which an upstream must respond, so that its response reaches the
  /// caller before the process ends; at most @p deadline.
  [[nodiscard]] UnixMillis BoundDeadline(UnixMillis deadline) const;

  /// @brief Returns the time until the process ends; 0 when it has passed or no stop has begun.
  [[nodiscard]] Duration RemainingTime() const;

  /// @brief Waits until the requests of callers and peers have completed, for at most
  /// RemainingTime().
  void AwaitIdle();

private:
  [[nodiscard]] std::optional<Duration> RemainingTimeForUpstream() const;
  void RecordEnd();

  const Clock& clock_;
  mutable std::mutex mutex_;
  std::optional<TimePoint> endsAt_;
  bool isClosed_ = false;
  int inProgress_ = 0; ///< without nested calls, which belong to other requests
  ChangeSignal requestEnded_;
};

/// @brief Stops accepting requests on all @p listeners together, waits for those in progress until
/// the time given to Begin(), and closes the listeners. Nested calls are served as long as the
/// requests to which they belong.
void StopListeners(GracefulStop& stop, const std::vector<HttpServer*>& listeners);

} // namespace acp::detail
