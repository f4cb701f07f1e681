#include <catch2/catch.hpp>
#include <functional>

#include "decisions/fleet/fleet_fixture.h"
#include "decisions/fleet/late_start.h"
#include "decisions/fleet/occurrences.h"

namespace daisyarch::fleet {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Millicores kCore{1000};
constexpr std::int64_t kUnixMs = 1'700'000'000'000;
constexpr Duration kStep = milliseconds(50);
// Until the next poll of a worker that answers at once, and the next pass.
constexpr Duration kUntilNoticed = milliseconds(400);
// From a worker's last answer to the unanswered start.
constexpr Duration kSinceLastAnswer = milliseconds(2060);
// By which the times of day of two nodes may differ.
constexpr Duration kMaximumClockStep = seconds(10);

/// A worker that starts nothing.
struct IdleWorker {
  TimePoint m_started_at = TimePoint(seconds(40));
  Incarnation m_incarnation{1};
  double m_clock_rate = 1;
  bool m_answers = true;
  /// From when a poll is sent until its answer arrives.
  Duration m_answer_time{};
  /// The worker answers as the poll is sent, not as the answer arrives.
  bool m_answers_early = false;
};

/// A start without an answer, and leaders that change after it. Each leader
/// stores the task's row when the next one takes over.
struct LeaderChain {
  std::size_t m_leaders = 1;  ///< After the one that sent the start.
  Duration m_gap = seconds(2);
  /// The nodes of all leaders run from the beginning, so that each sees when
  /// the terms of the others begin.
  bool m_nodes_see_terms = true;
  /// By how much the time of day of the nth leader is ahead.
  std::function<Duration(std::size_t)> m_clock_step = [](std::size_t) {
    return Duration{};
  };
  /// Called as the nth leader begins, with the worker of the unanswered start.
  std::function<void(std::size_t, TimePoint, IdleWorker&)> m_on_change =
      [](std::size_t, TimePoint, IdleWorker&) {};
  std::map<WorkerId, IdleWorker> m_workers = {{WorkerId("w0"), {}},
                                              {WorkerId("w1"), {}}};
};

std::int64_t UnixMs(const FleetFixture& fixture, Duration clock_step) {
  return kUnixMs +
         ToMilliseconds(fixture.m_now.time_since_epoch() + clock_step);
}

void AnswerPoll(FleetFixture& fixture, const WorkerId& id,
                const IdleWorker& worker) {
  const Worker& known = *FindWorker(fixture.m_fleet, id);
  if (!known.m_is_polling || !worker.m_answers) return;
  if (fixture.m_now < known.m_poll_sent_at + worker.m_answer_time) return;
  const TimePoint read_at =
      worker.m_answers_early ? known.m_poll_sent_at : fixture.m_now;
  WorkerReport report;
  report.m_incarnation = worker.m_incarnation;
  report.m_clock = WorkerMilliseconds(static_cast<std::int64_t>(
      static_cast<double>(ToMilliseconds(read_at - worker.m_started_at)) *
      worker.m_clock_rate));
  ApplyReport(fixture.m_fleet, id, known.m_poll_number, known.m_token, report,
              fixture.m_now);
}

void AnswerPolls(FleetFixture& fixture, const LeaderChain& chain) {
  for (const auto& [id, worker] : chain.m_workers) {
    AnswerPoll(fixture, id, worker);
  }
}

void ListWorkers(FleetFixture& fixture, const LeaderChain& chain,
                 Duration clock_step) {
  std::vector<ListedWorker> listing;
  for (const auto& [id, worker] : chain.m_workers) {
    ListedWorker entry;
    entry.m_worker = id;
    entry.m_address = id.value();
    entry.m_incarnation = worker.m_incarnation;
    entry.m_pool = PoolId("pool");
    entry.m_capacity = Resources{kCore, Mebibytes(64000), Accelerators(0)};
    listing.push_back(entry);
  }
  ApplyListing(fixture.m_fleet, listing, fixture.m_now, fixture.m_now);
  TickFleet(fixture.m_fleet, fixture.m_now, UnixMs(fixture, clock_step));
  AnswerPolls(fixture, chain);
}

// Returns whether the leader starts a task until then.
bool StartsUntil(FleetFixture& fixture, const LeaderChain& chain,
                 Duration clock_step, TimePoint until) {
  while (fixture.m_now < until) {
    fixture.m_now += kStep;
    fixture.m_fleet.m_orders.clear();
    TickFleet(fixture.m_fleet, fixture.m_now, UnixMs(fixture, clock_step));
    AnswerPolls(fixture, chain);
    ApplyRosterStored(fixture.m_fleet, MissingFromRoster(fixture.m_fleet));
    PlaceRuns(fixture.m_fleet, fixture.m_now);
    if (!TakeOrders<StartOrder>(fixture).empty()) return true;
  }
  return false;
}

JobProgress TakeStoredProgress(FleetFixture& fixture) {
  Job& job = *FindJob(fixture.m_fleet, JobKey("job"));
  MarkTaskChanged(fixture.m_fleet, job, {job.m_plan.m_key});
  const ChangeBatch batch = TakeChanges(fixture.m_fleet);
  REQUIRE(batch.m_changes.size() == 1);
  return batch.m_changes.front().m_progress;
}

// Lets the first leader send a start that gets no answer.
StartOrder SendUnanswered(FleetFixture& fixture, const LeaderChain& chain) {
  ListWorkers(fixture, chain, chain.m_clock_step(0));
  // The worker is idle, so it is not polled meanwhile.
  StartsUntil(fixture, chain, chain.m_clock_step(0),
              fixture.m_now + seconds(2));
  Submit(fixture, MakePlan("job", 1, kCore));
  const auto starts = TakeOrders<StartOrder>(fixture);
  REQUIRE(starts.size() == 1);
  ApplyStartOutcome(fixture.m_fleet, starts.front(), StartOutcome::kUnanswered,
                    fixture.m_now);
  return starts.front();
}

// Returns the time from the unanswered start to the next one.
Duration PlayChain(LeaderChain& chain) {
  FleetFixture first;
  const WorkerId late = SendUnanswered(first, chain).m_worker;
  const TimePoint sent_at = first.m_now;
  TimePoint now = sent_at;
  JobProgress stored = TakeStoredProgress(first);
  std::map<Term, TimePoint> terms_seen_at;
  for (std::size_t number = 1; number <= chain.m_leaders; ++number) {
    now += chain.m_gap;
    chain.m_on_change(number, now, chain.m_workers.at(late));
    const Duration clock_step = chain.m_clock_step(number);
    FleetFixture leader;
    leader.m_fleet.m_term = Term(first.m_fleet.m_term.value() + number);
    leader.m_now = now;
    terms_seen_at.emplace(leader.m_fleet.m_term, now);
    if (chain.m_nodes_see_terms) leader.m_fleet.m_terms_seen_at = terms_seen_at;
    SetTime(leader.m_fleet, now, UnixMs(leader, clock_step));
    AddJob(leader.m_fleet, MakePlan("job", 1, kCore), stored, now);
    ListWorkers(leader, chain, clock_step);
    const bool is_last = number == chain.m_leaders;
    const TimePoint until = now + (is_last ? seconds(60) : chain.m_gap);
    if (StartsUntil(leader, chain, clock_step, until)) {
      CHECK_FALSE(MayTakeOrderLate(leader.m_fleet, late, leader.m_now));
      return leader.m_now - sent_at;
    }
    stored = TakeStoredProgress(leader);
  }
  FAIL("the task was not started");
  return {};
}

}  // namespace

