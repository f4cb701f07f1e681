#include <catch2/catch.hpp>
#include <cmath>

#include "decisions/fleet/fleet_fixture.h"
#include "decisions/fleet/learned_run_times.h"
#include "wire/field_codec.h"
#include "wire/fleet_fields.h"

namespace daisyarch::fleet {

namespace {

constexpr Millicores kCore{1000};

void TeachUsualRunTime(RunTimeModel& model, const StepPlan& step) {
  const QueueId queue("batch");
  for (int number = 0; number < 40; ++number) {
    const WorkerId worker("usual" + std::to_string(number % 10));
    RecordEndedRun(
        model, {queue, step, worker, Incarnation(1), std::chrono::seconds(1)});
  }
}

// Places the job's only task on "w0" and ends it after `length`; returns how
// many runs were learned from.
std::uint64_t RunFor(FleetFixture& fixture, const JobPlan& plan,
                     Duration length) {
  Submit(fixture, plan);
  const auto starts = TakeOrders<StartOrder>(fixture);
  REQUIRE(starts.size() == 1);
  ApplyStartOutcome(fixture.m_fleet, starts[0], StartOutcome::kStarted,
                    fixture.m_now);
  // The time of day is set back meanwhile.
  SetTime(fixture.m_fleet, fixture.m_now, -3600 * 1000);
  const Duration poll = std::chrono::milliseconds(500);
  for (Duration gone = poll; gone < length; gone += poll) {
    Wait(fixture, poll);
    Report(fixture, "w0", {ActiveRunOf(starts[0])}, {});
  }
  Wait(fixture, Duration{});
  fixture.m_now += poll;
  Report(fixture, "w0", {}, {EndedRunOf(starts[0], 1, RunOutcome::kDone)});
  return fixture.m_fleet.m_run_times.m_ended_runs;
}

}  // namespace

TEST_CASE("A done run is learned from by the loop's clock, set back or not") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 1, kCore);
  const JobPlan plan = MakePlan("job", 1, kCore);
  CHECK(RunFor(fixture, plan, std::chrono::seconds(4)) == 1);
  CHECK(ExpectedRunTime(fixture.m_fleet.m_run_times, QueueId("batch"),
                        plan.m_steps[0])
            .m_expected > std::chrono::milliseconds(1200));
}

TEST_CASE("Starts and ends that are known late are not learned from as ends") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 1, kCore);
  Submit(fixture, MakePlan("job", 1, kCore));
  const auto starts = TakeOrders<StartOrder>(fixture);
  REQUIRE(starts.size() == 1);
  Duration confirmed{};
  Duration silent{};
  std::uint64_t learned = 0;
  SECTION("an end that arrives late") { silent = std::chrono::seconds(3); }
  SECTION("a start that is confirmed late") {
    confirmed = std::chrono::seconds(1);
  }
  SECTION("both in time") { learned = 1; }
  fixture.m_now += confirmed;
  ApplyStartOutcome(fixture.m_fleet, starts[0], StartOutcome::kStarted,
                    fixture.m_now);
  for (int poll = 0; poll < 4; ++poll) {
    Wait(fixture, std::chrono::milliseconds(500));
    Report(fixture, "w0", {ActiveRunOf(starts[0])}, {});
  }
  Wait(fixture, silent);
  Report(fixture, "w0", {}, {EndedRunOf(starts[0], 1, RunOutcome::kDone)});
  CHECK(fixture.m_fleet.m_run_times.m_ended_runs == learned);
}

TEST_CASE("Runs whose length says little are not learned from") {
  JobPlan plan = MakePlan("job", 1, kCore);
  FleetFixture fixture;
  AddReadyWorkers(fixture, 1, kCore);
  SECTION("a gang's") { plan.m_steps[0].m_is_gang = true; }
  SECTION("a colocated step's") { plan.m_steps[0].m_is_colocated = true; }
  SECTION("one that may have resumed") {
    plan.m_steps[0].m_saves_progress = true;
    AddJob(fixture.m_fleet, plan, {}, fixture.m_now);
    MarkInherited(fixture.m_fleet, *FindJob(fixture.m_fleet, JobKey("job")));
  }
  CHECK(RunFor(fixture, plan, std::chrono::seconds(4)) == 0);
}

