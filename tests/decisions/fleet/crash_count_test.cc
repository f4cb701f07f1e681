#include "decisions/fleet/crash_count.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "decisions/fleet/fleet_fixture.h"
#include "decisions/fleet/isolation.h"

namespace daisyarch::fleet {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Millicores kCore{1000};
constexpr Duration kPollInterval = milliseconds(100);
constexpr Duration kLongRun = seconds(2);

std::vector<StartOrder> Place(FleetFixture& fixture) {
  fixture.m_now += milliseconds(60);
  PlaceRuns(fixture.m_fleet, fixture.m_now);
  auto starts = TakeOrders<StartOrder>(fixture);
  for (const StartOrder& start : starts) {
    ApplyStartOutcome(fixture.m_fleet, start, StartOutcome::kStarted,
                      fixture.m_now);
  }
  return starts;
}

StartOrder PlaceOne(FleetFixture& fixture) {
  const auto starts = Place(fixture);
  REQUIRE(starts.size() == 1);
  return starts.front();
}

std::vector<StartOrder> SubmitAndPlace(FleetFixture& fixture,
                                       const JobPlan& plan) {
  AddJob(fixture.m_fleet, plan, {}, fixture.m_now);
  return Place(fixture);
}

// Fails polls of the workers until their leases have expired.
void Lose(FleetFixture& fixture, const std::vector<std::string>& workers,
          PollFailure failure) {
  for (int poll = 0; poll < 60; ++poll) {
    Wait(fixture, kPollInterval);
    for (const std::string& worker : workers) {
      FailPoll(fixture, worker, failure);
    }
  }
}

void Lose(FleetFixture& fixture, const std::string& worker,
          PollFailure failure) {
  Lose(fixture, std::vector<std::string>{worker}, failure);
}

void Lose(FleetFixture& fixture, const WorkerId& worker, PollFailure failure) {
  Lose(fixture, worker.value(), failure);
}

JobProgress ProgressWithCrashes(std::uint64_t crashes) {
  JobProgress progress;
  progress.m_state = JobState::kRunning;
  TaskProgress stored;
  for (std::uint64_t run = 1; run <= crashes; ++run) {
    stored.m_crashed_runs.emplace_back(run);
  }
  stored.m_run = RunNumber(crashes);
  progress.m_tasks.push_back(stored);
  return progress;
}

// Loses the worker of the start and, at the same time, an idle one: that with
// the number or the next.
void LoseBoth(FleetFixture& fixture, const StartOrder& start, int idle) {
  std::string other = "w" + std::to_string(idle);
  if (start.m_worker == WorkerId(other)) other = "w" + std::to_string(idle + 1);
  Lose(fixture, {start.m_worker.value(), other}, PollFailure::kClosed);
}

std::size_t CrashesOf(FleetFixture& fixture, const TaskReference& reference) {
  return TaskOf(fixture, reference).m_crashed_runs.size();
}

JobState StateOf(FleetFixture& fixture, const std::string& job) {
  return FindJob(fixture.m_fleet, JobKey(job))->m_state;
}

}  // namespace

// Guards against a task that crashes worker after worker without end.
TEST_CASE("A task under which four workers have crashed is given up") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 5, kCore);
  AddJob(fixture.m_fleet, MakePlan("job", 1, kCore), {}, fixture.m_now);
  for (int crash = 0; crash < 4; ++crash) {
    Lose(fixture, PlaceOne(fixture).m_worker, PollFailure::kClosed);
  }
  CHECK(StateOf(fixture, "job") == JobState::kFailed);
  CHECK(HasEnded(*FindJob(fixture.m_fleet, JobKey("job"))));
  CHECK(Place(fixture).empty());
}

TEST_CASE("A service task under which four workers have crashed is given up") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 5, kCore);
  JobPlan plan = MakePlan("job", 1, kCore);
  plan.m_steps.front().m_kind = StepKind::kService;
  AddJob(fixture.m_fleet, plan, {}, fixture.m_now);
  for (int crash = 0; crash < 4; ++crash) {
    Lose(fixture, PlaceOne(fixture).m_worker, PollFailure::kClosed);
  }
  CHECK(StateOf(fixture, "job") == JobState::kFailed);
  CHECK(Place(fixture).empty());
}

