#include "decisions/fleet/learned_run_times.h"

#include <algorithm>
#include <cmath>

#include "decisions/fleet/run_times.h"

namespace daisyarch::fleet {

namespace {

constexpr std::size_t kMostStoredRunTimes = 64;
constexpr std::size_t kMostStoredWorkers = 128;
// Workers nearer to the usual speed are as good as unknown ones.
const double kLeastStoredSlowness = std::log(1.25);
// Smaller changes of an expectation move hardly any decision.
constexpr double kSmallChange = 0.15;
constexpr double kSmallSlownessChange = 0.4;
// Far beyond any logarithm of seconds or of a ratio.
constexpr double kMaximumLog = 15;
constexpr double kMaximumSlope = 3;
constexpr double kMaximumRatio = 100;
constexpr double kLeastVariance = 1e-6;

bool IsIn(double value, double least, double most) {
  return std::isfinite(value) && value >= least && value <= most;
}

bool IsInRange(const LearnedRunTime& learned) {
  const double bound =
      std::sqrt(learned.m_level_variance * learned.m_slope_variance);
  return IsIn(learned.m_weight, 0, kMaximumRatio) &&
         IsIn(learned.m_origin, -kMaximumLog, kMaximumLog) &&
         IsIn(learned.m_level, -kMaximumLog, kMaximumLog) &&
         IsIn(learned.m_slope, -kMaximumSlope, kMaximumSlope) &&
         IsIn(learned.m_level_variance, kLeastVariance, kMaximumLog) &&
         IsIn(learned.m_slope_variance, kLeastVariance, kMaximumLog) &&
         IsIn(learned.m_covariance, -bound, bound) &&
         IsIn(learned.m_run_variance, kLeastVariance, kMaximumLog) &&
         IsIn(learned.m_mean_ratio, 1e-3, kMaximumRatio) &&
         IsIn(learned.m_mean_square, 0, kMaximumRatio);
}

bool IsInRange(const WorkerSlowness& slowness) {
  return IsIn(slowness.m_mean, -kMaximumSlope, kMaximumSlope) &&
         IsIn(slowness.m_variance, kLeastVariance, kMaximumLog);
}

double SureSlowness(const WorkerSlowness& slowness) {
  return std::abs(slowness.m_mean) - std::sqrt(slowness.m_variance);
}

// Logarithm of the mean, against the declared estimate.
double FactorOf(const LearnedRunTime& learned) {
  return learned.m_level + std::log(learned.m_mean_ratio);
}

bool IsSameKey(const RunTimeKey& left, const RunTimeKey& right) {
  return !(left < right) && !(right < left);
}

bool HasNews(const LearnedRunTimes& stored, const StoredRunTime& learned) {
  const auto found =
      std::find_if(stored.m_run_times.begin(), stored.m_run_times.end(),
                   [&learned](const StoredRunTime& other) {
                     return IsSameKey(other.m_key, learned.m_key);
                   });
  return found == stored.m_run_times.end() ||
         std::abs(FactorOf(found->m_learned) - FactorOf(learned.m_learned)) >
             kSmallChange ||
         std::abs(found->m_learned.m_slope - learned.m_learned.m_slope) >
             kSmallChange;
}

bool HasNews(const LearnedRunTimes& stored, const StoredSlowness& learned) {
  const auto found =
      std::find_if(stored.m_workers.begin(), stored.m_workers.end(),
                   [&learned](const StoredSlowness& other) {
                     return other.m_worker == learned.m_worker;
                   });
  return found == stored.m_workers.end() ||
         std::abs(found->m_slowness.m_mean - learned.m_slowness.m_mean) >
             kSmallSlownessChange;
}

}  // namespace

LearnedRunTimes LearnedRunTimesOf(const RunTimeModel& model) {
  LearnedRunTimes learned;
  const auto& touches = model.m_run_times.m_touches;
  for (auto next = touches.rbegin(); next != touches.rend(); ++next) {
    if (learned.m_run_times.size() == kMostStoredRunTimes) break;
    learned.m_run_times.push_back(
        {next->second, *Find(model.m_run_times, next->second)});
  }
  for (const auto& [worker, row] : model.m_workers.m_rows) {
    WorkerSlowness stored = row.m_entry;
    stored.m_mean = RelativeSlowness(model, row.m_entry);
    if (SureSlowness(stored) < kLeastStoredSlowness) continue;
    learned.m_workers.push_back({worker, stored});
  }
  auto& workers = learned.m_workers;
  std::sort(workers.begin(), workers.end(),
            [](const StoredSlowness& left, const StoredSlowness& right) {
              return SureSlowness(left.m_slowness) >
                     SureSlowness(right.m_slowness);
            });
  workers.resize(std::min(workers.size(), kMostStoredWorkers));
  return learned;
}

bool HasChangedEnough(const LearnedRunTimes& stored,
                      const LearnedRunTimes& learned) {
  const auto has_news = [&stored](const auto& entry) {
    return HasNews(stored, entry);
  };
  // A worker that is slow no more is found out soon enough by the next leader.
  return std::any_of(learned.m_run_times.begin(), learned.m_run_times.end(),
                     has_news) ||
         std::any_of(learned.m_workers.begin(), learned.m_workers.end(),
                     has_news);
}

void ApplyLearnedRunTimes(RunTimeModel& model, const LearnedRunTimes& learned) {
  // The latest come first, and the one that is added last is dropped last.
  const std::size_t count =
      std::min(learned.m_run_times.size(), kMostStoredRunTimes);
  for (std::size_t index = count; index-- > 0;) {
    const StoredRunTime& stored = learned.m_run_times[index];
    if (!IsInRange(stored.m_learned)) continue;
    if (Find(model.m_run_times, stored.m_key) != nullptr) continue;
    Touch(model.m_run_times, stored.m_key) = stored.m_learned;
  }
  for (const StoredSlowness& stored : learned.m_workers) {
    if (!IsInRange(stored.m_slowness)) continue;
    if (Find(model.m_workers, stored.m_worker) != nullptr) continue;
    WorkerSlowness& worker = Touch(model.m_workers, stored.m_worker);
    worker = stored.m_slowness;
    worker.m_mean += model.m_usual_slowness;
  }
}

}  // namespace daisyarch::fleet
