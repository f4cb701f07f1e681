#pragma once

#include <cstdint>
#include <functional>
#include <map>

#include "base/random.h"
#include "base/time.h"

namespace daisyarch {

/// An event loop in virtual time. Events run in the order of their due times;
/// events due at the same time run in the order in which they were added.
struct FakeLoop {
  explicit FakeLoop(std::uint64_t seed) : m_random{seed} {}

  TimePoint m_now = TimePoint(std::chrono::seconds(1000));
  std::multimap<TimePoint, std::function<void()>> m_events;
  Random m_random;
  std::function<void()> m_check;  ///< Runs after each event.
};

/// Schedules an event `delay` after the current virtual time.
void RunAfter(FakeLoop& loop, Duration delay, std::function<void()> event);

/// Runs every event that is due by `end` and sets the clock to `end`.
void RunUntil(FakeLoop& loop, TimePoint end);
void RunFor(FakeLoop& loop, Duration duration);

/// Runs until the condition holds, which is checked every 50 ms of virtual
/// time. Returns false if it still does not hold after `limit`.
bool RunUntilTrue(FakeLoop& loop, Duration limit,
                  const std::function<bool()>& condition);

/// Returns a random delay, uniformly distributed from `shortest` to `longest`.
Duration DelayBetween(FakeLoop& loop, Duration shortest, Duration longest);

/// Returns true with the given probability.
bool Chance(FakeLoop& loop, double probability);

}  // namespace daisyarch
