#include <catch2/catch.hpp>

#include "decisions/fleet/fleet_fixture.h"

namespace daisyarch::fleet {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Millicores kCore{1000};

StartOrder StartOne(FleetFixture& fixture, int workers, std::uint32_t tasks) {
  AddReadyWorkers(fixture, workers, kCore);
  Submit(fixture, MakePlan("job", tasks, kCore));
  const auto starts = TakeOrders<StartOrder>(fixture);
  REQUIRE(!starts.empty());
  return starts.front();
}

// Returns an order for the first task of a job.
StartOrder StartOrderOf(const std::string& job, RunNumber run) {
  StartOrder start;
  start.m_task.m_job = JobKey(job);
  start.m_run = run;
  return start;
}

void Confirm(FleetFixture& fixture, const StartOrder& start) {
  ApplyStartOutcome(fixture.m_fleet, start, StartOutcome::kStarted,
                    fixture.m_now);
}

// Answers the worker's latest poll as its next incarnation.
void ReportAsRestarted(FleetFixture& fixture, const WorkerId& id,
                       const std::vector<EndedRun>& ended) {
  const Worker& worker = *FindWorker(fixture.m_fleet, id);
  WorkerReport report;
  report.m_incarnation = Incarnation(2);
  report.m_ended = ended;
  ApplyReport(fixture.m_fleet, id, worker.m_poll_number, worker.m_token, report,
              fixture.m_now);
}

void FailPollsFor(FleetFixture& fixture, const WorkerId& id,
                  Duration duration) {
  const TimePoint end = fixture.m_now + duration;
  while (fixture.m_now < end) {
    Wait(fixture, milliseconds(100));
    // The fleet forgets a worker that is not listed and runs nothing.
    if (FindWorker(fixture.m_fleet, id) != nullptr) {
      FailPoll(fixture, id.value());
    }
  }
}

// Applies a listing without this worker, or with it as `incarnation`, that was
// asked for `age` ago.
void List(FleetFixture& fixture, const ListedWorker& worker,
          Incarnation incarnation, Duration age = Duration{}) {
  std::vector<ListedWorker> listing;
  for (const auto& [id, known] : fixture.m_fleet.m_workers) {
    if (id != worker.m_worker) listing.push_back(known.m_listing);
  }
  if (incarnation != Incarnation()) {
    listing.push_back(worker);
    listing.back().m_incarnation = incarnation;
  }
  ApplyListing(fixture.m_fleet, listing, fixture.m_now - age, fixture.m_now);
}

OutcomeNumber AcknowledgedByNextPoll(FleetFixture& fixture) {
  fixture.m_fleet.m_orders.clear();
  Wait(fixture, milliseconds(400));
  const auto polls = TakeOrders<PollOrder>(fixture);
  REQUIRE(polls.size() == 1);
  return polls.front().m_acknowledged;
}

}  // namespace

// Guards against a task that starts again while its unanswered start may still
// take effect: a worker that has restarted has no expired lease.
TEST_CASE("An unanswered start outlasts the lease of a silent worker") {
  FleetFixture fixture;
  const StartOrder start = StartOne(fixture, 2, 1);
  ApplyStartOutcome(fixture.m_fleet, start, StartOutcome::kUnanswered,
                    fixture.m_now);
  FailPollsFor(fixture, start.m_worker, seconds(6));
  PlaceRuns(fixture.m_fleet, fixture.m_now);
  CHECK(TakeOrders<StartOrder>(fixture).empty());
  CHECK(TaskOf(fixture, start.m_task).m_state == RunState::kUnconfirmed);
  SECTION("until the worker reports without it") {
    Report(fixture, start.m_worker.value(), {}, {});
    CHECK(TaskOf(fixture, start.m_task).m_state == RunState::kResending);
  }
  SECTION("until the platform no longer lists the worker and it is too late") {
    FailPollsFor(fixture, start.m_worker, seconds(9));
    std::vector<ListedWorker> others;
    for (const auto& [id, worker] : fixture.m_fleet.m_workers) {
      if (id != start.m_worker) others.push_back(worker.m_listing);
    }
    ApplyListing(fixture.m_fleet, others, fixture.m_now, fixture.m_now);
    CHECK(TaskOf(fixture, start.m_task).m_state == RunState::kWaiting);
    CHECK(fixture.m_fleet.m_workers.count(start.m_worker) == 0);
  }
  SECTION("until it can have arrived no more and its lease has expired") {
    FailPollsFor(fixture, start.m_worker, seconds(19));
    CHECK(TaskOf(fixture, start.m_task).m_state == RunState::kWaiting);
  }
}

