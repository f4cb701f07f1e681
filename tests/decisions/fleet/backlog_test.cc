#include <catch2/catch.hpp>

#include "decisions/fleet/fleet_fixture.h"
#include "decisions/fleet/load_control.h"

namespace daisyarch::fleet {

namespace {

constexpr Millicores kWorkerProcessors{64000};
constexpr Millicores kTaskProcessors{6400};
constexpr int kWorkers = 100;
constexpr int kTasks = 600;
// The most that DESIGN allows, so that the claim is renewed between two turns.
constexpr std::size_t kMaximumStartsPerTurn = 128;

}  // namespace

// Guards against accepted work that never runs: a leader that started its whole
// backlog in one turn of its loop lost its claim meanwhile, and so did the
// next.
TEST_CASE("A large backlog is started in small parts") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, kWorkers, kWorkerProcessors);
  AddJob(fixture.m_fleet, MakePlan("backlog", kTasks, kTaskProcessors), {},
         fixture.m_now);
  std::size_t started = 0;
  std::size_t passes = 0;
  while (fixture.m_fleet.m_needs_placement) {
    PlaceRuns(fixture.m_fleet, fixture.m_now);
    const std::size_t starts = TakeOrders<StartOrder>(fixture).size();
    CHECK(starts <= kMaximumStartsPerTurn);
    started += starts;
    REQUIRE(++passes <= kTasks);
  }
  CHECK(started == kTasks);
}

TEST_CASE("The workers of a new leader are polled in small parts") {
  FleetFixture fixture;
  fixture.m_fleet.m_limits.m_polls_per_pass = 8;
  for (int number = 0; number < kWorkers; ++number) {
    const WorkerId id("w" + std::to_string(number));
    ApplyRosterLoaded(fixture.m_fleet, {id, id.value()}, fixture.m_now);
  }
  std::set<WorkerId> polled;
  std::size_t passes = 0;
  while (polled.size() < kWorkers) {
    TickFleet(fixture.m_fleet, fixture.m_now, 0);
    const auto polls = TakeOrders<PollOrder>(fixture);
    CHECK(polls.size() <= fixture.m_fleet.m_limits.m_polls_per_pass);
    for (const PollOrder& poll : polls) polled.insert(poll.m_worker);
    REQUIRE(++passes <= kWorkers);
  }
  CHECK_FALSE(fixture.m_fleet.m_has_due_polls);
}

TEST_CASE("A late loop starts and polls less at a time, and recovers") {
  FleetFixture fixture;
  FleetLimits& limits = fixture.m_fleet.m_limits;
  constexpr int kTicks = 10;
  const std::size_t initial = limits.m_starts_per_pass;
  AdaptToLoop(fixture.m_fleet, Duration{});
  CHECK(limits.m_starts_per_pass == initial);
  for (int tick = 0; tick < kTicks; ++tick) {
    AdaptToLoop(fixture.m_fleet, std::chrono::milliseconds(40));
  }
  CHECK(limits.m_starts_per_pass == kMaximumStartsPerTurn);
  CHECK(fixture.m_fleet.m_poll_spacing == Duration{});
  for (int tick = 0; tick < kTicks; ++tick) {
    AdaptToLoop(fixture.m_fleet, std::chrono::seconds(3));
  }
  CHECK(limits.m_starts_per_pass > 0);
  CHECK(limits.m_starts_per_pass < kMaximumStartsPerTurn / 4);
  // A lease of 4 s still covers a poll that waits 1 s, one without an answer
  // for 1.7 s, and a third.
  CHECK(fixture.m_fleet.m_poll_spacing <= std::chrono::milliseconds(500));
  CHECK(fixture.m_fleet.m_poll_spacing > Duration{});
  for (int tick = 0; tick < kTicks; ++tick) {
    AdaptToLoop(fixture.m_fleet, std::chrono::milliseconds(40));
  }
  CHECK(limits.m_starts_per_pass == kMaximumStartsPerTurn);
  CHECK(fixture.m_fleet.m_poll_spacing == Duration{});
}

