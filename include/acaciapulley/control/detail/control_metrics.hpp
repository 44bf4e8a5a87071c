#pragma once

/// @file
/// Counters and gauges of a control process.

#include <cstdint>     // int64_t
#include <memory>      // unique_ptr
#include <string>      // string
#include <string_view> // string_view

namespace acp::detail {

/// Values that are read when `/metrics` is asked for.
struct ControlGauges
{
  bool isLeader = false;
  double term = 0;
  double commitIndex = 0;
  double appliedIndex = 0;
  double stateVersion = 0;
  double smallestConfirmed = 0;
  double nodes = 0;
  double members = 0;
  double claims = 0;
  double auditEntries = 0;
};

/// Metrics in the text format of Prometheus. All calls may come from any thread.
class ControlMetrics
{
public:
  ControlMetrics();
  ControlMetrics(const ControlMetrics&) = delete;
  ControlMetrics& operator=(const ControlMetrics&) = delete;
  ~ControlMetrics();

  /// @brief Counts an answered call of a node: its name and `ok`, `not_leader` or `refused`.
  void CountCall(std::string_view call, std::string_view result);

  /// @brief Counts a proposal that was not confirmed, by the error's name.
  void CountProposalFailure(std::string_view error);

  /// @brief Counts an operator's request by its HTTP status.
  void CountOperatorRequest(int status);

  /// @brief Returns the text for `/metrics`.
  [[nodiscard]] std::string Render(const ControlGauges& gauges);

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace acp::detail
