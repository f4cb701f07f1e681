#include <catch2/catch.hpp>

#include "decisions/fleet/fleet_fixture.h"

namespace daisyarch::fleet {

namespace {

constexpr Millicores kCore{1000};

StartOrder StartOne(FleetFixture& fixture) {
  AddReadyWorkers(fixture, 1, kCore);
  Submit(fixture, MakePlan("job", 1, kCore));
  const auto starts = TakeOrders<StartOrder>(fixture);
  REQUIRE(starts.size() == 1);
  return starts.front();
}

}  // namespace

TEST_CASE("The lease of an unresponsive worker expires") {
  FleetFixture fixture;
  const StartOrder start = StartOne(fixture);
  ApplyStartOutcome(fixture.m_fleet, start, StartOutcome::kStarted,
                    fixture.m_now);
  // Polls continue while a worker does not answer, and must not extend its
  // lease.
  for (int poll = 0; poll < 60; ++poll) {
    Wait(fixture, std::chrono::milliseconds(100));
    FailPoll(fixture, "w0");
  }
  CHECK(TaskOf(fixture, start.m_task).m_state == RunState::kWaiting);
  const Worker& worker = *FindWorker(fixture.m_fleet, WorkerId("w0"));
  CHECK(worker.m_state == WorkerState::kLapsed);
  CHECK(worker.m_runs.empty());
}

TEST_CASE("A task stays placed until the lease has certainly expired") {
  FleetFixture fixture;
  const StartOrder start = StartOne(fixture);
  ApplyStartOutcome(fixture.m_fleet, start, StartOutcome::kStarted,
                    fixture.m_now);
  Wait(fixture, std::chrono::milliseconds(100));
  FailPoll(fixture, "w0");
  // A worker's clock may run 2% slow.
  Wait(fixture, fixture.m_fleet.m_limits.m_lease * 102 / 100 -
                    std::chrono::milliseconds(100));
  CHECK(TaskOf(fixture, start.m_task).m_state == RunState::kRunning);
}

TEST_CASE("A report without a pending start releases no capacity") {
  FleetFixture fixture;
  const StartOrder start = StartOne(fixture);
  CancelJob(fixture.m_fleet, JobKey("job"), fixture.m_now);
  Wait(fixture, std::chrono::milliseconds(10));
  Report(fixture, "w0", {}, {});
  const Worker& worker = *FindWorker(fixture.m_fleet, WorkerId("w0"));
  CHECK(worker.m_used.m_processors == kCore);
  ApplyStartOutcome(fixture.m_fleet, start, StartOutcome::kRefused,
                    fixture.m_now);
  CHECK(worker.m_used.m_processors == Millicores(0));
}

TEST_CASE("A report under a higher token resolves an unconfirmed start") {
  FleetFixture fixture;
  const StartOrder start = StartOne(fixture);
  const Worker& worker = *FindWorker(fixture.m_fleet, WorkerId("w0"));
  ApplyStartOutcome(fixture.m_fleet, start, StartOutcome::kUnanswered,
                    fixture.m_now);
  CHECK(worker.m_token > start.m_token);
  CHECK(TaskOf(fixture, start.m_task).m_state == RunState::kUnconfirmed);
  Wait(fixture, std::chrono::milliseconds(200));
  SECTION("the start took effect") {
    Report(fixture, "w0", {ActiveRunOf(start)}, {});
    CHECK(TaskOf(fixture, start.m_task).m_state == RunState::kRunning);
  }
  SECTION("the start did not take effect") {
    Report(fixture, "w0", {}, {});
    CHECK(TaskOf(fixture, start.m_task).m_state == RunState::kResending);
    CHECK(worker.m_runs.count(start.m_task) == 1);
  }
}

// Guards against a second run of a task that leaves no trace in the log.
TEST_CASE("A run that the leader did not expect is stopped and logged") {
  FleetFixture fixture;
  const StartOrder start = StartOne(fixture);
  ApplyStartOutcome(fixture.m_fleet, start, StartOutcome::kStarted,
                    fixture.m_now);
  Wait(fixture, std::chrono::milliseconds(10));
  fixture.m_fleet.m_events.clear();
  ActiveRun other = ActiveRunOf(start);
  other.m_run = Next(start.m_run);
  Report(fixture, "w0", {ActiveRunOf(start), other}, {});
  const auto stops = TakeOrders<StopOrder>(fixture);
  REQUIRE(stops.size() == 1);
  CHECK(stops.front().m_run == other.m_run);
  REQUIRE(fixture.m_fleet.m_events.size() == 1);
  const FleetEvent& event = fixture.m_fleet.m_events.front();
  CHECK(event.m_name == std::string("run_unexpected"));
  CHECK(event.m_run == other.m_run);
  REQUIRE(event.m_task);
  CHECK(*event.m_task == start.m_task);
}

TEST_CASE("A failure reported late uses the last attempt") {
  FleetFixture fixture;
  const StartOrder start = StartOne(fixture);
  Task& task = TaskOf(fixture, start.m_task);
  task.m_failed_runs = {RunNumber(2), RunNumber(3)};
  ApplyStartOutcome(fixture.m_fleet, start, StartOutcome::kRefused,
                    fixture.m_now);
  REQUIRE(task.m_state == RunState::kWaiting);
  Wait(fixture, std::chrono::seconds(11));
  EndedRun superseded = EndedRunOf(start, 1, RunOutcome::kFailed);
  superseded.m_run = RunNumber(1);
  Report(fixture, "w0", {}, {superseded});
  CHECK(task.m_state == RunState::kFailed);
  CHECK(FindJob(fixture.m_fleet, JobKey("job"))->m_state == JobState::kFailed);
  PlaceRuns(fixture.m_fleet, fixture.m_now);
  CHECK(TakeOrders<StartOrder>(fixture).empty());
}

TEST_CASE("A job that failed is loaded as failed and starts nothing") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 1, kCore);
  JobProgress progress;
  progress.m_state = JobState::kFailed;
  TaskProgress stored;
  stored.m_run = RunNumber(3);
  stored.m_failed_runs = {RunNumber(1), RunNumber(2), RunNumber(3)};
  progress.m_tasks.push_back(stored);
  AddJob(fixture.m_fleet, MakePlan("job", 2, kCore), progress, fixture.m_now);
  PlaceRuns(fixture.m_fleet, fixture.m_now);
  CHECK(TakeOrders<StartOrder>(fixture).empty());
  CHECK(HasEnded(*FindJob(fixture.m_fleet, JobKey("job"))));
}

