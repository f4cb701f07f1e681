#pragma once

#include "base/time.h"

namespace daisyarch {

/// An exponentially weighted mean and mean deviation of durations, in
/// microseconds.
struct DurationEstimate {
  double m_mean = 0;
  double m_deviation = 0;
  bool m_is_known = false;
};

void AddSample(DurationEstimate& estimate, Duration sample);

/// Returns the mean; zero when there are no samples.
Duration Mean(const DurationEstimate& estimate);

/// Returns a duration that few samples exceed: the mean plus three deviations.
Duration UpperBound(const DurationEstimate& estimate);

}  // namespace daisyarch
