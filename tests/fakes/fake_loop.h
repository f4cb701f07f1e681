#pragma once

#include <cstdint>
#include <functional>
#include <map>

#include "base/random.h"
#include "base/time.h"

namespace daisyarch {

/// A loop in virtual time: events run in the order of their times.
struct FakeLoop {
  explicit FakeLoop(std::uint64_t seed) : m_random{seed} {}

  TimePoint m_now = TimePoint(std::chrono::seconds(1000));
  std::multimap<TimePoint, std::function<void()>> m_events;
  Random m_random;
  std::function<void()> m_check;  ///< Runs after each event.
};

void RunAfter(FakeLoop& loop, Duration delay, std::function<void()> event);

/// Runs every event up to `end` and sets the clock to it.
void RunUntil(FakeLoop& loop, TimePoint end);
void RunFor(FakeLoop& loop, Duration duration);

/// Runs until the condition holds; false when it does not within `limit`.
bool RunUntilTrue(FakeLoop& loop, Duration limit,
                  const std::function<bool()>& condition);

/// A delay between the two.
Duration DelayBetween(FakeLoop& loop, Duration shortest, Duration longest);

/// True with the given probability.
bool Chance(FakeLoop& loop, double probability);

}  // namespace daisyarch
