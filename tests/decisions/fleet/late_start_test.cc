#include "decisions/fleet/late_start.h"

#include <catch2/catch.hpp>

#include "decisions/fleet/fleet_fixture.h"

namespace daisyarch::fleet {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Millicores kCore{1000};
// An order leaves within 1.5 s of being handed over, takes effect up to 12 s
// later, and is in transit for less than this.
constexpr Duration kAfterLatestOrder = milliseconds(1500 + 12500);
// A worker lists at most this many ended runs.
constexpr std::size_t kListedEnds = 500;

// Sends a start that gets no answer, to a worker beside an idle one.
StartOrder SendUnanswered(FleetFixture& fixture, std::uint32_t tasks = 1) {
  AddReadyWorkers(fixture, 2, kCore * tasks);
  Submit(fixture, MakePlan("job", tasks, kCore));
  const auto starts = TakeOrders<StartOrder>(fixture);
  REQUIRE(starts.size() == tasks);
  for (const StartOrder& start : starts) {
    const bool is_first = start.m_task.m_index == 0;
    ApplyStartOutcome(
        fixture.m_fleet, start,
        is_first ? StartOutcome::kUnanswered : StartOutcome::kStarted,
        fixture.m_now);
  }
  Wait(fixture, milliseconds(10));
  return starts.front();
}

// Returns the start order of the next placement pass, which must be the only
// one.
StartOrder TakeStart(FleetFixture& fixture) {
  fixture.m_fleet.m_orders.clear();
  PlaceRuns(fixture.m_fleet, fixture.m_now);
  const auto starts = TakeOrders<StartOrder>(fixture);
  REQUIRE(starts.size() == 1);
  return starts.front();
}

bool IsPlacedAnywhere(FleetFixture& fixture) {
  fixture.m_fleet.m_orders.clear();
  fixture.m_fleet.m_needs_placement = true;
  PlaceRuns(fixture.m_fleet, fixture.m_now);
  return !TakeOrders<StartOrder>(fixture).empty();
}

// Lets the worker report without the unanswered start, and confirms the start
// that follows.
StartOrder ConfirmSecondStart(FleetFixture& fixture, const StartOrder& first) {
  Report(fixture, first.m_worker.value(), {}, {});
  const StartOrder second = TakeStart(fixture);
  ApplyStartOutcome(fixture.m_fleet, second, StartOutcome::kStarted,
                    fixture.m_now);
  Wait(fixture, milliseconds(10));
  Report(fixture, second.m_worker.value(), {ActiveRunOf(second)}, {});
  return second;
}

// Polls the worker, which answers as its next incarnation.
void ReportAsRestarted(FleetFixture& fixture, const WorkerId& id,
                       const std::vector<ActiveRun>& running) {
  Wait(fixture, milliseconds(10));
  const Worker& worker = *FindWorker(fixture.m_fleet, id);
  WorkerReport report;
  report.m_incarnation = Incarnation(2);
  report.m_clock = WorkerMilliseconds(100);
  report.m_running = running;
  ApplyReport(fixture.m_fleet, id, worker.m_poll_number, worker.m_token, report,
              fixture.m_now);
}

void ListAsRestarted(FleetFixture& fixture, const WorkerId& id) {
  ListedWorker entry = FindWorker(fixture.m_fleet, id)->m_listing;
  entry.m_incarnation = Incarnation(2);
  ApplyListingChanges(fixture.m_fleet, {{id, entry}}, fixture.m_now,
                      fixture.m_now);
}

void Delist(FleetFixture& fixture, const WorkerId& id) {
  ApplyListingChanges(fixture.m_fleet, {{id, std::nullopt}}, fixture.m_now,
                      fixture.m_now);
}

void Store(FleetFixture& fixture) {
  ApplyStoredBatch(fixture.m_fleet, TakeChanges(fixture.m_fleet));
}

// Returns what the next poll of the worker acknowledges.
OutcomeNumber AcknowledgedBy(FleetFixture& fixture, const WorkerId& id) {
  fixture.m_fleet.m_orders.clear();
  Wait(fixture, milliseconds(400));
  for (const PollOrder& poll : TakeOrders<PollOrder>(fixture)) {
    if (poll.m_worker == id) return poll.m_acknowledged;
  }
  FAIL("the worker was not polled");
  return {};
}

}  // namespace