// Guards against an acknowledgement that makes a restarted worker forget ended
// runs that the leader has not seen.
TEST_CASE("A poll acknowledges only ended runs that the last report listed") {
  FleetFixture fixture;
  const StartOrder start = StartOne(fixture, 1, 2);
  Confirm(fixture, start);
  Wait(fixture, milliseconds(10));
  Report(fixture, "w0", {}, {EndedRunOf(start, 1, RunOutcome::kDone)});
  ApplyStoredBatch(fixture.m_fleet, TakeChanges(fixture.m_fleet));
  CHECK(AcknowledgedByNextPoll(fixture) == OutcomeNumber(1));
  SECTION("not once the worker has forgotten them") {
    Report(fixture, "w0", {}, {});
    fixture.m_now += seconds(11);
    CHECK(AcknowledgedByNextPoll(fixture) == OutcomeNumber(0));
  }
  SECTION("not after a poll without an answer") {
    FailPoll(fixture, "w0");
    CHECK(AcknowledgedByNextPoll(fixture) == OutcomeNumber(0));
    Report(fixture, "w0", {}, {EndedRunOf(start, 1, RunOutcome::kDone)});
    CHECK(AcknowledgedByNextPoll(fixture) == OutcomeNumber(1));
  }
}

// Guards against an ended run of a new incarnation that is acknowledged or lost
// before it counts.
TEST_CASE("The first report of a new incarnation counts its ended runs") {
  FleetFixture fixture;
  const StartOrder start = StartOne(fixture, 1, 2);
  Confirm(fixture, start);
  Wait(fixture, milliseconds(10));
  ReportAsRestarted(fixture, start.m_worker,
                    {EndedRunOf(start, 1, RunOutcome::kDone)});
  CHECK(TaskOf(fixture, start.m_task).m_state == RunState::kDone);
}

// Guards against a run that counts as gone because the report had no room for
// its end.
TEST_CASE("A run that an incomplete list of ended runs omits is not gone") {
  FleetFixture fixture;
  const StartOrder start = StartOne(fixture, 1, 2);
  bool may_start_late = false;
  SECTION("after a confirmed start") { Confirm(fixture, start); }
  SECTION("after an unanswered start") {
    ApplyStartOutcome(fixture.m_fleet, start, StartOutcome::kUnanswered,
                      fixture.m_now);
    may_start_late = true;
  }
  Wait(fixture, milliseconds(200));
  const Worker& worker = *FindWorker(fixture.m_fleet, start.m_worker);
  EndedRun other = EndedRunOf(start, 1, RunOutcome::kStopped);
  other.m_task.m_job = JobKey("other");
  WorkerReport report;
  report.m_incarnation = Incarnation(1);
  report.m_ended = {other};
  report.m_lists_all_ends = false;
  ApplyReport(fixture.m_fleet, start.m_worker, worker.m_poll_number,
              worker.m_token, report, fixture.m_now);
  CHECK(IsPlaced(TaskOf(fixture, start.m_task).m_state));
  if (may_start_late) {
    ApplyStoredBatch(fixture.m_fleet, TakeChanges(fixture.m_fleet));
    CHECK(AcknowledgedByNextPoll(fixture) == OutcomeNumber(0));
    Report(fixture, "w0", {}, {other});
    fixture.m_now += milliseconds(13'500);
  }
  CHECK(AcknowledgedByNextPoll(fixture) == OutcomeNumber(1));
  Report(fixture, "w0", {}, {EndedRunOf(start, 2, RunOutcome::kDone)});
  CHECK(TaskOf(fixture, start.m_task).m_state == RunState::kDone);
}

// Guards against a done run that is acknowledged without having counted, after
// which the task starts again.
TEST_CASE("A done run counts although its worker had counted as lapsed") {
  FleetFixture fixture;
  const StartOrder start = StartOne(fixture, 1, 2);
  Confirm(fixture, start);
  FailPollsFor(fixture, start.m_worker, seconds(6));
  REQUIRE(TaskOf(fixture, start.m_task).m_state == RunState::kWaiting);
  Report(fixture, "w0", {}, {EndedRunOf(start, 1, RunOutcome::kDone)});
  CHECK(TaskOf(fixture, start.m_task).m_state == RunState::kDone);
}

// Guards against a gang that can neither end nor start again: one member's
// worker was lost before another member's worker reported the gang as done.
TEST_CASE("A gang is done once a member is, also after another was lost") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 2, kCore);
  JobPlan plan = MakePlan("job", 2, kCore);
  plan.m_steps.front().m_is_gang = true;
  Submit(fixture, plan);
  const auto starts = TakeOrders<StartOrder>(fixture);
  REQUIRE(starts.size() == 2);
  for (const StartOrder& start : starts) Confirm(fixture, start);
  Wait(fixture, milliseconds(10));
  for (const StartOrder& start : starts) {
    Report(fixture, start.m_worker.value(), {ActiveRunOf(start)}, {});
  }
  Wait(fixture, milliseconds(10));
  ReportAsRestarted(fixture, starts[0].m_worker, {});
  Report(fixture, starts[1].m_worker.value(), {},
         {EndedRunOf(starts[1], 1, RunOutcome::kDone)});
  CHECK(TaskOf(fixture, starts[0].m_task).m_state == RunState::kDone);
  CHECK(TaskOf(fixture, starts[1].m_task).m_state == RunState::kDone);
}

