#include <catch2/catch.hpp>
#include <functional>

#include "decisions/fleet/fleet_fixture.h"

namespace daisyarch::fleet {

namespace {

constexpr Millicores kCore{1000};
// Longer than the interval after which waiting tasks are placed again.
constexpr Duration kRetryInterval = std::chrono::milliseconds(300);
constexpr Duration kShort = std::chrono::milliseconds(10);

Worker& WorkerOf(FleetFixture& fixture, const std::string& name) {
  return *FindWorker(fixture.m_fleet, WorkerId(name));
}

// Applies a listing that differs from the last one in this worker's entry.
void ListChange(FleetFixture& fixture, const std::string& name,
                const std::function<void(ListedWorker&)>& change) {
  std::vector<ListedWorker> listing;
  for (const auto& [id, worker] : fixture.m_fleet.m_workers) {
    listing.push_back(worker.m_listing);
    if (id == WorkerId(name)) change(listing.back());
  }
  ApplyListing(fixture.m_fleet, listing, fixture.m_now, fixture.m_now);
}

void ListProcessors(FleetFixture& fixture, const std::string& name,
                    Millicores processors) {
  ListChange(fixture, name, [processors](ListedWorker& entry) {
    entry.m_capacity.m_processors = processors;
  });
}

// Places waiting tasks and confirms their starts.
std::vector<StartOrder> StartWaiting(FleetFixture& fixture) {
  PlaceRuns(fixture.m_fleet, fixture.m_now);
  auto starts = TakeOrders<StartOrder>(fixture);
  for (const StartOrder& start : starts) {
    ApplyStartOutcome(fixture.m_fleet, start, StartOutcome::kStarted,
                      fixture.m_now);
  }
  return starts;
}

std::vector<StartOrder> SubmitAndStart(FleetFixture& fixture,
                                       const JobPlan& plan) {
  Submit(fixture, plan);
  return StartWaiting(fixture);
}

// Returns the tasks that start after the timers have run.
std::size_t CountLaterStarts(FleetFixture& fixture) {
  Wait(fixture, kRetryInterval);
  ApplyRosterStored(fixture.m_fleet, MissingFromRoster(fixture.m_fleet));
  if (fixture.m_fleet.m_needs_placement) {
    PlaceRuns(fixture.m_fleet, fixture.m_now);
  }
  return TakeOrders<StartOrder>(fixture).size();
}

// Returns a best-effort job of one task that reserves memory alone.
JobPlan MakeBestEffortPlan(const std::string& key, Millicores processors) {
  JobPlan plan = MakePlan(key, 1, processors);
  plan.m_steps.front().m_processor_use = ProcessorUse::kBestEffort;
  plan.m_steps.front().m_image = ImageId("best-effort");
  return plan;
}

std::vector<ActiveRun> ActiveRunsOf(const std::vector<StartOrder>& starts) {
  std::vector<ActiveRun> running;
  running.reserve(starts.size());
  for (const StartOrder& start : starts) running.push_back(ActiveRunOf(start));
  return running;
}

}  // namespace

TEST_CASE("A worker that shrinks and grows gets tasks for its last capacity") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 1, Millicores(4000));
  ListProcessors(fixture, "w0", Millicores(2000));
  Submit(fixture, MakePlan("job", 4, kCore));
  CHECK(TakeOrders<StartOrder>(fixture).size() == 2);
  CHECK(CountLaterStarts(fixture) == 0);
  ListProcessors(fixture, "w0", Millicores(3000));
  CHECK(CountLaterStarts(fixture) == 1);
  ListProcessors(fixture, "w0", Millicores(4000));
  CHECK(CountLaterStarts(fixture) == 1);
}

TEST_CASE("Shrunk memory and accelerators bound the tasks of a worker") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 1, Millicores(8000));
  SECTION("reserved tasks") {
    ListChange(fixture, "w0", [](ListedWorker& entry) {
      entry.m_capacity.m_memory = Mebibytes(250);
    });
    Submit(fixture, MakePlan("job", 4, kCore));
    CHECK(TakeOrders<StartOrder>(fixture).size() == 2);
  }
  SECTION("best-effort tasks") {
    ListChange(fixture, "w0", [](ListedWorker& entry) {
      entry.m_capacity.m_memory = Mebibytes(250);
    });
    JobPlan plan = MakeBestEffortPlan("job", kCore);
    plan.m_steps.front().m_task_count = 4;
    Submit(fixture, plan);
    CHECK(TakeOrders<StartOrder>(fixture).size() == 2);
  }
  SECTION("accelerators") {
    ListChange(fixture, "w0", [](ListedWorker& entry) {
      entry.m_capacity.m_accelerators = Accelerators(1);
    });
    JobPlan plan = MakePlan("job", 3, kCore);
    plan.m_steps.front().m_demand.m_accelerators = Accelerators(1);
    Submit(fixture, plan);
    CHECK(TakeOrders<StartOrder>(fixture).size() == 1);
  }
}

