#include "behaviour.hpp"

#include <charconv> // from_chars
#include <random>   // mt19937_64

#include <fmt/format.h> // format

namespace {

constexpr std::int64_t kMaxServiceUs = 60'000'000;

std::mt19937_64& Generator()
{
  thread_local std::mt19937_64 generator{ std::random_device{}() };
  return generator;
}

std::string SetValue(const std::string& name, double value, BehaviourValues* values)
{
  if (name == "service_us" && value >= 0 && value <= kMaxServiceUs) {
    values->serviceUs = static_cast<std::int64_t>(value);
    return "";
  }
  if (value < 0.0 || value > 1.0) {
    return name + " is out of range";
  }
  if (name == "exponential") {
    values->isExponential = value > 0.0;
  } else if (name == "fail") {
    values->fail = value;
  } else if (name == "refuse") {
    values->refuse = value;
  } else if (name == "stall") {
    values->stall = value;
  } else if (name == "cut") {
    values->cut = value;
  } else {
    return "names: service_us, exponential, fail, refuse, stall, cut";
  }
  return "";
}

} // namespace

BehaviourValues Behaviour::Current()
{
  const std::lock_guard lock(mutex_);
  return values_;
}

std::string Behaviour::Update(const std::string& query)
{
  BehaviourValues changed = Current();
  std::size_t start = 0;
  while (start < query.size()) {
    const std::size_t end = std::min(query.find('&', start), query.size());
    const std::string pair = query.substr(start, end - start);
    const std::size_t equals = std::min(pair.find('='), pair.size() - 1);
    double value = 0.0;
    const char* last = pair.data() + pair.size();
    const auto [rest, error] = std::from_chars(pair.data() + equals + 1, last, value);
    if (error != std::errc() || rest != last) {
      return pair + " is not name=number";
    }
    if (auto problem = SetValue(pair.substr(0, equals), value, &changed); !problem.empty()) {
      return problem;
    }
    start = end + 1;
  }
  const std::lock_guard lock(mutex_);
  values_ = changed;
  return "";
}

std::string Behaviour::ToJson()
{
  const BehaviourValues values = Current();
  return fmt::format(
    "{{\"service_us\":{},\"exponential\":{},\"fail\":{},\"refuse\":{},\"stall\":{},"
    "\"cut\":{}}}\n",
    values.serviceUs,
    values.isExponential,
    values.fail,
    values.refuse,
    values.stall,
    values.cut);
}

acp::Duration RandomServiceTime(const BehaviourValues& values)
{
  const auto mean = std::chrono::microseconds(values.serviceUs);
  if (!values.isExponential || values.serviceUs == 0) {
    return mean;
  }
  std::exponential_distribution<double> factor(1.0);
  return std::chrono::duration_cast<acp::Duration>(mean * factor(Generator()));
}

bool RandomlyTrue(double probability)
{
  return probability > 0.0 && std::bernoulli_distribution(probability)(Generator());
}