// Guards against a done run that is acknowledged before its job is known, after
// which the task starts again: another leader had started the job.
TEST_CASE("An ended run of a job that may become known is not acknowledged") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 1, kCore);
  const StartOrder unknown = StartOrderOf("job", RunNumber(7));
  fixture.m_now += seconds(11);
  Wait(fixture, milliseconds(10));
  const EndedRun ended = EndedRunOf(unknown, 1, RunOutcome::kDone);
  Report(fixture, "w0", {}, {ended});
  CHECK(AcknowledgedByNextPoll(fixture) == OutcomeNumber(0));
  SECTION("and counts once the job is known") {
    AddJob(fixture.m_fleet, MakePlan("job", 2, kCore), {}, fixture.m_now);
    Report(fixture, "w0", {}, {ended});
    CHECK(TaskOf(fixture, unknown.m_task).m_state == RunState::kDone);
  }
  SECTION("until every job that was stored by then is known") {
    fixture.m_fleet.m_jobs_known_at = fixture.m_now;
    Report(fixture, "w0", {}, {ended});
    CHECK(AcknowledgedByNextPoll(fixture) == OutcomeNumber(1));
  }
}

// Guards against two runs of one task: another leader had started the job, and
// the worker reported the run before this leader knew the job.
TEST_CASE("An inherited job waits for a run that was reported before it") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 2, kCore);
  fixture.m_now += seconds(11);
  Wait(fixture, milliseconds(10));
  const StartOrder unknown = StartOrderOf("job", RunNumber(7));
  Report(fixture, "w0", {ActiveRunOf(unknown)}, {});
  Report(fixture, "w1", {}, {});
  SECTION("while the run may be active") {}
  SECTION("while the end of the run is not applied") {
    Wait(fixture, milliseconds(400));
    Report(fixture, "w0", {}, {EndedRunOf(unknown, 1, RunOutcome::kDone)});
  }
  AddJob(fixture.m_fleet, MakePlan("job", 1, kCore), {}, fixture.m_now);
  FindJob(fixture.m_fleet, JobKey("job"))->m_is_inherited = true;
  PlaceRuns(fixture.m_fleet, fixture.m_now);
  CHECK(TakeOrders<StartOrder>(fixture).empty());
}

