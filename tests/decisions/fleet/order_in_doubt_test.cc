#include <catch2/catch.hpp>

#include "decisions/fleet/fencing.h"
#include "decisions/fleet/fleet_fixture.h"
#include "decisions/fleet/start_journal.h"
#include "models/fleet_worker_model.h"

namespace daisyarch::fleet {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Millicores kCore{1000};
constexpr std::int64_t kUnixMs = 1'700'000'000'000;

void Store(FleetFixture& fixture) {
  ApplyStoredBatch(fixture.m_fleet, TakeChanges(fixture.m_fleet));
}

// Returns the only start order of the next placement pass.
StartOrder SubmitOne(FleetFixture& fixture, const std::string& job) {
  Submit(fixture, MakePlan(job, 1, kCore));
  const auto starts = TakeOrders<StartOrder>(fixture);
  REQUIRE(starts.size() == 1);
  return starts.front();
}

// Returns the next poll of the worker. It gets no answer.
PollOrder NextPoll(FleetFixture& fixture) {
  fixture.m_fleet.m_orders.clear();
  Wait(fixture, milliseconds(400));
  const auto polls = TakeOrders<PollOrder>(fixture);
  REQUIRE(polls.size() == 1);
  return polls.front();
}

// Returns how many ends the next incarnation of a worker still lists, if it
// carries out the start some seconds late and then the poll.
std::size_t EndsAfterLateOrders(const StartOrder& start, const PollOrder& poll,
                                TimePoint now) {
  FleetWorkerModel restarted;
  restarted.m_process_started_at = now;
  restarted.m_plan_run = [now](const TaskReference&, RunNumber) {
    ModelRun run;
    run.m_ends_at = now + milliseconds(1500);
    return run;
  };
  REQUIRE(Receive(restarted, start, now + seconds(1)) ==
          StartOutcome::kStarted);
  Advance(restarted, now + seconds(2));
  REQUIRE(restarted.m_ended.size() == 1);
  static_cast<void>(Receive(restarted, poll, now + seconds(3)));
  return restarted.m_ended.size();
}

// Lets the worker end a run, and confirms what is stored of it.
EndedRun EndOne(FleetFixture& fixture) {
  const StartOrder first = SubmitOne(fixture, "first");
  ApplyStartOutcome(fixture.m_fleet, first, StartOutcome::kStarted,
                    fixture.m_now);
  Wait(fixture, milliseconds(10));
  return EndedRunOf(first, 1, RunOutcome::kDone);
}

// Returns the journal that a leader stores before these starts leave.
StartJournal JournalOfStarts(FleetFixture& fixture,
                             const std::vector<StartOrder>& starts) {
  OpenStarts open;
  for (const StartOrder& start : starts) AddOpenStart(open, start);
  NameWaitingStarts(open, starts);
  return JournalOf(fixture.m_fleet, open, fixture.m_now);
}

// Returns the starts that the next leader sends 5 s after an earlier one ended.
// Both workers have answered it.
std::vector<StartOrder> StartsOfNextLeader(const FleetFixture& earlier,
                                           const JobProgress& progress,
                                           const StartJournal& journal) {
  FleetFixture next;
  next.m_fleet.m_term = Term(3);
  next.m_now = earlier.m_now + seconds(5);
  SetTime(next.m_fleet, next.m_now, kUnixMs + 5000);
  AddJob(next.m_fleet, MakePlan("job", 1, kCore), progress, next.m_now);
  for (const char* worker : {"w0", "w1"}) {
    ApplyRosterLoaded(next.m_fleet, {WorkerId(worker), worker, Incarnation(1)},
                      next.m_now);
  }
  RestoreJournal(next.m_fleet, journal);
  AddReadyWorkers(next, 2, kCore);
  next.m_fleet.m_needs_placement = true;
  PlaceRuns(next.m_fleet, next.m_now);
  return TakeOrders<StartOrder>(next);
}

}  // namespace

// Guards against an end that is forgotten before the leader has seen it. Both
// orders are within their timeouts when the second one is sent.
TEST_CASE("A late start is listed after a poll that was sent before it") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 1, kCore);
  const EndedRun end = EndOne(fixture);
  Report(fixture, "w0", {}, {end});
  Store(fixture);
  const PollOrder poll = NextPoll(fixture);
  CHECK(poll.m_acknowledged == OutcomeNumber(1));
  const StartOrder start = SubmitOne(fixture, "second");
  CHECK(EndsAfterLateOrders(start, poll, fixture.m_now) == 1);
}

