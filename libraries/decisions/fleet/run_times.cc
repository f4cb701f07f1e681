#include "decisions/fleet/run_times.h"

#include <algorithm>
#include <cmath>

namespace daisyarch::fleet {

namespace {

// Innovations beyond this many standard deviations are cut, so that one run of
// the tail moves the expectation no further than any other long run.
constexpr double kLargestInnovation = 2.5;
// Tasks of one step share the error of its estimate, so they count as one step,
// and as a few on one worker, which gets only some of them.
constexpr double kMostTasksSharingWeight = 16;
constexpr double kMostTasksSharingSlowness = 4;
// A long run counts as active once for each doubling of its length and again at
// its end.
constexpr double kActiveWeight = 0.5;
// Share of what is known that is forgotten with each step learned from.
constexpr double kForgottenShare = 0.02;
constexpr double kMostWeight = 50;
// Of the prior of variance and means, in steps.
constexpr double kPriorWeight = 4;
constexpr double kLeastRunVariance = 0.02;
constexpr double kMostRunVariance = 4;
// Longer runs, against the usual one, count as that long in the means.
constexpr double kLargestRatio = 8;
// The line is known once its variance is that much below a single run's.
constexpr double kKnownLine = 4;
constexpr double kLeastSeconds = 0.001;
constexpr double kMostSeconds = 1e6;
// Standard deviations beyond which the rest of a run is taken as exponential.
constexpr double kFarOut = 5;
constexpr double kRootOfTwoPi = 2.5066282746310002;
// A worker's speed may change while it runs.
constexpr double kSlownessDrift = 0.002;
// Of one sample in the usual slowness.
constexpr double kUsualShare = 0.02;

struct Prediction {
  double m_distance = 0;  ///< Of the estimate from the line's origin.
  double m_log = 0;       ///< Expected logarithm of the run time in seconds.
  double m_variance = 0;  ///< Of that expectation.
};

double SecondsOf(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

Duration DurationOf(double seconds) {
  if (!std::isfinite(seconds)) return Duration{};
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::clamp(seconds, 0.0, kMostSeconds)));
}

double LogOf(double seconds) {
  return std::log(std::clamp(seconds, kLeastSeconds, kMostSeconds));
}

bool HasEstimate(const StepPlan& step) { return step.m_estimate > Duration{}; }

// A step without an estimate counts as one of 1 s.
double LogEstimateOf(const StepPlan& step) {
  return HasEstimate(step) ? LogOf(SecondsOf(step.m_estimate)) : 0;
}

RunTimeKey KeyOf(const QueueId& queue, const StepPlan& step) {
  return {queue, step.m_image, HasEstimate(step)};
}

Prediction Predict(const LearnedRunTime& learned, double log_estimate) {
  const double distance = log_estimate - learned.m_origin;
  const double variance = learned.m_level_variance +
                          2 * distance * learned.m_covariance +
                          distance * distance * learned.m_slope_variance;
  return {distance, log_estimate + learned.m_level + learned.m_slope * distance,
          std::max(variance, 0.0)};
}

// Beyond the prior nothing is left to forget. Where all estimates are alike,
// the slope is never learned, so each direction has a factor of its own; scaled
// by their roots, the covariance stays possible.
void Forget(LearnedRunTime& learned, double weight) {
  const LearnedRunTime prior;
  const double growth = 1 / (1 - kForgottenShare * weight);
  const double level = std::max(
      1.0, std::min(growth, prior.m_level_variance / learned.m_level_variance));
  const double slope = std::max(
      1.0, std::min(growth, prior.m_slope_variance / learned.m_slope_variance));
  learned.m_level_variance *= level;
  learned.m_slope_variance *= slope;
  learned.m_covariance *= std::sqrt(level * slope);
}

// One step of recursive least squares with forgetting.
void UpdateLine(LearnedRunTime& learned, const Prediction& prediction,
                double innovation, double weight) {
  const double distance = prediction.m_distance;
  const double level_share =
      learned.m_level_variance + distance * learned.m_covariance;
  const double slope_share =
      learned.m_covariance + distance * learned.m_slope_variance;
  const double total = prediction.m_variance + learned.m_run_variance / weight;
  learned.m_level += level_share / total * innovation;
  learned.m_slope += slope_share / total * innovation;
  learned.m_level_variance -= level_share * level_share / total;
  learned.m_slope_variance -= slope_share * slope_share / total;
  learned.m_covariance -= level_share * slope_share / total;
  Forget(learned, weight);
}

bool IsKnown(const LearnedRunTime& learned, const Prediction& prediction) {
  return prediction.m_variance * kKnownLine <= learned.m_run_variance;
}

void UpdateSpread(LearnedRunTime& learned, const Prediction& prediction,
                  double innovation, double log_ratio, double weight) {
  learned.m_weight = std::min(learned.m_weight + weight, kMostWeight);
  // Around a line that is not known yet, the spread would be that of the error.
  if (!IsKnown(learned, prediction)) return;
  const double share = weight / (learned.m_weight + kPriorWeight);
  const double square =
      std::max(innovation * innovation - prediction.m_variance, 0.0);
  learned.m_run_variance = std::clamp(
      learned.m_run_variance + share * (square - learned.m_run_variance),
      kLeastRunVariance, kMostRunVariance);
  const double ratio = std::min(std::exp(log_ratio), kLargestRatio);
  learned.m_mean_ratio += share * (ratio - learned.m_mean_ratio);
  learned.m_mean_square += share * (ratio * ratio - learned.m_mean_square);
}

double Cut(double innovation, double variance) {
  const double most = kLargestInnovation * std::sqrt(variance);
  return std::clamp(innovation, -most, most);
}

WorkerSlowness& TouchWorker(RunTimeModel& model, const RunSample& sample) {
  WorkerSlowness& worker = Touch(model.m_workers, sample.m_worker);
  if (worker.m_incarnation != sample.m_incarnation) {
    worker = WorkerSlowness{sample.m_incarnation, model.m_usual_slowness};
  }
  return worker;
}

// `variance` is that of the innovation without the worker's own. What all
// workers share is no worker's slowness, but an error of the line.
void UpdateWorker(RunTimeModel& model, WorkerSlowness& worker,
                  double innovation, double variance, double weight) {
  const double cut = Cut(innovation, worker.m_variance + variance);
  const double gain =
      worker.m_variance / (worker.m_variance + variance / weight);
  worker.m_mean += gain * cut;
  worker.m_variance = std::min(worker.m_variance * (1 - gain) + kSlownessDrift,
                               WorkerSlowness().m_variance);
  model.m_usual_slowness +=
      kUsualShare * (worker.m_mean - model.m_usual_slowness);
}

// Expected excess of a normally distributed figure over its mean, given that it
// lies beyond `distance`.
double ExcessBeyond(double distance, double variance) {
  const double deviation = std::sqrt(variance);
  const double standardized = distance / deviation;
  const double beyond = std::erfc(standardized / std::sqrt(2.0)) / 2;
  // Far out, the excess over the distance itself is small.
  if (beyond < 1e-9) return distance;
  const double density =
      std::exp(-standardized * standardized / 2) / kRootOfTwoPi;
  return deviation * density / beyond;
}

double WeightOf(const RunSample& sample, double most_tasks) {
  const double tasks = sample.m_step.m_task_count;
  return 1 / std::clamp(tasks, 1.0, most_tasks);
}

LearnedRunTime& TouchRunTime(RunTimeModel& model, const RunSample& sample) {
  LearnedRunTime& learned =
      Touch(model.m_run_times, KeyOf(sample.m_queue, sample.m_step));
  if (learned.m_weight <= 0) learned.m_origin = LogEstimateOf(sample.m_step);
  return learned;
}

double Standard(double at) { return std::erfc(-at / std::sqrt(2.0)) / 2; }

// Returns the rest of a lognormal run time with these moments after `elapsed`
// seconds.
RunTimeEstimate RestOf(double mean, double deviation, double elapsed) {
  const double relative = deviation / mean;
  const double variance = std::log1p(relative * relative);
  const double spread = std::sqrt(variance);
  const double at = (std::log(elapsed / mean) + variance / 2) / spread;
  if (at > kFarOut) {
    const Duration rest = DurationOf(elapsed * spread / at);
    return {rest, rest};
  }
  const double beyond = Standard(-at);
  const double whole = mean * Standard(spread - at) / beyond;
  const double square =
      mean * mean * std::exp(variance) * Standard(2 * spread - at) / beyond;
  const double rest_variance = std::max(square - whole * whole, 0.0);
  return {DurationOf(whole - elapsed), DurationOf(std::sqrt(rest_variance))};
}

}  // namespace

