#include <catch2/catch.hpp>

#include "decisions/fleet/fleet_fixture.h"
#include "wire/roster_entry_text.h"

namespace daisyarch::fleet {

namespace {

constexpr Millicores kCore{1000};
constexpr Duration kInheritedRunsPeriod = std::chrono::seconds(10);

void SubmitInherited(FleetFixture& fixture) {
  AddJob(fixture.m_fleet, MakePlan("job", 1, kCore), {}, fixture.m_now);
  FindJob(fixture.m_fleet, JobKey("job"))->m_is_inherited = true;
}

std::size_t CountStarts(FleetFixture& fixture) {
  PlaceRuns(fixture.m_fleet, fixture.m_now);
  return TakeOrders<StartOrder>(fixture).size();
}

}  // namespace

TEST_CASE("A worker gets no tasks before it is stored in the roster") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 1, kCore);
  Worker& worker = *FindWorker(fixture.m_fleet, WorkerId("w0"));
  worker.m_is_in_roster = false;
  UpdateWorkerIndex(fixture.m_fleet, worker);
  Submit(fixture, MakePlan("job", 1, kCore));
  CHECK(TakeOrders<StartOrder>(fixture).empty());
  ApplyRosterStored(fixture.m_fleet, MissingFromRoster(fixture.m_fleet));
  CHECK(CountStarts(fixture) == 1);
}

TEST_CASE("Inherited jobs wait for unlisted workers in the roster") {
  FleetFixture fixture;
  ApplyRosterLoaded(fixture.m_fleet, {WorkerId("lost"), "lost"},
                    fixture.m_now + kInheritedRunsPeriod);
  AddReadyWorkers(fixture, 1, kCore);
  SubmitInherited(fixture);
  CHECK(CountStarts(fixture) == 0);
  SECTION("until they report") {
    Report(fixture, "lost", {}, {});
    CHECK(CountStarts(fixture) == 1);
  }
  SECTION("until every lease has expired") {
    fixture.m_now += kInheritedRunsPeriod;
    CHECK(CountStarts(fixture) == 1);
  }
}

TEST_CASE("A leaving worker stays in the roster while it runs a task") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 1, kCore);
  Submit(fixture, MakePlan("job", 1, kCore));
  const auto starts = TakeOrders<StartOrder>(fixture);
  REQUIRE(starts.size() == 1);
  Worker& worker = *FindWorker(fixture.m_fleet, WorkerId("w0"));
  worker.m_listing.m_is_leaving = true;
  UpdateWorkerIndex(fixture.m_fleet, worker);
  CHECK(ObsoleteInRoster(fixture.m_fleet).empty());
  ApplyStartOutcome(fixture.m_fleet, starts[0], StartOutcome::kRefused,
                    fixture.m_now);
  CHECK(ObsoleteInRoster(fixture.m_fleet) ==
        std::vector<WorkerId>{WorkerId("w0")});
  ApplyRosterRemoved(fixture.m_fleet, {WorkerId("w0")});
  CHECK(MissingFromRoster(fixture.m_fleet).empty());
  worker.m_listing.m_is_leaving = false;
  CHECK(MissingFromRoster(fixture.m_fleet).size() == 1);
}

// Guards against a task that the next leader starts again after its run was
// done: a leaving worker was removed from the roster before its ended runs were
// stored, so that the next leader neither knew of them nor waited for it.
TEST_CASE("A leaving worker stays in the roster until its ends are stored") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 1, kCore);
  Submit(fixture, MakePlan("job", 1, kCore));
  const auto starts = TakeOrders<StartOrder>(fixture);
  REQUIRE(starts.size() == 1);
  const WorkerId id("w0");
  FindWorker(fixture.m_fleet, id)->m_listing.m_is_leaving = true;
  UpdateWorkerIndex(fixture.m_fleet, *FindWorker(fixture.m_fleet, id));
  Report(fixture, "w0", {}, {EndedRunOf(starts[0], 1, RunOutcome::kDone)});
  CHECK(ObsoleteInRoster(fixture.m_fleet).empty());
  const ChangeBatch batch = TakeChanges(fixture.m_fleet);
  CHECK(ObsoleteInRoster(fixture.m_fleet).empty());
  ApplyStoredBatch(fixture.m_fleet, batch);
  CHECK(ObsoleteInRoster(fixture.m_fleet) == std::vector<WorkerId>{id});
}

