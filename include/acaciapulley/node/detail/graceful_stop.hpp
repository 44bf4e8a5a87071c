#pragma once

/// @file
/// The time that a planned stop leaves, and the requests that can still end in it.

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
  Caller,        ///< a client account's
  LocalUpstream, ///< a nested call, or a request without a key, which cannot be told from one
  Peer,
};

/// What decides whether a request can end before the process does.
struct RequestProfile
{
  RequestSource source = RequestSource::Caller;
  const RequestClass& requestClass;
  UnixMillis deadline{};
};

/// Bounds the time of requests by the time that is left before the process ends. Without a stop it
/// bounds nothing. Calls may come from any thread.
class GracefulStop
{
public:
  /// A request in progress, until its destruction.
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

  /// @brief Takes only requests that can end by @p endsAt from now on. Later calls change nothing.
  void Begin(TimePoint endsAt);

  /// @brief Takes only nested calls of the own upstream from now on.
  void Close();

  /// @brief Takes a request, before anything is done for it.
  /// @return the request in progress; or a refusal with 503: `Draining` for peers, which choose
  /// another node, otherwise `Stopping`
  [[nodiscard]] OrRefusal<InFlightRequest> Admit(const RequestProfile& profile);

  /// @brief Checks a request that was taken right before it is sent, since it may have waited.
  /// @return nothing, or a refusal as Admit() gives
  [[nodiscard]] OrRefusal<void> CheckSend(const RequestProfile& profile) const;

  /// @brief Returns the latest time by which an upstream must answer, so that its answer reaches
  /// the caller before the process ends; at most @p deadline.
  [[nodiscard]] UnixMillis BoundDeadline(UnixMillis deadline) const;

  /// @brief Returns the time until the process ends; 0 when it should have, or when none was told.
  [[nodiscard]] Duration RemainingTime() const;

  /// @brief Waits until the requests of callers and peers have ended, for at most RemainingTime().
  void AwaitIdle();

private:
  [[nodiscard]] std::optional<Duration> RemainingTimeForUpstream() const;
  void RecordEnd();

  const Clock& clock_;
  mutable std::mutex mutex_;
  std::optional<TimePoint> endsAt_;
  bool isClosed_ = false;
  int inProgress_ = 0; ///< without nested calls, which are part of others
  ChangeSignal requestEnded_;
};

/// @brief Stops taking requests on all @p listeners at the same time, lets those in progress end
/// until the moment that Begin() told, and closes. Nested calls are served as long as the requests
/// that they belong to.
void StopListeners(GracefulStop& stop, const std::vector<HttpServer*>& listeners);

} // namespace acp::detail
