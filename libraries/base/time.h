#pragma once

#include <chrono>

namespace daisyarch {

/// A span of time in microseconds.
using Duration = std::chrono::microseconds;

/// The monotonic clock of the process that holds the time point.
struct LoopClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<LoopClock, Duration>;
  // The standard library asks for this name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool is_steady = true;
};

/// An instant on the loop's clock; always passed in, never read inside.
using TimePoint = LoopClock::time_point;

/// The duration in whole milliseconds, rounded towards zero.
inline std::int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

inline Duration FromMilliseconds(std::int64_t count) {
  return std::chrono::milliseconds(count);
}

}  // namespace daisyarch
