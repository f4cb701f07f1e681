#include <catch2/catch.hpp>

#include "decisions/fleet/fleet_fixture.h"

namespace daisyarch::fleet {

namespace {
constexpr Millicores kCore{1000};
}  // namespace

TEST_CASE("Tasks start only on workers with enough capacity") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 2, Millicores(2500));
  Submit(fixture, MakePlan("job", 6, kCore));
  CHECK(TakeOrders<StartOrder>(fixture).size() == 4);
}

TEST_CASE("A step starts once its predecessors are done") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 1, Millicores(4000));
  JobPlan plan = MakePlan("job", 2, kCore);
  plan.m_steps.push_back(plan.m_steps.front());
  plan.m_steps.back().m_after = {0};
  Submit(fixture, plan);
  const auto first = TakeOrders<StartOrder>(fixture);
  REQUIRE(first.size() == 2);
  for (const StartOrder& start : first) {
    ApplyStartOutcome(fixture.m_fleet, start, StartOutcome::kStarted,
                      fixture.m_now);
  }
  Wait(fixture, std::chrono::milliseconds(10));
  Report(fixture, "w0", {ActiveRunOf(first[1])},
         {EndedRunOf(first[0], 1, RunOutcome::kDone)});
  PlaceRuns(fixture.m_fleet, fixture.m_now);
  CHECK(TakeOrders<StartOrder>(fixture).empty());
  Wait(fixture, std::chrono::milliseconds(10));
  Report(fixture, "w0", {}, {EndedRunOf(first[1], 2, RunOutcome::kDone)});
  PlaceRuns(fixture.m_fleet, fixture.m_now);
  CHECK(TakeOrders<StartOrder>(fixture).size() == 2);
}

TEST_CASE("A gang starts as a whole, under one run number") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 2, kCore);
  JobPlan plan = MakePlan("wide", 3, kCore);
  plan.m_steps.front().m_is_gang = true;
  Submit(fixture, plan);
  CHECK(TakeOrders<StartOrder>(fixture).empty());
  plan = MakePlan("pair", 2, kCore);
  plan.m_steps.front().m_is_gang = true;
  Submit(fixture, plan);
  const auto starts = TakeOrders<StartOrder>(fixture);
  REQUIRE(starts.size() == 2);
  CHECK(starts[0].m_run == starts[1].m_run);
}

TEST_CASE("Placement respects labels, limits per worker and leaving workers") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 3, Millicores(8000));
  Worker& labelled = *FindWorker(fixture.m_fleet, WorkerId("w1"));
  labelled.m_listing.m_labels = {"fast"};
  JobPlan plan = MakePlan("labelled", 1, kCore);
  plan.m_steps.front().m_required_label = "fast";
  Submit(fixture, plan);
  auto starts = TakeOrders<StartOrder>(fixture);
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].m_worker == WorkerId("w1"));
  labelled.m_listing.m_is_leaving = true;
  UpdateWorkerIndex(fixture.m_fleet, labelled);
  plan = MakePlan("apart", 6, kCore);
  plan.m_steps.front().m_maximum_per_worker = 2;
  Submit(fixture, plan);
  starts = TakeOrders<StartOrder>(fixture);
  CHECK(starts.size() == 4);
  for (const StartOrder& start : starts) {
    CHECK(start.m_worker != WorkerId("w1"));
  }
}

TEST_CASE("No task is placed from an outdated listing") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 1, kCore);
  fixture.m_fleet.m_limits.m_maximum_listing_age =
      std::chrono::milliseconds(1700);
  const ListedWorker worker =
      FindWorker(fixture.m_fleet, WorkerId("w0"))->m_listing;
  fixture.m_now += std::chrono::milliseconds(1800);
  Submit(fixture, MakePlan("job", 1, kCore));
  CHECK(TakeOrders<StartOrder>(fixture).empty());
  CHECK(fixture.m_fleet.m_needs_placement);
  ApplyListing(fixture.m_fleet, {worker}, fixture.m_now, fixture.m_now);
  PlaceRuns(fixture.m_fleet, fixture.m_now);
  CHECK(TakeOrders<StartOrder>(fixture).size() == 1);
}