// Guards against two runs of a task, of which one is started by an order that
// reaches the next incarnation of another worker.
TEST_CASE("A start without an answer is repeated at its own worker") {
  FleetFixture fixture;
  const StartOrder first = SendUnanswered(fixture);
  Report(fixture, first.m_worker.value(), {}, {});
  const StartOrder second = TakeStart(fixture);
  CHECK(second.m_worker == first.m_worker);
  CHECK(second.m_run == first.m_run);
  CHECK(second.m_token > first.m_token);
  SECTION("also if that worker rejects it") {
    ApplyStartOutcome(fixture.m_fleet, second, StartOutcome::kRefused,
                      fixture.m_now);
    CHECK_FALSE(IsPlacedAnywhere(fixture));
    Wait(fixture, milliseconds(300));
    Report(fixture, first.m_worker.value(), {}, {});
    CHECK(TakeStart(fixture).m_worker == first.m_worker);
  }
  SECTION("and not while that worker is leaving") {
    ApplyStartOutcome(fixture.m_fleet, second, StartOutcome::kRefused,
                      fixture.m_now);
    ListedWorker entry = FindWorker(fixture.m_fleet, first.m_worker)->m_listing;
    entry.m_is_leaving = true;
    ApplyListingChanges(fixture.m_fleet, {{first.m_worker, entry}},
                        fixture.m_now, fixture.m_now);
    Wait(fixture, milliseconds(300));
    Report(fixture, first.m_worker.value(), {}, {});
    CHECK_FALSE(IsPlacedAnywhere(fixture));
  }
  SECTION("until no order can take effect any more") {
    ApplyStartOutcome(fixture.m_fleet, second, StartOutcome::kRefused,
                      fixture.m_now);
    Wait(fixture, kAfterLatestOrder);
    Report(fixture, first.m_worker.value(), {}, {});
    CHECK(TaskOf(fixture, first.m_task).m_state == RunState::kWaiting);
  }
}

// Guards against a start whose age counts from the decision on it, although it
// left later.
TEST_CASE("An unanswered start may take effect long after it has left") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 1, kCore);
  Submit(fixture, MakePlan("job", 1, kCore));
  auto starts = TakeOrders<StartOrder>(fixture);
  REQUIRE(starts.size() == 1);
  fixture.m_now += seconds(3);
  RecordStartSent(fixture.m_fleet, starts.front(), fixture.m_now);
  const TimePoint sent_at = fixture.m_now;
  fixture.m_now += milliseconds(700);
  ApplyStartOutcome(fixture.m_fleet, starts.front(), StartOutcome::kUnanswered,
                    fixture.m_now);
  const Task& task = TaskOf(fixture, starts.front().m_task);
  CHECK(task.m_state == RunState::kUnconfirmed);
  CHECK(LateStartUntil(fixture.m_fleet.m_limits, task) >
        sent_at + kMaximumRelayedOrderAge + kMaximumConnectTime + seconds(12));
}

// Guards against an outcome of an earlier order that counts for the latest.
TEST_CASE("Only the latest start of a task is dated when it is sent") {
  FleetFixture fixture;
  StartOrder first = SendUnanswered(fixture);
  Report(fixture, first.m_worker.value(), {}, {});
  const StartOrder second = TakeStart(fixture);
  REQUIRE(second.m_sent_at > first.m_sent_at);
  const TimePoint first_sent_at = first.m_sent_at;
  RecordStartSent(fixture.m_fleet, first, fixture.m_now + seconds(1));
  CHECK(first.m_sent_at == first_sent_at);
  CHECK(TaskOf(fixture, first.m_task).m_start_sent_at == second.m_sent_at);
}

// Guards against an answer to the first order that is taken for one to the
// second.
TEST_CASE("An answer to an order that was repeated since decides nothing") {
  FleetFixture fixture;
  const StartOrder first = SendUnanswered(fixture);
  Report(fixture, first.m_worker.value(), {}, {});
  const StartOrder second = TakeStart(fixture);
  ApplyStartOutcome(fixture.m_fleet, first, StartOutcome::kRefused,
                    fixture.m_now);
  CHECK(TaskOf(fixture, first.m_task).m_state == RunState::kStarting);
  CHECK(second.m_worker == first.m_worker);
}

