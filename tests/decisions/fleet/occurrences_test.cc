#include "decisions/fleet/occurrences.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <ctime>
#include <set>

#include "decisions/fleet/fleet_fixture.h"
#include "fakes/heap_meter.h"

namespace daisyarch::fleet {

namespace {

constexpr Millicores kCore{1000};
constexpr std::size_t kMegabyte = 1024UL * 1024;
// A node has 260 MB for the process and all jobs.
constexpr std::size_t kMaximumBytesPerJob = kMegabyte / 2;
constexpr std::uint32_t kManyTimes = 200000;

// The fixture's time of day is always 0.
JobPlan MakeTimedPlan(const std::string& key, std::uint32_t times,
                      std::int64_t first_due_unix_ms) {
  JobPlan plan = MakePlan(key, 1, kCore);
  plan.m_is_timed = true;
  plan.m_occurrences = times;
  plan.m_first_due_unix_ms = first_due_unix_ms;
  return plan;
}

std::size_t BytesOf(FleetFixture& fixture, const JobPlan& plan) {
  const std::size_t before = LiveHeapBytes();
  AddJob(fixture.m_fleet, plan, {}, fixture.m_now);
  for (int tick = 0; tick < 1000; ++tick) {
    Wait(fixture, std::chrono::milliseconds(10));
  }
  return LiveHeapBytes() - before;
}

// Confirms all starts, and reports their runs as done, until nothing starts.
// Returns the number of starts of each task.
std::map<TaskReference, int> RunToEnd(FleetFixture& fixture) {
  std::map<TaskReference, int> starts;
  std::map<std::string, std::uint64_t> ends;
  for (int idle = 0; idle < 100;) {
    // Each tick releases some occurrences, until too many have begun.
    for (int tick = 0; tick < 10; ++tick) {
      Wait(fixture, std::chrono::milliseconds(30));
    }
    PlaceRuns(fixture.m_fleet, fixture.m_now);
    const auto orders = TakeOrders<StartOrder>(fixture);
    idle = orders.empty() ? idle + 1 : 0;
    std::map<std::string, std::vector<EndedRun>> ended;
    for (const StartOrder& start : orders) {
      ++starts[start.m_task];
      ApplyStartOutcome(fixture.m_fleet, start, StartOutcome::kStarted,
                        fixture.m_now);
      const std::string& worker = start.m_worker.value();
      ended[worker].push_back(
          EndedRunOf(start, ++ends[worker], RunOutcome::kDone));
    }
    Wait(fixture, std::chrono::milliseconds(300));
    for (const auto& [worker, runs] : ended) Report(fixture, worker, {}, runs);
    ApplyStoredBatch(fixture.m_fleet, TakeChanges(fixture.m_fleet));
    // The ends are acknowledged, so there is room for others.
    Wait(fixture, std::chrono::milliseconds(300));
    for (const auto& entry : ended) Report(fixture, entry.first, {}, {});
    fixture.m_fleet.m_orders.clear();
  }
  return starts;
}

}  // namespace

// Guards against jobs of a few bytes that take every leader over its memory:
// the tasks of all occurrences were made when a job was loaded.
TEST_CASE("A timed job takes no memory for occurrences that are not due") {
  FleetFixture fixture;
  constexpr std::int64_t kNextHourMs = 3600000;
  for (const std::int64_t interval_ms : {std::int64_t{0}, kNextHourMs}) {
    JobPlan plan = MakeTimedPlan("job" + std::to_string(interval_ms),
                                 kManyTimes, kNextHourMs);
    plan.m_interval_ms = interval_ms;
    CHECK(BytesOf(fixture, plan) < kMaximumBytesPerJob);
  }
}

// Guards against the same by occurrences that are all due at once, and by steps
// of many tasks.
TEST_CASE("A job takes no memory for tasks that wait") {
  FleetFixture fixture;
  CHECK(BytesOf(fixture, MakePlan("wide", kManyTimes, kCore)) <
        kMaximumBytesPerJob);
  CHECK(BytesOf(fixture, MakeTimedPlan("due", kManyTimes, 0)) < 2 * kMegabyte);
  // All of them share a limit, beyond which each has one occurrence.
  const std::size_t before = LiveHeapBytes();
  constexpr int kJobs = 500;
  for (int job = 0; job < kJobs; ++job) {
    AddJob(fixture.m_fleet,
           MakeTimedPlan("due" + std::to_string(job), kManyTimes, 0), {},
           fixture.m_now);
  }
  for (int tick = 0; tick < 1000; ++tick) {
    Wait(fixture, std::chrono::milliseconds(10));
  }
  CHECK(LiveHeapBytes() - before < 20 * kMegabyte);
  CHECK(fixture.m_fleet.m_waiting_reserved.m_groups.size() == 1);
  for (int job = 0; job < kJobs; ++job) {
    CHECK(FindJob(fixture.m_fleet, JobKey("due" + std::to_string(job)))
              ->m_queued_steps > 0);
  }
}

// Guards against occurrences that are held back for good, or run twice.
TEST_CASE("Each of many occurrences that are due at once runs once") {
  FleetFixture fixture;
  // Room for some and for all of the occurrences that may have begun.
  AddReadyWorkers(fixture, GENERATE(8, 32), kCore * 4000);
  fixture.m_fleet.m_limits.m_starts_per_pass = 40000;
  constexpr std::uint32_t kTimes = 12000;
  const std::size_t before = LiveHeapBytes();
  AddJob(fixture.m_fleet, MakeTimedPlan("first", kTimes, -1000), {},
         fixture.m_now);
  AddJob(fixture.m_fleet, MakeTimedPlan("second", kTimes, -1000), {},
         fixture.m_now);
  const auto starts = RunToEnd(fixture);
  CHECK(starts.size() == 2 * kTimes);
  for (const auto& [task, count] : starts) {
    if (count != 1) FAIL("a task was started " << count << " times");
  }
  CHECK(fixture.m_fleet.m_jobs.empty());
  CHECK(fixture.m_fleet.m_pending_occurrences.empty());
  CHECK(fixture.m_fleet.m_begun_step_runs == 0);
  CHECK(LiveHeapBytes() - before < 20 * kMegabyte);
}

TEST_CASE("A step of many tasks runs each of them once") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 8, kCore * 400);
  fixture.m_fleet.m_limits.m_starts_per_pass = 2000;
  constexpr std::uint32_t kTasks = 10000;
  AddJob(fixture.m_fleet, MakePlan("wide", kTasks, kCore), {}, fixture.m_now);
  const auto starts = RunToEnd(fixture);
  CHECK(starts.size() == kTasks);
  for (const auto& [task, count] : starts) {
    if (count != 1) FAIL("a task was started " << count << " times");
  }
  CHECK(fixture.m_fleet.m_jobs.empty());
}

