#include <catch2/catch.hpp>

#include "decisions/fleet/fleet_fixture.h"

namespace daisyarch::fleet {

namespace {

using std::chrono::milliseconds;

constexpr Millicores kCore{1000};

// Starts both members of the gang, and lets both end as failed.
void FailBothMembers(FleetFixture& fixture, std::uint64_t end_number) {
  fixture.m_fleet.m_needs_placement = true;
  PlaceRuns(fixture.m_fleet, fixture.m_now);
  const auto starts = TakeOrders<StartOrder>(fixture);
  REQUIRE(starts.size() == 2);
  for (const StartOrder& start : starts) {
    ApplyStartOutcome(fixture.m_fleet, start, StartOutcome::kStarted,
                      fixture.m_now);
  }
  Wait(fixture, milliseconds(400));
  for (const StartOrder& start : starts) {
    Report(fixture, start.m_worker.value(), {},
           {EndedRunOf(start, end_number, RunOutcome::kFailed)});
  }
  Wait(fixture, milliseconds(400));
}

}  // namespace

// Guards against a job that is given up without cause: its gang had failed
// twice out of three attempts, but in the second run both members had failed
// by themselves.
TEST_CASE("Two members that fail in one run use up one attempt of their gang") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 2, kCore);
  JobPlan plan = MakePlan("job", 2, kCore);
  plan.m_steps.front().m_is_gang = true;
  AddJob(fixture.m_fleet, plan, {}, fixture.m_now);
  FailBothMembers(fixture, 1);
  FailBothMembers(fixture, 2);
  const Job* job = FindJob(fixture.m_fleet, plan.m_key);
  REQUIRE(job != nullptr);
  CHECK_FALSE(job->m_has_failed);
}

}  // namespace daisyarch::fleet
