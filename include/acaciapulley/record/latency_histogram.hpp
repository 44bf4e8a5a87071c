#pragma once

/// @file
/// A histogram of latencies with exponential buckets.

#include <array>   // array
#include <cstddef> // size_t
#include <cstdint> // int64_t

#include "acaciapulley/core/clock.hpp" // Duration

namespace acp {

/// Counts latencies in buckets whose bounds double, starting at 0.25 ms. The last bucket is
/// unbounded.
class LatencyHistogram
{
public:
  static constexpr std::size_t kBuckets = 20;

  /// Upper bound of the first bucket.
  static constexpr Duration kFirstBound = std::chrono::microseconds(250);

  /// @brief Adds one latency.
  void Add(Duration latency);

  /// @brief Adds @p count latencies to bucket @p bucket, which must be below kBuckets.
  void AddToBucket(std::size_t bucket, std::int64_t count) { counts_.at(bucket) += count; }

  /// @brief Adds the counts of @p other.
  void Merge(const LatencyHistogram& other);

  /// @brief Returns the upper bound of the bucket that contains the quantile @p fraction; zero when
  /// the histogram is empty.
  /// @param fraction between 0 and 1
  [[nodiscard]] Duration Quantile(double fraction) const;

  /// @brief Returns the counts of all buckets.
  [[nodiscard]] const std::array<std::int64_t, kBuckets>& Counts() const { return counts_; }

  bool operator==(const LatencyHistogram&) const = default;

private:
  std::array<std::int64_t, kBuckets> counts_{};
};

} // namespace acp