// Guards against a next leader that runs occurrences again, or leaves some out
// whose neighbours are done.
TEST_CASE("The next leader runs the occurrences that are not done") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 8, kCore * 400);
  fixture.m_fleet.m_limits.m_starts_per_pass = 2000;
  constexpr std::uint32_t kTimes = 9000;
  JobProgress stored;
  stored.m_state = JobState::kRunning;
  std::set<std::uint32_t> done;
  for (std::uint32_t occurrence = 0; occurrence < kTimes; ++occurrence) {
    if (occurrence % 3 == 0) continue;
    TaskProgress row;
    row.m_step_run = occurrence;
    row.m_run = RunNumber(1);
    row.m_is_done = occurrence % 3 == 1;
    if (row.m_is_done) done.insert(occurrence);
    stored.m_tasks.push_back(row);
  }
  AddJob(fixture.m_fleet, MakeTimedPlan("job", kTimes, -1000), stored,
         fixture.m_now);
  const auto starts = RunToEnd(fixture);
  CHECK(starts.size() == kTimes - done.size());
  for (const auto& [task, count] : starts) {
    if (count != 1 || done.count(task.m_occurrence) > 0) {
      FAIL("occurrence " << task.m_occurrence << " was started " << count
                         << " times");
    }
  }
  CHECK(fixture.m_fleet.m_jobs.empty());
}

// Guards against a run that an earlier leader started and that this one stops,
// as it holds the occurrence back, or whose occurrence never goes on.
TEST_CASE("A run of an occurrence that has not begun is adopted") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 1, kCore);
  JobPlan plan = MakeTimedPlan("job", 3, -1000);
  StepPlan next = plan.m_steps.front();
  next.m_after = {0};
  plan.m_steps.push_back(next);
  plan.m_interval_ms = 1000000;
  AddJob(fixture.m_fleet, plan, {}, fixture.m_now);
  MarkInherited(fixture.m_fleet, *FindJob(fixture.m_fleet, JobKey("job")));
  Wait(fixture, std::chrono::milliseconds(300));
  StartOrder earlier;
  earlier.m_task = {JobKey("job"), 1, 0, 0};
  earlier.m_run = RunNumber(1);
  Report(fixture, "w0", {ActiveRunOf(earlier)}, {});
  CHECK(TaskOf(fixture, earlier.m_task).m_state == RunState::kRunning);
  Wait(fixture, std::chrono::milliseconds(300));
  Report(fixture, "w0", {}, {EndedRunOf(earlier, 1, RunOutcome::kDone)});
  CHECK(StepRunAt(*FindJob(fixture.m_fleet, JobKey("job")), 3).m_is_released);
}

