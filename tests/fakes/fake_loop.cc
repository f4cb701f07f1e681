#include "fakes/fake_loop.h"

#include <utility>

namespace daisyarch {

void RunAfter(FakeLoop& loop, Duration delay, std::function<void()> event) {
  loop.m_events.emplace(loop.m_now + delay, std::move(event));
}

void RunUntil(FakeLoop& loop, TimePoint end) {
  while (!loop.m_events.empty() && loop.m_events.begin()->first <= end) {
    auto node = loop.m_events.extract(loop.m_events.begin());
    loop.m_now = std::max(loop.m_now, node.key());
    node.mapped()();
    if (loop.m_check) loop.m_check();
  }
  loop.m_now = std::max(loop.m_now, end);
}

void RunFor(FakeLoop& loop, Duration duration) {
  RunUntil(loop, loop.m_now + duration);
}

bool RunUntilTrue(FakeLoop& loop, Duration limit,
                  const std::function<bool()>& condition) {
  constexpr Duration kStep = std::chrono::milliseconds(50);
  const TimePoint end = loop.m_now + limit;
  while (loop.m_now < end) {
    if (condition()) return true;
    RunFor(loop, kStep);
  }
  return condition();
}

Duration DelayBetween(FakeLoop& loop, Duration shortest, Duration longest) {
  const auto range = static_cast<std::uint64_t>((longest - shortest).count());
  return shortest + Duration(static_cast<Duration::rep>(
                        NextBelow(loop.m_random, range + 1)));
}

bool Chance(FakeLoop& loop, double probability) {
  return NextUnit(loop.m_random) < probability;
}

}  // namespace daisyarch
