#include "decisions/fleet/job_progress.h"

#include <catch2/catch.hpp>
#include <set>
#include <utility>
#include <vector>

#include "decisions/fleet/fleet_fixture.h"
#include "decisions/fleet/occurrences.h"

namespace daisyarch::fleet {

namespace {

const Millicores kCore(1000);

// 5 occurrences of steps with 100, 1 and 150 tasks.
JobPlan MakeLargePlan() {
  JobPlan plan = MakePlan("job", 100, kCore);
  StepPlan step = plan.m_steps.front();
  step.m_task_count = 1;
  plan.m_steps.push_back(step);
  step.m_task_count = 150;
  plan.m_steps.push_back(step);
  plan.m_occurrences = 5;
  return plan;
}

Job& AddLargeJob(FleetFixture& fixture, const JobProgress& progress) {
  AddJob(fixture.m_fleet, MakeLargePlan(), progress, fixture.m_now);
  return *FindJob(fixture.m_fleet, JobKey("job"));
}

void StartAllTasks(Job& job) {
  for (std::uint32_t number = 0; number < job.m_plan.m_occurrences; ++number) {
    for (StepRun& step_run : BeginOccurrence(job, number).m_steps) {
      for (std::size_t index = 0; index < step_run.m_tasks.size(); ++index) {
        step_run.m_tasks[index].m_run = RunNumber(1);
      }
    }
  }
}

}  // namespace

TEST_CASE("The parts of a job's progress hold each of its tasks once") {
  FleetFixture fixture;
  Job& job = AddLargeJob(fixture, {});
  StartAllTasks(job);
  std::set<std::pair<std::uint32_t, std::uint32_t>> seen;
  for (std::uint64_t number = 0; number < 10; ++number) {
    const ProgressPart part(number);
    const JobProgress progress = ProgressOf(job, part, 0);
    CHECK(progress.m_tasks.size() <= kTasksPerPart);
    for (const TaskProgress& task : progress.m_tasks) {
      CHECK(PartOf(job, task.m_step_run, task.m_index) == part);
      CHECK(seen.emplace(task.m_step_run, task.m_index).second);
    }
  }
  CHECK(seen.size() == 5U * 251);
}

TEST_CASE("Only the changed parts of a job are taken for storing") {
  FleetFixture fixture;
  Job& job = AddLargeJob(fixture, {});
  StartAllTasks(job);
  job.m_has_started = true;
  const TaskReference last{JobKey("job"), 4, 2, 149};
  MarkTaskChanged(fixture.m_fleet, job, last);
  ChangeBatch batch = TakeChanges(fixture.m_fleet);
  // The state has changed as well, and is stored last.
  REQUIRE(batch.m_changes.size() == 2);
  CHECK(batch.m_changes.front().m_part == PartOf(job, 14, 149));
  CHECK(batch.m_changes.back().m_part == ProgressPart());
  CHECK(batch.m_changes.back().m_progress.m_state == JobState::kRunning);
  ApplyStoredBatch(fixture.m_fleet, batch);
  MarkTaskChanged(fixture.m_fleet, job, last);
  batch = TakeChanges(fixture.m_fleet);
  REQUIRE(batch.m_changes.size() == 1);
  CHECK(batch.m_changes.front().m_part == PartOf(job, 14, 149));
}

// Guards against a leader that spends its time on progress that has not
// changed: each change of a task encoded the rows of all tasks of its part
// anew.
TEST_CASE("Each change of a task takes one row for storing") {
  constexpr std::uint32_t kTasks = 100;
  // One when all tasks are first taken, and one when the task ends.
  constexpr std::size_t kRowsPerTask = 2;
  FleetFixture fixture;
  AddReadyWorkers(fixture, 1, Millicores(1000 * kTasks));
  fixture.m_fleet.m_limits.m_starts_per_pass = 2 * kTasks;
  Submit(fixture, MakePlan("job", kTasks, kCore));
  const auto starts = TakeOrders<StartOrder>(fixture);
  REQUIRE(starts.size() == kTasks);
  for (const StartOrder& start : starts) {
    ApplyStartOutcome(fixture.m_fleet, start, StartOutcome::kStarted,
                      fixture.m_now);
  }
  std::vector<ActiveRun> running;
  for (const StartOrder& start : starts) running.push_back(ActiveRunOf(start));
  std::size_t rows = 0;
  for (std::uint32_t ends = 1; ends <= kTasks; ++ends) {
    running.pop_back();
    Report(fixture, "w0", running,
           {EndedRunOf(starts[kTasks - ends], ends, RunOutcome::kDone)});
    const ChangeBatch batch = TakeChanges(fixture.m_fleet);
    for (const JobChange& change : batch.m_changes) {
      rows += change.m_progress.m_tasks.size();
    }
    ApplyStoredBatch(fixture.m_fleet, batch);
    Wait(fixture, std::chrono::milliseconds(10));
  }
  CHECK(FindJob(fixture.m_fleet, JobKey("job")) == nullptr);
  CHECK(rows <= kRowsPerTask * kTasks);
}

// Guards against a failed run that only the next change of its task stores.
TEST_CASE("The failed run of a gang is taken with the row of each member") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 2, kCore);
  JobPlan plan = MakePlan("job", 2, kCore);
  plan.m_steps.front().m_is_gang = true;
  Submit(fixture, plan);
  const auto starts = TakeOrders<StartOrder>(fixture);
  REQUIRE(starts.size() == 2);
  Job& job = *FindJob(fixture.m_fleet, JobKey("job"));
  MarkChanged(fixture.m_fleet, job);
  ApplyStoredBatch(fixture.m_fleet, TakeChanges(fixture.m_fleet));
  Wait(fixture, std::chrono::milliseconds(10));
  Report(fixture, starts[0].m_worker.value(), {},
         {EndedRunOf(starts[0], 1, RunOutcome::kFailed)});
  const ChangeBatch batch = TakeChanges(fixture.m_fleet);
  REQUIRE(batch.m_changes.size() == 1);
  REQUIRE(batch.m_changes.front().m_progress.m_tasks.size() == 2);
  for (const TaskProgress& row : batch.m_changes.front().m_progress.m_tasks) {
    CHECK(row.m_failed_runs == std::vector<RunNumber>{starts[0].m_run});
  }
}