// Guards against the same if the worker falls silent and is listed no more
// before the job is known: with the worker, the leader forgot the run.
TEST_CASE("A worker that may run an unknown job is not forgotten") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 2, kCore);
  const ListedWorker other =
      FindWorker(fixture.m_fleet, WorkerId("w1"))->m_listing;
  fixture.m_now += seconds(11);
  Wait(fixture, milliseconds(10));
  Report(fixture, "w0", {ActiveRunOf(StartOrderOf("job", RunNumber(7)))}, {});
  Report(fixture, "w1", {}, {});
  Wait(fixture, milliseconds(10));
  FailPoll(fixture, "w0");
  ApplyListing(fixture.m_fleet, {other}, fixture.m_now, fixture.m_now);
  AddJob(fixture.m_fleet, MakePlan("job", 1, kCore), {}, fixture.m_now);
  FindJob(fixture.m_fleet, JobKey("job"))->m_is_inherited = true;
  PlaceRuns(fixture.m_fleet, fixture.m_now);
  CHECK(TakeOrders<StartOrder>(fixture).empty());
  // The longest lease that another leader may have granted is over.
  FailPollsFor(fixture, WorkerId("w0"), seconds(11));
  ApplyListing(fixture.m_fleet, {other}, fixture.m_now, fixture.m_now);
  CHECK(FindWorker(fixture.m_fleet, WorkerId("w0")) == nullptr);
  fixture.m_fleet.m_orders.clear();
  PlaceRuns(fixture.m_fleet, fixture.m_now);
  CHECK(TakeOrders<StartOrder>(fixture).size() == 1);
}

TEST_CASE("An ended run of a job that has ended is acknowledged") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 1, kCore);
  fixture.m_fleet.m_ended_jobs[JobKey("job")] = 1;
  fixture.m_now += seconds(11);
  Wait(fixture, milliseconds(10));
  Report(fixture, "w0", {},
         {EndedRunOf(StartOrderOf("job", RunNumber(7)), 1, RunOutcome::kDone)});
  CHECK(AcknowledgedByNextPoll(fixture) == OutcomeNumber(1));
}

// Guards against a run of an earlier leader that counts as ended while that
// leader's lease lets it continue.
TEST_CASE("An earlier leader's lease is awaited after the first report") {
  FleetFixture fixture;
  ListedWorker listed;
  listed.m_worker = WorkerId("w0");
  listed.m_incarnation = Incarnation(1);
  listed.m_pool = PoolId("pool");
  listed.m_capacity = Resources{kCore, Mebibytes(64000), Accelerators(0)};
  ApplyListing(fixture.m_fleet, {listed}, fixture.m_now, fixture.m_now);
  AddJob(fixture.m_fleet, MakePlan("job", 1, kCore), {}, fixture.m_now);
  Wait(fixture, milliseconds(10));
  ActiveRun adopted;
  adopted.m_task.m_job = JobKey("job");
  adopted.m_run = RunNumber(7);
  Report(fixture, "w0", {adopted}, {});
  REQUIRE(TaskOf(fixture, adopted.m_task).m_state == RunState::kRunning);
  ApplyOrderFailure(fixture.m_fleet, WorkerId("w0"),
                    FindWorker(fixture.m_fleet, WorkerId("w0"))->m_token);
  FailPollsFor(fixture, WorkerId("w0"), seconds(9));
  CHECK(TaskOf(fixture, adopted.m_task).m_state == RunState::kRunning);
  FailPollsFor(fixture, WorkerId("w0"), seconds(2));
  CHECK(TaskOf(fixture, adopted.m_task).m_state == RunState::kWaiting);
}

// Guards against a task that never starts again: its start was answered after
// the leader had learned of the worker's restart, and the new incarnation never
// reports.
TEST_CASE("A start that a restarted worker confirmed ends with that worker") {
  FleetFixture fixture;
  const StartOrder start = StartOne(fixture, 2, 1);
  const ListedWorker listed =
      FindWorker(fixture.m_fleet, start.m_worker)->m_listing;
  List(fixture, listed, Incarnation(2));
  ApplyStartOutcome(fixture.m_fleet, start, StartOutcome::kStarted,
                    fixture.m_now);
  FailPollsFor(fixture, start.m_worker, seconds(20));
  List(fixture, listed, Incarnation());
  FailPollsFor(fixture, start.m_worker, seconds(40));
  CHECK(TaskOf(fixture, start.m_task).m_state == RunState::kWaiting);
}

// Guards against a task that never starts again: its start was answered after
// the lease of its worker had expired, and the worker never reports.
TEST_CASE("A start that was confirmed after a lapse ends with the worker") {
  FleetFixture fixture;
  const StartOrder start = StartOne(fixture, 2, 1);
  FailPollsFor(fixture, start.m_worker, seconds(5));
  ApplyStartOutcome(fixture.m_fleet, start, StartOutcome::kStarted,
                    fixture.m_now);
  const ListedWorker listed =
      FindWorker(fixture.m_fleet, start.m_worker)->m_listing;
  FailPollsFor(fixture, start.m_worker, seconds(20));
  List(fixture, listed, Incarnation());
  FailPollsFor(fixture, start.m_worker, seconds(40));
  CHECK(TaskOf(fixture, start.m_task).m_state == RunState::kWaiting);
}