// Guards against a task that starts elsewhere while an order for it may reach
// the next incarnation of its worker.
TEST_CASE("A task with a late start is not moved when its worker is lost") {
  FleetFixture fixture;
  const StartOrder first = SendUnanswered(fixture);
  const StartOrder second = ConfirmSecondStart(fixture, first);
  const WorkerId& id = first.m_worker;
  SECTION("because it restarted") {
    ReportAsRestarted(fixture, id, {});
    Wait(fixture, milliseconds(10));
    ReportAsRestarted(fixture, id, {});
    ListAsRestarted(fixture, id);
  }
  SECTION("because its lease expired") {
    for (int poll = 0; poll < 60; ++poll) {
      Wait(fixture, milliseconds(100));
      FailPoll(fixture, id.value());
    }
    REQUIRE(FindWorker(fixture.m_fleet, id)->m_state == WorkerState::kLapsed);
  }
  SECTION("because the platform lists it no more") {
    for (int poll = 0; poll < 60; ++poll) {
      Wait(fixture, milliseconds(100));
      FailPoll(fixture, id.value());
    }
    Delist(fixture, id);
  }
  SECTION("because its report misses the run") {
    Wait(fixture, milliseconds(10));
    Report(fixture, id.value(), {}, {});
  }
  SECTION("because the run failed") {
    Wait(fixture, milliseconds(10));
    Report(fixture, id.value(), {},
           {EndedRunOf(second, 1, RunOutcome::kFailed)});
    CHECK(TaskOf(fixture, first.m_task).m_failed_runs.size() == 1);
  }
  CHECK_FALSE(IsPlacedAnywhere(fixture));
  Wait(fixture, kAfterLatestOrder);
  REQUIRE(FindWorker(fixture.m_fleet, id) != nullptr);
  if (FindWorker(fixture.m_fleet, id)->m_listing.m_incarnation ==
      Incarnation(2)) {
    ReportAsRestarted(fixture, id, {});
  } else if (FindWorker(fixture.m_fleet, id)->m_state == WorkerState::kReady) {
    Report(fixture, id.value(), {}, {});
  } else {
    FailPoll(fixture, id.value());
    Delist(fixture, id);
  }
  CHECK(IsPlacedAnywhere(fixture));
}

// Guards against a task that starts elsewhere although its order was carried
// out after the worker had answered: the answer tells of the time before the
// order could take effect no more.
TEST_CASE("A report that was requested too early settles no late start") {
  FleetFixture fixture;
  const StartOrder first = SendUnanswered(fixture);
  ConfirmSecondStart(fixture, first);
  const WorkerId& id = first.m_worker;
  Wait(fixture, milliseconds(10));
  Report(fixture, id.value(), {}, {});
  REQUIRE(TaskOf(fixture, first.m_task).m_state == RunState::kSettling);
  Wait(fixture, milliseconds(10));
  const std::uint64_t early_poll =
      FindWorker(fixture.m_fleet, id)->m_poll_number;
  Wait(fixture, kAfterLatestOrder);
  REQUIRE(FindWorker(fixture.m_fleet, id)->m_poll_number == early_poll);
  Report(fixture, id.value(), {}, {});
  CHECK(TaskOf(fixture, first.m_task).m_state == RunState::kSettling);
  CHECK_FALSE(IsPlacedAnywhere(fixture));
  Wait(fixture, milliseconds(10));
  REQUIRE(FindWorker(fixture.m_fleet, id)->m_poll_number > early_poll);
  Report(fixture, id.value(), {}, {});
  CHECK(IsPlacedAnywhere(fixture));
}

// Guards against a second run beside one that a late order has started.
TEST_CASE("A late start at the next incarnation is the run of its task") {
  FleetFixture fixture;
  const StartOrder first = SendUnanswered(fixture);
  SECTION("after the start was repeated") {
    ConfirmSecondStart(fixture, first);
  }
  SECTION("before that") { Report(fixture, first.m_worker.value(), {}, {}); }
  const WorkerId& id = first.m_worker;
  ReportAsRestarted(fixture, id, {});
  fixture.m_fleet.m_orders.clear();
  ReportAsRestarted(fixture, id, {ActiveRunOf(first)});
  CHECK(TaskOf(fixture, first.m_task).m_state == RunState::kRunning);
  CHECK(TakeOrders<StopOrder>(fixture).empty());
}