RunTimeEstimate ExpectedRunTime(const RunTimeModel& model, const QueueId& queue,
                                const StepPlan& step) {
  const LearnedRunTime* known = Find(model.m_run_times, KeyOf(queue, step));
  if (known == nullptr && !HasEstimate(step)) return {};
  LearnedRunTime prior;
  prior.m_origin = LogEstimateOf(step);
  const LearnedRunTime& learned = known == nullptr ? prior : *known;
  const Prediction prediction = Predict(learned, LogEstimateOf(step));
  const double usual = std::exp(prediction.m_log);
  const double variance =
      learned.m_mean_square - learned.m_mean_ratio * learned.m_mean_ratio;
  const double relative =
      std::sqrt(std::max(variance, 0.0) + prediction.m_variance);
  return {DurationOf(usual * learned.m_mean_ratio),
          DurationOf(usual * relative)};
}

RunTimeEstimate RemainingRunTime(const RunTimeModel& model,
                                 const QueueId& queue, const StepPlan& step,
                                 Duration elapsed) {
  const RunTimeEstimate whole = ExpectedRunTime(model, queue, step);
  if (elapsed <= Duration{} || whole.m_expected <= Duration{} ||
      whole.m_deviation <= Duration{}) {
    return whole;
  }
  return RestOf(SecondsOf(whole.m_expected), SecondsOf(whole.m_deviation),
                SecondsOf(elapsed));
}