// Guards against a late start that takes effect at a new incarnation although
// that has reported: the worker was listed again under its first token, below
// that of the start.
TEST_CASE("A worker that is listed again gets a token above its earlier ones") {
  FleetFixture fixture;
  const StartOrder first = StartOne(fixture, 1, 2);
  const ListedWorker listed =
      FindWorker(fixture.m_fleet, first.m_worker)->m_listing;
  ApplyStartOutcome(fixture.m_fleet, first, StartOutcome::kUnanswered,
                    fixture.m_now);
  Wait(fixture, milliseconds(100));
  Report(fixture, "w0", {}, {});
  PlaceRuns(fixture.m_fleet, fixture.m_now);
  const auto starts = TakeOrders<StartOrder>(fixture);
  REQUIRE(!starts.empty());
  const StartOrder& late = starts.front();
  ApplyStartOutcome(fixture.m_fleet, late, StartOutcome::kUnanswered,
                    fixture.m_now);
  FailPollsFor(fixture, WorkerId("w0"), seconds(5));
  List(fixture, listed, Incarnation());
  fixture.m_fleet.m_orders.clear();
  Wait(fixture, milliseconds(700));
  List(fixture, listed, Incarnation(2));
  Wait(fixture, milliseconds(100));
  const auto polls = TakeOrders<PollOrder>(fixture);
  REQUIRE(!polls.empty());
  CHECK(polls.back().m_token > late.m_token);
}

// Guards against a failed run that is acknowledged without having counted as an
// attempt: its worker had counted as lapsed, and no later run had started.
TEST_CASE("A failed run counts although its worker had counted as lapsed") {
  FleetFixture fixture;
  const StartOrder start = StartOne(fixture, 1, 2);
  ApplyStartOutcome(fixture.m_fleet, start, StartOutcome::kStarted,
                    fixture.m_now);
  FailPollsFor(fixture, start.m_worker, seconds(6));
  REQUIRE(TaskOf(fixture, start.m_task).m_state == RunState::kWaiting);
  Report(fixture, "w0", {}, {EndedRunOf(start, 1, RunOutcome::kFailed)});
  CHECK(TaskOf(fixture, start.m_task).m_failed_runs.size() == 1);
}

// Guards against confirmed runs that count as gone because an outdated listing
// names the worker's previous incarnation, whose start time is the later one:
// the clock of the worker's machine was set back in between.
TEST_CASE("An outdated listing does not restart a worker that has reported") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 1, kCore);
  ListedWorker listed = FindWorker(fixture.m_fleet, WorkerId("w0"))->m_listing;
  // The worker restarts with its clock set back, and reports that itself.
  List(fixture, listed, Incarnation(9));
  Wait(fixture, milliseconds(10));
  Report(fixture, "w0", {}, {});
  Wait(fixture, milliseconds(10));
  Report(fixture, "w0", {}, {});
  List(fixture, listed, Incarnation(1));
  ApplyRosterStored(fixture.m_fleet, MissingFromRoster(fixture.m_fleet));
  Submit(fixture, MakePlan("job", 1, kCore));
  const auto starts = TakeOrders<StartOrder>(fixture);
  REQUIRE(starts.size() == 1);
  ApplyStartOutcome(fixture.m_fleet, starts[0], StartOutcome::kStarted,
                    fixture.m_now);
  Wait(fixture, seconds(1));
  Report(fixture, "w0", {ActiveRunOf(starts[0])}, {});
  List(fixture, listed, Incarnation(9), milliseconds(10));
  CHECK(TaskOf(fixture, starts[0].m_task).m_state == RunState::kRunning);
  // The platform still lists that incarnation, as the worker can't replace its
  // entry.
  Wait(fixture, milliseconds(100));
  List(fixture, listed, Incarnation(9));
  CHECK(TaskOf(fixture, starts[0].m_task).m_state == RunState::kRunning);
  // Another one is a restart that the worker has not reported yet.
  Wait(fixture, milliseconds(100));
  List(fixture, listed, Incarnation(10));
  CHECK(TaskOf(fixture, starts[0].m_task).m_state == RunState::kWaiting);
}

}  // namespace daisyarch::fleet
