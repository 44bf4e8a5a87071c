#include "acaciapulley/routing/expected_time.hpp"

#include <algorithm> // max, min
#include <cmath>     // exp, pow, sqrt
#include <cstddef>   // size_t

namespace acp {

namespace {

// Time constant of the mean numbers of requests in flight.
constexpr double kMeanSeconds = 5;
constexpr double kMinNodeShare = 0.001;
// A reported number of requests loses its weight within this many run times.
constexpr double kInFlightRunTimes = 1;
constexpr double kMinRunSeconds = 1e-6;
// Entries of classes that no longer exist are removed above this number.
constexpr std::size_t kMaxEntries = 256;

double Seconds(Duration span)
{
  return std::chrono::duration<double>(span).count();
}

} // namespace

ReportAge ReportAgeOf(TimePoint at, TimePoint now)
{
  const Duration age = now - at;
  if (age <= kRecentReportAge) {
    return ReportAge::Recent;
  }
  return age <= kReportLifetime ? ReportAge::Old : ReportAge::Missing;
}

void ReportedRunTimes::Apply(const RunTimeReport& report, TimePoint now)
{
  if (report.instance < instance_) {
    return; // A late response of an earlier instance.
  }
  if (report.instance > instance_) {
    entries_.clear();
    instance_ = report.instance;
  }
  const double seconds = std::max(report.seconds, kMinRunSeconds);
  const Duration age = std::max(report.age, Duration::zero());
  if (entries_.size() >= kMaxEntries) {
    std::erase_if(entries_, [now](const auto& item) {
      return ReportAgeOf(item.second.at, now) == ReportAge::Missing;
    });
  }
  const auto [found, isNew] = entries_.try_emplace(report.requestClass);
  Entry& entry = found->second;
  if (isNew || ReportAgeOf(entry.at, now) == ReportAge::Missing || age == Duration::zero()) {
    entry.seconds = seconds;
  } else {
    const double elapsed = std::max(Seconds(now - entry.appliedAt), 0.0);
    entry.seconds += (1 - std::exp(-elapsed / Seconds(age))) * (seconds - entry.seconds);
  }
  entry.at = now - age;
  entry.appliedAt = now;
}

const ReportedRunTimes::Entry* ReportedRunTimes::Find(const std::string& requestClass,
                                                      TimePoint now) const
{
  const auto found = entries_.find(requestClass);
  const bool isUsable =
    found != entries_.end() && ReportAgeOf(found->second.at, now) != ReportAge::Missing;
  return isUsable ? &found->second : nullptr;
}

void ReportedInFlight::Apply(double total, double own, Duration age, TimePoint now)
{
  others_ = std::max(total - own, 0.0);
  const double elapsed = std::max(Seconds(now - appliedAt_), 0.0);
  const double weight = hasReport_ ? 1 - std::exp(-elapsed / kMeanSeconds) : 1;
  meanTotal_ += weight * (total - meanTotal_);
  meanOwn_ += weight * (own - meanOwn_);
  at_ = now - age;
  appliedAt_ = now;
  hasReport_ = true;
}

double ReportedInFlight::EstimateAt(double own,
                                    double nodeShare,
                                    double runSeconds,
                                    TimePoint now) const
{
  if (!HasReport(now)) {
    return own;
  }
  const double lifetime = kInFlightRunTimes * std::max(runSeconds, kMinRunSeconds);
  const double recent = std::exp(-std::max(Seconds(now - at_), 0.0) / lifetime);
  // With few requests of its own in flight, this node's number says little about the total.
  const double ownWeight = meanOwn_ / (meanOwn_ + 1);
  const double fromOwn = own / std::max(nodeShare, kMinNodeShare);
  const double fromMean = std::max(meanTotal_ - meanOwn_, 0.0) + own;
  const double estimate = ownWeight * fromOwn + (1 - ownWeight) * fromMean;
  return recent * (own + others_) + (1 - recent) * estimate;
}

double WaitFactor(double inFlight, double capacity)
{
  const double utilisation = inFlight / capacity;
  const double exponent = std::sqrt(2 * (capacity + 1));
  if (utilisation <= 1) {
    return 1 + (exponent + 1) * std::pow(utilisation, exponent);
  }
  // Linear above full use: each further request waits for one more to finish.
  return 1 + (exponent + 1) * (1 + exponent * (utilisation - 1));
}

} // namespace acp
