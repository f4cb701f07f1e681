#pragma once

#include <string>
#include <variant>
#include <vector>

#include "decisions/fleet/change_batch.h"
#include "decisions/fleet/fleet.h"
#include "decisions/fleet/roster.h"

namespace daisyarch::fleet {

/// A leader's fleet with workers that the test answers for.
struct FleetFixture {
  FleetFixture();

  FleetMachines m_machines;
  Fleet m_fleet;
  TimePoint m_now = TimePoint(std::chrono::seconds(100));
};

/// Lists and stores workers "w0", "w1", ... and lets each answer its first
/// look.
void AddReadyWorkers(FleetFixture& fixture, int count, Millicores processors);

/// One step of equal tasks in the queue "batch" with three attempts.
JobPlan MakePlan(const std::string& key, std::uint32_t tasks,
                 Millicores processors);

void Submit(FleetFixture& fixture, const JobPlan& plan);

/// Moves time on and runs the fleet's timers.
void Wait(FleetFixture& fixture, Duration duration);

/// Takes the orders of one kind that wait, and drops the others.
template <typename Order>
std::vector<Order> TakeOrders(FleetFixture& fixture) {
  std::vector<Order> taken;
  for (const auto& order : fixture.m_fleet.m_orders) {
    if (const auto* one = std::get_if<Order>(&order)) taken.push_back(*one);
  }
  fixture.m_fleet.m_orders.clear();
  return taken;
}

/// Answers the worker's look that is under way with these lists.
void Report(FleetFixture& fixture, const std::string& worker,
            const std::vector<ActiveRun>& running,
            const std::vector<EndedRun>& ended);

/// Lets the worker's look that is under way fail.
void FailPoll(FleetFixture& fixture, const std::string& worker);

ActiveRun ActiveRunOf(const StartOrder& start);
EndedRun EndedRunOf(const StartOrder& start, std::uint64_t number,
                    RunOutcome end);

Task& TaskOf(FleetFixture& fixture, const TaskReference& reference);

}  // namespace daisyarch::fleet
