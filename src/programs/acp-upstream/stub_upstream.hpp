#pragma once

/// @file
/// The stub upstream: slots, service times, nested calls, announcements.

#include <condition_variable> // condition_variable
#include <mutex>              // mutex
#include <string>             // string
#include <vector>             // vector

#include "acaciapulley/transport/http_client.hpp" // HttpPool
#include "acaciapulley/transport/http_server.hpp" // ServerExchange
#include "acaciapulley/transport/settings.hpp"    // Settings
#include "behaviour.hpp"
#include "request_recorder.hpp"

/// Serves each request in a slot for its service time, makes the nested calls, and echoes the
/// request id.
class StubUpstream
{
public:
  explicit StubUpstream(const acp::Settings& settings);

  /// @brief Serves a request that the node sent.
  void Handle(acp::ServerExchange& exchange);

  /// @brief Serves `GET /stats`, `GET /behaviour` and `PUT /behaviour?name=value&...`.
  void HandleAdmin(acp::ServerExchange& exchange);

  /// @brief Announces this upstream to its node.
  void Announce(bool draining);

private:
  /// A nested call: method and path.
  struct NestedCall
  {
    std::string method;
    std::string target;
  };

  /// Result of a nested call.
  struct NestedResult
  {
    std::string text; ///< status and body, or the error
    std::string notRunReason;
    bool isGood = false;
  };

  bool AcquireSlot(acp::TimePoint deadline, const acp::ServerExchange& exchange);
  void ReleaseSlot();
  /// Waits for @p span; returns false when the caller disconnects before its end.
  static bool SimulateWork(acp::Duration span, const acp::ServerExchange& exchange);
  [[nodiscard]] acp::Duration ServiceTime(const BehaviourValues& values) const;
  void ServeInSlot(acp::ServerExchange& exchange, const BehaviourValues& values);
  NestedResult CallNested(const NestedCall& call, const acp::HttpRequestHead& parent);
  void Respond(acp::ServerExchange& exchange,
               const BehaviourValues& values,
               const std::string& log);
  void RespondToProbe(acp::ServerExchange& exchange);

  const acp::Settings& settings_;
  Behaviour behaviour_;
  RequestRecorder recorder_;
  std::vector<NestedCall> nested_;
  acp::HttpPool egress_;
  acp::TimePoint startedAt_;
  std::mutex mutex_;
  std::condition_variable slotFreed_;
  std::int64_t freeSlots_;
};
