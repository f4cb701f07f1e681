#include "decisions/fleet/stalled_steps.h"

#include <catch2/catch.hpp>

#include "decisions/fleet/fleet_fixture.h"

namespace daisyarch::fleet {

namespace {

constexpr Millicores kCore{1000};
constexpr Duration kThreshold = std::chrono::seconds(3);
constexpr std::size_t kMaximumCount = 4;

std::vector<StalledStep> FindStalled(FleetFixture& fixture) {
  return FindStalledSteps(fixture.m_fleet, kThreshold, kMaximumCount,
                          fixture.m_now);
}

// Lets the step become known as stalled, and returns it after the threshold.
std::vector<StalledStep> FindAfterThreshold(FleetFixture& fixture) {
  REQUIRE(FindStalled(fixture).empty());
  Wait(fixture, kThreshold);
  return FindStalled(fixture);
}

}  // namespace

TEST_CASE("A step with a task that uses processor time is not stalled") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 1, kCore);
  Submit(fixture, MakePlan("job", 2, kCore));
  const auto starts = TakeOrders<StartOrder>(fixture);
  REQUIRE(starts.size() == 1);
  ActiveRun run = ActiveRunOf(starts[0]);
  run.m_load = 900;
  Wait(fixture, std::chrono::milliseconds(10));
  Report(fixture, "w0", {run}, {});
  CHECK(FindAfterThreshold(fixture).empty());
}

TEST_CASE("A step whose running tasks use no processor time is told") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 1, kCore);
  Submit(fixture, MakePlan("job", 1, kCore));
  const auto starts = TakeOrders<StartOrder>(fixture);
  REQUIRE(starts.size() == 1);
  Wait(fixture, std::chrono::milliseconds(10));
  Report(fixture, "w0", {ActiveRunOf(starts[0])}, {});
  const auto stalled = FindAfterThreshold(fixture);
  REQUIRE(stalled.size() == 1);
  CHECK(stalled[0].m_cause == StallCause::kNotWorking);
  CHECK(stalled[0].m_worker == WorkerId("w0"));
}

TEST_CASE("A step that no worker can take is reported after the threshold") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 1, kCore);
  Submit(fixture, MakePlan("job", 2, Millicores(2000)));
  const auto stalled = FindAfterThreshold(fixture);
  REQUIRE(stalled.size() == 1);
  CHECK(stalled[0].m_job == JobKey("job"));
  CHECK(stalled[0].m_cause == StallCause::kNoWorker);
  CHECK(stalled[0].m_stalled_for == kThreshold);
  CHECK(stalled[0].m_waiting == 2);
  CHECK(stalled[0].m_placed == 0);
}

TEST_CASE("A step that a worker could take but that is not placed is told") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 1, kCore);
  AddJob(fixture.m_fleet, MakePlan("job", 1, kCore), {}, fixture.m_now);
  const auto stalled = FindAfterThreshold(fixture);
  REQUIRE(stalled.size() == 1);
  CHECK(stalled[0].m_cause == StallCause::kNotTried);
}

TEST_CASE("A stalled step whose worker listing is too old is told") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 1, kCore);
  fixture.m_fleet.m_limits.m_maximum_listing_age = std::chrono::seconds(1);
  AddJob(fixture.m_fleet, MakePlan("job", 1, kCore), {}, fixture.m_now);
  const auto stalled = FindAfterThreshold(fixture);
  REQUIRE(stalled.size() == 1);
  CHECK(stalled[0].m_cause == StallCause::kListingTooOld);
}

TEST_CASE("A stalled step whose start has no answer names the worker") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 1, kCore);
  Submit(fixture, MakePlan("job", 1, kCore));
  const auto stalled = FindAfterThreshold(fixture);
  REQUIRE(stalled.size() == 1);
  CHECK(stalled[0].m_cause == StallCause::kStartUnconfirmed);
  CHECK(stalled[0].m_placed == 1);
  CHECK(stalled[0].m_worker == WorkerId("w0"));
}

TEST_CASE("An inherited step that waits for an earlier leader's runs is told") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 1, kCore);
  ApplyRosterLoaded(fixture.m_fleet, {WorkerId("absent"), "absent"},
                    fixture.m_now + std::chrono::seconds(8));
  AddJob(fixture.m_fleet, MakePlan("job", 1, kCore), {}, fixture.m_now);
  FindJob(fixture.m_fleet, JobKey("job"))->m_is_inherited = true;
  const auto stalled = FindAfterThreshold(fixture);
  REQUIRE(stalled.size() == 1);
  CHECK(stalled[0].m_cause == StallCause::kEarlierLeader);
}

TEST_CASE("The summary counts tasks and workers by state") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 2, kCore);
  Submit(fixture, MakePlan("job", 3, kCore));
  const auto starts = TakeOrders<StartOrder>(fixture);
  REQUIRE(starts.size() == 2);
  ApplyStartOutcome(fixture.m_fleet, starts[0], StartOutcome::kStarted,
                    fixture.m_now);
  FailPoll(fixture, "w1");
  const FleetSummary summary = Summarize(fixture.m_fleet);
  CHECK(summary.m_waiting == 1);
  CHECK(summary.m_starting == 1);
  CHECK(summary.m_running == 1);
  CHECK(summary.m_ready_workers == 1);
  CHECK(summary.m_other_workers == 1);
}

}  // namespace daisyarch::fleet