// Guards against the same fault through an end that waits for its job to become
// known.
TEST_CASE("A leaving worker stays in the roster until its ends are applied") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 1, kCore);
  StartOrder unknown;
  unknown.m_task.m_job = JobKey("job");
  unknown.m_run = RunNumber(1);
  const WorkerId id("w0");
  FindWorker(fixture.m_fleet, id)->m_listing.m_is_leaving = true;
  UpdateWorkerIndex(fixture.m_fleet, *FindWorker(fixture.m_fleet, id));
  Report(fixture, "w0", {}, {EndedRunOf(unknown, 1, RunOutcome::kDone)});
  CHECK(ObsoleteInRoster(fixture.m_fleet).empty());
  fixture.m_now += std::chrono::seconds(1);
  fixture.m_fleet.m_jobs_known_at = fixture.m_now;
  Report(fixture, "w0", {}, {EndedRunOf(unknown, 1, RunOutcome::kDone)});
  CHECK(ObsoleteInRoster(fixture.m_fleet) == std::vector<WorkerId>{id});
}

// Guards against the same fault through a worker that is forgotten because it
// neither answers nor is listed.
TEST_CASE("A silent unlisted worker is kept until its ends are stored") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 1, kCore);
  Submit(fixture, MakePlan("job", 1, kCore));
  const auto starts = TakeOrders<StartOrder>(fixture);
  REQUIRE(starts.size() == 1);
  Report(fixture, "w0", {}, {EndedRunOf(starts[0], 1, RunOutcome::kDone)});
  const ChangeBatch batch = TakeChanges(fixture.m_fleet);
  Wait(fixture, std::chrono::seconds(1));
  FailPoll(fixture, "w0");
  ApplyListing(fixture.m_fleet, {}, fixture.m_now, fixture.m_now);
  CHECK(ObsoleteInRoster(fixture.m_fleet).empty());
  ApplyStoredBatch(fixture.m_fleet, batch);
  ApplyListing(fixture.m_fleet, {}, fixture.m_now, fixture.m_now);
  CHECK(ObsoleteInRoster(fixture.m_fleet) ==
        std::vector<WorkerId>{WorkerId("w0")});
}

TEST_CASE("New jobs do not wait for unresponsive workers") {
  FleetFixture fixture;
  ApplyRosterLoaded(fixture.m_fleet, {WorkerId("lost"), "lost"},
                    fixture.m_now + kInheritedRunsPeriod);
  AddReadyWorkers(fixture, 1, kCore);
  Submit(fixture, MakePlan("job", 1, kCore));
  CHECK(TakeOrders<StartOrder>(fixture).size() == 1);
}

TEST_CASE("After an orderly handover only the granted leases are waited for") {
  const FleetLimits limits;
  const TimePoint now(std::chrono::seconds(100));
  Predecessor predecessor;
  predecessor.m_handover.m_term = Term(4);
  predecessor.m_handover.m_inherited_runs_ms[WorkerId("dark")] = 7000;
  const WorkerId known("known");
  const WorkerId unreachable("dark");
  CHECK(InheritedRunsUntil(limits, predecessor, Term(5), known, now) <
        now + kInheritedRunsPeriod / 2);
  CHECK(InheritedRunsUntil(limits, predecessor, Term(5), known, now) >
        now + limits.m_lease);
  CHECK(InheritedRunsUntil(limits, predecessor, Term(5), unreachable, now) ==
        now + std::chrono::seconds(7));
  CHECK(InheritedRunsUntil(limits, predecessor, Term(6), known, now) ==
        now + limits.m_inherited_lease);
}

TEST_CASE(
    "After the previous leader's end only its last leases are waited for") {
  const FleetLimits limits;
  const TimePoint now(std::chrono::seconds(100));
  const WorkerId worker("w");
  Predecessor predecessor;
  predecessor.m_first_seen_at = now - std::chrono::minutes(1);
  predecessor.m_ended_at = now;
  const TimePoint latest =
      InheritedRunsUntil(limits, predecessor, Term(6), worker, now);
  CHECK(latest > now + limits.m_lease);
  CHECK(latest < now + limits.m_inherited_lease * 2 / 3);
  // Leases of the leader before that one may last longer.
  predecessor.m_first_seen_at = now - std::chrono::seconds(1);
  CHECK(InheritedRunsUntil(limits, predecessor, Term(6), worker, now) ==
        predecessor.m_first_seen_at + limits.m_inherited_lease);
}

