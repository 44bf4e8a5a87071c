#pragma once

/// @file
/// Counts of latencies in buckets that double.

#include <array>   // array
#include <cstddef> // size_t
#include <cstdint> // int64_t

#include "acaciapulley/core/clock.hpp" // Duration

namespace acp {

/// Latencies from 0.25 ms in buckets that double; the last bucket has no upper bound.
class LatencyHistogram
{
public:
  static constexpr std::size_t kBuckets = 20;

  /// Upper bound of the first bucket.
  static constexpr Duration kFirstBound = std::chrono::microseconds(250);

  /// @brief Counts one latency.
  void Add(Duration latency);

  /// @brief Adds @p count latencies of bucket @p bucket, which is below kBuckets.
  void AddToBucket(std::size_t bucket, std::int64_t count) { counts_.at(bucket) += count; }

  /// @brief Adds the counts of @p other.
  void Merge(const LatencyHistogram& other);

  /// @brief Returns the upper bound of the bucket that holds the quantile @p fraction, zero when
  /// empty.
  /// @param fraction between 0 and 1
  [[nodiscard]] Duration Quantile(double fraction) const;

  /// @brief Returns the counts of all buckets.
  [[nodiscard]] const std::array<std::int64_t, kBuckets>& Counts() const { return counts_; }

  bool operator==(const LatencyHistogram&) const = default;

private:
  std::array<std::int64_t, kBuckets> counts_{};
};

} // namespace acp