// Guards against a worker with more tasks than it has room for: one that had
// restarted with less capacity got the start that its former life did not
// answer.
TEST_CASE("No start is sent again to a worker without room for it") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 1, Millicores(4000));
  Submit(fixture, MakePlan("job", 1, kCore));
  const auto starts = TakeOrders<StartOrder>(fixture);
  REQUIRE(starts.size() == 1);
  ApplyStartOutcome(fixture.m_fleet, starts[0], StartOutcome::kUnanswered,
                    fixture.m_now);
  Wait(fixture, kShort);
  ListProcessors(fixture, "w0", Millicores(500));
  Report(fixture, "w0", {}, {});
  REQUIRE(fixture.m_fleet.m_resends.size() == 1);
  CHECK(CountLaterStarts(fixture) == 0);
  ListProcessors(fixture, "w0", Millicores(1000));
  CHECK(CountLaterStarts(fixture) == 1);
}

TEST_CASE("A shrunk capacity is known in every state of a worker") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 1, Millicores(4000));
  const auto first = SubmitAndStart(fixture, MakePlan("first", 1, kCore));
  REQUIRE(first.size() == 1);
  Wait(fixture, kShort);
  SECTION("silent") { FailPoll(fixture, "w0"); }
  SECTION("unverified") {
    ApplyOrderFailure(fixture.m_fleet, WorkerId("w0"),
                      WorkerOf(fixture, "w0").m_token);
  }
  SECTION("lapsed") {
    FailPoll(fixture, "w0");
    Wait(fixture, std::chrono::seconds(11));
    REQUIRE(WorkerOf(fixture, "w0").m_state == WorkerState::kLapsed);
  }
  SECTION("unlisted") {
    ApplyListing(fixture.m_fleet, {}, fixture.m_now, fixture.m_now);
  }
  ListProcessors(fixture, "w0", Millicores(2000));
  Wait(fixture, std::chrono::seconds(2));
  Report(fixture, "w0", {}, {EndedRunOf(first[0], 1, RunOutcome::kDone)});
  REQUIRE(WorkerOf(fixture, "w0").m_state == WorkerState::kReady);
  fixture.m_fleet.m_orders.clear();
  Submit(fixture, MakePlan("second", 4, kCore));
  CHECK(TakeOrders<StartOrder>(fixture).size() == 2);
}

TEST_CASE("A worker that shrinks below its runs keeps them and gets no more") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 1, Millicores(4000));
  const auto starts = SubmitAndStart(fixture, MakePlan("job", 3, kCore));
  REQUIRE(starts.size() == 3);
  ListProcessors(fixture, "w0", Millicores(1500));
  Wait(fixture, kShort);
  Report(fixture, "w0", ActiveRunsOf(starts), {});
  CHECK(TakeOrders<StopOrder>(fixture).empty());
  Submit(fixture, MakePlan("one", 1, kCore));
  Submit(fixture, MakePlan("nothing", 1, Millicores(0)));
  Submit(fixture, MakeBestEffortPlan("best-effort", kCore));
  CHECK(TakeOrders<StartOrder>(fixture).empty());
  Wait(fixture, kRetryInterval);
  // With one run the worker is within its capacity again.
  Wait(fixture, kShort);
  Report(fixture, "w0", {ActiveRunOf(starts[2])},
         {EndedRunOf(starts[0], 1, RunOutcome::kDone),
          EndedRunOf(starts[1], 2, RunOutcome::kDone)});
  PlaceRuns(fixture.m_fleet, fixture.m_now);
  const auto later = TakeOrders<StartOrder>(fixture);
  CHECK(later.size() == 2);
  for (const StartOrder& start : later) {
    CHECK(start.m_task.m_job != JobKey("one"));
  }
}

