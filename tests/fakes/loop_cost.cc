#include "fakes/loop_cost.h"

#include <algorithm>
#include <utility>

namespace daisyarch {

namespace {

void RunTurns(FakeLoop& loop, ChargedLoop& charged) {
  while (!charged.m_is_turn_scheduled && !charged.m_waiting.empty()) {
    const Duration left = charged.m_busy_until - loop.m_now;
    if (left > Duration{}) {
      charged.m_is_turn_scheduled = true;
      return RunAfter(loop, left, [&loop, &charged] {
        charged.m_is_turn_scheduled = false;
        RunTurns(loop, charged);
      });
    }
    const auto event = charged.m_waiting.extract(charged.m_waiting.begin());
    Charge(loop, charged, &LoopCosts::m_turn);
    event.mapped()();
  }
}

}  // namespace

LoopCosts Scale(const LoopCosts& costs, double factor) {
  const auto scaled = [factor](Duration cost) {
    return std::chrono::duration_cast<Duration>(cost * factor);
  };
  return {scaled(costs.m_turn),           scaled(costs.m_tick),
          scaled(costs.m_order),          scaled(costs.m_placed_run),
          scaled(costs.m_answer),         scaled(costs.m_report),
          scaled(costs.m_listed_end),     scaled(costs.m_store_call),
          scaled(costs.m_message),        scaled(costs.m_relayed_order),
          scaled(costs.m_relayed_outcome)};
}

void Charge(const FakeLoop& loop, ChargedLoop& charged,
            Duration LoopCosts::*cost, std::size_t count) {
  const Duration time =
      charged.m_costs.*cost * static_cast<Duration::rep>(count);
  if (time == Duration{}) return;
  charged.m_busy_until = TimeAt(loop, charged) + time;
  charged.m_busy_time += time;
}

TimePoint TimeAt(const FakeLoop& loop, const ChargedLoop& charged) {
  return std::max(loop.m_now, charged.m_busy_until);
}

void HandleInTurn(FakeLoop& loop, ChargedLoop& charged, TimePoint due,
                  std::function<void()> event) {
  charged.m_waiting.emplace(due, std::move(event));
  RunTurns(loop, charged);
}

void RunWhenDone(FakeLoop& loop, const ChargedLoop& charged,
                 std::function<void()> event) {
  const Duration left = charged.m_busy_until - loop.m_now;
  if (left <= Duration{}) return event();
  RunAfter(loop, left, std::move(event));
}

}  // namespace daisyarch