double RelativeSlowness(const RunTimeModel& model,
                        const WorkerSlowness& slowness) {
  return slowness.m_mean - model.m_usual_slowness;
}

double SlownessOf(const RunTimeModel& model, const WorkerId& worker) {
  const WorkerSlowness* known = Find(model.m_workers, worker);
  if (known == nullptr) return 1.0;
  const double deviation = std::sqrt(known->m_variance);
  const double mean = RelativeSlowness(model, *known);
  const double sure = std::max(std::abs(mean) - deviation, 0.0);
  return std::exp(std::copysign(sure, mean));
}

std::vector<Duration> ExpectedRunTimes(const RunTimeModel& model,
                                       const JobPlan& plan) {
  std::vector<Duration> expected;
  expected.reserve(plan.m_steps.size());
  for (const StepPlan& step : plan.m_steps) {
    expected.push_back(
        ExpectedRunTime(model, plan.m_queue.m_id, step).m_expected);
  }
  return expected;
}

void RecordEndedRun(RunTimeModel& model, const RunSample& sample) {
  if (sample.m_length <= Duration{}) return;
  ++model.m_ended_runs;
  LearnedRunTime& learned = TouchRunTime(model, sample);
  const Prediction prediction = Predict(learned, LogEstimateOf(sample.m_step));
  const double log_time =
      LogOf(SecondsOf(sample.m_length) / sample.m_known_slowdown);
  const double variance = prediction.m_variance + learned.m_run_variance;
  double surplus = log_time - prediction.m_log;
  if (sample.m_shows_slowness && IsKnown(learned, prediction)) {
    WorkerSlowness& worker = TouchWorker(model, sample);
    UpdateWorker(model, worker, surplus - RelativeSlowness(model, worker),
                 variance, WeightOf(sample, kMostTasksSharingSlowness));
    surplus -= RelativeSlowness(model, worker);
  }
  const double weight = WeightOf(sample, kMostTasksSharingWeight);
  const double innovation = Cut(surplus, variance);
  UpdateLine(learned, prediction, innovation, weight);
  UpdateSpread(learned, prediction, innovation, surplus, weight);
}

void RecordActiveRun(RunTimeModel& model, const RunSample& sample) {
  if (sample.m_length <= Duration{}) return;
  const LearnedRunTime* known =
      Find(model.m_run_times, KeyOf(sample.m_queue, sample.m_step));
  const WorkerSlowness* known_worker = Find(model.m_workers, sample.m_worker);
  LearnedRunTime prior;
  prior.m_origin = LogEstimateOf(sample.m_step);
  const Prediction prediction =
      Predict(known == nullptr ? prior : *known, LogEstimateOf(sample.m_step));
  const double log_time =
      LogOf(SecondsOf(sample.m_length) / sample.m_known_slowdown);
  const double slowness =
      known_worker == nullptr
          ? 0
          : std::max(RelativeSlowness(model, *known_worker), 0.0);
  // Nothing is learned from runs that are not longer than expected, so most
  // calls end here.
  if (log_time <= prediction.m_log + slowness) return;
  ++model.m_active_runs;
  LearnedRunTime& learned = TouchRunTime(model, sample);
  const double variance = prediction.m_variance + learned.m_run_variance;
  if (sample.m_shows_slowness && IsKnown(learned, prediction)) {
    WorkerSlowness& worker = TouchWorker(model, sample);
    const double distance =
        log_time - prediction.m_log - RelativeSlowness(model, worker);
    const double excess = ExcessBeyond(distance, variance + worker.m_variance);
    UpdateWorker(model, worker, excess, variance,
                 kActiveWeight * WeightOf(sample, kMostTasksSharingSlowness));
  }
  const double distance = log_time - prediction.m_log - slowness;
  const double innovation =
      Cut(ExcessBeyond(std::max(distance, 0.0), variance), variance);
  const double weight =
      kActiveWeight * WeightOf(sample, kMostTasksSharingWeight);
  UpdateLine(learned, prediction, innovation, weight);
  learned.m_weight = std::min(learned.m_weight + weight, kMostWeight);
}

void ForgetSlowness(RunTimeModel& model, const WorkerId& worker) {
  Erase(model.m_workers, worker);
}

}  // namespace daisyarch::fleet
