#include "acaciapulley/admission/load_report.hpp"

#include <algorithm> // clamp, min
#include <array>     // array
#include <charconv>  // from_chars
#include <cmath>     // floor, lround
#include <span>      // span

#include <fmt/format.h> // format

namespace acp {

namespace {

constexpr int kShareUnit = 10'000;
constexpr std::size_t kMaxDigits = 9;
constexpr std::int64_t kMaxNumber = 999'999'999;
constexpr std::size_t kFractionDigits = 3;
constexpr int kMicrosPerMilli = 1'000;

struct NumberField
{
  std::string_view name;
  int* value;
};

bool ReadNumber(std::string_view text, int* value)
{
  if (text.empty() || text.size() > kMaxDigits || (text.size() > 1 && text.front() == '0')) {
    return false;
  }
  if (text.find_first_not_of("0123456789") != std::string_view::npos) {
    return false;
  }
  return std::from_chars(text.data(), text.data() + text.size(), *value).ec == std::errc();
}

// Parses exactly the given fields in this order, separated by semicolons.
bool ReadFields(std::string_view text, std::span<const NumberField> fields)
{
  for (std::size_t i = 0; i < fields.size(); ++i) {
    const std::size_t end = text.find(';');
    const bool isLast = i + 1 == fields.size();
    if (isLast != (end == std::string_view::npos)) {
      return false;
    }
    const std::string_view part = text.substr(0, end);
    const std::size_t equals = part.find('=');
    if (equals == std::string_view::npos || part.substr(0, equals) != fields[i].name ||
        !ReadNumber(part.substr(equals + 1), fields[i].value)) {
      return false;
    }
    text.remove_prefix(isLast ? text.size() : end + 1);
  }
  return true;
}

} // namespace

AdmissionThreshold AdmissionThreshold::FromLevel(double level)
{
  const double clamped = std::clamp(level, 0.0, static_cast<double>(kPriorityCount));
  const int priority = std::min(static_cast<int>(std::floor(clamped)), kPriorityCount - 1);
  return { .priority = priority, .share = clamped - priority };
}

double AdmissionThreshold::ShareOf(int requestPriority) const
{
  if (requestPriority == priority) {
    return share;
  }
  return requestPriority < priority ? 1.0 : 0.0;
}

AdmissionThreshold Stricter(const AdmissionThreshold& left, const AdmissionThreshold& right)
{
  return left.Level() <= right.Level() ? left : right;
}

std::string FormatLoad(const LoadReport& load)
{
  return fmt::format(
    "in-flight={};limit={};queue-ms={}", load.inFlight, load.limit, load.queueAgeMs);
}

AdmissionResult<LoadReport> ParseLoad(std::string_view text)
{
  LoadReport load;
  const std::array<NumberField, 3> fields = {
    { { "in-flight", &load.inFlight }, { "limit", &load.limit }, { "queue-ms", &load.queueAgeMs } }
  };
  if (!ReadFields(text, fields)) {
    return Fail(AdmissionErrorCode::MalformedLoad,
                "not of the form in-flight=N;limit=N;queue-ms=N");
  }
  return load;
}

std::string FormatRunTime(const ReportedRunTime& reported)
{
  using std::chrono::microseconds;
  using std::chrono::milliseconds;
  const auto micros = std::clamp<std::int64_t>(
    std::chrono::ceil<microseconds>(reported.runTime).count(), 1, kMaxNumber);
  const auto age =
    std::clamp<std::int64_t>(std::chrono::ceil<milliseconds>(reported.age).count(), 0, kMaxNumber);
  return fmt::format("run-ms={}.{:03};age-ms={};instance={}",
                     micros / kMicrosPerMilli,
                     micros % kMicrosPerMilli,
                     age,
                     reported.instance);
}

AdmissionResult<ReportedRunTime> ParseRunTime(std::string_view text)
{
  const auto invalid = [] {
    return Fail(AdmissionErrorCode::MalformedLoad,
                "not of the form run-ms=N.NNN;age-ms=N;instance=N");
  };
  const std::size_t point = text.find('.');
  const std::size_t end = text.find(';');
  if (point == std::string_view::npos || end != point + 1 + kFractionDigits) {
    return invalid();
  }
  // The fraction may have leading zeros, which numbers may not.
  std::string_view fraction = text.substr(point + 1, kFractionDigits);
  while (fraction.size() > 1 && fraction.front() == '0') {
    fraction.remove_prefix(1);
  }
  int millis = 0;
  int micros = 0;
  int age = 0;
  int instance = 0;
  const std::array<NumberField, 1> run = { { { "run-ms", &millis } } };
  const std::array<NumberField, 2> rest = { { { "age-ms", &age }, { "instance", &instance } } };
  const bool isValid = ReadFields(text.substr(0, point), run) && ReadNumber(fraction, &micros) &&
                       ReadFields(text.substr(end + 1), rest);
  if (!isValid || (millis == 0 && micros == 0)) {
    return invalid();
  }
  return ReportedRunTime{ .runTime =
                            std::chrono::milliseconds(millis) + std::chrono::microseconds(micros),
                          .age = std::chrono::milliseconds(age),
                          .instance = instance };
}

std::string FormatThreshold(const AdmissionThreshold& threshold)
{
  const long share = std::lround(std::clamp(threshold.share, 0.0, 1.0) * kShareUnit);
  return fmt::format("priority={};share={}", threshold.priority, share);
}

AdmissionResult<AdmissionThreshold> ParseThreshold(std::string_view text)
{
  AdmissionThreshold threshold;
  int share = 0;
  const std::array<NumberField, 2> fields = { { { "priority", &threshold.priority },
                                                { "share", &share } } };
  if (!ReadFields(text, fields) || threshold.priority >= kPriorityCount || share > kShareUnit) {
    return Fail(AdmissionErrorCode::MalformedThreshold,
                "not of the form priority=0..9;share=0..10000");
  }
  threshold.share = static_cast<double>(share) / kShareUnit;
  return threshold;
}

} // namespace acp
