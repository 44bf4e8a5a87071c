#include "acaciapulley/record/surge_detector.hpp"

#include <algorithm> // max, min
#include <cmath>     // sqrt
#include <cstddef>   // size_t
#include <sstream>   // istringstream

#include <fmt/core.h> // format

namespace acp {

namespace {

constexpr std::size_t kBaselineSeconds = 30;
constexpr std::size_t kStableSeconds = 3;
constexpr double kHighDemandFactor = 1.5;
constexpr double kNormalDemandFactor = 1.2;
constexpr double kLowGoodputFactor = 0.8;
// Counts of independent requests rarely differ from their mean by this many standard deviations.
constexpr double kNoiseDeviations = 5;
constexpr double kRecoveredFraction = 0.95;
constexpr std::int64_t kMillisPerSecond = 1000;

constexpr const char* kSurgeTag = "surge1";
constexpr std::int64_t kNotRecovered = -1;

// Below this demand, single requests would be reported as surges.
constexpr double kMinDemandPerSecond = 10;

struct Baseline
{
  double offered = 0;
  double completed = 0;
};

Baseline MeanBefore(const GoodputSeries& series, std::size_t second)
{
  Baseline mean;
  for (std::size_t i = second - kBaselineSeconds; i < second; ++i) {
    mean.offered += static_cast<double>(series.seconds[i].offered);
    mean.completed += static_cast<double>(series.seconds[i].completed);
  }
  mean.offered /= kBaselineSeconds;
  mean.completed /= kBaselineSeconds;
  return mean;
}

bool IsTriggered(const SecondCounts& counts, const Baseline& before)
{
  const auto offered = static_cast<double>(counts.offered);
  const auto completed = static_cast<double>(counts.completed);
  const double highDemand = std::max(kHighDemandFactor * before.offered,
                                     before.offered + kNoiseDeviations * std::sqrt(before.offered));
  const double lowGoodput =
    std::min(kLowGoodputFactor * before.completed,
             before.completed - kNoiseDeviations * std::sqrt(before.completed));
  const bool isDemandHigh = offered > highDemand;
  const bool isGoodputLow = completed < lowGoodput && offered >= kLowGoodputFactor * before.offered;
  return isDemandHigh || isGoodputLow;
}

bool IsRecovered(const SecondCounts& counts, const Baseline& before)
{
  const double wanted = std::min(before.completed, static_cast<double>(counts.offered));
  return static_cast<double>(counts.completed) >= kRecoveredFraction * wanted;
}

UnixMillis TimeOf(const GoodputSeries& series, std::size_t second)
{
  const auto offset = static_cast<std::int64_t>(second) * kMillisPerSecond;
  return ToUnixMillis(CountMillis(series.start) + offset);
}

/// Measures the surge that starts at @p second and moves @p second to the first second after it.
Surge MeasureSurge(const GoodputSeries& series, const Baseline& before, std::size_t* second)
{
  const auto& counts = series.seconds;
  Surge surge{ .start = TimeOf(series, *second),
               .offeredBefore = before.offered,
               .goodputBefore = before.completed,
               .lowestGoodput = before.completed };
  std::size_t end = *second;
  while (end < counts.size() &&
         static_cast<double>(counts[end].offered) > kNormalDemandFactor * before.offered) {
    ++end;
  }
  surge.triggerEnd = TimeOf(series, end);
  std::size_t recovered = end;
  std::size_t stable = 0;
  while (recovered + stable < counts.size() && stable < kStableSeconds) {
    if (IsRecovered(counts[recovered + stable], before)) {
      ++stable;
    } else {
      recovered += stable + 1;
      stable = 0;
    }
  }
  if (stable == kStableSeconds) {
    surge.recoveryMillis = static_cast<std::int64_t>(recovered - end) * kMillisPerSecond;
  }
  const std::size_t last = std::min(std::max(recovered, *second + 1), counts.size());
  for (std::size_t i = *second; i < last; ++i) {
    surge.highestOffered = std::max(surge.highestOffered, static_cast<double>(counts[i].offered));
    surge.lowestGoodput = std::min(surge.lowestGoodput, static_cast<double>(counts[i].completed));
  }
  *second = last;
  return surge;
}

} // namespace

std::string SerialiseSurge(const ServiceSurge& item)
{
  const Surge& surge = item.surge;
  return fmt::format("{}\t{}\t{}\t{}\t{}\t{}\t{}\t{}\t{}",
                     kSurgeTag,
                     item.service,
                     CountMillis(surge.start),
                     CountMillis(surge.triggerEnd),
                     surge.recoveryMillis.value_or(kNotRecovered),
                     surge.offeredBefore,
                     surge.goodputBefore,
                     surge.highestOffered,
                     surge.lowestGoodput);
}

RecordResult<ServiceSurge> DeserialiseSurge(const std::string& line)
{
  std::istringstream input(line);
  std::string tag;
  ServiceSurge item;
  Surge& surge = item.surge;
  std::int64_t start = 0;
  std::int64_t end = 0;
  std::int64_t recovery = 0;
  input >> tag >> item.service >> start >> end >> recovery >> surge.offeredBefore >>
    surge.goodputBefore >> surge.highestOffered >> surge.lowestGoodput;
  if (tag != kSurgeTag || !input || input.peek() != std::istringstream::traits_type::eof()) {
    return Fail(RecordErrorCode::MalformedRow, "not a surge in the format of this version");
  }
  surge.start = ToUnixMillis(start);
  surge.triggerEnd = ToUnixMillis(end);
  if (recovery != kNotRecovered) {
    surge.recoveryMillis = recovery;
  }
  return item;
}

std::vector<Surge> FindSurges(const GoodputSeries& series)
{
  std::vector<Surge> surges;
  std::size_t second = kBaselineSeconds;
  std::size_t lastEnd = 0;
  while (second < series.seconds.size()) {
    const Baseline before = MeanBefore(series, second);
    // The mean must not include an earlier surge.
    const bool hasBaseline =
      second >= lastEnd + kBaselineSeconds && before.offered >= kMinDemandPerSecond;
    if (hasBaseline && IsTriggered(series.seconds[second], before)) {
      surges.push_back(MeasureSurge(series, before, &second));
      lastEnd = second;
    } else {
      ++second;
    }
  }
  return surges;
}

} // namespace acp