TEST_CASE("Inherited jobs start again after the previous leader has ended") {
  FleetFixture fixture;
  Fleet& fleet = fixture.m_fleet;
  ApplyRosterLoaded(fleet, {WorkerId("lost"), "lost"},
                    fixture.m_now + fleet.m_limits.m_inherited_lease);
  AddReadyWorkers(fixture, 1, kCore);
  AddJob(fleet, MakePlan("job", 1, kCore), {}, fixture.m_now);
  FindJob(fleet, JobKey("job"))->m_is_inherited = true;
  Predecessor predecessor;
  predecessor.m_first_seen_at = fixture.m_now - std::chrono::minutes(1);
  predecessor.m_ended_at = fixture.m_now;
  ApplyPredecessorEnded(fleet, predecessor);
  PlaceRuns(fleet, fixture.m_now);
  CHECK(TakeOrders<StartOrder>(fixture).empty());
  Wait(fixture, fleet.m_limits.m_lease + std::chrono::seconds(1));
  CHECK(fleet.m_needs_placement);
  PlaceRuns(fleet, fixture.m_now);
  CHECK(TakeOrders<StartOrder>(fixture).size() == 1);
}

namespace {

// Loads a worker that an earlier leader has stored and that is not reached, and
// a job that that leader may have started on it.
void LoadUnreachableWorker(FleetFixture& fixture) {
  RosterEntry entry{WorkerId("lost"), "lost", Incarnation(7)};
  SetTime(fixture.m_fleet, fixture.m_now, 0);
  ApplyRosterLoaded(fixture.m_fleet, entry,
                    fixture.m_now + fixture.m_fleet.m_limits.m_lease);
  AddReadyWorkers(fixture, 1, kCore);
  SubmitInherited(fixture);
}

// Lists the worker under this incarnation.
void ListLostWorker(FleetFixture& fixture, Incarnation incarnation) {
  ListedWorker entry;
  entry.m_worker = WorkerId("lost");
  entry.m_address = "lost";
  entry.m_incarnation = incarnation;
  entry.m_pool = PoolId("pool");
  ApplyListingChanges(fixture.m_fleet, {{entry.m_worker, entry}}, fixture.m_now,
                      fixture.m_now);
}

}  // namespace

// Guards against a second run of a task beside one that a worker which nobody
// has heard since its restart holds under the longest lease.
TEST_CASE("A restart that no leader has stored is awaited") {
  FleetFixture fixture;
  LoadUnreachableWorker(fixture);
  ListLostWorker(fixture, Incarnation(8));
  // An entry of its former life may have come first, or another restart follow.
  SECTION("under one incarnation") {}
  SECTION("and another restart") { ListLostWorker(fixture, Incarnation(9)); }
  Predecessor predecessor;
  predecessor.m_first_seen_at = fixture.m_now - std::chrono::minutes(1);
  predecessor.m_ended_at = fixture.m_now;
  ApplyPredecessorEnded(fixture.m_fleet, predecessor);
  Wait(fixture, fixture.m_fleet.m_limits.m_longest_lease);
  CHECK(CountStarts(fixture) == 0);
  Wait(fixture, std::chrono::seconds(4));
  CHECK(CountStarts(fixture) == 1);
}

// Guards against inherited tasks that wait for good.
TEST_CASE("A worker that restarts time and again is awaited once") {
  FleetFixture fixture;
  LoadUnreachableWorker(fixture);
  for (std::uint64_t incarnation = 8; incarnation < 13; ++incarnation) {
    ListLostWorker(fixture, Incarnation(incarnation));
    Wait(fixture, std::chrono::seconds(3));
  }
  CHECK(CountStarts(fixture) == 1);
}

namespace {

// Lets the worker answer as a process that began a few seconds ago.
void ReportYoung(FleetFixture& fixture, Incarnation incarnation) {
  const Worker& worker = *FindWorker(fixture.m_fleet, WorkerId("lost"));
  WorkerReport report;
  report.m_incarnation = incarnation;
  report.m_clock = WorkerMilliseconds(5000);
  ApplyReport(fixture.m_fleet, WorkerId("lost"), worker.m_poll_number,
              worker.m_token, report, fixture.m_now);
}

}  // namespace

// Guards against lasting tasks that stay idle for 13 s after each change of
// leaders in a site's first 24 s.
TEST_CASE("No earlier lease is assumed of an incarnation that was heard") {
  FleetFixture fixture;
  LoadUnreachableWorker(fixture);
  ReportYoung(fixture, Incarnation(7));
  CHECK(MissingFromRoster(fixture.m_fleet).empty());
  CHECK(HandoverOf(fixture.m_fleet, fixture.m_now).m_inherited_runs_ms.empty());
}