// Guards against a task that starts again after its run was done and the end of
// that run acknowledged: an earlier order reached the next incarnation of the
// worker.
TEST_CASE("An end is not acknowledged while its task may start late") {
  FleetFixture fixture;
  const StartOrder first = SendUnanswered(fixture, 2);
  const WorkerId& id = first.m_worker;
  TaskReference other = first.m_task;
  other.m_index = 1;
  EndedRun other_end = EndedRunOf(first, 1, RunOutcome::kDone);
  other_end.m_task = other;
  other_end.m_run = TaskOf(fixture, other).m_run;
  Report(fixture, id.value(), {}, {other_end});
  CHECK(TaskOf(fixture, other).m_state == RunState::kDone);
  const StartOrder second = TakeStart(fixture);
  ApplyStartOutcome(fixture.m_fleet, second, StartOutcome::kStarted,
                    fixture.m_now);
  Wait(fixture, milliseconds(10));
  const RunOutcome outcome = GENERATE(RunOutcome::kDone, RunOutcome::kFailed);
  const EndedRun end = EndedRunOf(second, 2, outcome);
  Report(fixture, id.value(), {}, {other_end, end});
  Store(fixture);
  CHECK(AcknowledgedBy(fixture, id) == OutcomeNumber(0));
  Report(fixture, id.value(), {}, {other_end, end});
  fixture.m_now += kAfterLatestOrder;
  CHECK(AcknowledgedBy(fixture, id) == OutcomeNumber(2));
}

// Guards against ends that a worker cannot list because none of the earlier
// ones may be acknowledged yet.
TEST_CASE("A worker gets no task whose end would not fit into its report") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 1, kCore);
  std::vector<EndedRun> ended;
  StartOrder unknown;
  unknown.m_task.m_job = JobKey("ended");
  fixture.m_fleet.m_ended_jobs[unknown.m_task.m_job] = 1;
  const std::size_t count =
      GENERATE(as<std::size_t>{}, kListedEnds, kListedEnds - 1);
  for (std::size_t number = 1; number <= count; ++number) {
    ended.push_back(EndedRunOf(unknown, number, RunOutcome::kDone));
  }
  Wait(fixture, milliseconds(400));
  Report(fixture, "w0", {}, ended);
  Submit(fixture, MakePlan("job", 1, kCore));
  const bool has_room = count < kListedEnds;
  CHECK(TakeOrders<StartOrder>(fixture).empty() != has_room);
}

// Guards against a run that counts as ended while it goes on: a poll of an
// earlier incarnation came late and granted the next one a longer lease.
TEST_CASE("A restarted worker may hold the longest lease from the start") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 1, kCore);
  const WorkerId id("w0");
  ReportAsRestarted(fixture, id, {});
  ReportAsRestarted(fixture, id, {});
  ListAsRestarted(fixture, id);
  ApplyRosterStored(fixture.m_fleet, MissingFromRoster(fixture.m_fleet));
  Submit(fixture, MakePlan("job", 1, kCore));
  const auto starts = TakeOrders<StartOrder>(fixture);
  REQUIRE(starts.size() == 1);
  ApplyStartOutcome(fixture.m_fleet, starts.front(), StartOutcome::kStarted,
                    fixture.m_now);
  for (int poll = 0; poll < 95; ++poll) {
    Wait(fixture, milliseconds(100));
    FailPoll(fixture, id.value());
  }
  CHECK(TaskOf(fixture, starts.front().m_task).m_state == RunState::kRunning);
}

// Guards against a task that the next leader starts elsewhere while an order of
// the one before may start it at the next incarnation of its worker.
TEST_CASE("The next leader awaits the late starts of the one before") {
  constexpr std::int64_t kUnixMs = 1'700'000'000'000;
  FleetFixture earlier;
  const StartOrder first = SendUnanswered(earlier);
  SetTime(earlier.m_fleet, earlier.m_now, kUnixMs);
  const ChangeBatch stored = TakeChanges(earlier.m_fleet);
  REQUIRE(stored.m_changes.size() == 1);
  FleetFixture next;
  next.m_now = TimePoint(seconds(700));
  SetTime(next.m_fleet, next.m_now, kUnixMs + 1000);
  AddJob(next.m_fleet, MakePlan("job", 1, kCore),
         stored.m_changes.front().m_progress, next.m_now);
  AddReadyWorkers(next, 2, kCore);
  CHECK_FALSE(IsPlacedAnywhere(next));
  Wait(next, milliseconds(400));
  EndedRun end = EndedRunOf(first, 1, RunOutcome::kStopped);
  end.m_run = RunNumber(0);
  Report(next, first.m_worker.value(), {}, {end});
  CHECK(AcknowledgedBy(next, first.m_worker) == OutcomeNumber(0));
  Wait(next, kAfterLatestOrder - seconds(3));
  CHECK_FALSE(IsPlacedAnywhere(next));
  Wait(next, seconds(2));
  CHECK(IsPlacedAnywhere(next));
}