TEST_CASE("Stopping and unconfirmed runs count on a shrunk worker") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 1, Millicores(3000));
  Submit(fixture, MakePlan("job", 2, kCore));
  const auto starts = TakeOrders<StartOrder>(fixture);
  REQUIRE(starts.size() == 2);
  ApplyStartOutcome(fixture.m_fleet, starts[0], StartOutcome::kStarted,
                    fixture.m_now);
  SECTION("stopping") {
    ApplyStartOutcome(fixture.m_fleet, starts[1], StartOutcome::kStarted,
                      fixture.m_now);
    CancelJob(fixture.m_fleet, JobKey("job"), fixture.m_now);
  }
  bool may_start_late = false;
  SECTION("unconfirmed") {
    ApplyStartOutcome(fixture.m_fleet, starts[1], StartOutcome::kUnanswered,
                      fixture.m_now);
    may_start_late = true;
  }
  SECTION("unanswered yet") {}
  ListProcessors(fixture, "w0", Millicores(2000));
  Wait(fixture, kShort);
  Report(fixture, "w0", ActiveRunsOf(starts), {});
  fixture.m_fleet.m_orders.clear();
  Submit(fixture, MakePlan("next", 1, kCore));
  CHECK(TakeOrders<StartOrder>(fixture).empty());
  Wait(fixture, kShort);
  Report(fixture, "w0", {ActiveRunOf(starts[0])},
         {EndedRunOf(starts[1], 1, RunOutcome::kStopped)});
  PlaceRuns(fixture.m_fleet, fixture.m_now);
  if (may_start_late) {
    CHECK(TakeOrders<StartOrder>(fixture).empty());
    Wait(fixture, std::chrono::milliseconds(14000));
    Report(fixture, "w0", {ActiveRunOf(starts[0])}, {});
    PlaceRuns(fixture.m_fleet, fixture.m_now);
  }
  CHECK(TakeOrders<StartOrder>(fixture).size() == 1);
}

TEST_CASE("A task that no shrunk worker can hold waits until one grows") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 2, Millicores(2000));
  JobPlan plan = MakePlan("job", 2, kCore);
  SECTION("reserved") {}
  SECTION("best-effort") {
    plan = MakeBestEffortPlan("job", kCore);
    plan.m_steps.front().m_task_count = 2;
  }
  SECTION("gang") { plan.m_steps.front().m_is_gang = true; }
  SECTION("one per worker") { plan.m_steps.front().m_maximum_per_worker = 1; }
  for (const char* name : {"w0", "w1"}) {
    ListChange(fixture, name,
               [](ListedWorker& entry) { entry.m_capacity = Resources(); });
  }
  Submit(fixture, plan);
  CHECK(TakeOrders<StartOrder>(fixture).empty());
  for (int times = 0; times < 100; ++times) {
    CHECK(CountLaterStarts(fixture) == 0);
  }
  CHECK_FALSE(FindJob(fixture.m_fleet, JobKey("job"))->m_has_failed);
  CHECK(TaskOf(fixture, {JobKey("job"), 0, 0, 0}).m_state ==
        RunState::kWaiting);
  for (const char* name : {"w0", "w1"}) {
    ListChange(fixture, name, [](ListedWorker& entry) {
      entry.m_capacity =
          Resources{Millicores(1200), Mebibytes(150), Accelerators(0)};
    });
  }
  CHECK(CountLaterStarts(fixture) == 2);
}

// Guards against a start beyond the capacity of a process that has restarted
// with less: its report arrives before its entry in the listing.
TEST_CASE("A restarted worker gets no task before its new capacity is listed") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 1, Millicores(4000));
  const ListedWorker before = WorkerOf(fixture, "w0").m_listing;
  for (int times = 0; times < 2; ++times) {
    Wait(fixture, std::chrono::seconds(11));
    WorkerReport report;
    report.m_incarnation = Incarnation(2);
    ApplyReport(fixture.m_fleet, WorkerId("w0"),
                WorkerOf(fixture, "w0").m_poll_number,
                WorkerOf(fixture, "w0").m_token, report, fixture.m_now);
  }
  REQUIRE(WorkerOf(fixture, "w0").m_state == WorkerState::kReady);
  fixture.m_fleet.m_orders.clear();
  Submit(fixture, MakePlan("job", 4, kCore));
  CHECK(TakeOrders<StartOrder>(fixture).empty());
  ApplyListing(fixture.m_fleet, {before}, fixture.m_now, fixture.m_now);
  CHECK(CountLaterStarts(fixture) == 0);
  ListedWorker after = before;
  after.m_incarnation = Incarnation(2);
  after.m_capacity.m_processors = Millicores(2000);
  ApplyListing(fixture.m_fleet, {after}, fixture.m_now, fixture.m_now);
  CHECK(CountLaterStarts(fixture) == 2);
}

