#include "decisions/fleet/ended_runs.h"

#include <catch2/catch.hpp>

#include "decisions/fleet/fleet_fixture.h"

namespace daisyarch::fleet {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Millicores kCore{1000};
constexpr std::int64_t kUnixMs = 1'700'000'000'000;
const TaskReference kTask{JobKey("job"), 0, 0, 0};
// Runs of the leader before, in the order in which it started them.
const RunNumber kLowerRun{4};
const RunNumber kStoredRun{5};
const RunNumber kHigherRun{6};
// Below all runs of this leader.
const RunNumber kInheritedRun{6};

/// What is known of the task when the end is reported.
enum class Known {
  kRow,             ///< Its row alone: it waits.
  kRowWithFailure,  ///< Its row, which holds the failure of the run.
  kSeenActive,      ///< A worker has reported the stored run as active.
  kToldToStop,      ///< The same, and the run is told to stop.
  kSeenStopped,     ///< A worker has reported it as stopped; it may start late.
  kSeenDone,        ///< A worker has reported it as done.
  kOwnStarting,     ///< This leader has started a run.
  kOwnRunning,
  kOwnUnconfirmed,
  kOwnResending,
  kOwnSettling,
};

EndedRun EndOf(RunNumber run, std::uint64_t number, RunOutcome outcome) {
  EndedRun end;
  end.m_number = OutcomeNumber(number);
  end.m_task = kTask;
  end.m_run = run;
  end.m_outcome = outcome;
  return end;
}

ActiveRun ActiveOf(RunNumber run) {
  ActiveRun active;
  active.m_task = kTask;
  active.m_run = run;
  return active;
}

// Adds the job with the row that the leader before has stored last.
void Load(FleetFixture& fixture, const TaskProgress& row,
          std::uint32_t attempts = 3) {
  fixture.m_fleet.m_queues.begin()->second.m_maximum_attempts = attempts;
  SetTime(fixture.m_fleet, fixture.m_now, kUnixMs);
  JobProgress progress;
  progress.m_state = JobState::kRunning;
  progress.m_tasks = {row};
  AddJob(fixture.m_fleet, MakePlan("job", 1, kCore), progress, fixture.m_now);
  AddReadyWorkers(fixture, 3, kCore);
  Wait(fixture, milliseconds(10));
}

TaskProgress RowOf(RunNumber run) {
  TaskProgress row;
  row.m_run = run;
  return row;
}

TaskProgress LateRowOf(RunNumber run) {
  TaskProgress row = RowOf(run);
  row.m_late_start_until_unix_ms = kUnixMs + 8000;
  row.m_late_start_worker = WorkerId("w0");
  return row;
}

StartOrder StartAnew(FleetFixture& fixture) {
  fixture.m_fleet.m_orders.clear();
  fixture.m_fleet.m_needs_placement = true;
  PlaceRuns(fixture.m_fleet, fixture.m_now);
  const auto starts = TakeOrders<StartOrder>(fixture);
  REQUIRE(starts.size() == 1);
  return starts.front();
}

void Answer(FleetFixture& fixture, const StartOrder& start,
            StartOutcome outcome) {
  ApplyStartOutcome(fixture.m_fleet, start, outcome, fixture.m_now);
  Wait(fixture, milliseconds(10));
}

// Returns the worker on which this leader's run is not.
std::string OtherThan(const WorkerId& worker) {
  return worker.value() == "w2" ? "w1" : "w2";
}

// Brings the task into the state; returns a worker that has nothing to do with
// its present run.
std::string Prepare(FleetFixture& fixture, Known known) {
  if (known < Known::kOwnStarting) {
    TaskProgress row = known == Known::kSeenStopped ? LateRowOf(kStoredRun)
                                                    : RowOf(kStoredRun);
    if (known == Known::kRowWithFailure) row.m_failed_runs = {kStoredRun};
    Load(fixture, row);
    if (known == Known::kSeenActive || known == Known::kToldToStop) {
      Report(fixture, "w0", {ActiveOf(kStoredRun)}, {});
    }
    if (known == Known::kToldToStop) {
      SendStop(fixture.m_fleet, *FindJob(fixture.m_fleet, kTask.m_job), kTask,
               fixture.m_now);
    }
    if (known == Known::kSeenStopped) {
      Report(fixture, "w0", {}, {EndOf(kStoredRun, 1, RunOutcome::kStopped)});
    }
    if (known == Known::kSeenDone) {
      Report(fixture, "w0", {}, {EndOf(kStoredRun, 1, RunOutcome::kDone)});
    }
    return "w1";
  }
  Load(fixture, RowOf(kStoredRun));
  const StartOrder start = StartAnew(fixture);
  if (known == Known::kOwnRunning) {
    Answer(fixture, start, StartOutcome::kStarted);
  } else if (known != Known::kOwnStarting) {
    Answer(fixture, start, StartOutcome::kUnanswered);
  }
  if (known == Known::kOwnResending) {
    Report(fixture, start.m_worker.value(), {}, {});
  }
  if (known == Known::kOwnSettling) {
    Report(fixture, start.m_worker.value(), {},
           {EndedRunOf(start, 1, RunOutcome::kStopped)});
  }
  return OtherThan(start.m_worker);
}

RunState StateOf(FleetFixture& fixture) {
  return TaskOf(fixture, kTask).m_state;
}

/// One row of the table: an end of a run that is not the task's present one.
struct Case {
  Known m_known;
  RunNumber m_run;
  RunOutcome m_outcome;
  RunState m_state;          ///< After the end.
  std::size_t m_failed = 0;  ///< Failed attempts after the end.
};

constexpr RunOutcome kDone = RunOutcome::kDone;
constexpr RunOutcome kFailed = RunOutcome::kFailed;
constexpr RunOutcome kLapsed = RunOutcome::kLapsed;

// A lower run that is done while a later one may be active has lapsed before:
// only then was the later one started. So its end needs no effect.
const std::vector<Case> kCases = {
    {Known::kRow, kLowerRun, kDone, RunState::kDone},
    {Known::kRow, kLowerRun, kFailed, RunState::kWaiting, 1},
    {Known::kRow, kLowerRun, kLapsed, RunState::kWaiting},
    {Known::kRow, kStoredRun, kDone, RunState::kDone},
    {Known::kRow, kStoredRun, kFailed, RunState::kWaiting, 1},
    {Known::kRow, kStoredRun, kLapsed, RunState::kWaiting},
    {Known::kRow, kHigherRun, kDone, RunState::kDone},
    {Known::kRow, kHigherRun, kFailed, RunState::kWaiting, 1},
    {Known::kRow, kHigherRun, kLapsed, RunState::kWaiting},
    {Known::kRowWithFailure, kLowerRun, kFailed, RunState::kWaiting, 2},
    {Known::kRowWithFailure, kStoredRun, kFailed, RunState::kWaiting, 1},
    {Known::kRowWithFailure, kHigherRun, kFailed, RunState::kWaiting, 2},
    {Known::kSeenActive, kLowerRun, kDone, RunState::kRunning},
    {Known::kSeenActive, kLowerRun, kFailed, RunState::kRunning, 1},
    {Known::kSeenActive, kLowerRun, kLapsed, RunState::kRunning},
    {Known::kSeenActive, kHigherRun, kDone, RunState::kDone},
    {Known::kSeenActive, kHigherRun, kFailed, RunState::kRunning, 1},
    {Known::kSeenActive, kHigherRun, kLapsed, RunState::kRunning},
    {Known::kToldToStop, kLowerRun, kDone, RunState::kStopping},
    {Known::kToldToStop, kLowerRun, kFailed, RunState::kStopping, 1},
    {Known::kToldToStop, kLowerRun, kLapsed, RunState::kStopping},
    {Known::kToldToStop, kHigherRun, kDone, RunState::kDone},
    {Known::kToldToStop, kHigherRun, kFailed, RunState::kStopping, 1},
    {Known::kToldToStop, kHigherRun, kLapsed, RunState::kStopping},
    {Known::kSeenStopped, kLowerRun, kDone, RunState::kDone},
    {Known::kSeenStopped, kLowerRun, kFailed, RunState::kSettling, 1},
    {Known::kSeenStopped, kLowerRun, kLapsed, RunState::kSettling},
    {Known::kSeenStopped, kHigherRun, kDone, RunState::kDone},
    {Known::kSeenStopped, kHigherRun, kFailed, RunState::kWaiting, 1},
    {Known::kSeenStopped, kHigherRun, kLapsed, RunState::kWaiting},
    {Known::kSeenDone, kLowerRun, kDone, RunState::kDone},
    {Known::kSeenDone, kLowerRun, kFailed, RunState::kDone},
    {Known::kSeenDone, kHigherRun, kDone, RunState::kDone},
    {Known::kSeenDone, kHigherRun, kFailed, RunState::kDone},
    {Known::kOwnStarting, kLowerRun, kDone, RunState::kStarting},
    {Known::kOwnStarting, kLowerRun, kFailed, RunState::kStarting, 1},
    {Known::kOwnRunning, kInheritedRun, kDone, RunState::kRunning},
    {Known::kOwnRunning, kInheritedRun, kFailed, RunState::kRunning, 1},
    {Known::kOwnRunning, kInheritedRun, kLapsed, RunState::kRunning},
    {Known::kOwnUnconfirmed, kInheritedRun, kDone, RunState::kUnconfirmed},
    {Known::kOwnUnconfirmed, kInheritedRun, kFailed, RunState::kUnconfirmed, 1},
    {Known::kOwnResending, kInheritedRun, kDone, RunState::kDone},
    {Known::kOwnResending, kInheritedRun, kFailed, RunState::kResending, 1},
    {Known::kOwnResending, kInheritedRun, kLapsed, RunState::kResending},
    {Known::kOwnSettling, kInheritedRun, kDone, RunState::kDone},
    {Known::kOwnSettling, kInheritedRun, kFailed, RunState::kSettling, 1},
    {Known::kOwnSettling, kInheritedRun, kLapsed, RunState::kSettling},
};

}  // namespace