TEST_CASE("A failure that is stored is not counted again") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 1, kCore);
  JobProgress progress;
  progress.m_state = JobState::kRunning;
  TaskProgress stored;
  stored.m_run = RunNumber(2);
  stored.m_failed_runs = {RunNumber(1), RunNumber(2)};
  progress.m_tasks.push_back(stored);
  AddJob(fixture.m_fleet, MakePlan("job", 1, kCore), progress, fixture.m_now);
  // The previous leader stored the failure and died before it acknowledged it.
  StartOrder start;
  start.m_task = TaskReference{JobKey("job"), 0, 0, 0};
  start.m_run = RunNumber(2);
  Wait(fixture, std::chrono::seconds(11));
  Report(fixture, "w0", {}, {EndedRunOf(start, 1, RunOutcome::kFailed)});
  CHECK(TaskOf(fixture, start.m_task).m_state == RunState::kWaiting);
  PlaceRuns(fixture.m_fleet, fixture.m_now);
  CHECK(TakeOrders<StartOrder>(fixture).size() == 1);
}

TEST_CASE("A restarted worker loses the runs of its previous incarnation") {
  FleetFixture fixture;
  const StartOrder start = StartOne(fixture);
  ApplyStartOutcome(fixture.m_fleet, start, StartOutcome::kStarted,
                    fixture.m_now);
  Wait(fixture, std::chrono::milliseconds(10));
  Report(fixture, "w0", {ActiveRunOf(start)}, {});
  Wait(fixture, std::chrono::milliseconds(10));
  Worker& worker = *FindWorker(fixture.m_fleet, WorkerId("w0"));
  WorkerReport report;
  report.m_incarnation = Incarnation(2);
  ApplyReport(fixture.m_fleet, WorkerId("w0"), worker.m_poll_number,
              worker.m_token, report, fixture.m_now);
  CHECK(TaskOf(fixture, start.m_task).m_state == RunState::kWaiting);
  CHECK(worker.m_state == WorkerState::kUnverified);
  CHECK(worker.m_applied_end == OutcomeNumber());
}