// Guards against a wait for a late start that grows with each leader that
// stores the task again.
TEST_CASE("The wait for a late start does not grow with each leader") {
  LeaderChain chain;
  chain.m_leaders = GENERATE(1, 3, 6, 12);
  chain.m_gap = milliseconds(GENERATE(1000, 2000, 3000));
  chain.m_nodes_see_terms = GENERATE(true, false);
  const bool answers = GENERATE(true, false);
  chain.m_on_change = [answers](std::size_t, TimePoint, IdleWorker& worker) {
    worker.m_answers = answers;
  };
  INFO(chain.m_leaders << " leaders, " << ToMilliseconds(chain.m_gap)
                       << " ms each, terms seen: " << chain.m_nodes_see_terms
                       << ", answers: " << answers);
  const Duration waited = PlayChain(chain);
  INFO("started after " << ToMilliseconds(waited) << " ms");
  const Duration longest = LongestEffectDelay(FleetLimits());
  CHECK(waited >= longest);
  CHECK(waited <= longest + kMaximumClockStep + kUntilNoticed);
  if (chain.m_nodes_see_terms) {
    CHECK(waited <= longest + chain.m_gap + kUntilNoticed);
  }
}

// Guards against a wait by the time of day, which has to allow for jumps, where
// the worker's clock shows that no order can take effect any more.
TEST_CASE("A late start ends by the clock of its worker") {
  LeaderChain chain;
  chain.m_leaders = GENERATE(1, 3, 6);
  chain.m_gap = milliseconds(GENERATE(1000, 3000));
  chain.m_clock_step = [step = GENERATE(-10, -2, 2, 10)](std::size_t number) {
    return number == 0 ? Duration{} : Duration(seconds(step));
  };
  IdleWorker worker;
  worker.m_clock_rate = GENERATE(0.98, 1.0);
  for (auto& entry : chain.m_workers) entry.second = worker;
  INFO(chain.m_leaders << " leaders, " << ToMilliseconds(chain.m_gap)
                       << " ms each, step "
                       << ToMilliseconds(chain.m_clock_step(1)) << " ms, rate "
                       << worker.m_clock_rate);
  const Duration waited = PlayChain(chain);
  INFO("started after " << ToMilliseconds(waited) << " ms");
  const Duration longest = LongestEffectDelay(FleetLimits());
  CHECK(waited >= longest);
  CHECK(waited <= longest * 100 / 98 + kUntilNoticed);
}