// The same, in the other order.
TEST_CASE("A late start is listed after a poll that was sent after it") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 1, kCore * 2);
  const EndedRun end = EndOne(fixture);
  const StartOrder start = SubmitOne(fixture, "second");
  Report(fixture, "w0", {}, {end});
  Store(fixture);
  const PollOrder poll = NextPoll(fixture);
  CHECK(EndsAfterLateOrders(start, poll, fixture.m_now) == 1);
}

// Guards against a worker that gets nothing more since a start has outranked
// its poll: the poll's report counts, and a poll that comes too late is sent
// again.
TEST_CASE("A start that outranks a poll takes no worker out of service") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 1, kCore * 2);
  const EndedRun end = EndOne(fixture);
  Report(fixture, "w0", {}, {end});
  Store(fixture);
  const PollOrder poll = NextPoll(fixture);
  const StartOrder start = SubmitOne(fixture, "second");
  const Worker& worker = *FindWorker(fixture.m_fleet, WorkerId("w0"));
  REQUIRE(start.m_token > poll.m_token);
  SECTION("the poll came before the start") {
    WorkerReport report;
    report.m_incarnation = Incarnation(1);
    report.m_clock =
        WorkerMilliseconds(ToMilliseconds(fixture.m_now.time_since_epoch()));
    report.m_running = {ActiveRunOf(start)};
    ApplyReport(fixture.m_fleet, WorkerId("w0"), poll.m_poll_number,
                poll.m_token, report, fixture.m_now);
    CHECK(TaskOf(fixture, start.m_task).m_state == RunState::kRunning);
  }
  SECTION("the start came first") {
    FailPoll(fixture, "w0", PollFailure::kFenced);
    Wait(fixture, milliseconds(1));
    const auto polls = TakeOrders<PollOrder>(fixture);
    REQUIRE(polls.size() == 1);
    CHECK(polls.front().m_token == start.m_token);
  }
  CHECK(worker.m_state == WorkerState::kReady);
  CHECK(SubmitOne(fixture, "third").m_token == start.m_token);
}

// Guards against ends that are never acknowledged since some start is always on
// its way: the next poll waits for the answers.
TEST_CASE("Ends are acknowledged as soon as all starts are answered") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 1, kCore * 2);
  const EndedRun end = EndOne(fixture);
  const StartOrder start = SubmitOne(fixture, "second");
  Report(fixture, "w0", {}, {end});
  Store(fixture);
  Wait(fixture, milliseconds(5));
  REQUIRE(TakeOrders<PollOrder>(fixture).empty());
  ApplyStartOutcome(fixture.m_fleet, start, StartOutcome::kStarted,
                    fixture.m_now);
  Wait(fixture, milliseconds(1));
  const auto polls = TakeOrders<PollOrder>(fixture);
  REQUIRE(polls.size() == 1);
  CHECK(polls.front().m_acknowledged == OutcomeNumber(1));
}

// Guards against orders under the tokens of the next term.
TEST_CASE("A leader ends before the tokens of its term are used up") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 1, kCore);
  CHECK_FALSE(AreTokensUsedUp(fixture.m_fleet));
  fixture.m_fleet.m_last_token = FencingToken(FirstToken(Term(3)).value() - 1);
  CHECK(AreTokensUsedUp(fixture.m_fleet));
}

// Guards against a second run beside one that an order of the leader before
// begins late: that leader ended before the order had timed out. All that it
// had marked as changed was stored, and the journal of its starts.
TEST_CASE("The next leader moves no task whose start was still unanswered") {
  FleetFixture earlier;
  AddReadyWorkers(earlier, 2, kCore);
  const StartOrder first = SubmitOne(earlier, "job");
  SetTime(earlier.m_fleet, earlier.m_now, kUnixMs);
  const ChangeBatch stored = TakeChanges(earlier.m_fleet);
  const JobProgress progress = stored.m_changes.empty()
                                   ? JobProgress()
                                   : stored.m_changes.front().m_progress;
  const StartJournal journal = JournalOfStarts(earlier, {first});
  const auto starts = StartsOfNextLeader(earlier, progress, journal);
  CHECK(starts.size() == 1);
  for (const StartOrder& start : starts) {
    CHECK(start.m_worker == first.m_worker);
    CHECK(start.m_run == first.m_run);
  }
}

}  // namespace daisyarch::fleet