TEST_CASE("A gang of which a member crashes four workers is given up") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 8, kCore);
  JobPlan plan = MakePlan("job", 2, kCore);
  plan.m_steps.front().m_is_gang = true;
  AddJob(fixture.m_fleet, plan, {}, fixture.m_now);
  for (int crash = 0; crash < 4; ++crash) {
    INFO("crash " << crash);
    const auto starts = Place(fixture);
    REQUIRE(starts.size() == 2);
    const StartOrder& other = starts[1];
    Lose(fixture, starts[0].m_worker, PollFailure::kClosed);
    Report(fixture, other.m_worker.value(), {},
           {EndedRunOf(other, 1, RunOutcome::kStopped)});
  }
  CHECK(StateOf(fixture, "job") == JobState::kFailed);
}

// Guards against counts that start anew with each leader.
TEST_CASE("Counted crashes outlive the leader") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 2, kCore);
  AddJob(fixture.m_fleet, MakePlan("job", 1, kCore), {}, fixture.m_now);
  const StartOrder start = PlaceOne(fixture);
  TakeChanges(fixture.m_fleet);
  Wait(fixture, kPollInterval);
  FailPoll(fixture, start.m_worker.value(), PollFailure::kClosed);
  Wait(fixture, kPollInterval);
  FailPoll(fixture, start.m_worker.value(), PollFailure::kClosed);
  // The count is stored before the lease has expired and the task starts again.
  const ChangeBatch batch = TakeChanges(fixture.m_fleet);
  REQUIRE(batch.m_changes.size() == 1);
  const JobProgress& progress = batch.m_changes.front().m_progress;
  REQUIRE(progress.m_tasks.size() == 1);
  CHECK(progress.m_tasks.front().m_crashed_runs ==
        std::vector<RunNumber>{start.m_run});
  FleetFixture next;
  AddReadyWorkers(next, 3, kCore);
  AddJob(next.m_fleet, MakePlan("job", 1, kCore), progress, next.m_now);
  Lose(next, PlaceOne(next).m_worker, PollFailure::kClosed);
  Lose(next, PlaceOne(next).m_worker, PollFailure::kClosed);
  CHECK(StateOf(next, "job") == JobState::kFailed);
}

TEST_CASE("A job whose task had crashed too often is loaded as failed") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 2, kCore);
  AddJob(fixture.m_fleet, MakePlan("job", 2, kCore), ProgressWithCrashes(3),
         fixture.m_now);
  CHECK(Place(fixture).empty());
  CHECK(StateOf(fixture, "job") == JobState::kFailed);
}

TEST_CASE("A task that ran beside a crashing one is not given up") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 6, kCore * 4);
  AddJob(fixture.m_fleet, MakePlan("crashing", 1, kCore), {}, fixture.m_now);
  AddJob(fixture.m_fleet, MakePlan("innocent", 1, kCore), {}, fixture.m_now);
  for (int crash = 0; crash < 2; ++crash) {
    const auto starts = Place(fixture);
    REQUIRE(starts.size() == 2);
    REQUIRE(starts[0].m_worker == starts[1].m_worker);
    Lose(fixture, starts[0].m_worker, PollFailure::kClosed);
  }
  // One worker is held at a time, and the tasks never meet again.
  for (int round = 0; round < 3; ++round) {
    const StartOrder start = PlaceOne(fixture);
    if (start.m_task.m_job == JobKey("crashing")) {
      Lose(fixture, start.m_worker, PollFailure::kClosed);
      continue;
    }
    Wait(fixture, kLongRun);
    Report(fixture, start.m_worker.value(), {ActiveRunOf(start)}, {});
  }
  CHECK(StateOf(fixture, "crashing") == JobState::kFailed);
  CHECK(StateOf(fixture, "innocent") == JobState::kRunning);
}

TEST_CASE("A run that the worker has survived for a while is not counted") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 1, kCore);
  AddJob(fixture.m_fleet, MakePlan("job", 1, kCore), {}, fixture.m_now);
  const StartOrder start = PlaceOne(fixture);
  Wait(fixture, kLongRun);
  Report(fixture, "w0", {ActiveRunOf(start)}, {});
  Lose(fixture, "w0", PollFailure::kClosed);
  CHECK(CrashesOf(fixture, start.m_task) == 0);
}

