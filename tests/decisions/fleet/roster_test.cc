#include <catch2/catch.hpp>

#include "decisions/fleet/fleet_fixture.h"

namespace daisyarch::fleet {

namespace {

constexpr Millicores kCore{1000};
constexpr Duration kUnseen = std::chrono::seconds(10);

void SubmitInherited(FleetFixture& fixture) {
  AddJob(fixture.m_fleet, MakePlan("job", 1, kCore), {}, fixture.m_now);
  FindJob(fixture.m_fleet, JobKey("job"))->m_is_inherited = true;
}

std::size_t CountStarts(FleetFixture& fixture) {
  PlaceRuns(fixture.m_fleet, fixture.m_now);
  return TakeOrders<StartOrder>(fixture).size();
}

}  // namespace

TEST_CASE("A worker gets no work before the roster names it") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 1, kCore);
  FindWorker(fixture.m_fleet, WorkerId("w0"))->m_is_in_roster = false;
  Submit(fixture, MakePlan("job", 1, kCore));
  CHECK(TakeOrders<StartOrder>(fixture).empty());
  ApplyRosterStored(fixture.m_fleet, MissingFromRoster(fixture.m_fleet));
  CHECK(CountStarts(fixture) == 1);
}

TEST_CASE("Inherited work waits for workers that no listing names") {
  FleetFixture fixture;
  ApplyRosterLoaded(fixture.m_fleet, {WorkerId("lost"), "lost"},
                    fixture.m_now + kUnseen);
  AddReadyWorkers(fixture, 1, kCore);
  SubmitInherited(fixture);
  CHECK(CountStarts(fixture) == 0);
  SECTION("until they answer") {
    Report(fixture, "lost", {}, {});
    CHECK(CountStarts(fixture) == 1);
  }
  SECTION("until every lease is over") {
    fixture.m_now += kUnseen;
    CHECK(CountStarts(fixture) == 1);
  }
}

TEST_CASE("A leaving worker stands in the roster while it runs something") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 1, kCore);
  Submit(fixture, MakePlan("job", 1, kCore));
  const auto starts = TakeOrders<StartOrder>(fixture);
  REQUIRE(starts.size() == 1);
  Worker& worker = *FindWorker(fixture.m_fleet, WorkerId("w0"));
  worker.m_listing.m_is_leaving = true;
  CHECK(LeftInRoster(fixture.m_fleet).empty());
  ApplyStartOutcome(fixture.m_fleet, starts[0], StartOutcome::kRefused,
                    fixture.m_now);
  CHECK(LeftInRoster(fixture.m_fleet) == std::vector<WorkerId>{WorkerId("w0")});
  ApplyRosterRemoved(fixture.m_fleet, {WorkerId("w0")});
  CHECK(MissingFromRoster(fixture.m_fleet).empty());
  worker.m_listing.m_is_leaving = false;
  CHECK(MissingFromRoster(fixture.m_fleet).size() == 1);
}

TEST_CASE("New work does not wait for workers that do not answer") {
  FleetFixture fixture;
  ApplyRosterLoaded(fixture.m_fleet, {WorkerId("lost"), "lost"},
                    fixture.m_now + kUnseen);
  AddReadyWorkers(fixture, 1, kCore);
  Submit(fixture, MakePlan("job", 1, kCore));
  CHECK(TakeOrders<StartOrder>(fixture).size() == 1);
}

TEST_CASE("After an orderly handover leases alone are waited out") {
  FleetLimits limits;
  Handover handover;
  handover.m_term = Term(4);
  handover.m_unseen_ms[WorkerId("dark")] = 7000;
  const WorkerId known("known");
  const WorkerId dark("dark");
  CHECK(UnseenAfter(limits, handover, Term(5), known) < kUnseen / 2);
  CHECK(UnseenAfter(limits, handover, Term(5), known) > limits.m_lease);
  CHECK(UnseenAfter(limits, handover, Term(5), dark) ==
        std::chrono::seconds(7));
  CHECK(UnseenAfter(limits, handover, Term(6), known) ==
        limits.m_inherited_lease);
}

}  // namespace daisyarch::fleet
