#include <catch2/catch.hpp>

#include "decisions/fleet/fleet_fixture.h"

namespace daisyarch::fleet {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Millicores kCore{1000};
// A run that the leader before has started.
const RunNumber kInheritedRun{6};
const TaskReference kFirst{JobKey("job"), 0, 0, 0};
const TaskReference kSecond{JobKey("job"), 0, 0, 1};

// Returns a job whose first step is a gang of two, and whose second waits for
// it.
JobPlan MakeGangPlan() {
  JobPlan plan = MakePlan("job", 2, kCore);
  StepPlan second = plan.m_steps.front();
  plan.m_steps.front().m_is_gang = true;
  second.m_task_count = 1;
  second.m_after = {0};
  plan.m_steps.push_back(second);
  return plan;
}

// Adds the job with its stored progress, and workers that run nothing.
void Load(FleetFixture& fixture, const JobProgress& progress) {
  AddJob(fixture.m_fleet, MakeGangPlan(), progress, fixture.m_now);
  AddReadyWorkers(fixture, 3, kCore);
  Wait(fixture, milliseconds(10));
}

// Returns what the next leader loads once the changes are stored.
JobProgress Store(FleetFixture& fixture) {
  const ChangeBatch batch = TakeChanges(fixture.m_fleet);
  REQUIRE(batch.m_changes.size() == 1);
  ApplyStoredBatch(fixture.m_fleet, batch);
  return batch.m_changes.front().m_progress;
}

EndedRun EndOf(const TaskReference& task, RunNumber run, std::uint64_t number,
               RunOutcome outcome) {
  EndedRun end;
  end.m_number = OutcomeNumber(number);
  end.m_task = task;
  end.m_run = run;
  end.m_outcome = outcome;
  return end;
}

TaskProgress RowOf(const TaskReference& task) {
  TaskProgress row;
  row.m_step_run = task.m_step;
  row.m_index = task.m_index;
  row.m_run = kInheritedRun;
  return row;
}

// Places the waiting tasks and returns their starts.
std::vector<StartOrder> Place(FleetFixture& fixture) {
  fixture.m_fleet.m_orders.clear();
  fixture.m_now += milliseconds(60);
  PlaceRuns(fixture.m_fleet, fixture.m_now);
  return TakeOrders<StartOrder>(fixture);
}

// Starts the gang and reports that the member's run has failed.
void FailNextRun(FleetFixture& fixture, const TaskReference& member,
                 std::uint64_t number) {
  const auto starts = Place(fixture);
  REQUIRE(starts.size() == 2);
  const StartOrder& failing = starts[member.m_index];
  for (const StartOrder& start : starts) {
    ApplyStartOutcome(fixture.m_fleet, start, StartOutcome::kStarted,
                      fixture.m_now);
  }
  Wait(fixture, milliseconds(400));
  for (const StartOrder& start : starts) {
    const RunOutcome outcome = start.m_task == failing.m_task
                                   ? RunOutcome::kFailed
                                   : RunOutcome::kBroken;
    Report(fixture, start.m_worker.value(), {},
           {EndedRunOf(start, number, outcome)});
  }
}

}  // namespace

// Guards against a gang that can never be placed again: the next leader loaded
// as waiting the members that were done with another, whose start it knew.
TEST_CASE("A gang that is done through one member is done for later leaders") {
  FleetFixture fixture;
  Load(fixture, {});
  Report(fixture, "w0", {},
         {EndOf(kFirst, kInheritedRun, 1, RunOutcome::kDone)});
  REQUIRE(TaskOf(fixture, kSecond).m_state == RunState::kDone);
  const JobProgress stored = Store(fixture);
  FleetFixture next;
  Load(next, stored);
  CHECK(TaskOf(next, kFirst).m_state == RunState::kDone);
  CHECK(TaskOf(next, kSecond).m_state == RunState::kDone);
  CHECK(Place(next).size() == 1);
}

// Guards against the same if the members' rows are in two items, of which the
// leader before stored one.
TEST_CASE("A gang is done if the row of one member is") {
  FleetFixture fixture;
  JobProgress stored;
  stored.m_state = JobState::kRunning;
  stored.m_tasks = {RowOf(kSecond), RowOf(kFirst)};
  SECTION("after a row of another member") {
    stored.m_tasks.back().m_is_done = true;
  }
  SECTION("before a row of another member") {
    stored.m_tasks.front().m_is_done = true;
  }
  Load(fixture, stored);
  CHECK(TaskOf(fixture, kFirst).m_state == RunState::kDone);
  CHECK(TaskOf(fixture, kSecond).m_state == RunState::kDone);
  const auto starts = Place(fixture);
  REQUIRE(starts.size() == 1);
  CHECK(starts.front().m_task.m_step == 1);
}

