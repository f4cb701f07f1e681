#include <catch2/catch.hpp>

#include "decisions/fleet/fleet_fixture.h"

namespace daisyarch::fleet {

namespace {

constexpr Millicores kWorkerProcessors{64000};
constexpr Millicores kTaskProcessors{6400};
constexpr int kWorkers = 100;
constexpr int kTasks = 600;
// Sending more orders in one turn takes the smallest nodes longer than half of
// the claim's lease.
constexpr std::size_t kMaximumStartsPerTurn = 128;

}  // namespace

// Guards against accepted work that never runs: a leader that started its whole
// backlog in one turn of its loop lost its claim meanwhile, and so did the next.
TEST_CASE("A large backlog is started in small parts", "[!shouldfail]") {
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

}  // namespace daisyarch::fleet
