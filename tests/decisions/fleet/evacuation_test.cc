#include <catch2/catch.hpp>

#include "decisions/fleet/choose_worker.h"
#include "decisions/fleet/fleet_fixture.h"

namespace daisyarch::fleet {

namespace {

// Of all workers of the fixture.
const FailureDomainId kDomain;
constexpr Millicores kCore{1000};

std::size_t PlaceAndCount(FleetFixture& fixture) {
  PlaceRuns(fixture.m_fleet, fixture.m_now);
  return TakeOrders<StartOrder>(fixture).size();
}

}  // namespace

TEST_CASE("An unanswered start is not sent again to an evacuated domain") {
  FleetFixture fixture;
  Fleet& fleet = fixture.m_fleet;
  AddReadyWorkers(fixture, 1, kCore);
  Submit(fixture, MakePlan("job", 1, kCore));
  const auto starts = TakeOrders<StartOrder>(fixture);
  REQUIRE(starts.size() == 1);
  ApplyStartOutcome(fleet, starts[0], StartOutcome::kUnanswered, fixture.m_now);
  Wait(fixture, std::chrono::milliseconds(200));
  Report(fixture, "w0", {}, {});
  REQUIRE(fleet.m_resends.size() == 1);
  const auto changes = ApplyEvacuations(fleet, {kDomain}, fixture.m_now);
  REQUIRE(changes.size() == 1);
  CHECK(changes.front().m_runs == 1);
  CHECK(fleet.m_worker_index.m_listed_capacity == Millicores(0));
  CHECK_FALSE(HasAmpleCapacity(fleet));
  CHECK(PlaceAndCount(fixture) == 0);
  CHECK(TakeOrders<StopOrder>(fixture).empty());
  ApplyEvacuations(fleet, {}, fixture.m_now);
  CHECK(PlaceAndCount(fixture) == 1);
}

TEST_CASE("No task starts before the evacuations are known") {
  FleetFixture fixture;
  Evacuations& evacuations = fixture.m_fleet.m_evacuations;
  evacuations.m_maximum_age = MaximumEvacuationsAge(std::chrono::seconds(5));
  AddReadyWorkers(fixture, 2, kCore);
  Submit(fixture, MakePlan("job", 1, kCore));
  CHECK(PlaceAndCount(fixture) == 0);
  ApplyEvacuations(fixture.m_fleet, {}, fixture.m_now);
  CHECK(PlaceAndCount(fixture) == 1);
  fixture.m_now += *evacuations.m_maximum_age;
  Submit(fixture, MakePlan("later", 1, kCore));
  CHECK(PlaceAndCount(fixture) == 0);
}

}  // namespace daisyarch::fleet