// Guards against the loss of progress that an earlier version stored in one
// item, when that item is next written.
TEST_CASE("Progress that was stored in one item is divided into parts") {
  FleetFixture fixture;
  JobProgress stored;
  stored.m_state = JobState::kRunning;
  for (std::uint32_t index = 0; index < 150; ++index) {
    TaskProgress task;
    task.m_step_run = 5;
    task.m_index = index;
    task.m_run = RunNumber(1);
    task.m_is_done = true;
    stored.m_tasks.push_back(task);
    // A part may have been written already.
    if (index == 149) stored.m_tasks.push_back(task);
  }
  Job& job = AddLargeJob(fixture, stored);
  CHECK(StepRunAt(job, 5).m_done == 150);
  MarkChanged(fixture.m_fleet, job);
  const ChangeBatch batch = TakeChanges(fixture.m_fleet);
  REQUIRE(batch.m_changes.size() == 3);
  std::size_t tasks = 0;
  for (const JobChange& change : batch.m_changes) {
    tasks += change.m_progress.m_tasks.size();
  }
  CHECK(tasks == 150);
  CHECK(batch.m_changes.back().m_part == ProgressPart());
  CHECK(batch.m_changes.back().m_moves_rows);
  MarkChanged(fixture.m_fleet, job);
  CHECK_FALSE(TakeChanges(fixture.m_fleet).m_changes.back().m_moves_rows);
}

TEST_CASE("The longest checkpoints are left out of progress that is too long") {
  JobProgress progress;
  for (const std::size_t length : {10, 1000, 20, 500}) {
    progress.m_tasks.emplace_back();
    progress.m_tasks.back().m_checkpoint = std::string(length, 'c');
  }
  CHECK(RemoveLongCheckpoints(progress, 2000) == 0);
  CHECK(RemoveLongCheckpoints(progress, 100) == 2);
  CHECK(progress.m_tasks[0].m_checkpoint.size() == 10);
  CHECK(progress.m_tasks[1].m_checkpoint.empty());
  CHECK(progress.m_tasks[2].m_checkpoint.size() == 20);
  CHECK(progress.m_tasks[3].m_checkpoint.empty());
}

}  // namespace daisyarch::fleet