// Guards against an end that is acknowledged without effect, after which its
// task starts again although it is done, or beyond its attempts.
TEST_CASE("Each end of a run changes its task or needs not to") {
  for (std::size_t index = 0; index < kCases.size(); ++index) {
    const Case& expected = kCases[index];
    INFO("case " << index << ": end of run " << expected.m_run.value() << ", "
                 << NameOf(expected.m_outcome));
    FleetFixture fixture;
    const std::string worker = Prepare(fixture, expected.m_known);
    Report(fixture, worker, {}, {EndOf(expected.m_run, 1, expected.m_outcome)});
    CHECK(std::string(NameOf(StateOf(fixture))) == NameOf(expected.m_state));
    if (expected.m_state != RunState::kDone) {
      CHECK(TaskOf(fixture, kTask).m_failed_runs.size() == expected.m_failed);
    }
  }
}

// Guards against a done run that the next leader drops: the one before had
// started it, but could no longer store that, and another worker reports an
// end of an earlier run first.
TEST_CASE("A done run counts after a late end of an earlier run") {
  FleetFixture fixture;
  Load(fixture, LateRowOf(RunNumber(1)));
  SECTION("that another worker reports") {
    Report(fixture, "w0", {}, {EndOf(RunNumber(1), 1, RunOutcome::kStopped)});
    Report(fixture, "w1", {}, {EndOf(RunNumber(2), 1, kDone)});
  }
  SECTION("in the same report") {
    Report(fixture, "w0", {},
           {EndOf(RunNumber(1), 1, RunOutcome::kStopped),
            EndOf(RunNumber(2), 2, RunOutcome::kStopped),
            EndOf(RunNumber(3), 3, kDone)});
  }
  CHECK(StateOf(fixture) == RunState::kDone);
  const ChangeBatch stored = TakeChanges(fixture.m_fleet);
  REQUIRE(stored.m_changes.size() == 1);
  CHECK(stored.m_changes.front().m_progress.m_state == JobState::kCompleted);
}

