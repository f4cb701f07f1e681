#include <catch2/catch.hpp>

#include "decisions/fleet/fleet_fixture.h"

namespace daisyarch::fleet {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Millicores kCore{1000};
const JobKey kJob("job");

StartOrder StartOne(FleetFixture& fixture, std::uint32_t tasks = 1) {
  AddReadyWorkers(fixture, 1, kCore);
  Submit(fixture, MakePlan(kJob.value(), tasks, kCore));
  const auto starts = TakeOrders<StartOrder>(fixture);
  REQUIRE(starts.size() == 1);
  return starts.front();
}

void Answer(FleetFixture& fixture, const StartOrder& start,
            StartOutcome outcome) {
  ApplyStartOutcome(fixture.m_fleet, start, outcome, fixture.m_now);
  Wait(fixture, milliseconds(200));
}

// Returns whether the only job is told to clients as pending.
bool IsPending(const Fleet& fleet) {
  const auto pending = CountPending(fleet);
  const auto found = pending.find(QueueId("batch"));
  return found != pending.end() && found->second == 1;
}

// Returns whether it is pending for a leader that loads what is stored of it.
bool IsPendingForNextLeader(FleetFixture& fixture) {
  FleetFixture next;
  const Job& job = *FindJob(fixture.m_fleet, kJob);
  AddJob(next.m_fleet, job.m_plan, ProgressOf(job, ProgressPart(), 0),
         next.m_now);
  return IsPending(next.m_fleet);
}

}  // namespace

// Guards against jobs that clients are told have started although none of their
// tasks has: their start orders had no answer, or were refused.
TEST_CASE("A job is pending while no start of its tasks has taken effect") {
  FleetFixture fixture;
  const StartOrder start = StartOne(fixture);
  CHECK(IsPending(fixture.m_fleet));
  SECTION("the start gets no answer") {
    Answer(fixture, start, StartOutcome::kUnanswered);
    CHECK(IsPending(fixture.m_fleet));
    Report(fixture, "w0", {}, {});
    REQUIRE(TaskOf(fixture, start.m_task).m_state == RunState::kResending);
  }
  SECTION("the start is refused") {
    Answer(fixture, start, StartOutcome::kRefused);
    REQUIRE(TaskOf(fixture, start.m_task).m_state == RunState::kWaiting);
  }
  CHECK(IsPending(fixture.m_fleet));
  CHECK(FindJob(fixture.m_fleet, kJob)->m_state == JobState::kQueued);
  CHECK(IsPendingForNextLeader(fixture));
}

// Guards against started jobs that are told as pending, whatever shows that
// they have started.
TEST_CASE("A job is not pending once a start of its tasks is known") {
  FleetFixture fixture;
  const StartOrder start = StartOne(fixture);
  SECTION("from the answer") { Answer(fixture, start, StartOutcome::kStarted); }
  SECTION("from an answer that came after the worker's restart") {
    FindWorker(fixture.m_fleet, start.m_worker)->m_state =
        WorkerState::kUnverified;
    Answer(fixture, start, StartOutcome::kStarted);
  }
  SECTION("from a later report of the run") {
    Answer(fixture, start, StartOutcome::kUnanswered);
    Report(fixture, "w0", {ActiveRunOf(start)}, {});
  }
  SECTION("from the end of the run alone") {
    Answer(fixture, start, StartOutcome::kUnanswered);
    Report(fixture, "w0", {}, {EndedRunOf(start, 1, RunOutcome::kLapsed)});
  }
  SECTION("from a run that had been given up and is active") {
    Answer(fixture, start, StartOutcome::kRefused);
    REQUIRE(IsPending(fixture.m_fleet));
    Report(fixture, "w0", {ActiveRunOf(start)}, {});
  }
  SECTION("from the end of a run that had been given up") {
    Answer(fixture, start, StartOutcome::kRefused);
    REQUIRE(IsPending(fixture.m_fleet));
    Report(fixture, "w0", {}, {EndedRunOf(start, 1, RunOutcome::kStopped)});
  }
  SECTION("from an answer for a run that had been given up") {
    Answer(fixture, start, StartOutcome::kRefused);
    Answer(fixture, start, StartOutcome::kStarted);
  }
  CHECK(!IsPending(fixture.m_fleet));
}

// Guards against started jobs that a new leader tells as pending until their
// next task starts.
TEST_CASE("A job that has started is not pending for the next leader") {
  FleetFixture fixture;
  const StartOrder start = StartOne(fixture, 2);
  Answer(fixture, start, StartOutcome::kStarted);
  SECTION("after a done run") {
    Report(fixture, "w0", {}, {EndedRunOf(start, 1, RunOutcome::kDone)});
  }
  SECTION("after a lapsed run") {
    Report(fixture, "w0", {}, {EndedRunOf(start, 1, RunOutcome::kLapsed)});
  }
  CHECK(FindJob(fixture.m_fleet, kJob)->m_state == JobState::kRunning);
  CHECK(!IsPendingForNextLeader(fixture));
}

// Guards against inherited jobs that are told as pending while they run.
TEST_CASE("An inherited job is not pending once a worker reports its run") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 1, kCore);
  AddJob(fixture.m_fleet, MakePlan(kJob.value(), 1, kCore), {}, fixture.m_now);
  REQUIRE(IsPending(fixture.m_fleet));
  StartOrder earlier;
  earlier.m_task.m_job = kJob;
  earlier.m_run = RunNumber(7);
  Wait(fixture, milliseconds(10));
  Report(fixture, "w0", {ActiveRunOf(earlier)}, {});
  CHECK(!IsPending(fixture.m_fleet));
}

// Guards against an outcome other than the client's: a job that has failed or
// is cancelled waits for nothing, although none of its tasks has started.
TEST_CASE("A failed or cancelled job is not pending") {
  FleetFixture fixture;
  const StartOrder start = StartOne(fixture);
  SECTION("cancelled") { CancelJob(fixture.m_fleet, kJob, fixture.m_now); }
  SECTION("failed") {
    TaskOf(fixture, start.m_task).m_crashed_runs = {RunNumber(1), RunNumber(2),
                                                    RunNumber(3), RunNumber(4)};
    Answer(fixture, start, StartOutcome::kRefused);
    REQUIRE(FindJob(fixture.m_fleet, kJob)->m_has_failed);
  }
  CHECK(!IsPending(fixture.m_fleet));
}

}  // namespace daisyarch::fleet