// Guards against a clock that is taken for too early a time, since the answer
// that told of it was long on its way.
TEST_CASE("A slow answer does not shorten the wait for a late start") {
  LeaderChain chain;
  chain.m_leaders = GENERATE(1, 3);
  IdleWorker worker;
  worker.m_answer_time = milliseconds(700);
  worker.m_answers_early = GENERATE(true, false);
  for (auto& entry : chain.m_workers) entry.second = worker;
  const bool stays_slow = GENERATE(true, false);
  chain.m_on_change = [stays_slow](std::size_t, TimePoint, IdleWorker& late) {
    if (!stays_slow) late.m_answer_time = Duration{};
  };
  INFO(chain.m_leaders << " leaders, early: " << worker.m_answers_early
                       << ", stays slow: " << stays_slow);
  const Duration waited = PlayChain(chain);
  INFO("started after " << ToMilliseconds(waited) << " ms");
  const Duration longest = LongestEffectDelay(FleetLimits());
  CHECK(waited >= longest);
  CHECK(waited <= longest + 3 * worker.m_answer_time + kUntilNoticed);
}

// Guards against a clock of the next incarnation that is taken for the one
// before: the order may have left after the worker had restarted.
TEST_CASE("The clock of a restarted worker ends a late start as well") {
  LeaderChain chain;
  chain.m_leaders = GENERATE(1, 3, 6);
  // After the start was sent; the last answer came longer before that.
  const Duration restarted_after =
      milliseconds(GENERATE(-1500, -50, 500, 1500));
  chain.m_on_change = [restarted_after, gap = chain.m_gap](std::size_t number,
                                                           TimePoint now,
                                                           IdleWorker& worker) {
    if (number != 1) return;
    worker.m_started_at = now - gap + restarted_after;
    worker.m_incarnation = Incarnation(2);
  };
  INFO(chain.m_leaders << " leaders, restarted after "
                       << ToMilliseconds(restarted_after) << " ms");
  const Duration waited = PlayChain(chain);
  INFO("started after " << ToMilliseconds(waited) << " ms");
  const Duration longest = LongestEffectDelay(FleetLimits());
  CHECK(waited >= longest);
  CHECK(waited <= longest + restarted_after + kSinceLastAnswer + kUntilNoticed);
}