TEST_CASE("Ended runs are acknowledged only once they are stored") {
  FleetFixture fixture;
  const StartOrder start = StartOne(fixture);
  ApplyStartOutcome(fixture.m_fleet, start, StartOutcome::kStarted,
                    fixture.m_now);
  Wait(fixture, std::chrono::milliseconds(10));
  Report(fixture, "w0", {}, {EndedRunOf(start, 1, RunOutcome::kDone)});
  const Worker& worker = *FindWorker(fixture.m_fleet, WorkerId("w0"));
  CHECK(worker.m_stored_end == OutcomeNumber(0));
  const ChangeBatch batch = TakeChanges(fixture.m_fleet);
  REQUIRE(batch.m_changes.size() == 1);
  CHECK(batch.m_changes.front().m_progress.m_state == JobState::kCompleted);
  ApplyStoredBatch(fixture.m_fleet, batch);
  CHECK(worker.m_stored_end == OutcomeNumber(1));
  CHECK(FindJob(fixture.m_fleet, JobKey("job")) == nullptr);
}

TEST_CASE("Serving tasks move off a worker that is leaving") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 1, Millicores(2000));
  JobPlan serving = MakePlan("serving", 1, kCore);
  serving.m_steps.front().m_kind = StepKind::kService;
  Submit(fixture, serving);
  Submit(fixture, MakePlan("short", 1, kCore));
  const auto starts = TakeOrders<StartOrder>(fixture);
  REQUIRE(starts.size() == 2);
  for (const StartOrder& start : starts) {
    ApplyStartOutcome(fixture.m_fleet, start, StartOutcome::kStarted,
                      fixture.m_now);
  }
  ListedWorker leaving = FindWorker(fixture.m_fleet, WorkerId("w0"))->m_listing;
  leaving.m_is_leaving = true;
  ApplyListing(fixture.m_fleet, {leaving}, fixture.m_now, fixture.m_now);
  ApplyListing(fixture.m_fleet, {leaving}, fixture.m_now, fixture.m_now);
  const auto stops = TakeOrders<StopOrder>(fixture);
  REQUIRE(stops.size() == 1);
  CHECK(stops[0].m_task.m_job == JobKey("serving"));
}

// Guards against a takeover after which nothing leaves the worker: the run is
// adopted after the listing that says that the worker is leaving.
TEST_CASE("Adopted serving tasks move off a worker that is leaving") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 1, Millicores(2000));
  JobPlan serving = MakePlan("serving", 1, kCore);
  serving.m_steps.front().m_kind = StepKind::kService;
  AddJob(fixture.m_fleet, serving, {}, fixture.m_now);
  ListedWorker leaving = FindWorker(fixture.m_fleet, WorkerId("w0"))->m_listing;
  leaving.m_is_leaving = true;
  ApplyListing(fixture.m_fleet, {leaving}, fixture.m_now, fixture.m_now);
  ActiveRun adopted;
  adopted.m_task.m_job = JobKey("serving");
  adopted.m_run = RunNumber(7);
  Wait(fixture, std::chrono::seconds(11));
  Report(fixture, "w0", {adopted}, {});
  CHECK(TakeOrders<StopOrder>(fixture).size() == 1);
}