TEST_CASE("A worker lost for another reason has not crashed") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 1, kCore);
  AddJob(fixture.m_fleet, MakePlan("job", 1, kCore), {}, fixture.m_now);
  const StartOrder start = PlaceOne(fixture);
  SECTION("a cut") { Lose(fixture, "w0", PollFailure::kUnanswered); }
  SECTION("a loss of power, after which its host refuses connections") {
    for (int poll = 0; poll < 2; ++poll) {
      Wait(fixture, kPollInterval);
      FailPoll(fixture, "w0", PollFailure::kUnanswered);
    }
    Lose(fixture, "w0", PollFailure::kClosed);
  }
  SECTION("a shutdown") {
    Worker& leaving = fixture.m_fleet.m_workers.at(WorkerId("w0"));
    leaving.m_listing.m_is_leaving = true;
    UpdateWorkerIndex(fixture.m_fleet, leaving);
    Lose(fixture, "w0", PollFailure::kClosed);
  }
  SECTION("a reset of one connection") {
    Wait(fixture, kPollInterval);
    FailPoll(fixture, "w0", PollFailure::kClosed);
    Wait(fixture, kPollInterval);
    Report(fixture, "w0", {ActiveRunOf(start)}, {});
  }
  SECTION("a cut that closes connections") {
    Wait(fixture, kPollInterval);
    FailPoll(fixture, "w0", PollFailure::kClosed);
    Wait(fixture, kPollInterval);
    FailPoll(fixture, "w0", PollFailure::kClosed);
    CHECK(CrashesOf(fixture, start.m_task) == 1);
    Wait(fixture, kPollInterval);
    Report(fixture, "w0", {ActiveRunOf(start)}, {});
  }
  CHECK(CrashesOf(fixture, start.m_task) == 0);
}

TEST_CASE("A crash after a lost answer is counted") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 1, kCore);
  AddJob(fixture.m_fleet, MakePlan("job", 1, kCore), {}, fixture.m_now);
  const StartOrder start = PlaceOne(fixture);
  Wait(fixture, kPollInterval);
  FailPoll(fixture, "w0", PollFailure::kUnanswered);
  Lose(fixture, "w0", PollFailure::kClosed);
  CHECK(CrashesOf(fixture, start.m_task) == 1);
}

TEST_CASE("A worker that restarts after a closed poll has crashed") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 1, kCore);
  AddJob(fixture.m_fleet, MakePlan("job", 1, kCore), {}, fixture.m_now);
  const StartOrder start = PlaceOne(fixture);
  Wait(fixture, kPollInterval);
  FailPoll(fixture, "w0", PollFailure::kClosed);
  Worker& worker = fixture.m_fleet.m_workers.at(WorkerId("w0"));
  UpdateIncarnation(fixture.m_fleet, worker, Incarnation(2), fixture.m_now);
  CHECK(CrashesOf(fixture, start.m_task) == 1);
}

TEST_CASE("Nothing starts beside an isolated task until it is proven") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 2, kCore * 4);
  SubmitAndPlace(fixture, MakePlan("running", 2, kCore));
  AddJob(fixture.m_fleet, MakePlan("isolated", 1, kCore),
         ProgressWithCrashes(2), fixture.m_now);
  const StartOrder isolated = PlaceOne(fixture);
  CHECK(isolated.m_worker == WorkerId("w1"));
  CHECK(SubmitAndPlace(fixture, MakePlan("later", 4, kCore)).size() == 2);
  Wait(fixture, kLongRun);
  Report(fixture, "w1", {ActiveRunOf(isolated)}, {});
  CHECK(Place(fixture).size() == 2);
}