// Guards against an attempt that the next leader drops in the same order of
// events, and against a start beyond the allowed attempts.
TEST_CASE("A failed run counts after a late end of an earlier run") {
  FleetFixture fixture;
  TaskProgress row = LateRowOf(RunNumber(1));
  row.m_failed_runs = {RunNumber(1)};
  Load(fixture, row, 2);
  Report(fixture, "w0", {}, {EndOf(RunNumber(2), 1, RunOutcome::kStopped)});
  Report(fixture, "w1", {}, {EndOf(RunNumber(3), 1, kFailed)});
  CHECK(StateOf(fixture) == RunState::kFailed);
  Wait(fixture, seconds(30));
  PlaceRuns(fixture.m_fleet, fixture.m_now);
  CHECK(TakeOrders<StartOrder>(fixture).empty());
}

// Guards against two runs of a task: the later one, which is active, was taken
// for unexpected, and the task started again after the wait for the earlier.
TEST_CASE("A later active run is adopted while its task awaits a late start") {
  FleetFixture fixture;
  Load(fixture, LateRowOf(kStoredRun));
  SECTION("after the end of the earlier run") {
    Report(fixture, "w0", {}, {EndOf(kStoredRun, 1, RunOutcome::kStopped)});
    REQUIRE(StateOf(fixture) == RunState::kSettling);
  }
  SECTION("before any report of the earlier run") {}
  Report(fixture, "w1", {ActiveOf(kHigherRun)}, {});
  CHECK(StateOf(fixture) == RunState::kRunning);
  CHECK(TaskOf(fixture, kTask).m_worker == WorkerId("w1"));
  CHECK(TaskOf(fixture, kTask).m_run == kHigherRun);
  // Its own end is not awaited any longer than that of any other run.
  Wait(fixture, milliseconds(400));
  Report(fixture, "w1", {}, {EndOf(kHigherRun, 1, kLapsed)});
  CHECK(StateOf(fixture) == RunState::kWaiting);
}