// Guards against a second run of a task beside one under a lease that an
// earlier leader had stored.
TEST_CASE("A stored lease of an incarnation that was heard is handed over") {
  FleetFixture fixture;
  RosterEntry entry{WorkerId("lost"), "lost", Incarnation(7)};
  entry.m_earlier_lease_until_unix_ms = 5000;
  SetTime(fixture.m_fleet, fixture.m_now, 0);
  ApplyRosterLoaded(fixture.m_fleet, entry, fixture.m_now);
  ReportYoung(fixture, Incarnation(7));
  const Worker& worker = *FindWorker(fixture.m_fleet, WorkerId("lost"));
  CHECK(worker.m_lease_until > WorkerMilliseconds(5000));
  const Handover handover = HandoverOf(fixture.m_fleet, fixture.m_now);
  REQUIRE(handover.m_inherited_runs_ms.count(WorkerId("lost")) == 1);
  CHECK(handover.m_inherited_runs_ms.at(WorkerId("lost")) >= 5000);
}

// Guards against an entry that vouches for an incarnation of which no leader
// knows yet which leases it may hold.
TEST_CASE("A worker is stored in the roster once it has reported") {
  FleetFixture fixture;
  ListLostWorker(fixture, Incarnation(7));
  CHECK(MissingFromRoster(fixture.m_fleet).empty());
  Wait(fixture, std::chrono::milliseconds(100));
  ReportYoung(fixture, Incarnation(7));
  CHECK(MissingFromRoster(fixture.m_fleet).size() == 1);
}

// Guards against a second run of a task beside one under a lease that the
// handover names, where the end of the leader before is told late.
TEST_CASE("The end of a leader that has handed over shortens no wait") {
  FleetFixture fixture;
  LoadUnreachableWorker(fixture);
  Predecessor predecessor;
  predecessor.m_handover.m_term = Term(1);
  predecessor.m_handover.m_inherited_runs_ms[WorkerId("lost")] = 10000;
  predecessor.m_first_seen_at = fixture.m_now - std::chrono::minutes(1);
  ApplyRosterLoaded(
      fixture.m_fleet, {WorkerId("lost"), "lost", Incarnation(7)},
      InheritedRunsUntil(fixture.m_fleet.m_limits, predecessor, Term(2),
                         WorkerId("lost"), fixture.m_now));
  predecessor.m_ended_at = fixture.m_now;
  ApplyPredecessorEnded(fixture.m_fleet, predecessor);
  Wait(fixture, std::chrono::seconds(9));
  CHECK(CountStarts(fixture) == 0);
  Wait(fixture, std::chrono::seconds(2));
  CHECK(CountStarts(fixture) == 1);
}

// Guards against a handover that shortens the wait for a worker whose restart
// the leader has noticed, but which has not reported since.
TEST_CASE("A handover names workers that have restarted unheard") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 1, kCore);
  Worker& worker = *FindWorker(fixture.m_fleet, WorkerId("w0"));
  UpdateIncarnation(fixture.m_fleet, worker, Incarnation(2), fixture.m_now);
  const Handover handover = HandoverOf(fixture.m_fleet, fixture.m_now);
  REQUIRE(handover.m_inherited_runs_ms.count(WorkerId("w0")) == 1);
  CHECK(handover.m_inherited_runs_ms.at(WorkerId("w0")) >=
        ToMilliseconds(fixture.m_fleet.m_limits.m_longest_lease));
}

TEST_CASE("A roster entry is read as it was written") {
  const RosterEntry entry{WorkerId("w"), "127.0.0.1:80", Incarnation(9), 1234};
  const RosterEntry read =
      DecodeRosterEntry(entry.m_worker, EncodeRosterEntry(entry));
  CHECK(read.m_address == entry.m_address);
  CHECK(read.m_incarnation == entry.m_incarnation);
  CHECK(read.m_earlier_lease_until_unix_ms == 1234);
  const RosterEntry earlier = DecodeRosterEntry(entry.m_worker, "127.0.0.1:80");
  CHECK(earlier.m_address == entry.m_address);
  CHECK(earlier.m_incarnation == Incarnation());
}

TEST_CASE("No lease outlasts the wait of the next leader") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 1, Millicores(4000));
  Fleet& fleet = fixture.m_fleet;
  fleet.m_lease_limit = fixture.m_now + std::chrono::seconds(1);
  Submit(fixture, MakePlan("job", 1, kCore));
  const Worker& worker = *FindWorker(fleet, WorkerId("w0"));
  const WorkerMilliseconds latest = WorkerClockAt(worker, fleet.m_lease_limit);
  const auto starts = TakeOrders<StartOrder>(fixture);
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].m_lease_until == latest);
  Report(fixture, "w0", {ActiveRunOf(starts[0])}, {});
  Wait(fixture, std::chrono::milliseconds(100));
  const auto polls = TakeOrders<PollOrder>(fixture);
  REQUIRE(polls.size() == 1);
  CHECK(polls[0].m_lease_until == latest);
}

}  // namespace daisyarch::fleet