// Guards against best-effort work that waits while reserved work keeps coming.
TEST_CASE("Reserved tasks leave some starts of a pass to best-effort tasks") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, kWorkers, kWorkerProcessors);
  AddJob(fixture.m_fleet, MakePlan("reserved", kTasks, kTaskProcessors), {},
         fixture.m_now);
  JobPlan filler = MakePlan("best-effort", kTasks, Millicores(100));
  filler.m_steps.front().m_processor_use = ProcessorUse::kBestEffort;
  Submit(fixture, filler);
  std::size_t best_effort = 0;
  const auto starts = TakeOrders<StartOrder>(fixture);
  for (const StartOrder& start : starts) {
    if (start.m_task.m_job == JobKey("best-effort")) ++best_effort;
  }
  CHECK(starts.size() <= kMaximumStartsPerTurn);
  CHECK(best_effort > 0);
  CHECK(best_effort < starts.size() / 2);
}

// Guards against a leader whose polls alone occupy its loop.
TEST_CASE("A busy leader spaces its polls") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 1, kWorkerProcessors);
  Submit(fixture, MakePlan("job", 2, kTaskProcessors));
  const auto starts = TakeOrders<StartOrder>(fixture);
  REQUIRE(starts.size() == 2);
  fixture.m_fleet.m_poll_spacing = std::chrono::milliseconds(500);
  Wait(fixture, std::chrono::milliseconds(10));
  Report(fixture, "w0", {ActiveRunOf(starts[0]), ActiveRunOf(starts[1])}, {});
  fixture.m_fleet.m_orders.clear();
  Wait(fixture, std::chrono::milliseconds(400));
  CHECK(TakeOrders<PollOrder>(fixture).empty());
  Wait(fixture, std::chrono::milliseconds(200));
  CHECK(TakeOrders<PollOrder>(fixture).size() == 1);
}

TEST_CASE("A busy leader spaces its polls, also after ended runs") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 1, kWorkerProcessors);
  Submit(fixture, MakePlan("job", 2, kTaskProcessors));
  const auto starts = TakeOrders<StartOrder>(fixture);
  REQUIRE(starts.size() == 2);
  fixture.m_fleet.m_poll_spacing = std::chrono::milliseconds(400);
  Wait(fixture, std::chrono::milliseconds(10));
  Report(fixture, "w0", {ActiveRunOf(starts[0])},
         {EndedRunOf(starts[1], 1, RunOutcome::kDone)});
  ApplyStoredBatch(fixture.m_fleet, TakeChanges(fixture.m_fleet));
  fixture.m_fleet.m_orders.clear();
  Wait(fixture, std::chrono::milliseconds(350));
  CHECK(TakeOrders<PollOrder>(fixture).empty());
  Wait(fixture, std::chrono::milliseconds(100));
  CHECK(TakeOrders<PollOrder>(fixture).size() == 1);
}

TEST_CASE("A busy leader extends a lease that ends soon at once") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 1, kWorkerProcessors);
  Submit(fixture, MakePlan("job", 1, kTaskProcessors));
  const auto starts = TakeOrders<StartOrder>(fixture);
  REQUIRE(starts.size() == 1);
  fixture.m_fleet.m_poll_spacing = std::chrono::milliseconds(400);
  Wait(fixture, std::chrono::milliseconds(10));
  // The poll took 2 s to answer, so that 2 s are left of the lease.
  fixture.m_now += std::chrono::seconds(2);
  Report(fixture, "w0", {ActiveRunOf(starts[0])}, {});
  fixture.m_fleet.m_orders.clear();
  Wait(fixture, std::chrono::milliseconds(10));
  CHECK(TakeOrders<PollOrder>(fixture).size() == 1);
}

// Guards against accepted work that never runs: nothing tried it again once the
// obstacle was gone, as no event marks the end of a quarantine.
TEST_CASE("A waiting task starts once the workers' quarantine is over") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 1, kWorkerProcessors);
  FindWorker(fixture.m_fleet, WorkerId("w0"))->m_quarantined_until =
      fixture.m_now + std::chrono::seconds(60);
  Submit(fixture, MakePlan("job", 1, kTaskProcessors));
  // By then the job's rank has changed for the last time.
  Wait(fixture, std::chrono::seconds(59));
  PlaceRuns(fixture.m_fleet, fixture.m_now);
  REQUIRE(TakeOrders<StartOrder>(fixture).empty());
  Wait(fixture, std::chrono::seconds(2));
  REQUIRE(fixture.m_fleet.m_needs_placement);
  PlaceRuns(fixture.m_fleet, fixture.m_now);
  CHECK(TakeOrders<StartOrder>(fixture).size() == 1);
}

}  // namespace daisyarch::fleet
