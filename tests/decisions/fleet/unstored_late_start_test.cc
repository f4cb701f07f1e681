#include <catch2/catch.hpp>

#include "decisions/fleet/fleet_fixture.h"

namespace daisyarch::fleet {

namespace {

using std::chrono::milliseconds;
constexpr Millicores kCore{1000};

}  // namespace

// Guards against a next leader that moves a task or acknowledges its end while
// an order may start it late: the order was sent again, and the run was listed
// before that order had timed out.
TEST_CASE("An unanswered order is stored although its run is active") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 1, kCore);
  Submit(fixture, MakePlan("job", 1, kCore));
  const auto first = TakeOrders<StartOrder>(fixture);
  REQUIRE(first.size() == 1);
  ApplyStartOutcome(fixture.m_fleet, first[0], StartOutcome::kUnanswered,
                    fixture.m_now);
  Wait(fixture, milliseconds(10));
  Report(fixture, "w0", {}, {});
  fixture.m_fleet.m_orders.clear();
  Wait(fixture, milliseconds(500));
  PlaceRuns(fixture.m_fleet, fixture.m_now);
  const auto second = TakeOrders<StartOrder>(fixture);
  REQUIRE(second.size() == 1);
  Wait(fixture, milliseconds(10));
  Report(fixture, "w0", {ActiveRunOf(second[0])}, {});
  REQUIRE(TaskOf(fixture, first[0].m_task).m_state == RunState::kRunning);
  ApplyStoredBatch(fixture.m_fleet, TakeChanges(fixture.m_fleet));
  const TimePoint before = TaskOf(fixture, first[0].m_task).m_late_start_until;
  ApplyStartOutcome(fixture.m_fleet, second[0], StartOutcome::kUnanswered,
                    fixture.m_now);
  REQUIRE(TaskOf(fixture, first[0].m_task).m_late_start_until > before);
  CHECK(TakeChanges(fixture.m_fleet).m_changes.size() == 1);
}

// Guards against the same if the worker restarts while the order has no answer.
TEST_CASE("A pending order is stored once its worker has restarted") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 1, kCore);
  Submit(fixture, MakePlan("job", 1, kCore));
  const auto first = TakeOrders<StartOrder>(fixture);
  REQUIRE(first.size() == 1);
  ApplyStoredBatch(fixture.m_fleet, TakeChanges(fixture.m_fleet));
  ListedWorker entry = FindWorker(fixture.m_fleet, WorkerId("w0"))->m_listing;
  entry.m_incarnation = Incarnation(2);
  ApplyListingChanges(fixture.m_fleet, {{WorkerId("w0"), entry}}, fixture.m_now,
                      fixture.m_now);
  REQUIRE(TaskOf(fixture, first[0].m_task).m_late_start_until > fixture.m_now);
  CHECK(TakeChanges(fixture.m_fleet).m_changes.size() == 1);
}

// Guards against an end that the next leader acknowledges while an order may
// still start its task: only the state of an ended job was stored.
TEST_CASE("A late start of a job that has ended is stored") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 1, kCore);
  Submit(fixture, MakePlan("job", 1, kCore));
  const auto starts = TakeOrders<StartOrder>(fixture);
  REQUIRE(starts.size() == 1);
  ApplyStartOutcome(fixture.m_fleet, starts[0], StartOutcome::kUnanswered,
                    fixture.m_now);
  Wait(fixture, milliseconds(10));
  Report(fixture, "w0", {}, {EndedRunOf(starts[0], 1, RunOutcome::kDone)});
  const ChangeBatch stored = TakeChanges(fixture.m_fleet);
  REQUIRE(stored.m_changes.size() == 1);
  REQUIRE(stored.m_changes.front().m_has_ended);
  const auto& rows = stored.m_changes.front().m_progress.m_tasks;
  REQUIRE(rows.size() == 1);
  CHECK(rows.front().m_late_start_worker == WorkerId("w0"));
}

}  // namespace daisyarch::fleet
