#pragma once

/// @file
/// Time for the whole project: monotonic time for decisions, wall time for records.

#include <atomic>  // atomic
#include <chrono>  // milliseconds, nanoseconds, steady_clock
#include <cstdint> // int64_t

namespace acp {

/// Monotonic time span with nanosecond resolution.
using Duration = std::chrono::nanoseconds;

/// Monotonic instant; comparable only within one process.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Wall-clock time in milliseconds since the Unix epoch.
enum class UnixMillis : std::int64_t
{
};

/// @brief Builds a wall-clock time from milliseconds since the Unix epoch.
constexpr UnixMillis ToUnixMillis(std::int64_t millis)
{
  return static_cast<UnixMillis>(millis);
}

/// @brief Returns the milliseconds since the Unix epoch.
constexpr std::int64_t CountMillis(UnixMillis time)
{
  return static_cast<std::int64_t>(time);
}

/// Source of time. Decision code receives a clock or a TimePoint and never reads the system clock.
class Clock
{
public:
  Clock() = default;
  Clock(const Clock&) = delete;
  Clock& operator=(const Clock&) = delete;
  virtual ~Clock() = default;

  /// @brief Returns the current monotonic time.
  [[nodiscard]] virtual TimePoint Now() const = 0;

  /// @brief Returns the current wall-clock time.
  [[nodiscard]] virtual UnixMillis WallNow() const = 0;
};

/// The machine's clocks. Monotonic time goes on while the machine is suspended, so that no lease
/// outlives its time.
class SystemClock final : public Clock
{
public:
  [[nodiscard]] TimePoint Now() const override;
  [[nodiscard]] UnixMillis WallNow() const override;
};

/// Wall time that follows another clock's monotonic time from the start on, so that steps of the
/// wall clock move no deadline. Drifts from true time by what the monotonic clock drifts.
class AnchoredClock final : public Clock
{
public:
  /// @param base outlives this object
  explicit AnchoredClock(const Clock& base)
    : base_(base)
    , start_(base.Now())
    , wallStart_(base.WallNow())
  {
  }

  [[nodiscard]] TimePoint Now() const override { return base_.Now(); }
  [[nodiscard]] UnixMillis WallNow() const override
  {
    const auto elapsed = std::chrono::floor<std::chrono::milliseconds>(base_.Now() - start_);
    return ToUnixMillis(CountMillis(wallStart_) + elapsed.count());
  }

private:
  const Clock& base_;
  TimePoint start_;
  UnixMillis wallStart_;
};

/// A clock that stands still until a test advances it.
///
/// @par Example
/// @code
/// acp::ManualClock clock;
/// clock.Advance(std::chrono::seconds(5));
/// @endcode
class ManualClock final : public Clock
{
public:
  /// @param wallStart wall-clock time at construction
  explicit ManualClock(UnixMillis wallStart = ToUnixMillis(1'700'000'000'000));

  [[nodiscard]] TimePoint Now() const override;
  [[nodiscard]] UnixMillis WallNow() const override;

  /// @brief Moves monotonic and wall time forward by @p span.
  void Advance(Duration span);

  /// @brief Moves only the wall clock, as a time correction does; @p span may be negative.
  void StepWall(std::chrono::milliseconds span);

private:
  std::atomic<std::int64_t> nanos_;
  std::atomic<std::int64_t> wallMillis_;
  std::atomic<std::int64_t> wallRemainderNanos_;
};

} // namespace acp