TEST_CASE("An expired job is placed after one that can end in time") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 1, kCore);
  const TimePoint start = fixture.m_now;
  AddJob(fixture.m_fleet, MakePlan("old", 1, kCore), {}, start);
  fixture.m_now += std::chrono::seconds(20);
  AddJob(fixture.m_fleet, MakePlan("new", 1, kCore), {}, fixture.m_now);
  RefreshRanks(fixture.m_fleet, fixture.m_now);
  PlaceRuns(fixture.m_fleet, fixture.m_now);
  const auto starts = TakeOrders<StartOrder>(fixture);
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].m_task.m_job == JobKey("new"));
}

TEST_CASE("Service tasks are never ranked as late") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 1, kCore);
  JobPlan service = MakePlan("lasting", 1, kCore);
  service.m_steps.front().m_kind = StepKind::kService;
  AddJob(fixture.m_fleet, service, {}, fixture.m_now);
  fixture.m_now += std::chrono::seconds(100);
  AddJob(fixture.m_fleet, MakePlan("new", 1, kCore), {}, fixture.m_now);
  RefreshRanks(fixture.m_fleet, fixture.m_now);
  PlaceRuns(fixture.m_fleet, fixture.m_now);
  const auto starts = TakeOrders<StartOrder>(fixture);
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].m_task.m_job == JobKey("lasting"));
}

TEST_CASE("Best-effort tasks reserve no processors and avoid tasks they harm") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 2, Millicores(10000));
  JobPlan serving = MakePlan("serving", 1, Millicores(4000));
  serving.m_steps.front().m_kind = StepKind::kService;
  serving.m_steps.front().m_image = ImageId("shop");
  serving.m_steps.front().m_latency_target = std::chrono::milliseconds(18);
  Submit(fixture, serving);
  const auto placed = TakeOrders<StartOrder>(fixture);
  REQUIRE(placed.size() == 1);
  JobPlan best_effort = MakePlan("filler", 1, Millicores(5000));
  best_effort.m_steps.front().m_processor_use = ProcessorUse::kBestEffort;
  best_effort.m_steps.front().m_image = ImageId("grinder");
  fixture.m_fleet.m_interference
      .m_pairs[{ImageId("shop"), ImageId("grinder")}] = {20, 1};
  Submit(fixture, best_effort);
  const auto starts = TakeOrders<StartOrder>(fixture);
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].m_worker != placed[0].m_worker);
  const Worker& worker = *FindWorker(fixture.m_fleet, starts[0].m_worker);
  CHECK(worker.m_used.m_processors == Millicores(0));
  CHECK(worker.m_best_effort_demand == Millicores(5000));
}

TEST_CASE("Best-effort tasks use reserved processors that are idle") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 1, Millicores(10000));
  Submit(fixture, MakePlan("reserved", 1, Millicores(9000)));
  fixture.m_fleet.m_orders.clear();
  JobPlan best_effort = MakePlan("filler", 3, Millicores(4000));
  best_effort.m_steps.front().m_processor_use = ProcessorUse::kBestEffort;
  Submit(fixture, best_effort);
  // 5.5 processors are assumed idle: enough for one task of 4 processors, but
  // not for 60% of a second one.
  CHECK(TakeOrders<StartOrder>(fixture).size() == 1);
}

TEST_CASE("A best-effort task waits for 60% of its demand to be idle") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 1, Millicores(1000));
  Submit(fixture, MakePlan("reserved", 1, Millicores(800)));
  fixture.m_fleet.m_orders.clear();
  JobPlan best_effort = MakePlan("filler", 1, Millicores(1000));
  best_effort.m_steps.front().m_processor_use = ProcessorUse::kBestEffort;
  SECTION("600 millicores are needed and idle") {
    Submit(fixture, best_effort);
    CHECK(TakeOrders<StartOrder>(fixture).size() == 1);
  }
  SECTION("600.6 millicores are needed") {
    best_effort.m_steps.front().m_demand.m_processors = Millicores(1001);
    Submit(fixture, best_effort);
    CHECK(TakeOrders<StartOrder>(fixture).empty());
  }
}

