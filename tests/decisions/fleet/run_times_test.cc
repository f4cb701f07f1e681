#include "decisions/fleet/run_times.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <random>
#include <string>
#include <vector>

namespace daisyarch::fleet {

namespace {

const QueueId kQueue("batch");

// Runs whose true length follows from their estimate, which may be far off.
struct RunSource {
  RunTimeModel m_model;
  std::mt19937_64 m_random{7};
  double m_true_factor = 1.0;  ///< Run time / estimate.
  double m_tail_share = 0;
  double m_slow_factor = 1.0;  ///< Of the worker "slow".
};

Duration Seconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

double InSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

StepPlan StepOf(double estimate, std::uint32_t tasks = 4) {
  StepPlan step;
  step.m_task_count = tasks;
  step.m_estimate = Seconds(estimate);
  return step;
}

double Expected(const RunTimeModel& model, double estimate) {
  return InSeconds(ExpectedRunTime(model, kQueue, StepOf(estimate)).m_expected);
}

void EndRun(RunTimeModel& model, const std::string& worker,
            const StepPlan& step, double seconds,
            Incarnation incarnation = Incarnation(1)) {
  const WorkerId id(worker);
  RecordEndedRun(model, {kQueue, step, id, incarnation, Seconds(seconds)});
}

// Ends `count` steps of 4 tasks, one on "slow".
void EndSteps(RunSource& source, int count, double estimate) {
  std::lognormal_distribution<double> spread(0, 0.3);
  std::uniform_real_distribution<double> share(0, 1);
  const StepPlan step = StepOf(estimate);
  for (int number = 0; number < count; ++number) {
    for (int task = 0; task < 4; ++task) {
      double length = estimate * source.m_true_factor * spread(source.m_random);
      if (share(source.m_random) < source.m_tail_share) length *= 7;
      if (task == 0) length *= source.m_slow_factor;
      EndRun(source.m_model,
             task == 0 ? "slow" : "w" + std::to_string(number % 20 + task),
             step, length);
    }
  }
}

// Of the lognormal lengths with a median of 1 and a spread of 0.3.
const double kUsualMean = std::exp(0.3 * 0.3 / 2);
constexpr int kUsualWorkers = 20;

// Ends `count` steps on workers of usual speed whose runs take `length`.
void EndUsualSteps(RunTimeModel& model, std::mt19937_64& random,
                   std::uint32_t tasks, int count, double length,
                   double estimate = 1) {
  std::lognormal_distribution<double> spread(0, 0.3);
  std::uniform_int_distribution<int> worker(0, kUsualWorkers - 1);
  const StepPlan step = StepOf(estimate, tasks);
  for (int number = 0; number < count; ++number) {
    for (std::uint32_t task = 0; task < tasks; ++task) {
      EndRun(model, "w" + std::to_string(worker(random)), step,
             length * spread(random));
    }
  }
}

double MedianSlowness(const RunTimeModel& model) {
  std::vector<double> all;
  for (int number = 0; number < kUsualWorkers; ++number) {
    all.push_back(SlownessOf(model, WorkerId("w" + std::to_string(number))));
  }
  std::sort(all.begin(), all.end());
  return all[all.size() / 2];
}

}  // namespace

TEST_CASE("A step that nothing is known of takes its declared estimate") {
  const RunTimeModel model;
  const RunTimeEstimate estimate = ExpectedRunTime(model, kQueue, StepOf(2));
  CHECK(InSeconds(estimate.m_expected) == Approx(2));
  CHECK(InSeconds(estimate.m_deviation) > 1);
  CHECK(ExpectedRunTime(model, kQueue, StepOf(0)).m_expected == Duration{});
  CHECK(SlownessOf(model, WorkerId("w0")) == 1.0);
}

TEST_CASE("Estimates that are wrong by 10 times are corrected by the ends") {
  for (const double factor : {10.0, 0.1}) {
    RunSource source;
    source.m_true_factor = factor;
    EndSteps(source, 40, 1);
    CHECK(Expected(source.m_model, 1) == Approx(factor).epsilon(0.25));
    // Between estimates that were seen and beyond them.
    CHECK(Expected(source.m_model, 2) == Approx(2 * factor).epsilon(0.6));
    CHECK(ExpectedRunTime(source.m_model, QueueId("other"), StepOf(1))
              .m_expected == std::chrono::seconds(1));
  }
}

TEST_CASE("Workers take over no error of the estimate that all of them share") {
  for (const double factor : {10.0, 0.1}) {
    for (const std::uint32_t tasks : {1U, 4U, 16U}) {
      CAPTURE(factor, tasks);
      RunTimeModel model;
      std::mt19937_64 random(11);
      EndUsualSteps(model, random, tasks, 300, factor);
      CHECK(Expected(model, 1) == Approx(factor * kUsualMean).epsilon(0.15));
      CHECK(MedianSlowness(model) == Approx(1).epsilon(0.05));
    }
  }
}

TEST_CASE(
    "A change of the true run time is followed at one estimate, or none") {
  for (const double estimate : {1.0, 0.0}) {
    for (const std::uint32_t tasks : {1U, 4U, 16U}) {
      CAPTURE(estimate, tasks);
      RunTimeModel model;
      std::mt19937_64 random(13);
      EndUsualSteps(model, random, tasks, 1000, 1, estimate);
      CHECK(Expected(model, estimate) == Approx(kUsualMean).epsilon(0.15));
      EndUsualSteps(model, random, tasks, 300, 3, estimate);
      CHECK(Expected(model, estimate) == Approx(3 * kUsualMean).epsilon(0.15));
      CHECK(MedianSlowness(model) == Approx(1).epsilon(0.05));
    }
  }
}

TEST_CASE("Estimates that say nothing give way to the usual run time") {
  RunTimeModel model;
  std::mt19937_64 random(3);
  std::uniform_real_distribution<double> estimate(0.1, 1.9);
  for (int number = 0; number < 200; ++number) {
    const StepPlan step = StepOf(estimate(random));
    EndRun(model, "w" + std::to_string(number % 20), step, 1.0);
  }
  CHECK(Expected(model, 0.2) == Approx(1).epsilon(0.2));
  CHECK(Expected(model, 1.8) == Approx(1).epsilon(0.2));
}

TEST_CASE("Tails of 7 times the usual run move the expectation by their mean") {
  RunSource plain;
  EndSteps(plain, 200, 1);
  RunSource tailed;
  tailed.m_tail_share = 0.03;
  EndSteps(tailed, 200, 1);
  const double without = Expected(plain.m_model, 1);
  const double with = Expected(tailed.m_model, 1);
  CHECK(with > without);
  CHECK(with < without * 1.35);
  // Once a run is well in the tail, much of it is left.
  const StepPlan step = StepOf(1);
  const double left = InSeconds(
      RemainingRunTime(tailed.m_model, kQueue, step, Seconds(3)).m_expected);
  CHECK(left > 0.5);
  CHECK(left < 6);
}

TEST_CASE("What is left of a run shrinks at first and never ends at zero") {
  RunSource source;
  EndSteps(source, 40, 1);
  const StepPlan step = StepOf(1);
  const auto left = [&](double elapsed) {
    return InSeconds(
        RemainingRunTime(source.m_model, kQueue, step, Seconds(elapsed))
            .m_expected);
  };
  CHECK(left(0) == Approx(Expected(source.m_model, 1)));
  CHECK(left(0.5) < left(0.1));
  for (const double elapsed : {1.0, 3.0, 10.0, 1000.0}) {
    CHECK(left(elapsed) > 0.01);
    CHECK(left(elapsed) < elapsed);
  }
}

TEST_CASE("Runs that go on beyond the estimate shift it before any has ended") {
  RunTimeModel model;
  const StepPlan step = StepOf(1, 20);
  for (int task = 0; task < 20; ++task) {
    const WorkerId worker("w" + std::to_string(task));
    for (const double seconds : {0.6, 1.1, 2.1, 4.1, 8.2}) {
      RecordActiveRun(model,
                      {kQueue, step, worker, Incarnation(1), Seconds(seconds)});
    }
  }
  CHECK(Expected(model, 1) > 1.3);
  CHECK(Expected(model, 1) < 20);
}

TEST_CASE("A slow worker is known, and shifts no expectation") {
  RunSource source;
  source.m_slow_factor = 3;
  EndSteps(source, 60, 1);
  CHECK(SlownessOf(source.m_model, WorkerId("slow")) > 1.8);
  CHECK(SlownessOf(source.m_model, WorkerId("slow")) < 3.3);
  for (int number = 3; number < 20; ++number) {
    const WorkerId worker("w" + std::to_string(number));
    CHECK(SlownessOf(source.m_model, worker) < 1.3);
    CHECK(SlownessOf(source.m_model, worker) > 0.75);
  }
  CHECK(Expected(source.m_model, 1) == Approx(1.05).epsilon(0.3));
  // Another process under its id may be as fast as others.
  EndRun(source.m_model, "slow", StepOf(1), 1, Incarnation(2));
  CHECK(SlownessOf(source.m_model, WorkerId("slow")) == Approx(1).epsilon(0.2));
}

TEST_CASE("Runs that stand still on a worker make it slow before they end") {
  RunSource source;
  EndSteps(source, 40, 1);
  const double before = Expected(source.m_model, 1);
  const StepPlan step = StepOf(1);
  const WorkerId stuck("stuck");
  for (const double seconds : {2.1, 4.1, 8.2, 16.4}) {
    for (int run = 0; run < 4; ++run) {
      RecordActiveRun(source.m_model,
                      {kQueue, step, stuck, Incarnation(1), Seconds(seconds)});
    }
  }
  CHECK(SlownessOf(source.m_model, stuck) > 2);
  CHECK(Expected(source.m_model, 1) < before * 1.5);
  ForgetSlowness(source.m_model, stuck);
  CHECK(SlownessOf(source.m_model, stuck) == 1.0);
}

TEST_CASE("A run outside its data rack does not make its worker slow") {
  RunSource source;
  EndSteps(source, 40, 1);
  const StepPlan step = StepOf(1);
  const WorkerId far("far");
  for (int run = 0; run < 40; ++run) {
    RecordEndedRun(source.m_model, {kQueue, step, far, Incarnation(1),
                                    Seconds(2), /*m_known_slowdown=*/2});
  }
  CHECK(SlownessOf(source.m_model, far) == Approx(1).epsilon(0.15));
}

TEST_CASE("The tables are bounded and drop the oldest entries") {
  RunTimeModel model;
  for (int number = 0; number < 1000; ++number) {
    const QueueId queue("queue" + std::to_string(number));
    const StepPlan step = StepOf(1);
    const WorkerId worker("w" + std::to_string(number));
    RecordEndedRun(model, {queue, step, worker, Incarnation(1), Seconds(5)});
  }
  CHECK(model.m_run_times.m_rows.size() == model.m_run_times.m_limit);
  CHECK(model.m_run_times.m_touches.size() == model.m_run_times.m_limit);
  CHECK(ExpectedRunTime(model, QueueId("queue0"), StepOf(1)).m_expected ==
        std::chrono::seconds(1));
  CHECK(ExpectedRunTime(model, QueueId("queue999"), StepOf(1)).m_expected >
        std::chrono::milliseconds(1010));
}

TEST_CASE("Nothing is learned from a run whose clock was set back") {
  RunTimeModel model;
  EndRun(model, "w", StepOf(1), -5);
  EndRun(model, "w", StepOf(1), 0);
  CHECK(Expected(model, 1) == Approx(1));
  for (int number = 0; number < 500; ++number) {
    EndRun(model, "w", StepOf(1e-9), 1e9);
    EndRun(model, "w", StepOf(1e9), 1e-6);
  }
  CHECK(std::isfinite(Expected(model, 1)));
  CHECK(std::isfinite(SlownessOf(model, WorkerId("w"))));
}

}  // namespace daisyarch::fleet