// Guards against best-effort tasks beside serving tasks that a shrunk worker
// can no longer bear: headroom that was computed for the larger worker was used
// on.
TEST_CASE("The headroom of serving tasks follows the capacity of a worker") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 1, Millicores(8000));
  const ImageId serving_image("serving");
  Interference& known = fixture.m_fleet.m_interference;
  known.m_baselines[serving_image] = {2.2, 0.01};
  known.m_pairs[{serving_image, ImageId("best-effort")}] = {2.0, 0.01};
  JobPlan serving = MakePlan("serving", 1, Millicores(5000));
  serving.m_steps.front().m_image = serving_image;
  serving.m_steps.front().m_latency_target = std::chrono::milliseconds(18);
  REQUIRE(SubmitAndStart(fixture, serving).size() == 1);
  REQUIRE(SubmitAndStart(fixture, MakeBestEffortPlan("first", Millicores(2000)))
              .size() == 1);
  // The headroom is computed to find that this one does not fit.
  REQUIRE(SubmitAndStart(fixture, MakeBestEffortPlan("large", Millicores(5500)))
              .empty());
  ListProcessors(fixture, "w0", Millicores(6000));
  Submit(fixture, MakeBestEffortPlan("second", kCore));
  CHECK(TakeOrders<StartOrder>(fixture).empty());
  ListProcessors(fixture, "w0", Millicores(8000));
  CHECK(CountLaterStarts(fixture) == 1);
}

// Guards against harmful best-effort images that are taken as harmless: their
// use was compared with the capacity of a worker that had shrunk below it.
TEST_CASE("A worker that shrinks below its use teaches no interference") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 1, Millicores(8000));
  const ImageId serving_image("serving");
  const std::pair<ImageId, ImageId> pair(serving_image, ImageId("best-effort"));
  Interference& known = fixture.m_fleet.m_interference;
  JobPlan serving = MakePlan("serving", 1, kCore);
  serving.m_steps.front().m_image = serving_image;
  serving.m_steps.front().m_latency_target = std::chrono::milliseconds(18);
  const auto serving_starts = SubmitAndStart(fixture, serving);
  REQUIRE(serving_starts.size() == 1);
  const auto best_effort =
      SubmitAndStart(fixture, MakeBestEffortPlan("first", Millicores(2000)));
  REQUIRE(best_effort.size() == 1);
  known.m_baselines[serving_image] = {2.2, 0.01};
  known.m_pairs[pair] = {5.0, 1.0};
  ListProcessors(fixture, "w0", Millicores(0));
  Wait(fixture, std::chrono::seconds(2));
  ActiveRun serving_run = ActiveRunOf(serving_starts[0]);
  serving_run.m_progress_percent = 100;
  serving_run.m_load = 12;
  ActiveRun best_effort_run = ActiveRunOf(best_effort[0]);
  best_effort_run.m_load = 1900;
  Report(fixture, "w0", {serving_run, best_effort_run}, {});
  REQUIRE(
      WorkerOf(fixture, "w0").m_serving.at(serving_image).m_tail_latency_ms >
      0);
  CHECK(known.m_pairs.at(pair).m_mean >= 4.5);
}

TEST_CASE("Adopted runs count on a worker that has shrunk below them") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 1, Millicores(4000));
  AddJob(fixture.m_fleet, MakePlan("inherited", 2, kCore), {}, fixture.m_now);
  ListProcessors(fixture, "w0", kCore);
  std::vector<ActiveRun> adopted(2);
  for (std::uint32_t index = 0; index < 2; ++index) {
    adopted[index].m_task = TaskReference{JobKey("inherited"), 0, 0, index};
    adopted[index].m_run = RunNumber(7);
  }
  Wait(fixture, std::chrono::seconds(11));
  Report(fixture, "w0", adopted, {});
  CHECK(TakeOrders<StopOrder>(fixture).empty());
  Submit(fixture, MakePlan("new", 1, kCore));
  CHECK(TakeOrders<StartOrder>(fixture).empty());
  ListProcessors(fixture, "w0", Millicores(3000));
  CHECK(CountLaterStarts(fixture) == 1);
}

}  // namespace daisyarch::fleet
