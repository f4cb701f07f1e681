#include "decisions/fleet/start_answer.h"

#include <catch2/catch.hpp>

#include "decisions/fleet/fleet_fixture.h"

namespace daisyarch::fleet {

namespace {

using std::chrono::milliseconds;

constexpr Millicores kCore{1000};

WorkerMilliseconds ClockOf(const FleetFixture& fixture) {
  return WorkerMilliseconds(ToMilliseconds(fixture.m_now.time_since_epoch()));
}

StartOrder SubmitOne(FleetFixture& fixture) {
  AddReadyWorkers(fixture, 2, kCore);
  Submit(fixture, MakePlan("job", 1, kCore));
  return TakeOrders<StartOrder>(fixture).at(0);
}

void Answer(FleetFixture& fixture, const StartOrder& start,
            WorkerMilliseconds clock) {
  ApplyStartAnswer(fixture.m_fleet, start, {StartOutcome::kStarted, clock},
                   fixture.m_now);
}

Worker& WorkerOf(FleetFixture& fixture, const StartOrder& start) {
  return *FindWorker(fixture.m_fleet, start.m_worker);
}

// Lets all other workers answer their polls.
void ReportOthers(FleetFixture& fixture, const WorkerId& silent) {
  for (const char* name : {"w0", "w1"}) {
    if (WorkerId(name) == silent) continue;
    if (!FindWorker(fixture.m_fleet, WorkerId(name))->m_is_polling) continue;
    Report(fixture, name, {}, {});
  }
}

}  // namespace

// Guards against two runs: a worker that has restarted answers a start that was
// meant for its former incarnation, and holds the longest lease for it.
TEST_CASE("An answer of a later incarnation confirms no start") {
  FleetFixture fixture;
  const StartOrder start = SubmitOne(fixture);
  const bool had_just_begun = GENERATE(false, true);
  INFO("the former incarnation had just begun: " << had_just_begun);
  if (had_just_begun) {
    WorkerOf(fixture, start).m_clock = WorkerMilliseconds(5);
    WorkerOf(fixture, start).m_clock_began_after =
        fixture.m_now - milliseconds(5);
  }
  Wait(fixture, milliseconds(100));
  Answer(fixture, start, WorkerMilliseconds(40));
  const Duration longest_lease = fixture.m_fleet.m_limits.m_longest_lease;
  const TimePoint until = fixture.m_now + longest_lease;
  while (fixture.m_now < until) {
    Wait(fixture, milliseconds(50));
    ReportOthers(fixture, start.m_worker);
    PlaceRuns(fixture.m_fleet, fixture.m_now);
    INFO("started " << ToMilliseconds(until - fixture.m_now) << " ms early");
    REQUIRE(TakeOrders<StartOrder>(fixture).empty());
  }
  CHECK(start.m_token < WorkerOf(fixture, start).m_token);
}

// Guards against a fencing token that is raised because answers on different
// connections overtake each other.
TEST_CASE("An answer that a later report has overtaken confirms its start") {
  FleetFixture fixture;
  const StartOrder start = SubmitOne(fixture);
  const WorkerMilliseconds clock = ClockOf(fixture);
  Wait(fixture, milliseconds(100));
  Report(fixture, start.m_worker.value(), {}, {});
  Wait(fixture, milliseconds(100));
  Answer(fixture, start, clock);
  CHECK(TaskOf(fixture, start.m_task).m_start_confirmation ==
        StartConfirmation::kConfirmed);
  CHECK(WorkerOf(fixture, start).m_token == start.m_token);
}

// The same, after the worker's restart is known.
TEST_CASE("A late answer of a former incarnation shows no restart") {
  FleetFixture fixture;
  const StartOrder start = SubmitOne(fixture);
  Wait(fixture, milliseconds(100));
  WorkerReport report;
  report.m_incarnation = Incarnation(2);
  report.m_clock = WorkerMilliseconds(5);
  Worker& worker = WorkerOf(fixture, start);
  ApplyReport(fixture.m_fleet, start.m_worker, worker.m_poll_number,
              worker.m_token, report, fixture.m_now);
  const FencingToken token = worker.m_token;
  REQUIRE(start.m_token < token);
  Answer(fixture, start, ClockOf(fixture));
  CHECK(worker.m_token == token);
  CHECK(TaskOf(fixture, start.m_task).m_start_confirmation ==
        StartConfirmation::kUnconfirmed);
}

}  // namespace daisyarch::fleet
