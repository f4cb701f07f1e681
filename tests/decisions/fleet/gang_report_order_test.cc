#include <catch2/catch.hpp>

#include "decisions/fleet/fleet_fixture.h"

namespace daisyarch::fleet {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Millicores kCore{1000};
// Runs of the leader before, in the order in which it started them.
const RunNumber kLowerRun{5};
const RunNumber kStoredRun{6};
const TaskReference kFirst{JobKey("job"), 0, 0, 0};
const TaskReference kSecond{JobKey("job"), 0, 0, 1};

TaskProgress RowOf(const TaskReference& task, RunNumber run) {
  TaskProgress row;
  row.m_index = task.m_index;
  row.m_run = run;
  return row;
}

EndedRun EndOf(const TaskReference& task, RunNumber run, RunOutcome outcome) {
  EndedRun end;
  end.m_number = OutcomeNumber(1);
  end.m_task = task;
  end.m_run = run;
  end.m_outcome = outcome;
  return end;
}

ActiveRun ActiveOf(const TaskReference& task, RunNumber run) {
  ActiveRun active;
  active.m_task = task;
  active.m_run = run;
  return active;
}

// Adds a gang of two with its stored rows, and three workers.
void Load(FleetFixture& fixture, std::uint32_t attempts,
          const std::vector<TaskProgress>& rows) {
  fixture.m_fleet.m_queues.begin()->second.m_maximum_attempts = attempts;
  JobPlan plan = MakePlan("job", 2, kCore);
  plan.m_steps.front().m_is_gang = true;
  JobProgress stored;
  stored.m_state = JobState::kRunning;
  stored.m_tasks = rows;
  AddJob(fixture.m_fleet, plan, stored, fixture.m_now);
  AddReadyWorkers(fixture, 3, kCore);
  Wait(fixture, milliseconds(10));
}

std::vector<StartOrder> Place(FleetFixture& fixture) {
  fixture.m_fleet.m_orders.clear();
  fixture.m_fleet.m_needs_placement = true;
  fixture.m_now += milliseconds(60);
  PlaceRuns(fixture.m_fleet, fixture.m_now);
  return TakeOrders<StartOrder>(fixture);
}

}  // namespace

// Guards against two runs of a member: whether its active run is adopted or
// only told to stop depended on whether the end of another member came first.
TEST_CASE("A gang waits for its active members in each order of reports") {
  FleetFixture fixture;
  bool is_in_row = false;
  bool is_reported_first = false;
  SECTION("the active member is reported first") {}
  SECTION("the failed member is reported first") { is_reported_first = true; }
  SECTION("the failure is in the failed member's row") { is_in_row = true; }
  TaskProgress first = RowOf(kFirst, kStoredRun);
  if (is_in_row) first.m_failed_runs = {kStoredRun};
  Load(fixture, 3, {first, RowOf(kSecond, kStoredRun)});
  const EndedRun failure = EndOf(kFirst, kStoredRun, RunOutcome::kFailed);
  if (is_reported_first) Report(fixture, "w0", {}, {failure});
  Report(fixture, "w1", {ActiveOf(kSecond, kStoredRun)}, {});
  if (!is_reported_first) Report(fixture, "w0", {}, {failure});
  // The worker has not told that the run has ended.
  CHECK(Place(fixture).empty());
}

// Guards against a start beyond the allowed attempts: a failure of an earlier
// run counted for the member alone that had failed.
TEST_CASE("A late failure of an earlier run counts for all of its gang") {
  FleetFixture fixture;
  Load(fixture, 2, {RowOf(kFirst, kStoredRun), RowOf(kSecond, kStoredRun)});
  Report(fixture, "w0", {}, {EndOf(kFirst, kLowerRun, RunOutcome::kFailed)});
  CHECK(TaskOf(fixture, kSecond).m_failed_runs.size() == 1);
  const auto starts = Place(fixture);
  REQUIRE(starts.size() == 2);
  for (const StartOrder& start : starts) {
    ApplyStartOutcome(fixture.m_fleet, start, StartOutcome::kStarted,
                      fixture.m_now);
  }
  Wait(fixture, milliseconds(400));
  for (const StartOrder& start : starts) {
    Report(fixture, start.m_worker.value(), {},
           {EndedRunOf(start, 2,
                       start.m_task == kSecond ? RunOutcome::kFailed
                                               : RunOutcome::kBroken)});
  }
  Wait(fixture, seconds(10));
  CHECK(Place(fixture).empty());
}

// Guards against an attempt that is acknowledged before it is stored: the
// member's start took effect late and failed while its task still settled.
TEST_CASE("A gang's failure is stored while its member still settles") {
  FleetFixture fixture;
  Load(fixture, 3, {});
  const auto starts = Place(fixture);
  REQUIRE(starts.size() == 2);
  for (const StartOrder& start : starts) {
    ApplyStartOutcome(fixture.m_fleet, start, StartOutcome::kUnanswered,
                      fixture.m_now);
  }
  Wait(fixture, milliseconds(10));
  const std::string worker = starts.front().m_worker.value();
  Report(fixture, worker, {},
         {EndedRunOf(starts.front(), 1, RunOutcome::kStopped)});
  REQUIRE(TaskOf(fixture, kFirst).m_state == RunState::kSettling);
  ApplyStoredBatch(fixture.m_fleet, TakeChanges(fixture.m_fleet));
  Wait(fixture, milliseconds(400));
  Report(fixture, worker, {},
         {EndedRunOf(starts.front(), 2, RunOutcome::kFailed)});
  REQUIRE(TaskOf(fixture, kFirst).m_failed_runs.size() == 1);
  CHECK(fixture.m_fleet.m_changed_jobs.count(kFirst.m_job) == 1);
  CHECK(FindWorker(fixture.m_fleet, starts.front().m_worker)->m_stored_end <
        OutcomeNumber(2));
}

}  // namespace daisyarch::fleet
