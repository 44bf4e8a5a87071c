#include "acaciapulley/record/latency_histogram.hpp"

namespace acp {

void LatencyHistogram::Add(Duration latency)
{
  std::size_t bucket = 0;
  Duration bound = kFirstBound;
  while (latency > bound && bucket + 1 < kBuckets) {
    bound *= 2;
    ++bucket;
  }
  ++counts_.at(bucket);
}

void LatencyHistogram::Merge(const LatencyHistogram& other)
{
  for (std::size_t i = 0; i < kBuckets; ++i) {
    counts_.at(i) += other.counts_.at(i);
  }
}

Duration LatencyHistogram::Quantile(double fraction) const
{
  std::int64_t total = 0;
  for (const std::int64_t count : counts_) {
    total += count;
  }
  if (total == 0) {
    return Duration::zero();
  }
  const double wanted = fraction * static_cast<double>(total);
  std::int64_t seen = 0;
  Duration bound = kFirstBound;
  for (const std::int64_t count : counts_) {
    seen += count;
    if (static_cast<double>(seen) >= wanted) {
      break;
    }
    bound *= 2;
  }
  return bound;
}

} // namespace acp
