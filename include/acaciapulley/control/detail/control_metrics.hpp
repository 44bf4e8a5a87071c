#pragma once

/// @file
/// Counters and gauges of a control process.

#include <cstdint>     // int64_t
#include <memory>      // unique_ptr
#include <string>      // string
#include <string_view> // string_view

namespace acp::detail {

/// Values that are read on each request for `/metrics`.
struct ControlGauges
{
  bool isLeader = false;
  double term = 0;
  double commitIndex = 0;
  double logBytes = 0;
  double appliedIndex = 0;
  double stateVersion = 0;
  double smallestConfirmed = 0;
  double nodes = 0;
  double members = 0;
  double claims = 0;
  double evacuatedDataCentres = 0;
  double auditEntries = 0;
};

/// Metrics in the Prometheus text format. Thread-safe.
class ControlMetrics
{
public:
  ControlMetrics();
  ControlMetrics(const ControlMetrics&) = delete;
  ControlMetrics& operator=(const ControlMetrics&) = delete;
  ~ControlMetrics();

  /// @brief Counts a call of a node by name and result, such as `ok`, `not_leader` or `refused`.
  void CountCall(std::string_view call, std::string_view result);

  /// @brief Counts an unconfirmed proposal by error name.
  void CountProposalFailure(std::string_view error);

  /// @brief Counts an operator request by HTTP status.
  void CountOperatorRequest(int status);

  /// @brief Returns the response body for `/metrics`.
  [[nodiscard]] std::string Render(const ControlGauges& gauges);

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace acp::detail