// Guards against an attempt that the next leader does not know of.
TEST_CASE("A failure of a late start is stored while its task waits") {
  FleetFixture fixture;
  const StartOrder first = SendUnanswered(fixture);
  ConfirmSecondStart(fixture, first);
  Wait(fixture, milliseconds(10));
  Report(fixture, first.m_worker.value(), {}, {});
  REQUIRE(TaskOf(fixture, first.m_task).m_state == RunState::kSettling);
  Store(fixture);
  Wait(fixture, milliseconds(400));
  Report(fixture, first.m_worker.value(), {},
         {EndedRunOf(first, 1, RunOutcome::kFailed)});
  REQUIRE(TaskOf(fixture, first.m_task).m_state == RunState::kSettling);
  REQUIRE(TaskOf(fixture, first.m_task).m_failed_runs.size() == 1);
  const ChangeBatch stored = TakeChanges(fixture.m_fleet);
  REQUIRE(stored.m_changes.size() == 1);
  const auto& rows = stored.m_changes.front().m_progress.m_tasks;
  REQUIRE(rows.size() == 1);
  CHECK(rows.front().m_failed_runs.size() == 1);
}

// Guards against the same after the time of day has jumped on one of the
// leaders' nodes, and against a wait that grows with the jump.
TEST_CASE("A jump of the clock does not shorten the wait for a late start") {
  constexpr std::int64_t kUnixMs = 1'700'000'000'000;
  const std::int64_t step_ms =
      GENERATE(as<std::int64_t>{}, -10'000, 0, 2000, 10'000);
  INFO("step of " << step_ms << " ms");
  FleetFixture earlier;
  const StartOrder first = SendUnanswered(earlier);
  SetTime(earlier.m_fleet, earlier.m_now, kUnixMs);
  const ChangeBatch stored = TakeChanges(earlier.m_fleet);
  REQUIRE(stored.m_changes.size() == 1);
  FleetFixture next;
  next.m_now = earlier.m_now + seconds(5);
  SetTime(next.m_fleet, next.m_now, kUnixMs + 5000 + step_ms);
  AddJob(next.m_fleet, MakePlan("job", 1, kCore),
         stored.m_changes.front().m_progress, next.m_now);
  const TimePoint sent_at = earlier.m_now;
  const TimePoint loaded_at = next.m_now;
  AddReadyWorkers(next, 2, kCore);
  const Duration longest = LongestEffectDelay(next.m_fleet.m_limits);
  next.m_now = sent_at + longest - milliseconds(100);
  CHECK_FALSE(IsPlacedAnywhere(next));
  Wait(next, loaded_at + longest + milliseconds(400) - next.m_now);
  CHECK(IsPlacedAnywhere(next));
}

// Guards against ends that a worker forgets although its task may start late:
// the leader forgot the worker while the platform did not list it.
TEST_CASE("A worker is not forgotten while a start may take effect late") {
  FleetFixture fixture;
  const StartOrder first = SendUnanswered(fixture);
  const StartOrder second = ConfirmSecondStart(fixture, first);
  const WorkerId id = first.m_worker;
  Wait(fixture, milliseconds(10));
  Report(fixture, id.value(), {}, {EndedRunOf(second, 1, RunOutcome::kDone)});
  Store(fixture);
  Wait(fixture, milliseconds(400));
  FailPoll(fixture, id.value());
  Delist(fixture, id);
  CHECK(FindWorker(fixture.m_fleet, id) != nullptr);
  Wait(fixture, kAfterLatestOrder);
  Delist(fixture, id);
  CHECK(FindWorker(fixture.m_fleet, id) == nullptr);
}

// Guards against an acknowledgement that comes late and makes the worker's next
// incarnation forget ends, under the token of the starts there.
TEST_CASE("Only an unanswered poll that acknowledged ends raises the token") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 1, kCore);
  const WorkerId id("w0");
  const bool has_ends = GENERATE(true, false);
  StartOrder unknown;
  unknown.m_task.m_job = JobKey("ended");
  fixture.m_fleet.m_ended_jobs[unknown.m_task.m_job] = 1;
  Wait(fixture, milliseconds(400));
  std::vector<EndedRun> ended;
  if (has_ends) ended.push_back(EndedRunOf(unknown, 1, RunOutcome::kDone));
  Report(fixture, id.value(), {}, ended);
  fixture.m_fleet.m_orders.clear();
  Wait(fixture, seconds(11));
  const auto polls = TakeOrders<PollOrder>(fixture);
  REQUIRE(polls.size() == 1);
  CHECK(polls.front().m_acknowledged == OutcomeNumber(has_ends ? 1 : 0));
  const FencingToken before = FindWorker(fixture.m_fleet, id)->m_token;
  FailPoll(fixture, id.value());
  const Worker& worker = *FindWorker(fixture.m_fleet, id);
  CHECK((worker.m_token > before) == has_ends);
  CHECK(worker.m_state ==
        (has_ends ? WorkerState::kUnverified : WorkerState::kSilent));
}

