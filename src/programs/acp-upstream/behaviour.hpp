#pragma once

/// @file
/// Behaviour of the stub upstream, which can be changed at run time.

#include <cstdint> // int64_t
#include <mutex>   // mutex
#include <string>  // string

#include "acaciapulley/core/clock.hpp" // Duration

/// Parameters of the behaviour.
struct BehaviourValues
{
  std::int64_t serviceUs = 1000;
  bool isExponential = false; ///< service times vary, with serviceUs as the mean
  double fail = 0.0;          ///< fraction of requests that fail with status 500
  double refuse = 0.0;        ///< fraction of requests refused with 503 not-run
  double stall = 0.0;         ///< fraction of requests that never get a response
  double cut = 0.0;           ///< fraction of responses that are truncated
};

/// The current parameters. Calls may come from any thread.
class Behaviour
{
public:
  explicit Behaviour(BehaviourValues values)
    : values_(values)
  {
  }

  [[nodiscard]] BehaviourValues Current();

  /// @brief Sets the `name=value` pairs separated by `&`, such as `service_us=500&fail=0.1`.
  /// @return an empty string, or a description of the error, and then nothing is changed
  [[nodiscard]] std::string Update(const std::string& query);

  [[nodiscard]] std::string ToJson();

private:
  std::mutex mutex_;
  BehaviourValues values_;
};

/// @brief Returns a service time; exponentially distributed when @p values say so.
[[nodiscard]] acp::Duration RandomServiceTime(const BehaviourValues& values);

/// @brief Returns true with probability @p probability.
[[nodiscard]] bool RandomlyTrue(double probability);