// Guards against a start by the time of day that is too early, after jumps of
// the leaders' clocks and without any answer of the worker.
TEST_CASE("Jumps of the clock do not shorten the wait of later leaders") {
  LeaderChain chain;
  chain.m_leaders = GENERATE(1, 2, 3, 6);
  chain.m_gap = milliseconds(GENERATE(1000, 3000));
  const int step = GENERATE(-10, -2, 2, 10);
  const bool alternates = GENERATE(true, false);
  chain.m_clock_step = [step, alternates](std::size_t number) {
    if (number == 0) return Duration{};
    return Duration(seconds(alternates && number % 2 == 0 ? -step : step));
  };
  chain.m_nodes_see_terms = GENERATE(true, false);
  chain.m_on_change = [](std::size_t, TimePoint, IdleWorker& worker) {
    worker.m_answers = false;
  };
  INFO(chain.m_leaders << " leaders, " << ToMilliseconds(chain.m_gap)
                       << " ms each, step " << step
                       << " s, alternates: " << alternates
                       << ", terms seen: " << chain.m_nodes_see_terms);
  const Duration waited = PlayChain(chain);
  INFO("started after " << ToMilliseconds(waited) << " ms");
  const Duration longest = LongestEffectDelay(FleetLimits());
  CHECK(waited >= longest);
  const std::size_t changes = chain.m_nodes_see_terms ? 1 : chain.m_leaders;
  CHECK(waited <=
        longest + chain.m_gap * static_cast<int>(changes) + kUntilNoticed);
}

// Guards against a row that is stored with a late start that is over: the
// change was not marked, so that only the next one of the task would store it.
TEST_CASE("An inherited late start that is over leaves its row") {
  FleetFixture fixture;
  SetTime(fixture.m_fleet, fixture.m_now, kUnixMs);
  const WorkerMilliseconds over(
      ToMilliseconds(fixture.m_now.time_since_epoch()) + 5);
  TaskProgress row;
  row.m_run = RunNumber(6);
  row.m_late_start_until_unix_ms = kUnixMs + 8000;
  row.m_late_start_worker = WorkerId("w0");
  row.m_late_start_clock = {Incarnation(1), over, over};
  JobProgress stored;
  stored.m_state = JobState::kRunning;
  stored.m_tasks = {row};
  AddJob(fixture.m_fleet, MakePlan("job", 1, kCore), stored, fixture.m_now);
  AddReadyWorkers(fixture, 1, kCore);
  Job& job = *FindJob(fixture.m_fleet, JobKey("job"));
  REQUIRE(StepRunAt(job, 0).m_tasks[0].m_late_start_until > fixture.m_now);
  MarkChanged(fixture.m_fleet, job);
  ApplyStoredBatch(fixture.m_fleet, TakeChanges(fixture.m_fleet));
  Wait(fixture, milliseconds(400));
  Report(fixture, "w0", {}, {});
  REQUIRE(StepRunAt(job, 0).m_tasks[0].m_late_start_until == TimePoint());
  MarkChanged(fixture.m_fleet, job);
  const ChangeBatch batch = TakeChanges(fixture.m_fleet);
  REQUIRE(batch.m_changes.size() == 1);
  const auto& rows = batch.m_changes.front().m_progress.m_tasks;
  REQUIRE(rows.size() == 1);
  CHECK(rows.front().m_late_start_until_unix_ms == 0);
}

}  // namespace daisyarch::fleet