// Guards against a start beyond the allowed attempts: a failed run was stored
// with the row of the member alone whose start was known.
TEST_CASE("A gang's failed run counts for all members for later leaders") {
  FleetFixture fixture;
  Load(fixture, {});
  Report(fixture, "w0", {},
         {EndOf(kFirst, kInheritedRun, 1, RunOutcome::kFailed)});
  FleetFixture next;
  Load(next, Store(fixture));
  CHECK(TaskOf(next, kSecond).m_failed_runs.size() == 1);
  FailNextRun(next, kSecond, 1);
  FailNextRun(next, kSecond, 2);
  CHECK(TaskOf(next, kSecond).m_state == RunState::kFailed);
  Wait(next, seconds(10));
  CHECK(Place(next).empty());
}

// Guards against the same if the end is known already when it is reported: the
// leader before stored it in the item of one member.
TEST_CASE("A gang's failed run counts for all if it is in one member's row") {
  FleetFixture fixture;
  JobProgress stored;
  stored.m_state = JobState::kRunning;
  stored.m_tasks = {RowOf(kFirst), RowOf(kSecond)};
  stored.m_tasks.front().m_failed_runs = {kInheritedRun};
  Load(fixture, stored);
  Report(fixture, "w0", {},
         {EndOf(kFirst, kInheritedRun, 1, RunOutcome::kFailed)});
  FailNextRun(fixture, kSecond, 1);
  FailNextRun(fixture, kSecond, 2);
  CHECK(TaskOf(fixture, kSecond).m_state == RunState::kFailed);
  Wait(fixture, seconds(10));
  CHECK(Place(fixture).empty());
}

// Guards against a start beyond the allowed attempts: the failure of an earlier
// run counted for the member alone that reported it.
TEST_CASE("A late failure of a gang's earlier run counts for all members") {
  FleetFixture fixture;
  JobProgress stored;
  stored.m_state = JobState::kRunning;
  stored.m_tasks = {RowOf(kFirst), RowOf(kSecond)};
  Load(fixture, stored);
  const auto starts = Place(fixture);
  REQUIRE(starts.size() == 2);
  for (const StartOrder& start : starts) {
    ApplyStartOutcome(fixture.m_fleet, start, StartOutcome::kStarted,
                      fixture.m_now);
  }
  Wait(fixture, milliseconds(10));
  Report(fixture, "w2", {},
         {EndOf(kFirst, kInheritedRun, 1, RunOutcome::kFailed)});
  CHECK(TaskOf(fixture, kFirst).m_failed_runs.size() == 1);
  CHECK(TaskOf(fixture, kSecond).m_failed_runs.size() == 1);
}

// Guards against a failed run that is acknowledged before it is stored: its
// task stays in the same state, as a start may still be carried out late.
TEST_CASE("A gang's failed run is stored also if its task goes on settling") {
  FleetFixture fixture;
  constexpr std::int64_t kUnixMs = 1'700'000'000'000;
  SetTime(fixture.m_fleet, fixture.m_now, kUnixMs);
  JobProgress stored;
  stored.m_state = JobState::kRunning;
  stored.m_tasks = {RowOf(kFirst), RowOf(kSecond)};
  stored.m_tasks.front().m_late_start_until_unix_ms = kUnixMs + 8000;
  stored.m_tasks.front().m_late_start_worker = WorkerId("w0");
  Load(fixture, stored);
  Report(fixture, "w0", {},
         {EndOf(kFirst, kInheritedRun, 1, RunOutcome::kStopped)});
  REQUIRE(TaskOf(fixture, kFirst).m_state == RunState::kSettling);
  ApplyStoredBatch(fixture.m_fleet, TakeChanges(fixture.m_fleet));
  Wait(fixture, milliseconds(400));
  Report(fixture, "w0", {},
         {EndOf(kFirst, kInheritedRun, 1, RunOutcome::kStopped),
          EndOf(kFirst, kInheritedRun, 2, RunOutcome::kFailed)});
  REQUIRE(TaskOf(fixture, kFirst).m_failed_runs.size() == 1);
  const Worker& worker = *FindWorker(fixture.m_fleet, WorkerId("w0"));
  CHECK(worker.m_stored_end == OutcomeNumber(1));
  CHECK(TakeChanges(fixture.m_fleet).m_changes.size() == 1);
}

}  // namespace daisyarch::fleet
