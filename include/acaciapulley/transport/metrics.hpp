#pragma once

/// @file
/// Prometheus counters, gauges and histograms, served at the path `/metrics`.

#include <memory>  // unique_ptr
#include <string>  // string
#include <utility> // pair
#include <vector>  // vector

namespace prometheus {
class Counter;
class Gauge;
class Histogram;
} // namespace prometheus

namespace acp {

/// Label names and values of one series. Values come from fixed tables, service documents and node
/// ids, never from a client account's key.
using MetricLabels = std::vector<std::pair<std::string, std::string>>;

/// A value that only increases. Copies share the series.
class MetricCounter
{
public:
  explicit MetricCounter(prometheus::Counter& series)
    : series_(&series)
  {
  }
  void Add(double amount = 1.0);

private:
  prometheus::Counter* series_;
};

/// A value that can go up and down. Copies share the series.
class MetricGauge
{
public:
  explicit MetricGauge(prometheus::Gauge& series)
    : series_(&series)
  {
  }
  void Set(double value);
  void Add(double amount);

private:
  prometheus::Gauge* series_;
};

/// A distribution of durations in seconds, from 100 us to 10 s. Copies share the series.
class MetricHistogram
{
public:
  explicit MetricHistogram(prometheus::Histogram& series)
    : series_(&series)
  {
  }
  void Observe(double seconds);

private:
  prometheus::Histogram* series_;
};

/// The metrics of one process. Calls may come from any thread; callers should store the returned
/// handles, since each look-up takes a lock.
///
/// A label value with 32 or more consecutive hexadecimal digits is written as `redacted`, so that
/// no key is exposed by mistake.
///
/// @par Example
/// @code
/// acp::MetricsRegistry metrics;
/// auto open = metrics.Gauge("acp_open", "Open connections.", { { "listener", "peer" } });
/// open.Set(7);
/// @endcode
class MetricsRegistry
{
public:
  MetricsRegistry();
  MetricsRegistry(const MetricsRegistry&) = delete;
  MetricsRegistry& operator=(const MetricsRegistry&) = delete;
  ~MetricsRegistry();

  /// @brief Returns the series of @p name and @p labels, created by the first call.
  /// @throw std::invalid_argument when a name is not a valid Prometheus name
  MetricCounter Counter(const std::string& name,
                        const std::string& help,
                        const MetricLabels& labels = {});
  MetricGauge Gauge(const std::string& name,
                    const std::string& help,
                    const MetricLabels& labels = {});
  MetricHistogram Histogram(const std::string& name,
                            const std::string& help,
                            const MetricLabels& labels = {});

  /// @brief Returns all series in the Prometheus text format.
  [[nodiscard]] std::string Serialize() const;

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace acp
