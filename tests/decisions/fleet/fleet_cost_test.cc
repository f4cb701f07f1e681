#include <catch2/catch.hpp>

#include "decisions/fleet/fleet_fixture.h"

namespace daisyarch::fleet {

namespace {

constexpr Millicores kCore{1000};
constexpr int kWorkerCounts[] = {100, 1000, 15000};
constexpr std::uint32_t kWaitingCounts[] = {0, 10000, 100000};
constexpr double kMaximumGrowth = 1.5;

// What one event makes the fleet look at.
std::uint64_t CostOf(const Fleet& fleet) {
  return fleet.m_work.m_workers + fleet.m_work.m_waiting_steps +
         fleet.m_work.m_jobs;
}

struct EventCosts {
  std::uint64_t m_tick = 0;
  std::uint64_t m_report = 0;
  std::uint64_t m_start = 0;
};

// Workers of one core each run one task each, and more wait in jobs of 50.
void FillFleet(FleetFixture& fixture, int workers, std::uint32_t waiting) {
  fixture.m_fleet.m_limits.m_polls_per_pass = 20000;
  fixture.m_fleet.m_limits.m_starts_per_pass = 20000;
  AddReadyWorkers(fixture, workers, kCore);
  const auto add = [&fixture](const std::string& key, std::uint32_t tasks) {
    AddJob(fixture.m_fleet, MakePlan(key, tasks, kCore), {}, fixture.m_now);
  };
  add("running", static_cast<std::uint32_t>(workers));
  PlaceRuns(fixture.m_fleet, fixture.m_now);
  constexpr std::uint32_t kTasksPerJob = 50;
  // One job more, so that a start has a task to place at every size.
  for (std::uint32_t job = 0; job <= waiting / kTasksPerJob; ++job) {
    add("waiting" + std::to_string(job), kTasksPerJob);
  }
  Wait(fixture, std::chrono::milliseconds(300));
  PlaceRuns(fixture.m_fleet, fixture.m_now);
}

EventCosts MeasureEvents(int workers, std::uint32_t waiting) {
  FleetFixture fixture;
  FillFleet(fixture, workers, waiting);
  const auto starts = TakeOrders<StartOrder>(fixture);
  REQUIRE(starts.size() == static_cast<std::size_t>(workers));
  for (const StartOrder& start : starts) {
    ApplyStartOutcome(fixture.m_fleet, start, StartOutcome::kStarted,
                      fixture.m_now);
  }
  EventCosts costs;
  const auto measure = [&fixture](const auto& event) {
    const std::uint64_t before = CostOf(fixture.m_fleet);
    event();
    return CostOf(fixture.m_fleet) - before;
  };
  Wait(fixture, std::chrono::milliseconds(300));
  costs.m_tick = measure([&fixture] {
    Wait(fixture, std::chrono::milliseconds(40));
    MissingFromRoster(fixture.m_fleet);
    ObsoleteInRoster(fixture.m_fleet);
    PlaceRuns(fixture.m_fleet, fixture.m_now);
  });
  costs.m_report = measure([&fixture, &starts] {
    Report(fixture, starts[0].m_worker.value(), {},
           {EndedRunOf(starts[0], 1, RunOutcome::kDone)});
    ApplyStoredBatch(fixture.m_fleet, TakeChanges(fixture.m_fleet));
  });
  costs.m_start =
      measure([&fixture] { PlaceRuns(fixture.m_fleet, fixture.m_now); });
  CHECK(TakeOrders<StartOrder>(fixture).size() == 1);
  return costs;
}

constexpr std::uint32_t kServingRuns = 2;
constexpr std::uint32_t kBestEffortRuns = 10;
constexpr std::uint8_t kFullProgress = 100;

// Starts serving and best-effort tasks on one worker; returns their runs.
std::vector<ActiveRun> FillSharedWorker(FleetFixture& fixture) {
  AddReadyWorkers(fixture, 1, kCore * 20);
  JobPlan serving = MakePlan("serving", kServingRuns, kCore);
  serving.m_steps.front().m_kind = StepKind::kService;
  serving.m_steps.front().m_image = ImageId("shop");
  serving.m_steps.front().m_latency_target = std::chrono::milliseconds(20);
  AddJob(fixture.m_fleet, serving, {}, fixture.m_now);
  JobPlan best_effort = MakePlan("filler", kBestEffortRuns, kCore);
  best_effort.m_steps.front().m_processor_use = ProcessorUse::kBestEffort;
  best_effort.m_steps.front().m_image = ImageId("grinder");
  AddJob(fixture.m_fleet, best_effort, {}, fixture.m_now);
  // The effect is known, so the worker takes all of them.
  Interference& known = fixture.m_fleet.m_interference;
  known.m_baselines[ImageId("shop")] = {5.0, 0.01};
  known.m_pairs[{ImageId("shop"), ImageId("grinder")}] = {0.1, 0.1};
  Wait(fixture, std::chrono::milliseconds(300));
  PlaceRuns(fixture.m_fleet, fixture.m_now);
  std::vector<ActiveRun> runs;
  for (const StartOrder& start : TakeOrders<StartOrder>(fixture)) {
    ApplyStartOutcome(fixture.m_fleet, start, StartOutcome::kStarted,
                      fixture.m_now);
    ActiveRun run = ActiveRunOf(start);
    run.m_progress_percent = kFullProgress;
    run.m_load = 8;
    runs.push_back(run);
  }
  return runs;
}

void CheckGrowth(std::uint64_t smallest, std::uint64_t cost) {
  CHECK(static_cast<double>(cost) <=
        kMaximumGrowth *
            static_cast<double>(std::max<std::uint64_t>(2, smallest)));
}

}  // namespace

// Guards against a backlog that outlasts its cause: where each turn of the
// leader's loop looks at all that waits, a longer backlog is worked off more
// slowly.
TEST_CASE("An event costs the same in a large fleet with a long backlog") {
  const EventCosts smallest = MeasureEvents(kWorkerCounts[0], 0);
  for (const int workers : kWorkerCounts) {
    for (const std::uint32_t waiting : kWaitingCounts) {
      INFO(workers << " workers, " << waiting << " waiting tasks");
      const EventCosts costs = MeasureEvents(workers, waiting);
      CheckGrowth(smallest.m_tick, costs.m_tick);
      CheckGrowth(smallest.m_report, costs.m_report);
      CheckGrowth(smallest.m_start, costs.m_start);
    }
  }
}

// Most of a busy leader's time went into finding the same tasks again.
TEST_CASE("A report looks up the job of each listed run once") {
  FleetFixture fixture;
  std::vector<ActiveRun> runs = FillSharedWorker(fixture);
  REQUIRE(runs.size() == kServingRuns + kBestEffortRuns);
  const std::uint64_t& lookups = fixture.m_fleet.m_work.m_job_lookups;
  Wait(fixture, std::chrono::milliseconds(700));
  std::uint64_t before = lookups;
  Report(fixture, "w0", runs, {});
  CHECK(lookups - before == runs.size());
  Wait(fixture, std::chrono::milliseconds(700));
  const EndedRun ended{OutcomeNumber(1), runs.back().m_task, runs.back().m_run,
                       RunOutcome::kDone, ""};
  runs.pop_back();
  before = lookups;
  Report(fixture, "w0", runs, {ended});
  CHECK(lookups - before == runs.size() + 1);
}

}  // namespace daisyarch::fleet