namespace {

JobPlan ServingPlan(const std::string& key, const std::string& image) {
  JobPlan plan = MakePlan(key, 1, Millicores(4000));
  plan.m_steps.front().m_kind = StepKind::kService;
  plan.m_steps.front().m_image = ImageId(image);
  plan.m_steps.front().m_latency_target = std::chrono::milliseconds(18);
  return plan;
}

JobPlan BestEffortPlan(const std::string& key, std::uint32_t tasks) {
  JobPlan plan = MakePlan(key, tasks, Millicores(1000));
  plan.m_steps.front().m_processor_use = ProcessorUse::kBestEffort;
  plan.m_steps.front().m_image = ImageId("grinder");
  return plan;
}

}  // namespace

TEST_CASE("Serving tasks of one image share workers, apart from other images") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 2, Millicores(10000));
  Submit(fixture, ServingPlan("one", "shop"));
  Submit(fixture, ServingPlan("two", "mill"));
  Submit(fixture, ServingPlan("three", "shop"));
  Submit(fixture, ServingPlan("four", "mill"));
  const auto starts = TakeOrders<StartOrder>(fixture);
  REQUIRE(starts.size() == 4);
  CHECK(starts[0].m_worker == starts[2].m_worker);
  CHECK(starts[1].m_worker == starts[3].m_worker);
  CHECK(starts[0].m_worker != starts[1].m_worker);
}

TEST_CASE("An unknown pair of images is tried on few workers") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 6, Millicores(5000));
  for (int number = 0; number < 6; ++number) {
    Submit(fixture, ServingPlan("s" + std::to_string(number), "shop"));
  }
  fixture.m_fleet.m_orders.clear();
  Submit(fixture, BestEffortPlan("filler", 6));
  CHECK(TakeOrders<StartOrder>(fixture).size() == 2);
}

TEST_CASE("Best-effort tasks prefer workers that few other images can share") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 3, Millicores(10000));
  Submit(fixture, ServingPlan("picky", "picky"));
  Submit(fixture, ServingPlan("easy", "easy"));
  const auto placed = TakeOrders<StartOrder>(fixture);
  REQUIRE(placed.size() == 2);
  Interference& known = fixture.m_fleet.m_interference;
  known.m_best_effort_images = {ImageId("grinder"), ImageId("hammer")};
  known.m_pairs[{ImageId("picky"), ImageId("grinder")}] = {0, 0.1};
  known.m_pairs[{ImageId("easy"), ImageId("grinder")}] = {0, 0.1};
  known.m_incompatible_counts[ImageId("picky")] = 1;
  Submit(fixture, BestEffortPlan("filler", 1));
  const auto starts = TakeOrders<StartOrder>(fixture);
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].m_worker == placed[0].m_worker);
}

TEST_CASE("A best-effort job starts in a fleet with ample capacity") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 1, Millicores(10000));
  JobPlan serving = MakePlan("serving", 1, Millicores(4000));
  serving.m_steps.front().m_kind = StepKind::kService;
  serving.m_steps.front().m_image = ImageId("shop");
  serving.m_steps.front().m_latency_target = std::chrono::milliseconds(18);
  JobPlan best_effort = MakePlan("filler", 1, kCore);
  best_effort.m_steps.front().m_processor_use = ProcessorUse::kBestEffort;
  best_effort.m_steps.front().m_image = ImageId("grinder");
  fixture.m_fleet.m_interference
      .m_pairs[{ImageId("shop"), ImageId("grinder")}] = {60, 1};
  Submit(fixture, serving);
  SECTION("less than 60% of the processors are reserved") {
    fixture.m_fleet.m_orders.clear();
    best_effort.m_steps.front().m_task_count = 2;
    best_effort.m_steps.front().m_demand.m_processors = Millicores(12000);
    Submit(fixture, best_effort);
    // Only the first task starts; the other waits for idle processors.
    CHECK(TakeOrders<StartOrder>(fixture).size() == 1);
  }
  SECTION("more than 60% of the processors are reserved") {
    Submit(fixture, MakePlan("reserved", 1, Millicores(4000)));
    fixture.m_fleet.m_orders.clear();
    Submit(fixture, best_effort);
    CHECK(TakeOrders<StartOrder>(fixture).empty());
  }
}

}  // namespace daisyarch::fleet