TEST_CASE("A run that goes on is learned from, and a restart forgets it") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 1, Millicores(8000));
  const JobPlan plan = MakePlan("job", 8, kCore);
  // Until the usual run time is known, a long run tells of that alone.
  TeachUsualRunTime(fixture.m_fleet.m_run_times, plan.m_steps[0]);
  Submit(fixture, plan);
  const auto starts = TakeOrders<StartOrder>(fixture);
  std::vector<ActiveRun> runs;
  for (const StartOrder& start : starts) runs.push_back(ActiveRunOf(start));
  for (int poll = 0; poll < 100; ++poll) {
    fixture.m_now += std::chrono::milliseconds(500);
    Report(fixture, "w0", runs, {});
  }
  const RunTimeModel& model = fixture.m_fleet.m_run_times;
  CHECK(model.m_active_runs >= starts.size());
  // Once for each doubling.
  CHECK(model.m_active_runs <= starts.size() * 6);
  CHECK(SlownessOf(model, WorkerId("w0")) > 1.2);
  Worker& worker = *FindWorker(fixture.m_fleet, WorkerId("w0"));
  UpdateIncarnation(fixture.m_fleet, worker, Incarnation(2), fixture.m_now);
  CHECK(SlownessOf(model, WorkerId("w0")) == 1.0);
}

TEST_CASE("A worker that is known to be slow gets what fits on no other") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 2, kCore);
  const JobPlan plan = MakePlan("job", 1, kCore);
  const WorkerId slow("w0");
  const WorkerId usual("w1");
  for (int run = 0; run < 100; ++run) {
    RunTimeModel& model = fixture.m_fleet.m_run_times;
    RecordEndedRun(model, {QueueId("batch"), plan.m_steps[0], usual,
                           Incarnation(1), std::chrono::seconds(1)});
    RecordEndedRun(model, {QueueId("batch"), plan.m_steps[0], slow,
                           Incarnation(1), std::chrono::seconds(4)});
  }
  Submit(fixture, plan);
  Submit(fixture, MakePlan("next", 1, kCore));
  const auto starts = TakeOrders<StartOrder>(fixture);
  REQUIRE(starts.size() == 2);
  CHECK(starts[0].m_worker == usual);
  CHECK(starts[1].m_worker == slow);
}

TEST_CASE("A new leader takes over what was learned, and no odd figures") {
  RunTimeModel model;
  const StepPlan step = MakePlan("job", 4, kCore).m_steps[0];
  for (int number = 0; number < 300; ++number) {
    const QueueId queue("queue" + std::to_string(number));
    const WorkerId worker("w" + std::to_string(number));
    for (int run = 0; run < 20; ++run) {
      RecordEndedRun(model, {queue, step, worker, Incarnation(3),
                             std::chrono::seconds(run % 2 == 0 ? 9 : 1)});
    }
  }
  const LearnedRunTimes learned = LearnedRunTimesOf(model);
  const std::string value = WriteCbor(Encode(learned));
  CHECK(value.size() < 32000);
  auto read = DecodeCbor<LearnedRunTimes>(value, "read", "key");
  REQUIRE(read);
  LearnedRunTimes& stored = read.assume_value();
  CHECK_FALSE(HasChangedEnough(stored, learned));
  CHECK(HasChangedEnough({}, learned));
  stored.m_run_times[1].m_learned.m_level = NAN;
  stored.m_run_times[2].m_learned.m_covariance = 40;
  RunTimeModel next;
  ApplyLearnedRunTimes(next, stored);
  CHECK(next.m_run_times.m_rows.size() == stored.m_run_times.size() - 2);
  const QueueId latest("queue299");
  CHECK(ExpectedRunTime(next, latest, step).m_expected ==
        ExpectedRunTime(model, latest, step).m_expected);
}

}  // namespace daisyarch::fleet
