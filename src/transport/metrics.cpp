#include "acaciapulley/transport/metrics.hpp"

#include <cctype> // isxdigit

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace acp {

namespace {

constexpr std::size_t kMinSecretDigits = 32;

const prometheus::Histogram::BucketBoundaries& Buckets()
{
  static const prometheus::Histogram::BucketBoundaries buckets = {
    0.0001, 0.00025, 0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 10
  };
  return buckets;
}

bool LooksSecret(const std::string& value)
{
  std::size_t digits = 0;
  for (const char c : value) {
    digits = std::isxdigit(static_cast<unsigned char>(c)) != 0 ? digits + 1 : 0;
    if (digits >= kMinSecretDigits) {
      return true;
    }
  }
  return false;
}

prometheus::Labels ToLabels(const MetricLabels& labels)
{
  prometheus::Labels converted;
  for (const auto& [name, value] : labels) {
    converted[name] = LooksSecret(value) ? "redacted" : value;
  }
  return converted;
}

} // namespace

class MetricsRegistry::Impl
{
public:
  prometheus::Registry registry;
};

void MetricCounter::Add(double amount)
{
  series_->Increment(amount);
}

void MetricGauge::Set(double value)
{
  series_->Set(value);
}

void MetricGauge::Add(double amount)
{
  series_->Increment(amount);
}

void MetricHistogram::Observe(double seconds)
{
  series_->Observe(seconds);
}

MetricsRegistry::MetricsRegistry()
  : impl_(std::make_unique<Impl>())
{
}

MetricsRegistry::~MetricsRegistry() = default;

MetricCounter MetricsRegistry::Counter(const std::string& name,
                                       const std::string& help,
                                       const MetricLabels& labels)
{
  auto& family = prometheus::BuildCounter().Name(name).Help(help).Register(impl_->registry);
  return MetricCounter(family.Add(ToLabels(labels)));
}

MetricGauge MetricsRegistry::Gauge(const std::string& name,
                                   const std::string& help,
                                   const MetricLabels& labels)
{
  auto& family = prometheus::BuildGauge().Name(name).Help(help).Register(impl_->registry);
  return MetricGauge(family.Add(ToLabels(labels)));
}

MetricHistogram MetricsRegistry::Histogram(const std::string& name,
                                           const std::string& help,
                                           const MetricLabels& labels)
{
  auto& family = prometheus::BuildHistogram().Name(name).Help(help).Register(impl_->registry);
  return MetricHistogram(family.Add(ToLabels(labels), Buckets()));
}

std::string MetricsRegistry::Serialize() const
{
  return prometheus::TextSerializer().Serialize(impl_->registry.Collect());
}

} // namespace acp
