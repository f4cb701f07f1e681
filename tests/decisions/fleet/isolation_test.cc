#include "decisions/fleet/isolation.h"

#include <catch2/catch.hpp>

#include "decisions/fleet/fleet_fixture.h"

namespace daisyarch::fleet {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Millicores kCore{1000};
constexpr Duration kTick = milliseconds(250);
// A job may have nothing running for this long while there is room for it.
constexpr Duration kMaximumWait = seconds(3);

JobProgress CrashedTwice() {
  TaskProgress stored;
  stored.m_run = RunNumber(2);
  stored.m_crashed_runs = {RunNumber(1), RunNumber(2)};
  JobProgress progress;
  progress.m_state = JobState::kRunning;
  progress.m_tasks.push_back(stored);
  return progress;
}

// The only worker of a fleet, and what it runs.
struct OnlyWorker {
  FleetFixture m_fixture;
  std::vector<StartOrder> m_running;
  std::uint64_t m_ends = 0;
};

// Reports all runs as active but those of `ended`, places tasks and confirms
// their starts. Returns the starts.
std::vector<StartOrder> Tick(OnlyWorker& only, const std::string& ended = "") {
  FleetFixture& fixture = only.m_fixture;
  Wait(fixture, kTick);
  std::vector<ActiveRun> active;
  std::vector<EndedRun> ends;
  std::vector<StartOrder> running;
  for (const StartOrder& start : only.m_running) {
    if (start.m_task.m_job.value() == ended) {
      ends.push_back(EndedRunOf(start, ++only.m_ends, RunOutcome::kDone));
    } else {
      active.push_back(ActiveRunOf(start));
      running.push_back(start);
    }
  }
  Report(fixture, "w0", active, ends);
  ApplyStoredBatch(fixture.m_fleet, TakeChanges(fixture.m_fleet));
  PlaceRuns(fixture.m_fleet, fixture.m_now);
  auto starts = TakeOrders<StartOrder>(fixture);
  for (const StartOrder& start : starts) {
    ApplyStartOutcome(fixture.m_fleet, start, StartOutcome::kStarted,
                      fixture.m_now);
    running.push_back(start);
  }
  only.m_running = std::move(running);
  return starts;
}

// Submits one short job after the other; returns the longest time from a
// submission to the start.
Duration LongestWaitOfOthers(OnlyWorker& only) {
  FleetFixture& fixture = only.m_fixture;
  Duration longest{};
  for (int number = 0; number < 20; ++number) {
    const std::string key = "short" + std::to_string(number);
    AddJob(fixture.m_fleet, MakePlan(key, 1, Millicores(500)), {},
           fixture.m_now);
    const TimePoint submitted_at = fixture.m_now;
    bool has_started = false;
    while (!has_started && fixture.m_now - submitted_at < seconds(60)) {
      for (const StartOrder& start : Tick(only)) {
        has_started = has_started || start.m_task.m_job == JobKey(key);
      }
    }
    longest = std::max(longest, fixture.m_now - submitted_at);
    Tick(only, key);
  }
  return longest;
}

// The worker runs a task of 2 of its 4 cores, so that an isolated one of 3.5
// has no room.
void AddIsolatedWithoutRoom(OnlyWorker& only, StepKind kind) {
  FleetFixture& fixture = only.m_fixture;
  AddReadyWorkers(fixture, 1, kCore * 4);
  JobPlan present = MakePlan("present", 1, kCore * 2);
  present.m_steps.front().m_kind = kind;
  AddJob(fixture.m_fleet, present, {}, fixture.m_now);
  REQUIRE(Tick(only).size() == 1);
  AddJob(fixture.m_fleet, MakePlan("isolated", 1, Millicores(3500)),
         CrashedTwice(), fixture.m_now);
}

}  // namespace

// Guards against a worker that is held for an isolated task for as long as
// there is no room for it: no other task could start there.
TEST_CASE("An isolated task without room leaves its worker to others") {
  OnlyWorker only;
  AddIsolatedWithoutRoom(only, StepKind::kService);
  CHECK(LongestWaitOfOthers(only) <= kTick);
}

// Guards against the same where the room may become free, but takes long.
TEST_CASE("An isolated task that waits for room leaves others their turn") {
  OnlyWorker only;
  AddIsolatedWithoutRoom(only, StepKind::kFinite);
  CHECK(LongestWaitOfOthers(only) <= kMaximumWait);
  // The turns of others must not keep it from starting.
  bool has_started = false;
  for (int tick = 0; tick < 20 && !has_started; ++tick) {
    for (const StartOrder& start : Tick(only, "present")) {
      has_started = has_started || start.m_task.m_job == JobKey("isolated");
    }
  }
  CHECK(has_started);
}

// Guards against a worker that is held while an isolated task can neither run
// there nor move: an order may start it again late, for more than ten seconds.
TEST_CASE("An isolated task that settles leaves its worker to others") {
  OnlyWorker only;
  FleetFixture& fixture = only.m_fixture;
  AddReadyWorkers(fixture, 1, kCore * 4);
  AddJob(fixture.m_fleet, MakePlan("isolated", 1, kCore), CrashedTwice(),
         fixture.m_now);
  Wait(fixture, kTick);
  PlaceRuns(fixture.m_fleet, fixture.m_now);
  const auto starts = TakeOrders<StartOrder>(fixture);
  REQUIRE(starts.size() == 1);
  ApplyStartOutcome(fixture.m_fleet, starts[0], StartOutcome::kUnanswered,
                    fixture.m_now);
  Tick(only);
  REQUIRE(TaskOf(fixture, starts[0].m_task).m_state == RunState::kSettling);
  CHECK(LongestWaitOfOthers(only) <= kMaximumWait);
}

}  // namespace daisyarch::fleet
