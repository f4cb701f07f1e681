#pragma once

#include <cstdint>
#include <tuple>

#include "base/ids.h"
#include "decisions/fleet/recent_table.h"

namespace daisyarch::fleet {

/// Steps whose run times are learned together.
struct RunTimeKey {
  QueueId m_queue;
  ImageId m_image;
  bool m_has_estimate = true;  ///< The steps declare one.

  friend bool operator<(const RunTimeKey& left, const RunTimeKey& right) {
    return std::tie(left.m_queue, left.m_image, left.m_has_estimate) <
           std::tie(right.m_queue, right.m_image, right.m_has_estimate);
  }
};

/// How the run times of such steps follow from the declared estimates. The
/// logarithm of run time / estimate is a straight line over the logarithm of
/// the estimate: m_level + m_slope * (log estimate - m_origin).
struct LearnedRunTime {
  double m_weight = 0;  ///< Steps that were learned from.
  double m_origin = 0;  ///< Logarithm of seconds.
  double m_level = 0;
  double m_slope = 0;
  double m_level_variance = 0.25;
  double m_slope_variance = 0.25;
  double m_covariance = 0;
  /// Variance of a single run's logarithm around the line.
  double m_run_variance = 0.36;
  /// Mean of run time / exp(line), and the mean of its square: the arithmetic
  /// figures, with the tails.
  double m_mean_ratio = 1.0;
  double m_mean_square = 1.85;
};

/// How many times as long runs take on a worker, as a logarithm; with the usual
/// slowness, unless stored.
struct WorkerSlowness {
  Incarnation m_incarnation;
  double m_mean = 0;
  double m_variance = 0.25;
};

/// What the leaders have learned of run times.
struct RunTimeModel {
  RecentTable<RunTimeKey, LearnedRunTime> m_run_times{256};
  RecentTable<WorkerId, WorkerSlowness> m_workers{16384};
  double m_usual_slowness = 0;      ///< Of the workers sampled lately.
  std::uint64_t m_ended_runs = 0;   ///< That were learned from.
  std::uint64_t m_active_runs = 0;  ///< Times that a long run still was.
};

}  // namespace daisyarch::fleet