// Guards against a start beyond the allowed attempts: the failure that used up
// the last one was reported while the task waited for a late start, was to be
// started again, or was being stopped.
TEST_CASE("A late failure that uses the last attempt starts nothing more") {
  FleetFixture fixture;
  TaskProgress row = RowOf(kStoredRun);
  row.m_failed_runs = {kStoredRun};
  Load(fixture, row, 2);
  const StartOrder start = StartAnew(fixture);
  Answer(fixture, start, StartOutcome::kUnanswered);
  const std::string own = start.m_worker.value();
  RunState expected = RunState::kFailed;
  SECTION("while the start is to be sent again") {
    Report(fixture, own, {}, {});
    REQUIRE(StateOf(fixture) == RunState::kResending);
  }
  SECTION("while the start may take effect late") {
    Report(fixture, own, {}, {EndedRunOf(start, 1, RunOutcome::kStopped)});
    REQUIRE(StateOf(fixture) == RunState::kSettling);
  }
  SECTION("while the run is told to stop") {
    SendStop(fixture.m_fleet, *FindJob(fixture.m_fleet, kTask.m_job), kTask,
             fixture.m_now);
    expected = RunState::kStopping;
  }
  Report(fixture, OtherThan(start.m_worker), {},
         {EndOf(kLowerRun, 1, kFailed)});
  CHECK(StateOf(fixture) == expected);
  if (expected == RunState::kStopping) Report(fixture, own, {}, {});
  CHECK(StateOf(fixture) == RunState::kFailed);
  Wait(fixture, seconds(30));
  PlaceRuns(fixture.m_fleet, fixture.m_now);
  CHECK(TakeOrders<StartOrder>(fixture).empty());
}

// Guards against a start beyond the allowed attempts: the leader before had
// stored the row of the last failure, but not yet that the job has failed.
TEST_CASE("A task whose row has used all attempts is not started again") {
  FleetFixture fixture;
  TaskProgress row = RowOf(kStoredRun);
  row.m_failed_runs = {kLowerRun, kStoredRun};
  Load(fixture, row, 2);
  PlaceRuns(fixture.m_fleet, fixture.m_now);
  CHECK(TakeOrders<StartOrder>(fixture).empty());
  CHECK(FindJob(fixture.m_fleet, kTask.m_job)->m_state == JobState::kFailed);
}

}  // namespace daisyarch::fleet
