#pragma once

#include <chrono>

namespace daisyarch {

/// A span of time in microseconds.
using Duration = std::chrono::microseconds;

/// The monotonic clock of the process in which a time point is used.
struct LoopClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<LoopClock, Duration>;
  // The standard library requires this name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool is_steady = true;
};

/// An instant on the event loop's clock. Functions that depend on the time take
/// it as a parameter and read no clock themselves.
using TimePoint = LoopClock::time_point;

/// Returns the duration in whole milliseconds, rounded toward zero.
inline std::int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

inline Duration FromMilliseconds(std::int64_t count) {
  return std::chrono::milliseconds(count);
}

}  // namespace daisyarch
