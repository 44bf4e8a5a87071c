#include "acaciapulley/node/detail/run_time_recorder.hpp"

#include <charconv> // from_chars
#include <utility>  // exchange, move

#include "acaciapulley/core/log.hpp"            // Log
#include "acaciapulley/node/detail/headers.hpp" // kWorkFactorHeader

namespace acp::detail {

namespace {

constexpr double kPercent = 100;
// A class makes nested calls if it has made one within this time.
constexpr Duration kNestedCallLifetime = std::chrono::seconds(60);
constexpr std::size_t kMaxNestedClasses = 256;

} // namespace

RunStart RunTimeRecorder::BeginRun()
{
  const std::lock_guard lock(mutex_);
  return table_.BeginRun(options_.clock->Now());
}

void RunTimeRecorder::RecordResponse(const UpstreamResponse& response,
                                     const RunStart& start,
                                     const HttpHeaders& headers)
{
  const auto factor = headers.Find(kWorkFactorHeader);
  const std::lock_guard lock(mutex_);
  const TimePoint now = options_.clock->Now();
  if (start.at < resetAt_) {
    return;
  }
  if (factor) {
    RecordWorkFactor(*factor, now);
  }
  UpdateUse(response.service);
  if (response.hasRun) {
    const Duration usual = table_.FinishRun(response.requestClass, start, now);
    if (isInUse_) {
      knee_.OnFinish(
        { .requestClass = response.requestClass,
          .usualTime = usual,
          .workFactor = table_.FactorAt(now),
          .makesNestedCalls = MakesNestedCalls(response.service + "/" + response.requestClass, now),
          .wasFull = response.wasFull },
        now);
    }
  }
  if (UpdateUsableLimit()) {
    // Called under the lock, so that an earlier limit does not replace a later one.
    options_.onUsableLimit(usableLimit_);
  }
}

bool RunTimeRecorder::UpdateUsableLimit()
{
  const std::optional<int> limit = isInUse_ ? std::optional(knee_.Limit()) : std::nullopt;
  return std::exchange(usableLimit_, limit) != limit;
}

bool RunTimeRecorder::MakesNestedCalls(const std::string& requestClass, TimePoint now) const
{
  // A call whose class is not known may have come from any class.
  for (const std::string& name : { requestClass, std::string() }) {
    const auto found = nestedCallsAt_.find(name);
    if (found != nestedCallsAt_.end() && now - found->second <= kNestedCallLifetime) {
      return true;
    }
  }
  return false;
}

void RunTimeRecorder::RecordNestedCall(const std::string& requestClass)
{
  const std::lock_guard lock(mutex_);
  const TimePoint now = options_.clock->Now();
  if (nestedCallsAt_.size() >= kMaxNestedClasses) {
    std::erase_if(nestedCallsAt_,
                  [now](const auto& item) { return now - item.second > kNestedCallLifetime; });
  }
  nestedCallsAt_[requestClass] = now;
}

void RunTimeRecorder::SetSlots(int slots)
{
  const std::lock_guard lock(mutex_);
  if (slots != slots_) {
    slots_ = slots;
    knee_.SetSlots(slots, options_.clock->Now());
  }
}

void RunTimeRecorder::RecordWorkFactor(const std::string& text, TimePoint now)
{
  if (const auto problem = FromName<WorkFactorProblem>(text)) {
    ++ignored_[*problem];
    return;
  }
  int percent = 0;
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, percent);
  if (error != std::errc() || rest != end) {
    ++ignored_[WorkFactorProblem::Number];
  } else if (percent < 1 || percent > kMaxWorkPercent) {
    ++ignored_[WorkFactorProblem::Range];
  } else {
    table_.RecordFactor(percent / kPercent, now);
    reportsFactor_ = true;
  }
}

void RunTimeRecorder::UpdateUse(const std::string& service)
{
  const auto placement = options_.placementOf(service);
  const bool isInUse = placement ? *placement == Placement::Learned : reportsFactor_;
  if (isInUse == isInUse_) {
    return;
  }
  isInUse_ = isInUse;
  Log(LogLevel::Info,
      "learned_placement",
      { { "service", service },
        { "in_use", isInUse ? "true" : "false" },
        { "because", placement ? "fleet_document" : "work_factor" } });
}

std::optional<ReportedRunTime> RunTimeRecorder::ReportOf(const std::string& requestClass) const
{
  const std::lock_guard lock(mutex_);
  if (!isInUse_) {
    return std::nullopt;
  }
  const auto estimate = table_.PresentRunTime(requestClass, options_.clock->Now());
  if (!estimate) {
    return std::nullopt;
  }
  return ReportedRunTime{ .runTime = estimate->runTime,
                          .age = estimate->age,
                          .instance = instance_ };
}

void RunTimeRecorder::Reset()
{
  const std::lock_guard lock(mutex_);
  table_.Reset();
  knee_.SetSlots(slots_, options_.clock->Now());
  reportsFactor_ = false;
  ++instance_;
  resetAt_ = options_.clock->Now();
}

RunTimeStats RunTimeRecorder::Stats() const
{
  const std::lock_guard lock(mutex_);
  const TimePoint now = options_.clock->Now();
  return { .isInUse = isInUse_,
           .runTimes = table_.PresentRunTimes(now),
           .workFactor = table_.FactorAt(now),
           .ignored = ignored_ };
}

LoadSample ToLoadSample(const std::string& requestClass,
                        const LoadReport& load,
                        const std::optional<ReportedRunTime>& reported)
{
  LoadSample sample{ .inFlight = static_cast<double>(load.inFlight),
                     .limit = static_cast<double>(load.limit),
                     .queueAge = std::chrono::milliseconds(load.queueAgeMs) };
  if (reported) {
    sample.runTime =
      RunTimeReport{ .requestClass = requestClass,
                     .seconds = std::chrono::duration<double>(reported->runTime).count(),
                     .age = reported->age,
                     .instance = reported->instance };
  }
  return sample;
}

} // namespace acp::detail