// Guards against isolated tasks that never start because new tasks take all
// room, and against ones that start beside runs that may crash the worker.
TEST_CASE("An isolated task starts soon on a busy fleet") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 1, kCore * 4);
  auto running = SubmitAndPlace(fixture, MakePlan("running", 4, kCore));
  REQUIRE(running.size() == 4);
  SubmitAndPlace(fixture, MakePlan("waiting", 100, kCore));
  AddJob(fixture.m_fleet, MakePlan("isolated", 1, kCore),
         ProgressWithCrashes(2), fixture.m_now);
  std::uint64_t ended = 0;
  for (int round = 0; round < 6; ++round) {
    Wait(fixture, milliseconds(500));
    const StartOrder first = running.front();
    running.erase(running.begin());
    std::vector<ActiveRun> active;
    for (const StartOrder& run : running) active.push_back(ActiveRunOf(run));
    Report(fixture, "w0", active,
           {EndedRunOf(first, ++ended, RunOutcome::kDone)});
    for (const StartOrder& start : Place(fixture)) running.push_back(start);
    if (running.back().m_task.m_job == JobKey("isolated")) break;
  }
  REQUIRE(running.back().m_task.m_job == JobKey("isolated"));
  const Worker& worker = fixture.m_fleet.m_workers.at(WorkerId("w0"));
  CHECK(FindUnprovenRuns(fixture.m_fleet, worker).size() == 1);
}

TEST_CASE("A mass loss of workers is not counted under isolated tasks") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 8, kCore);
  AddJob(fixture.m_fleet, MakePlan("job", 1, kCore), ProgressWithCrashes(2),
         fixture.m_now);
  const StartOrder start = PlaceOne(fixture);
  for (int poll = 0; poll < 60; ++poll) {
    Wait(fixture, kPollInterval);
    for (int number = 0; number < 6; ++number) {
      FailPoll(fixture, "w" + std::to_string(number), PollFailure::kClosed);
    }
  }
  CHECK(CrashesOf(fixture, start.m_task) == 2);
  CHECK(StateOf(fixture, "job") == JobState::kRunning);
}

// Guards against a job that is given up without cause: an earlier leader had
// counted a crash and ended before the worker reported the run.
TEST_CASE("A crash that an earlier leader counted is taken back") {
  FleetFixture fixture;
  fixture.m_fleet.m_term = Term(2);
  AddReadyWorkers(fixture, 1, kCore);
  fixture.m_now += seconds(11);
  Wait(fixture, milliseconds(10));
  AddJob(fixture.m_fleet, MakePlan("job", 1, kCore), ProgressWithCrashes(1),
         fixture.m_now);
  StartOrder start;
  start.m_task.m_job = JobKey("job");
  start.m_run = RunNumber(1);
  Report(fixture, "w0", {ActiveRunOf(start)}, {});
  REQUIRE(TaskOf(fixture, start.m_task).m_state == RunState::kRunning);
  CHECK(CrashesOf(fixture, start.m_task) == 0);
}

// Guards against tasks that are started without end because their workers crash
// at the same time, which was taken for a mass loss.
TEST_CASE("Tasks that crash their workers at the same time are given up") {
  FleetFixture fixture;
  constexpr int kTasks = 8;
  AddReadyWorkers(fixture, 64, kCore);
  for (int number = 0; number < kTasks; ++number) {
    AddJob(fixture.m_fleet, MakePlan("job" + std::to_string(number), 1, kCore),
           {}, fixture.m_now);
  }
  for (int crash = 0; crash < 4; ++crash) {
    INFO("crash " << crash);
    std::vector<std::string> workers;
    for (const StartOrder& start : Place(fixture)) {
      workers.push_back(start.m_worker.value());
    }
    REQUIRE(workers.size() == kTasks);
    Lose(fixture, workers, PollFailure::kClosed);
  }
  for (int number = 0; number < kTasks; ++number) {
    CHECK(StateOf(fixture, "job" + std::to_string(number)) ==
          JobState::kFailed);
  }
  CHECK(Place(fixture).empty());
}

// Guards against a task that is started without end because each time another
// worker crashes beside its own.
TEST_CASE("A task is given up after five crashes in any doubt") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 30, kCore);
  AddJob(fixture.m_fleet, MakePlan("job", 1, kCore), {}, fixture.m_now);
  for (int crash = 0; crash < 5; ++crash) {
    INFO("crash " << crash);
    CHECK(StateOf(fixture, "job") != JobState::kFailed);
    LoseBoth(fixture, PlaceOne(fixture), 20 + 2 * crash);
  }
  CHECK(StateOf(fixture, "job") == JobState::kFailed);
  CHECK(Place(fixture).empty());
}