// Guards against a worker that a late loop keeps unverified: each of several
// unanswered orders discarded the poll that was to resolve them all.
TEST_CASE("Unanswered orders under an older token keep the poll in flight") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 1, Millicores(3000));
  Submit(fixture, MakePlan("job", 3, kCore));
  const auto starts = TakeOrders<StartOrder>(fixture);
  REQUIRE(starts.size() == 3);
  ApplyStartOutcome(fixture.m_fleet, starts[0], StartOutcome::kUnanswered,
                    fixture.m_now);
  Wait(fixture, std::chrono::milliseconds(10));
  REQUIRE(TakeOrders<PollOrder>(fixture).size() == 1);
  ApplyStartOutcome(fixture.m_fleet, starts[1], StartOutcome::kUnanswered,
                    fixture.m_now);
  ApplyOrderFailure(fixture.m_fleet, WorkerId("w0"), starts[2].m_token);
  Wait(fixture, std::chrono::milliseconds(10));
  CHECK(TakeOrders<PollOrder>(fixture).empty());
  Report(fixture, "w0", {ActiveRunOf(starts[2])}, {});
  CHECK(TaskOf(fixture, starts[0].m_task).m_state == RunState::kResending);
  CHECK(TaskOf(fixture, starts[1].m_task).m_state == RunState::kResending);
  CHECK(TaskOf(fixture, starts[2].m_task).m_state == RunState::kRunning);
}

TEST_CASE("A worker with repeated failures is quarantined") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 1, Millicores(3000));
  Submit(fixture, MakePlan("job", 3, kCore));
  std::uint64_t number = 0;
  Wait(fixture, std::chrono::milliseconds(10));
  std::vector<EndedRun> ended;
  for (const StartOrder& start : TakeOrders<StartOrder>(fixture)) {
    ApplyStartOutcome(fixture.m_fleet, start, StartOutcome::kStarted,
                      fixture.m_now);
    ended.push_back(EndedRunOf(start, ++number, RunOutcome::kFailed));
  }
  Report(fixture, "w0", {}, ended);
  PlaceRuns(fixture.m_fleet, fixture.m_now);
  CHECK(TakeOrders<StartOrder>(fixture).empty());
  fixture.m_now += std::chrono::seconds(4);
  PlaceRuns(fixture.m_fleet, fixture.m_now);
  CHECK(TakeOrders<StartOrder>(fixture).size() == 3);
}

TEST_CASE("A start that reached a restarted worker is not run twice") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 2, kCore);
  Submit(fixture, MakePlan("old", 1, kCore));
  const auto old = TakeOrders<StartOrder>(fixture);
  REQUIRE(old.size() == 1);
  const std::string name = old[0].m_worker.value();
  ApplyStartOutcome(fixture.m_fleet, old[0], StartOutcome::kStarted,
                    fixture.m_now);
  Wait(fixture, std::chrono::milliseconds(10));
  Report(fixture, name, {}, {EndedRunOf(old[0], 1, RunOutcome::kDone)});
  Wait(fixture, std::chrono::milliseconds(10));
  fixture.m_fleet.m_orders.clear();
  // The worker has restarted, which the leader has not noticed, and gets "new".
  FindWorker(fixture.m_fleet, WorkerId(name == "w0" ? "w1" : "w0"))
      ->m_quarantined_until = fixture.m_now + std::chrono::milliseconds(100);
  Submit(fixture, MakePlan("new", 1, kCore));
  const auto starts = TakeOrders<StartOrder>(fixture);
  REQUIRE(starts.size() == 1);
  REQUIRE(starts[0].m_worker == WorkerId(name));
  ApplyStartOutcome(fixture.m_fleet, starts[0], StartOutcome::kStarted,
                    fixture.m_now);
  std::vector<ListedWorker> listing;
  for (const auto& [id, worker] : fixture.m_fleet.m_workers) {
    listing.push_back(worker.m_listing);
    if (id == WorkerId(name)) listing.back().m_incarnation = Incarnation(2);
  }
  ApplyListing(fixture.m_fleet, listing, fixture.m_now, fixture.m_now);
  Wait(fixture, std::chrono::milliseconds(200));
  PlaceRuns(fixture.m_fleet, fixture.m_now);
  CHECK(TakeOrders<StartOrder>(fixture).empty());
  CHECK(TaskOf(fixture, starts[0].m_task).m_state == RunState::kRunning);
  SECTION("the start is retried if the new incarnation never reports") {
    Wait(fixture, std::chrono::seconds(11));
    PlaceRuns(fixture.m_fleet, fixture.m_now);
    CHECK(TakeOrders<StartOrder>(fixture).size() == 1);
  }
}

}  // namespace daisyarch::fleet
