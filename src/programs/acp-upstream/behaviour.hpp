#pragma once

/// @file
/// How the stub upstream serves; can be changed at run time.

#include <cstdint> // int64_t
#include <mutex>   // mutex
#include <string>  // string

#include "acaciapulley/core/clock.hpp" // Duration

/// One set of values.
struct BehaviourValues
{
  std::int64_t serviceUs = 1000;
  bool isExponential = false; ///< service times vary, with serviceUs as the mean
  double fail = 0.0;          ///< part of the requests answered 500
  double refuse = 0.0;        ///< part of the requests answered 503 not-run without running
  double stall = 0.0;         ///< part of the requests that are never answered
  double cut = 0.0;           ///< part of the answers that end early
};

/// The values in force.
class Behaviour
{
public:
  explicit Behaviour(BehaviourValues values)
    : values_(values)
  {
  }

  [[nodiscard]] BehaviourValues Current();

  /// @brief Takes over `name=value` pairs separated by `&`, such as `service_us=500&fail=0.1`.
  /// @return nothing, or what is wrong; then nothing is changed
  [[nodiscard]] std::string Update(const std::string& query);

  [[nodiscard]] std::string ToJson();

private:
  std::mutex mutex_;
  BehaviourValues values_;
};

/// @brief Returns a random service time by @p values.
[[nodiscard]] acp::Duration RandomServiceTime(const BehaviourValues& values);

/// @brief Returns true with probability @p probability.
[[nodiscard]] bool RandomlyTrue(double probability);