// Guards against a leader whose claim expires in one turn of its loop: each
// waiting step walked over all steps and their predecessors.
TEST_CASE("Jobs of many steps and occurrences keep each turn short") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 8, kCore * 4);
  JobPlan plan = MakeTimedPlan("job", 400, -10000);
  constexpr std::uint32_t kFirstSteps = 250;
  constexpr std::uint32_t kLaterSteps = 200;
  plan.m_steps.front().m_demand.m_processors = Millicores(10);
  plan.m_steps.resize(kFirstSteps, plan.m_steps.front());
  StepPlan later = plan.m_steps.front();
  for (std::uint32_t step = 0; step < kFirstSteps; ++step) {
    later.m_after.push_back(step);
  }
  plan.m_steps.resize(kFirstSteps + kLaterSteps, later);
  std::clock_t longest = 0;
  const auto measure = [&longest](const auto& turn) {
    const std::clock_t before = std::clock();
    turn();
    longest = std::max(longest, std::clock() - before);
  };
  for (const char* key : {"job0", "job1"}) {
    plan.m_key = JobKey(key);
    measure([&] { AddJob(fixture.m_fleet, plan, {}, fixture.m_now); });
  }
  AddJob(fixture.m_fleet, MakePlan("plain", 1, kCore), {}, fixture.m_now);
  std::map<std::string, std::uint64_t> ends;
  bool has_plain_started = false;
  for (int turn = 0; turn < 60; ++turn) {
    measure([&] { Wait(fixture, std::chrono::milliseconds(300)); });
    measure([&] { PlaceRuns(fixture.m_fleet, fixture.m_now); });
    for (const StartOrder& start : TakeOrders<StartOrder>(fixture)) {
      if (start.m_task.m_job == JobKey("plain")) has_plain_started = true;
      ApplyStartOutcome(fixture.m_fleet, start, StartOutcome::kStarted,
                        fixture.m_now);
      const std::string& worker = start.m_worker.value();
      Wait(fixture, std::chrono::milliseconds(1));
      measure([&] {
        Report(fixture, worker, {},
               {EndedRunOf(start, ++ends[worker], RunOutcome::kDone)});
      });
    }
    ApplyStoredBatch(fixture.m_fleet, TakeChanges(fixture.m_fleet));
    fixture.m_fleet.m_orders.clear();
  }
  CHECK(has_plain_started);
  // Less than the claim has left when it is renewed.
  CHECK(longest < CLOCKS_PER_SEC);
}

// Guards against steps that are released twice or never, however a plan names
// its predecessors.
TEST_CASE("A step is released once all steps that it names are done") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 1, kCore * 10);
  JobPlan plan = MakePlan("job", 2, kCore);
  plan.m_steps.resize(4, plan.m_steps.front());
  plan.m_steps[1].m_is_gang = true;
  plan.m_steps[2].m_after = {0, 1, 1, 0};
  plan.m_steps[3].m_after = {2};
  AddJob(fixture.m_fleet, plan, {}, fixture.m_now);
  const StepGraph graph = MakeStepGraph(plan);
  CHECK(graph.m_remaining_paths ==
        std::vector<Duration>{std::chrono::seconds(3), std::chrono::seconds(3),
                              std::chrono::seconds(2),
                              std::chrono::seconds(1)});
  CHECK(CriticalPath(graph) == std::chrono::seconds(3));
  const auto starts = RunToEnd(fixture);
  CHECK(starts.size() == 8);
  CHECK(fixture.m_fleet.m_jobs.empty());
}

TEST_CASE("A set of occurrences joins its ranges") {
  OccurrenceSet set;
  for (const std::uint32_t occurrence : {5U, 1U, 3U, 2U, 2U, 9U}) {
    Insert(set, occurrence);
  }
  CHECK(set.m_ranges ==
        std::map<std::uint32_t, std::uint32_t>{{1, 4}, {5, 6}, {9, 10}});
  CHECK_FALSE(Contains(set, 0));
  CHECK(Contains(set, 3));
  CHECK_FALSE(Contains(set, 4));
  CHECK(NextOutside(set, 1) == 4);
  CHECK(NextOutside(set, 4) == 4);
  Insert(set, 4);
  CHECK(set.m_ranges ==
        std::map<std::uint32_t, std::uint32_t>{{1, 6}, {9, 10}});
}

}  // namespace daisyarch::fleet