// Guards against a best-effort task that counts as limited although a late
// order has started it anew, without a limit, at the next incarnation.
TEST_CASE("A limit does not outlast the incarnation that it was set at") {
  FleetFixture fixture;
  const StartOrder first = SendUnanswered(fixture);
  const StartOrder second = ConfirmSecondStart(fixture, first);
  const WorkerId& id = first.m_worker;
  Task& task = TaskOf(fixture, first.m_task);
  task.m_processor_limit_percent = 50;
  task.m_is_limit_confirmed = true;
  ReportAsRestarted(fixture, id, {});
  CHECK(task.m_state == RunState::kSettling);
  ReportAsRestarted(fixture, id, {ActiveRunOf(second)});
  REQUIRE(task.m_state == RunState::kRunning);
  CHECK_FALSE(
      (task.m_processor_limit_percent < 100 && task.m_is_limit_confirmed));
}

// Guards against best-effort tasks that stay paused for a serving task that has
// ended, while it waits until it may start elsewhere.
TEST_CASE("A task that waits for a late start is over its target no more") {
  FleetFixture fixture;
  const StartOrder first = SendUnanswered(fixture);
  const StartOrder second = ConfirmSecondStart(fixture, first);
  Task& task = TaskOf(fixture, first.m_task);
  task.m_over_target_since = fixture.m_now;
  task.m_load = 1;
  task.m_progress_percent = 100;
  Wait(fixture, milliseconds(10));
  Report(fixture, first.m_worker.value(), {},
         {EndedRunOf(second, 1, RunOutcome::kFailed)});
  REQUIRE(task.m_state == RunState::kSettling);
  CHECK(task.m_over_target_since == TimePoint());
  CHECK(task.m_load == 0);
  CHECK(task.m_progress_percent == 0);
}

// Guards against a run that counts as ended while it goes on: an order of the
// previous leader came late and granted a restarted worker a longer lease.
TEST_CASE("A young worker may hold the longest lease from the first report") {
  FleetFixture fixture;
  const WorkerId id("w0");
  AddReadyWorkers(fixture, 1, kCore);
  Worker& worker = *FindWorker(fixture.m_fleet, id);
  // As loaded by a leader that does not know its earlier incarnation, after one
  // that had not heard of the present one.
  worker.m_lease_until = worker.m_clock = WorkerMilliseconds();
  worker.m_roster_incarnation = Incarnation();
  Wait(fixture, seconds(11));
  WorkerReport report;
  report.m_incarnation = Incarnation(1);
  report.m_clock = WorkerMilliseconds(GENERATE(2000, 23000, 24000));
  worker.m_lease_until = WorkerMilliseconds();
  ApplyReport(fixture.m_fleet, id, worker.m_poll_number, worker.m_token, report,
              fixture.m_now);
  const WorkerMilliseconds end = report.m_clock + WorkerMilliseconds(10000);
  // An order that was handed over before the worker started may leave 1.5 s
  // and be carried out 13.5 s after that.
  const bool is_young = report.m_clock < WorkerMilliseconds(23500);
  CHECK((worker.m_lease_until >= end) == is_young);
}

TEST_CASE("A cancelled task does not wait for a late start") {
  FleetFixture fixture;
  const StartOrder first = SendUnanswered(fixture);
  Report(fixture, first.m_worker.value(), {}, {});
  SECTION("while it is to be started again") {}
  SECTION("after its run has failed") {
    const StartOrder second = TakeStart(fixture);
    Wait(fixture, milliseconds(10));
    Report(fixture, first.m_worker.value(), {},
           {EndedRunOf(second, 1, RunOutcome::kFailed)});
  }
  CancelJob(fixture.m_fleet, JobKey("job"), fixture.m_now);
  CHECK(TaskOf(fixture, first.m_task).m_state == RunState::kCancelled);
  CHECK(HasEnded(*FindJob(fixture.m_fleet, JobKey("job"))));
}

}  // namespace daisyarch::fleet
