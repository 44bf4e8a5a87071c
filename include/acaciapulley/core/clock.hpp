#pragma once

/// @file
/// Clocks: monotonic time for decisions, wall-clock time for records.

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

/// Source of time. Code that makes decisions is given a Clock or a TimePoint and never reads the
/// system clock itself.
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

/// The clocks of the operating system. Monotonic time includes time in suspend, so that leases
/// expire even while the machine is suspended.
class SystemClock final : public Clock
{
public:
  [[nodiscard]] TimePoint Now() const override;
  [[nodiscard]] UnixMillis WallNow() const override;
};

/// Derives wall-clock time from the wall-clock time at construction and the monotonic time elapsed
/// since, so that steps of the wall clock do not move deadlines. Drifts from true time as the
/// monotonic clock does.
class AnchoredClock final : public Clock
{
public:
  /// @param base must outlive this object
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

/// A clock for tests that moves only when advanced.
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

  /// @brief Advances monotonic and wall-clock time by @p span.
  void Advance(Duration span);

  /// @brief Steps the wall clock only, as a time correction does; @p span may be negative.
  void StepWall(std::chrono::milliseconds span);

private:
  std::atomic<std::int64_t> nanos_;
  std::atomic<std::int64_t> wallMillis_;
  std::atomic<std::int64_t> wallRemainderNanos_;
};

} // namespace acp