// Guards against doubtful crashes that start anew with each leader.
TEST_CASE("A crash in doubt outlives the leader") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 30, kCore);
  AddJob(fixture.m_fleet, MakePlan("job", 1, kCore), ProgressWithCrashes(2),
         fixture.m_now);
  LoseBoth(fixture, PlaceOne(fixture), 20);
  CHECK(StateOf(fixture, "job") == JobState::kRunning);
  const ChangeBatch batch = TakeChanges(fixture.m_fleet);
  REQUIRE(batch.m_changes.size() == 1);
  const JobProgress& progress = batch.m_changes.front().m_progress;
  REQUIRE(progress.m_tasks.front().m_doubtful_runs.size() == 1);
  FleetFixture next;
  AddReadyWorkers(next, 3, kCore);
  AddJob(next.m_fleet, MakePlan("job", 1, kCore), progress, next.m_now);
  const StartOrder start = PlaceOne(next);
  Lose(next, start.m_worker, PollFailure::kClosed);
  CHECK(StateOf(next, "job") == JobState::kFailed);
}

// Guards against a job that fails because its worker was cut off in doubt.
TEST_CASE("A doubtful crash is withdrawn when the worker answers again") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 8, kCore);
  AddJob(fixture.m_fleet, MakePlan("job", 1, kCore), ProgressWithCrashes(2),
         fixture.m_now);
  const StartOrder start = PlaceOne(fixture);
  const std::string idle = start.m_worker == WorkerId("w7") ? "w6" : "w7";
  for (int poll = 0; poll < 2; ++poll) {
    Wait(fixture, kPollInterval);
    FailPoll(fixture, start.m_worker.value(), PollFailure::kClosed);
    FailPoll(fixture, idle, PollFailure::kClosed);
  }
  CHECK(TaskOf(fixture, start.m_task).m_doubtful_runs.size() == 1);
  Wait(fixture, kPollInterval);
  Report(fixture, start.m_worker.value(), {ActiveRunOf(start)}, {});
  CHECK(TaskOf(fixture, start.m_task).m_doubtful_runs.empty());
  CHECK(CrashesOf(fixture, start.m_task) == 2);
}

// Guards against jobs that never end: tasks of one job kept a worker without
// room for each other, and all other isolated tasks waited behind them.
TEST_CASE("Tasks that share a worker without room are given another") {
  FleetFixture fixture;
  constexpr int kWorkers = 8;
  AddReadyWorkers(fixture, kWorkers, kCore * 2);
  const auto full = SubmitAndPlace(fixture, MakePlan("full", 8, kCore * 2));
  REQUIRE(full.size() == kWorkers);
  AddJob(fixture.m_fleet, MakePlan("job", 2, kCore), ProgressWithCrashes(2),
         fixture.m_now);
  REQUIRE(Place(fixture).empty());
  // The second task begins to hold a worker when half of the first one's time
  // is over.
  fixture.m_now += milliseconds(1250);
  TaskReference second{JobKey("job")};
  second.m_index = 1;
  TaskOf(fixture, second).m_crashed_runs = {RunNumber(1), RunNumber(2)};
  TaskOf(fixture, second).m_run = RunNumber(2);
  AddIsolation(fixture.m_fleet, second);
  REQUIRE(Place(fixture).empty());
  const WorkerId held = fixture.m_fleet.m_isolations.at(second).m_worker;
  REQUIRE(held != WorkerId());
  const auto other = std::find_if(
      full.begin(), full.end(),
      [&held](const StartOrder& start) { return start.m_worker != held; });
  Report(fixture, other->m_worker.value(), {},
         {EndedRunOf(*other, 1, RunOutcome::kDone)});
  std::size_t starts = 0;
  for (int second_of_wait = 0; second_of_wait < 10; ++second_of_wait) {
    fixture.m_now += seconds(1);
    starts += Place(fixture).size();
  }
  CHECK(starts == 2);
}

}  // namespace daisyarch::fleet
