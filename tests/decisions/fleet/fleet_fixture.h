#pragma once

#include <string>
#include <variant>
#include <vector>

#include "decisions/fleet/change_batch.h"
#include "decisions/fleet/fleet.h"
#include "decisions/fleet/roster.h"

namespace daisyarch::fleet {

/// A leader's fleet whose workers' answers the test supplies.
struct FleetFixture {
  FleetFixture();

  FleetStateMachines m_state_machines;
  Fleet m_fleet;
  TimePoint m_now = TimePoint(std::chrono::seconds(100));
};

/// Lists workers "w0", "w1", ..., lets each answer its first poll and stores
/// them in the roster.
void AddReadyWorkers(FleetFixture& fixture, int count, Millicores processors);

/// Returns a job with one step of equal tasks in the queue "batch", whose tasks
/// have three attempts.
JobPlan MakePlan(const std::string& key, std::uint32_t tasks,
                 Millicores processors);

/// Adds the job after 60 ms and places its tasks.
void Submit(FleetFixture& fixture, const JobPlan& plan);

/// Advances the time and runs the fleet's timers.
void Wait(FleetFixture& fixture, Duration duration);

/// Returns the waiting orders of one kind and discards all orders.
template <typename Order>
std::vector<Order> TakeOrders(FleetFixture& fixture) {
  std::vector<Order> taken;
  for (const auto& order : fixture.m_fleet.m_orders) {
    if (const auto* one = std::get_if<Order>(&order)) taken.push_back(*one);
  }
  fixture.m_fleet.m_orders.clear();
  return taken;
}

/// Answers the worker's latest poll with these runs.
void Report(FleetFixture& fixture, const std::string& worker,
            const std::vector<ActiveRun>& running,
            const std::vector<EndedRun>& ended);

/// Fails the worker's latest poll.
void FailPoll(FleetFixture& fixture, const std::string& worker,
              PollFailure failure = PollFailure::kUnanswered);

/// Returns the worker's report of the run as active.
ActiveRun ActiveRunOf(const StartOrder& start);
/// Returns the worker's report of the run as ended.
EndedRun EndedRunOf(const StartOrder& start, std::uint64_t number,
                    RunOutcome outcome);

Task& TaskOf(FleetFixture& fixture, const TaskReference& reference);

}  // namespace daisyarch::fleet
